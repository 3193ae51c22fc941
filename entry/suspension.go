// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
)

// minSuspension is the shortest suspension of the box that is logged.
const minSuspension = 100 * time.Millisecond

// checkSuspension checks whether the box was suspended, and ends the requests whose deadline has passed
// meanwhile. Ages are right from the next check on; a request does its own check as it arrives, and again
// before it is sent to an endpoint.
func (d *Daemon) checkSuspension() {
	total := clock.Refresh()
	slept := total - d.suspendedTotal
	d.suspendedTotal = total
	if slept < minSuspension {
		return
	}
	now := clock.Now()
	age, _ := d.catalog.fresh.Age(now)
	listed, _ := d.runners.fresh.Age(now)
	d.log.WithFields(logrus.Fields{
		"part": "process", "slept_ms": slept.Milliseconds(), "catalog_age_ms": age.Milliseconds(), "endpoints_age_ms": listed.Milliseconds(),
		"requests_ended": d.Server.CancelOverdue(now),
	}).Warn("the box was suspended and has woken")
}
