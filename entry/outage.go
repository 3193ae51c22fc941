// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"streambend.example/clock"
	"streambend.example/outage"
	"streambend.example/replica"
)

const (
	// lateFraction is the fraction of a bound from which on something is late: the rest is time for a call to
	// the store that is answered at once.
	lateFraction = 0.85
	// recentlyServedAge is the age of a list up to which the store is taken to serve its holder: the longest wait
	// of a query for changes, and a third more for its latency.
	recentlyServedAge = 2 * time.Second
)

// outageFor reports whether the store fails for all, so that no data younger than this daemon's can be had.
func (d *Daemon) outageFor(now time.Time, held *replica.Freshness, of outage.ReportTime, bound time.Duration) bool {
	switch {
	case d.limitedFeeds.Load() > 0:
		return false // the store serves others
	case d.isOnlyDaemon(held):
		return d.failingFeeds.Load() > 0
	}
	return d.judgeOutage(now, of, bound).Confirmed
}

func (d *Daemon) judgeOutage(now time.Time, of outage.ReportTime, bound time.Duration) outage.Verdict {
	f := outage.Fleet{Readers: append(d.silentZones(), d.roster().MayRead...), Others: len(d.others())}
	if d.isReader() {
		f.Own = outage.Own{Fail: d.failingFeeds.Load() > 0, Served: d.served(now)}
	}
	return d.reports.Judge(now, f, of, bound)
}

// served reports whether the store serves this daemon: none of its reads fails, and one has succeeded a short time ago. One
// that leaves the reads to others knows nothing of that.
func (d *Daemon) served(now time.Time) bool {
	at := d.lastRead.Load()
	return d.failingFeeds.Load() == 0 && at != nil && now.Sub(*at) <= recentlyServedAge
}

// silentZones returns one daemon of each availability zone whose daemons are all dead by silence: behind a cut, its reader
// may be served by the store.
func (d *Daemon) silentZones() (out []string) {
	silent := d.Hub.Mesh.Silent()
	if len(silent) == 0 {
		return nil
	}
	zones := make(map[string]bool)
	for _, m := range d.Hub.Mesh.Members() {
		zones[m.Zone] = true
	}
	for _, m := range silent {
		if !zones[m.Zone] {
			zones[m.Zone] = true
			out = append(out, m.Name)
		}
	}
	return out
}

// askWitnesses queries at once, but for one daemon that was just queried, those that can confirm whether the
// store fails for all.
func (d *Daemon) askWitnesses(ctx context.Context, but string) {
	r := d.roster()
	for _, name := range d.reports.ToQuery(clock.Now(), r.MayRead, r.Shuffled()) {
		if name != but {
			d.run(func() { d.syncWithPeer(ctx, name) })
		}
	}
}

// catalogCurrent reports whether requests may be admitted with a catalog of some age: it is within its bound,
// or no younger one can be had. The bound holds because of this check at each use, not because of the speed at
// which configuration spreads.
func (d *Daemon) catalogCurrent(now time.Time, age time.Duration) bool {
	bound := d.Site().Bounds.Configuration
	return age <= bound || d.outageFor(now, &d.catalog.fresh, outage.CatalogTime, bound)
}

// isOnlyDaemon reports whether there is no other daemon.
func (d *Daemon) isOnlyDaemon(held *replica.Freshness) bool {
	_, known := d.Hub.Mesh.Counts() // this daemon included
	o := outage.Others{
		Alive: len(d.Hub.Mesh.Members()) - 1, Known: known - 1, Silent: len(d.Hub.Mesh.Silent()), Counted: d.contact.counted.Load(),
	}
	if since := d.contact.aloneSince.Load(); since != nil {
		o.Since = *since
	}
	return o.None(held.After)
}

// recordOutage records that the store fails for all; entries of endpoints expire then. A daemon that the store
// served recently disproves it, this daemon first of all.
func (d *Daemon) recordOutage(now time.Time) {
	age, _ := d.runners.fresh.Age(now)
	if d.failingFeeds.Load() > 0 && age > recentlyServedAge && d.outageFor(now, d.runners.fresh, outage.ListTime, recentlyServedAge) {
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
	return time.Time{}, known && d.outageFor(now, d.runners.fresh, outage.ListTime, d.listBound())
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
