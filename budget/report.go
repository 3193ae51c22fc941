// SPDX-License-Identifier: MIT

package budget

import (
	"time"
)

// Source identifies one start of a daemon.
type Source struct {
	Daemon string `codec:"d"`
	Start  int64  `codec:"i"` // Unix milliseconds
}

// Report is what one start of a daemon has counted of each service for which it has made repeats in the window.
type Report struct {
	Source
	Seq      uint64            `codec:"s"` // increases with each report of the source
	Age      time.Duration     `codec:"a"` // since the newest step began
	Services map[string]Counts `codec:"c"`
}

// Repeats returns the repeats of the service that has the most.
func (r Report) Repeats() (most int) {
	for _, c := range r.Services {
		n := 0
		for _, x := range c {
			n += x.Repeats
		}
		most = max(most, n)
	}
	return most
}

// received is a report and the time at which its newest step began.
type received struct {
	Report
	began time.Time
}

// expired reports whether nothing in the report is in the window any more.
func (r *received) expired(now time.Time, window time.Duration) bool {
	return now.Sub(r.began) > window+window/steps
}

// Merge takes reports of other daemons, or of earlier starts of this one.
func (l *Ledger) Merge(now time.Time, in []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, r := range l.others {
		if r.expired(now, l.bound.Window) {
			delete(l.others, s)
		}
	}
	for _, r := range in {
		x := received{r, now.Add(-max(r.Age, 0))}
		if old, held := l.others[r.Source]; r.Source == l.self || held && old.Seq >= r.Seq || x.expired(now, l.bound.Window) {
			continue
		}
		if len(l.others) < maxReports {
			l.others[r.Source] = x
		}
	}
}

// Report returns this daemon's counts for the others; ok is false if it has made no repeats in the window.
func (l *Ledger) Report(now time.Time) (r Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report(now)
}

func (l *Ledger) report(now time.Time) (r Report, ok bool) {
	step, began := l.stepAt(now)
	r = Report{Source: l.self, Age: now.Sub(began), Services: make(map[string]Counts)}
	for service, c := range l.own {
		c.at(step)
		if c.counts.sum(now, began, l.bound.Window).Repeats > 0 {
			r.Services[service] = c.counts
		}
	}
	if len(r.Services) == 0 {
		return r, false
	}
	l.seq++
	r.Seq = l.seq
	return r, true
}

// Reports returns this daemon's counts and the reports that it holds, for a daemon that has started, and whether they are
// all that this daemon would need itself.
func (l *Ledger) Reports(now time.Time) (out []Report, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own, ok := l.report(now); ok {
		out = append(out, own)
	}
	for _, r := range l.others {
		if !r.expired(now, l.bound.Window) {
			r.Age = now.Sub(r.began)
			out = append(out, r.Report)
		}
	}
	return out, l.knows(now)
}
