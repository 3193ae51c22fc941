// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"streambend.example/conn"
)

const (
	// wordLife is how long another daemon's word of its reading counts: three
	// rounds of questions.
	wordLife = 3 * manyPause
	// nearShare is the share of a bound from which on something is late: what is left
	// is time for a call to the store that answers at once.
	nearShare = 0.85
	// witnesses is how many daemons are asked at once when one does not do well: at
	// 380 daemons a reader of 12 zones then answers 210 questions a second.
	witnesses = 3
	// wordKept is how long the word of a daemon that is asked no more is kept.
	wordKept = 10 * wordLife
	// servedLately is up to which age of a list its holder is served by the store: the
	// longest wait of a question for changes, and a third as much again for its way.
	servedLately = 2 * time.Second
)

// Outage collects what other daemons say of the store. A daemon's own calls fail as
// well while its own link is full, so they alone are no proof that the store is away.
// The zero value is ready.
type Outage struct {
	mu    sync.Mutex
	words map[string]Word
}

// Word is what came of a question to another daemon.
type Word struct {
	Reader  ReaderWord
	Asked   time.Time
	Catalog time.Time // its catalog is known to have been the newest then
	Listed  time.Time // and its list of endpoints
}

// Hear takes in what came of a question to a daemon. Silence leaves in force what the
// daemon said to a later question, and what it was known to hold.
func (o *Outage) Hear(name string, w Word) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.words == nil {
		o.words = make(map[string]Word)
	}
	old, ok := o.words[name]
	if ok && w.Asked.Before(old.Asked) {
		return
	}
	if w.Reader == ReaderSilent {
		w.Catalog, w.Listed = old.Catalog, old.Listed
	}
	o.words[name] = w
	for n, old := range o.words {
		if w.Asked.Sub(old.Asked) > wordKept {
			delete(o.words, n)
		}
	}
}

// Horizon picks one of a word's moments.
type Horizon func(Word) time.Time

// Horizons of the catalog and of the list of endpoints.
var (
	OfCatalog Horizon = func(w Word) time.Time { return w.Catalog }
	OfList    Horizon = func(w Word) time.Time { return w.Listed }
)

// Certain reports whether the store fails everybody: so many daemons as are needed
// have been asked lately, each has said so or is silent, and one at least has said so.
// Whoever holds something younger than bound speaks against it, whatever it says.
func (o *Outage) Certain(now time.Time, need int, of Horizon, bound time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	asked, failing := 0, false
	for _, w := range o.words {
		if now.Sub(w.Asked) > wordLife {
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

// Witnesses returns the daemons that one asks whether the store fails everybody: the
// readers that it asks anyway, then others in an order of its own.
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

// outageFor reports whether the store fails everybody, so that nothing younger than
// what this daemon holds is to be had.
func (d *Daemon) outageFor(now time.Time, held *Freshness, of Horizon, bound time.Duration) bool {
	if d.only(held) {
		return d.feedsDown.Load() > 0
	}
	return d.outage.Certain(now, min(witnesses, len(d.others())), of, bound)
}

// catalogCurrent reports whether requests may be admitted by a catalog of an age: it
// is within its bound, or nothing younger is to be had. Not the speed of its spreading
// but this keeps the bound, at each use.
func (d *Daemon) catalogCurrent(now time.Time, age time.Duration) bool {
	bound := d.Site().Bounds.Configuration
	return age <= bound || d.outageFor(now, &d.catalog.fresh, OfCatalog, bound)
}

// only reports whether there is no other daemon: there has never been one, but for
// some that have stopped as planned, or the store has brought what is held up to date
// after all were gone, so that it is not this daemon's link that makes them silent.
func (d *Daemon) only(held *Freshness) bool {
	if _, known := d.Hub.Mesh.Counts(); known < 2 {
		return d.Site().First || d.contact.counted.Load()
	}
	since := d.contact.aloneSince.Load()
	return since != nil && held.After(*since)
}

// noteOutage notes while the store fails everybody: entries of endpoints lapse then.
// Whoever is served lately speaks against it, and this daemon itself first.
func (d *Daemon) noteOutage(now time.Time) {
	age, _ := d.runners.fresh.Age(now)
	if d.feedsDown.Load() > 0 && age > servedLately && d.outageFor(now, &d.runners.fresh, OfList, servedLately) {
		d.runners.storeFailed(now)
	}
}

// listBound is the age up to which the list of endpoints decides where a request is
// sent: by then it must have reached its endpoint.
func (d *Daemon) listBound() time.Duration { return d.Site().Bounds.Drain - sendMargin }

// listed returns until when a request may be on its way to an endpoint that is chosen
// now, zero for no limit, and false if the list is too old to choose by.
func (d *Daemon) listed(now time.Time) (until time.Time, ok bool) {
	age, known := d.runners.fresh.Age(now)
	if bound := d.listBound(); known && age <= bound {
		return now.Add(bound - age), true
	}
	return time.Time{}, known && d.outageFor(now, &d.runners.fresh, OfList, d.listBound())
}

// late reports whether what a daemon holds has come close to a bound, so that it
// looks for something younger by every way.
func late(age, bound time.Duration) bool { return age > lateAt(bound) }

// lateAt is the age from which on something with a bound is late.
func lateAt(bound time.Duration) time.Duration {
	return min(peerAge, time.Duration(nearShare*float64(bound)))
}

// FeedWait returns how long the store may hold a question for changes of what is of an age: at most a
// time, and not beyond the moment from which on it is late. A question that is under way by then would
// be answered after the bound.
func FeedWait(age, bound, most time.Duration) time.Duration {
	return max(min(most, lateAt(bound)-age), 0)
}

// behind reports whether the catalog or the list of endpoints is late.
func (d *Daemon) behind(now time.Time) bool {
	age, ok := d.catalog.fresh.Age(now)
	listed, known := d.runners.fresh.Age(now)
	return !ok || !known || late(age, d.Site().Bounds.Configuration) || late(listed, d.listBound())
}
