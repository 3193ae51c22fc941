// SPDX-License-Identifier: MIT

package entry

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/quota"
)

// contact records how far a daemon is in touch with the others.
type contact struct {
	began       time.Time                 // start of the daemon
	reported    chan struct{}             // closed on the first report of what another daemon admits
	lastReport  atomic.Int64              // time of the last such report, nanoseconds after began; 0 for never
	levelsKnown atomic.Bool               // bucket levels were received
	zoneRead    atomic.Bool               // the daemons of the own zone were read from the store
	counted     atomic.Bool               // the number of daemons was read from the store, or received from a daemon that has it
	cutOff      atomic.Bool               // no other daemon is reached
	readerLost  atomic.Int64              // last failed query to another reader, nanoseconds after began; 0 for never
	emptyAt     atomic.Int64              // last answer of a reader without a configuration, nanoseconds after began; 0 for never
	aloneSince  atomic.Pointer[time.Time] // since when no other daemon is alive; nil while one is
}

func newContact(now time.Time) contact { return contact{began: now, reported: make(chan struct{})} }

// since returns a moment as nanoseconds after began, at least 1 as 0 stands for never.
func (c *contact) since(now time.Time) int64 { return max(1, int64(now.Sub(c.began))) }

// noReport is true until another daemon has reported what it admits.
func (c *contact) noReport() bool { return c.lastReport.Load() == 0 }

// recordReport records a report of what another daemon admits; first is true for the first one.
func (c *contact) recordReport(now time.Time) (first bool) {
	first = c.lastReport.Swap(c.since(now)) == 0
	if first {
		close(c.reported)
	}
	return first
}

// silent returns the time since the last report of another daemon.
func (c *contact) silent(now time.Time) time.Duration {
	return now.Sub(c.began) - time.Duration(c.lastReport.Load())
}

// recordReaderFailure records a failed query to another reader.
func (c *contact) recordReaderFailure(now time.Time) { c.readerLost.Store(c.since(now)) }

// readerMissing reports whether a query to another reader has failed recently.
func (c *contact) readerMissing(now time.Time) bool {
	lost := c.readerLost.Load()
	return lost > 0 && now.Sub(c.began)-time.Duration(lost) < readerLossTTL
}

// emptyTTL is how long other daemons leave the store alone after a reader has found no configuration in it:
// some query intervals.
const emptyTTL = time.Second

// recordEmpty records that a reader waits for the first configuration.
func (c *contact) recordEmpty(now time.Time) { c.emptyAt.Store(c.since(now)) }

// readerWaits reports whether a reader recently waited for the first configuration.
func (c *contact) readerWaits(now time.Time) bool {
	at := c.emptyAt.Load()
	return at > 0 && now.Sub(c.began)-time.Duration(at) < emptyTTL
}

// noteAlone updates since when no other daemon is alive.
func (c *contact) noteAlone(now time.Time, alone bool) {
	switch {
	case !alone:
		c.aloneSince.Store(nil)
	case c.aloneSince.Load() == nil:
		c.aloneSince.Store(&now)
	}
}

// share returns the fraction of a limit over all daemons that this one may use.
func (d *Daemon) share() float64 { return d.fleet().LimitShare() }

// fleet returns what this daemon knows of the others.
func (d *Daemon) fleet() quota.Fleet {
	first := d.Site().First
	f := quota.Fleet{CutOff: d.contact.cutOff.Load(), Counted: first || d.contact.counted.Load(), NoReports: !first && d.contact.noReport()}
	f.Alive, f.Known = d.Hub.Mesh.Counts()
	return f
}

// cutOffAfter is how long a daemon of a large fleet receives no report until it considers itself cut off.
// The overlay detects only lost neighbours, and after 3.5 s; a report comes every 450 ms.
const cutOffAfter = 1500 * time.Millisecond

// updateCutOff updates whether this daemon, in a large fleet, reaches no other.
func (d *Daemon) updateCutOff(now time.Time) {
	silent := d.contact.silent(now)
	cut := d.largeFleet() && silent > cutOffAfter
	if d.contact.cutOff.Swap(cut) != cut {
		d.log.WithFields(logrus.Fields{"part": "peers", "cut_off": cut, "silent_ms": silent.Milliseconds()}).
			Info("contact with other daemons lost or regained: the share of each limit in use changes")
	}
}

// recordAdmissionReport records a report of what other daemons admit.
func (d *Daemon) recordAdmissionReport(now time.Time) {
	if d.largeFleet() && d.contact.noReport() {
		// Creates the buckets while the share is still this daemon's own: otherwise each of many daemons
		// that start together would begin with half of every limit. In a small fleet each does, and they
		// learn of each other's admissions at once.
		d.quotas.Levels(now, d.teamLimits(), d.share())
	}
	if d.contact.recordReport(now) {
		d.log.WithFields(logrus.Fields{"part": "peers", "after_ms": now.Sub(d.began).Milliseconds(), "members": len(d.Hub.Mesh.Members())}).
			Info("first report of what other daemons admit: limits are used in full from now on")
	}
}

// teamLimits returns the teams' limits in the catalog in force.
func (d *Daemon) teamLimits() (out []quota.Limit) {
	if c := d.catalog.get(); c != nil {
		for i := range c.Tenants {
			out = append(out, limitOf(&c.Tenants[i]))
		}
	}
	return out
}
