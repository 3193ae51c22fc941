// SPDX-License-Identifier: MIT

package outage

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// TTL is how long a report counts: three intervals of the queries in a large fleet.
	TTL = 1350 * time.Millisecond
	// retention is how long the report of a daemon that is no longer queried is kept, for the age of what it held.
	retention = 10 * TTL
)

// Reports holds the last report of each daemon that was queried. The zero value is ready to use; it is safe for
// concurrent use.
type Reports struct {
	mu     sync.Mutex
	byName map[string]Report
}

// Record records the outcome of a query to a daemon. A query without an answer overrides neither the answer to a later
// one, nor the known age of what the daemon holds.
func (r *Reports) Record(name string, w Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName == nil {
		r.byName = make(map[string]Report)
	}
	old, ok := r.byName[name]
	if ok && w.Asked.Before(old.Asked) {
		return
	}
	if w.Status == Silent {
		w.Catalog, w.Listed = old.Catalog, old.Listed
	}
	r.byName[name] = w
	for n, old := range r.byName {
		if w.Asked.Sub(old.Asked) > retention {
			delete(r.byName, n)
		}
	}
}

// Fleet is what a daemon knows of the others.
type Fleet struct {
	Readers []string // those that may read the store for a zone
	Others  int      // number of other daemons of any kind
	Own     Own
}

// Own tells of a daemon's own reads.
type Own struct {
	Fail   bool // it is a reader, and its reads fail
	Served bool // it is a reader, and its reads succeed
}

// witnesses is the least number of daemons that must have answered, if there are as many.
const witnesses = 3

// ToQuery returns the daemons to query now: all readers, and the first of others if fewer than witnesses of these have
// not ended. Those that have answered within half of TTL are left out.
func (r *Reports) ToQuery(now time.Time, readers, others []string) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := 0
	add := func(name string) {
		w, ok := r.recent(now, name)
		if !ok || w.Status != Absent {
			running++
		}
		if !ok || w.Status == Silent || now.Sub(w.Asked) > TTL/2 {
			out = append(out, name)
		}
	}
	for _, name := range readers {
		add(name)
	}
	for _, name := range others {
		if running < witnesses && !slices.Contains(readers, name) {
			add(name)
		}
	}
	return out
}

// recent returns the report of a daemon that still counts; the caller holds the lock.
func (r *Reports) recent(now time.Time, name string) (Report, bool) {
	w, ok := r.byName[name]
	return w, ok && now.Sub(w.Asked) <= TTL
}

// Judge decides whether the store fails for all daemons: of the readers that have not ended more than half have
// answered, as have enough daemons of any kind; one at least reports a failure, and none holds data younger than bound
// or knows that the store serves others. A reader that is served disproves an outage however old its data is, as that may
// have been long on its way.
func (r *Reports) Judge(now time.Time, f Fleet, of ReportTime, bound time.Duration) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Own.Served {
		return Verdict{Reason: ReaderServed}
	}
	answered, failing, others := 0, false, f.Others
	for name, w := range r.byName {
		if now.Sub(w.Asked) > TTL {
			continue
		}
		switch {
		case w.Status == Absent:
			others--
		case now.Sub(of(w)) <= bound:
			return Verdict{Reason: HeldYoung, By: name}
		case w.Status == Limited:
			return Verdict{Reason: StoreLimits, By: name}
		case w.Served && slices.Contains(f.Readers, name):
			return Verdict{Reason: ReaderServed, By: name}
		case w.Status != Silent:
			answered++
			failing = failing || w.Status == Failing
		}
	}
	switch name, few := r.missing(now, f); {
	case few:
		return Verdict{Reason: ReadersSilent, By: name}
	case answered < min(witnesses, others):
		return Verdict{Reason: FewAnswers}
	case !failing:
		return Verdict{Reason: NoneFails}
	}
	return Verdict{Confirmed: true}
}

// missing reports whether too few of the readers have answered, and names one that has not; the caller holds the lock.
func (r *Reports) missing(now time.Time, f Fleet) (silent string, few bool) {
	running, answered := 0, 0
	if f.Own.Fail {
		running, answered = 1, 1
	}
	for _, name := range f.Readers {
		w, recent := r.recent(now, name)
		if recent && w.Status == Absent {
			continue
		}
		running++
		if recent && w.Status != Silent {
			answered++
		} else {
			silent = name
		}
	}
	return silent, running > 0 && 2*answered <= running
}

// Describe returns the recent reports for a log line: each daemon with its outcome, and the age of what it held.
func (r *Reports) Describe(now time.Time, of ReportTime) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, w := range r.byName {
		if now.Sub(w.Asked) > TTL {
			continue
		}
		held := "unknown age"
		if at := of(w); !at.IsZero() {
			held = now.Sub(at).Round(time.Millisecond).String()
		}
		out = append(out, fmt.Sprintf("%s %s %s", name, w.Status, held))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
