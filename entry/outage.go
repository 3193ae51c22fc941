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
	// witnesses is how many daemons are asked at once when one does not do well. Each
	// question costs a daemon some 0.15 ms; at 380 daemons a reader of 12 zones
	// answers 210 a second, and only while something is wrong.
	witnesses = 3
	// sharedFor is how long after a word of failure an outage counts as one of
	// others too: the words of two daemons may be a silent call's time apart.
	sharedFor = lapseHold + wordLife
)

// Outage collects what other daemons say of the store. A daemon's own calls fail as
// well while its own link is full, so they alone are no proof that the store is away.
// The zero value is ready.
type Outage struct {
	mu    sync.Mutex
	words map[string]heardWord
	last  time.Time // of a word of failure
}

type heardWord struct {
	word    ReaderWord
	horizon time.Time // when what that daemon holds is known to have been the newest
	at      time.Time
}

// Hear takes in what a daemon says, and when what it holds is known to have been the
// newest.
func (o *Outage) Hear(now time.Time, name string, w ReaderWord, horizon time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.words == nil {
		o.words = make(map[string]heardWord)
	}
	for n, old := range o.words {
		if now.Sub(old.at) > wordLife {
			delete(o.words, n)
		}
	}
	o.words[name] = heardWord{w, horizon, now}
	if w == ReaderFailing {
		o.last = now
	}
}

// Certain reports whether the store fails everybody: each of the daemons asked has
// said so or is silent, and one at least has said so. Whoever holds something
// younger than bound speaks against it.
func (o *Outage) Certain(now time.Time, asked []string, bound time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	failing := false
	for _, name := range asked {
		w, ok := o.words[name]
		if !ok || now.Sub(w.at) > wordLife {
			return false
		}
		if w.word == ReaderWell && now.Sub(w.horizon) <= bound {
			return false
		}
		failing = failing || w.word == ReaderFailing
	}
	return failing
}

// Shared reports whether the store has failed another daemon lately.
func (o *Outage) Shared(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.last.IsZero() && now.Sub(o.last) < sharedFor
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

// witnesses returns the daemons that this one asks.
func (d *Daemon) witnesses() []string { return Witnesses(d.Self, d.Hub.Mesh.Members()) }

// current reports whether something of an age may be acted on: it is within its
// bound, or the store fails everybody, so that nothing younger is to be had. Not
// the speed of its spreading but this keeps the bound, at each use.
func (d *Daemon) current(now time.Time, age, bound time.Duration) bool {
	switch {
	case age <= bound:
		return true
	case d.only():
		return d.feedsDown.Load() > 0
	}
	return d.outage.Certain(now, d.witnesses(), bound)
}

// only reports whether there has never been another daemon, but for some that have
// stopped as planned. Others that are not heard may be served well.
func (d *Daemon) only() bool { return len(d.Hub.Mesh.Known()) < 2 }

// sharedOutage reports whether the store has lately failed another daemon too.
func (d *Daemon) sharedOutage(now time.Time) bool { return d.only() || d.outage.Shared(now) }

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
	return time.Time{}, known && d.current(now, age, d.listBound())
}

// late reports whether what a daemon holds has come close to a bound, so that it
// looks for something younger by every way.
func late(age, bound time.Duration) bool {
	return age > min(peerAge, time.Duration(nearShare*float64(bound)))
}

// behind reports whether the catalog or the list of endpoints is late.
func (d *Daemon) behind(now time.Time) bool {
	age, ok := d.catalog.fresh.Age(now)
	listed, known := d.runners.fresh.Age(now)
	return !ok || !known || late(age, d.Site().Bounds.Configuration) || late(listed, d.listBound())
}
