// SPDX-License-Identifier: MIT

package entry

import (
	"github.com/sirupsen/logrus"

	"streambend.example/platform"
)

// Site returns the settings in force.
func (d *Daemon) Site() platform.Site { return *d.site.Load() }

// Reload applies changed settings without disturbing requests. The name, the zone, the listen addresses
// and First (whether the whole system began with this process) keep their values until the next start.
func (d *Daemon) Reload(next platform.Site) {
	old := d.Site()
	kept := next.Name != old.Name || next.Zone != old.Zone || next.CallerAddr != old.CallerAddr ||
		next.ReadyAddr != old.ReadyAddr || next.PeerAddr != old.PeerAddr
	next.Name, next.Zone, next.First = old.Name, old.Zone, old.First
	next.CallerAddr, next.ReadyAddr, next.PeerAddr = old.CallerAddr, old.ReadyAddr, old.PeerAddr
	d.site.Store(&next)
	d.store.Move(next.Store)
	d.cloud.Move(next.Cloud)
	d.log.WithFields(logrus.Fields{
		"part": "process", "store": next.Store, "cloud": next.Cloud, "needs_restart": kept,
	}).Info("reload: settings applied")
}
