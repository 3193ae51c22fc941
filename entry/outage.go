// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"streambend.example/conn"
)

const (
	// reportTTL is how long the outcome of a query to another daemon counts: three query intervals.
	reportTTL = 3 * manyPause
	// lateFraction is the fraction of a bound from which on something is late: the rest is time for a call to
	// the store that is answered at once.
	lateFraction = 0.85
	// witnesses is how many daemons are queried at once when one reports a failure: in a fleet of 380 with 12
	// zones a reader then answers 210 queries a second.
	witnesses = 3
	// peerReportRetention is how long the outcome for a daemon that is no longer queried is kept.
	peerReportRetention = 10 * reportTTL
	// recentlyServedAge is the age of a list up to which the store is taken to serve its holder: the longest wait
	// of a query for changes, and a third more for its latency.
	recentlyServedAge = 2 * time.Second
)

// Outage collects what other daemons report of the store. A daemon's own calls also fail while its link is
// congested, so on their own they do not prove that the store is down. The zero value is ready to use.
type Outage struct {
	mu      sync.Mutex
	reports map[string]PeerReport
}

// PeerReport is the outcome of a query to another daemon.
type PeerReport struct {
	Reader  ReaderStatus
	Asked   time.Time
	Catalog time.Time // when its catalog is known to have been current
	Listed  time.Time // the same of its list of endpoints
}

// Record records the outcome of a query to a daemon. A query without an answer overrides neither the answer
// to a later one, nor the known freshness of what the daemon holds.
func (o *Outage) Record(name string, w PeerReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reports == nil {
		o.reports = make(map[string]PeerReport)
	}
	old, ok := o.reports[name]
	if ok && w.Asked.Before(old.Asked) {
		return
	}
	if w.Reader == ReaderSilent {
		w.Catalog, w.Listed = old.Catalog, old.Listed
	}
	o.reports[name] = w
	for n, old := range o.reports {
		if w.Asked.Sub(old.Asked) > peerReportRetention {
			delete(o.reports, n)
		}
	}
}

// ReportTime selects one of the moments of a PeerReport.
type ReportTime func(PeerReport) time.Time

// Horizons of the catalog and of the list of endpoints.
var (
	CatalogTime ReportTime = func(w PeerReport) time.Time { return w.Catalog }
	ListTime    ReportTime = func(w PeerReport) time.Time { return w.Listed }
)

// Confirmed reports whether the store fails for all daemons: at least need of them were queried recently, each
// reported a failure or did not answer, and at least one reported it. A daemon that holds data younger than
// bound disproves it, whatever it reports.
func (o *Outage) Confirmed(now time.Time, need int, of ReportTime, bound time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	asked, failing := 0, false
	for _, w := range o.reports {
		if now.Sub(w.Asked) > reportTTL {
			continue
		}
		if now.Sub(of(w)) <= bound {
			return false
		}
		asked++
		failing = failing || w.Reader == ReaderFailing
	}
	return failing && asked >= need
}

// Describe returns the recent reports for a log line: each daemon with its outcome, and the age of what it holds.
func (o *Outage) Describe(now time.Time, of ReportTime) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for name, w := range o.reports {
		if now.Sub(w.Asked) > reportTTL {
			continue
		}
		held := "unknown age"
		if at := of(w); !at.IsZero() {
			held = now.Sub(at).Round(time.Millisecond).String()
		}
		out = append(out, fmt.Sprintf("%s %s %s", name, w.Reader, held))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// Witnesses returns the daemons to query for whether the store fails for all: first the readers that self
// queries anyway, then others in an order that differs between daemons.
func Witnesses(self conn.Member, members []conn.Member) []string {
	out := ReadersFor(self, members)
	if len(out) >= witnesses {
		return out[:witnesses]
	}
	var others []string
	for _, m := range members {
		if m.Name != self.Name && m.State == conn.MemberAlive && !slices.Contains(out, m.Name) {
			others = append(others, m.Name)
		}
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(self.Name+a), xxhash.Sum64String(self.Name+b))
	})
	return append(out, others[:min(len(others), witnesses-len(out))]...)
}

// outageFor reports whether the store fails for all, so that no data younger than this daemon's can be had.
func (d *Daemon) outageFor(now time.Time, held *Freshness, of ReportTime, bound time.Duration) bool {
	if d.isOnlyDaemon(held) {
		return d.failingFeeds.Load() > 0
	}
	return d.outage.Confirmed(now, min(witnesses, len(d.others())), of, bound)
}

// catalogCurrent reports whether requests may be admitted with a catalog of some age: it is within its bound,
// or no younger one can be had. The bound holds because of this check at each use, not because of the speed at
// which configuration spreads.
func (d *Daemon) catalogCurrent(now time.Time, age time.Duration) bool {
	bound := d.Site().Bounds.Configuration
	return age <= bound || d.outageFor(now, &d.catalog.fresh, CatalogTime, bound)
}

// isOnlyDaemon reports whether there is no other daemon: there never was one, except for some that stopped
// as planned, or the store has refreshed what is held after all others were gone, so that it is not this
// daemon's link that keeps them from answering.
func (d *Daemon) isOnlyDaemon(held *Freshness) bool {
	if _, known := d.Hub.Mesh.Counts(); known < 2 {
		return d.Site().First || d.contact.counted.Load()
	}
	since := d.contact.aloneSince.Load()
	return since != nil && held.After(*since)
}

// recordOutage records that the store fails for all; entries of endpoints expire then. A daemon that the store
// served recently disproves it, this daemon first of all.
func (d *Daemon) recordOutage(now time.Time) {
	age, _ := d.runners.fresh.Age(now)
	if d.failingFeeds.Load() > 0 && age > recentlyServedAge && d.outageFor(now, &d.runners.fresh, ListTime, recentlyServedAge) {
		d.runners.storeFailed(now)
	}
}

// listBound is the age up to which the list of endpoints may be used to route a request, which must have
// reached its endpoint by then.
func (d *Daemon) listBound() time.Duration { return d.Site().Bounds.Drain - sendMargin }

// listed returns until when a request may be in transit to an endpoint that is chosen now, zero for no limit,
// and false if the list is too old to choose from.
func (d *Daemon) listed(now time.Time) (until time.Time, ok bool) {
	age, known := d.runners.fresh.Age(now)
	if bound := d.listBound(); known && age <= bound {
		return now.Add(bound - age), true
	}
	return time.Time{}, known && d.outageFor(now, &d.runners.fresh, ListTime, d.listBound())
}

// late reports whether data is so close to its bound that a daemon tries every source for a younger copy.
func late(age, bound time.Duration) bool { return age > lateAge(bound) }

// lateAge returns the age from which on data with a bound is late.
func lateAge(bound time.Duration) time.Duration {
	return min(peerAge, time.Duration(lateFraction*float64(bound)))
}

// FeedWait returns how long the store may hold a query for changes to data of some age: at most most, and not
// beyond the moment from which on the data is late. A query still waiting then would be answered after the
// bound.
func FeedWait(age, bound, most time.Duration) time.Duration {
	return max(min(most, lateAge(bound)-age), 0)
}

// behind reports whether the catalog or the list of endpoints is late.
func (d *Daemon) behind(now time.Time) bool {
	age, ok := d.catalog.fresh.Age(now)
	listed, known := d.runners.fresh.Age(now)
	return !ok || !known || late(age, d.Site().Bounds.Configuration) || late(listed, d.listBound())
}
