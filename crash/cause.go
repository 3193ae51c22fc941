// SPDX-License-Identifier: MIT

package crash

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Evaluate returns new verdicts on parts of prompts, and the earlier verdicts that end as these explain their crashes.
func (l *Ledger) Evaluate(now time.Time) (fresh []Verdict, ended []Fingerprint) {
	if l.partCount.Load() == 0 {
		return nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictParts(now)
	for {
		s := l.likeliest(now)
		if s == nil {
			return fresh, ended
		}
		v := newVerdict(now, s.print, len(s.crashes()), simultaneousWindow) // its crashes were one after the other
		v.With = l.inseparable(s)
		for _, c := range s.crashes() {
			c.cause = s.print
		}
		l.apply(v)
		fresh = append(fresh, v)
		ended = append(ended, l.supersede(now, s.print)...)
	}
}

// Expire deletes expired records. A daemon that does not evaluate calls it instead.
func (l *Ledger) Expire(now time.Time) {
	if l.partCount.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictParts(now)
}

// supersede removes the verdicts whose crashes are all explained by another one. The caller holds the lock.
func (l *Ledger) supersede(now time.Time, by Fingerprint) (ended []Fingerprint) {
	for p := range l.verdicts {
		crashes := l.crashesOf(p)
		if p == by || len(crashes) == 0 || slices.ContainsFunc(crashes, func(c *crashRecord) bool { return c.cause != by }) {
			continue
		}
		delete(l.verdicts, p)
		l.ended[p] = now
		ended = append(ended, p)
	}
	l.updateCounts()
	return ended
}

// likeliest returns the part that was in flight for most crashes, among those that must have caused some, or nil. Of parts
// that were in flight for as many it takes the one furthest in prompts, which fewer requests share. The caller holds the lock.
func (l *Ledger) likeliest(now time.Time) (best *partSuspect) {
	most := 0
	for _, s := range l.parts {
		at, ok := s.causeAt()
		if !ok || now.Sub(at) < PartVerdictDelay || s.contents() < minContents || !l.explainsMore(s) {
			continue
		}
		n := len(s.crashes())
		if best == nil || cmp.Or(cmp.Compare(n, most), cmp.Compare(s.place, best.place), bytes.Compare(s.print[:], best.print[:])) > 0 {
			best, most = s, n
		}
	}
	return best
}

// explainsMore reports whether the part was in flight for crashes without a known cause: for crashThreshold of them, or for
// all that the causes of its other crashes were in flight for, and for more.
func (l *Ledger) explainsMore(s *partSuspect) bool {
	n := s.unexplained()
	if n == 0 || n >= crashThreshold {
		return n > 0
	}
	own := s.crashes()
	for _, c := range own {
		if c.cause == s.print || c.cause == (Fingerprint{}) {
			continue
		}
		for _, x := range l.crashesOf(c.cause) {
			if !slices.Contains(own, x) {
				return false
			}
		}
	}
	return true
}

// crashesOf returns the crashes that a content or a part was in flight for.
func (l *Ledger) crashesOf(p Fingerprint) []*crashRecord {
	if s := l.suspects[p]; s != nil {
		return s.crashes
	}
	if s := l.parts[p]; s != nil {
		return s.crashes()
	}
	return nil
}

// inseparable returns other parts that were in flight for the same crashes as a suspect, so that only requests with all
// of them are known to crash endpoints.
func (l *Ledger) inseparable(s *partSuspect) (with []Fingerprint) {
	own := s.crashes()
	for _, o := range l.parts {
		if o == s || len(with) == maxWith {
			continue
		}
		other := o.crashes()
		if len(other) == len(own) && !slices.ContainsFunc(other, func(c *crashRecord) bool { return !slices.Contains(own, c) }) {
			with = append(with, o.print)
		}
	}
	return with
}
