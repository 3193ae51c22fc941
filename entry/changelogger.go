// SPDX-License-Identifier: MIT

package entry

import (
	"github.com/sirupsen/logrus"

	"streambend.example/platform"
)

// maxLoggedChanges is the number of entries in one answer up to which each change of an endpoint is logged. The log
// would drop most lines of a longer list, after the time to format them.
const maxLoggedChanges = 100

// changeLogger logs the changes of endpoints, those of a long list as counts.
type changeLogger struct {
	to     *logrus.Logger
	each   bool
	counts map[string]int // by message
}

// begin starts a list of changes.
func (c *changeLogger) begin(to *logrus.Logger, entries int) {
	c.to, c.each, c.counts = to, entries <= maxLoggedChanges, nil
}

// log logs one change.
func (c *changeLogger) log(r platform.Runner, message string, more logrus.Fields) {
	if !c.each {
		if c.counts == nil {
			c.counts = make(map[string]int)
		}
		c.counts[message]++
		return
	}
	c.to.WithFields(logrus.Fields{
		"part": "endpoints", "endpoint": r.ID, "born": r.Born, "service": r.Service, "software": r.Version, "zone": r.Zone, "address": r.Address, "reclaimable": r.Reclaimable,
	}).WithFields(more).Info(message)
}

// end ends the list.
func (c *changeLogger) end() {
	for message, n := range c.counts {
		c.to.WithFields(logrus.Fields{"part": "endpoints", "count": n}).Info("many changes: " + message)
	}
	c.counts = nil
}
