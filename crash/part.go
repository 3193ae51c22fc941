// SPDX-License-Identifier: MIT

package crash

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxParts bounds the parts of a prompt that may be blamed.
	MaxParts = 16
	// SurvivalTime is how long an endpoint must have lived on after the first event of an answer to show that the parts
	// of its prompt do not crash it. Endpoints that crash on a part do so as they begin to answer.
	SurvivalTime = 500 * time.Millisecond
	// PartVerdictDelay is how long after the crash that makes a part a cause its verdict waits: by then a part that
	// is in use elsewhere has begun an answer, survived it, and this has been reported.
	PartVerdictDelay = 1200 * time.Millisecond
	// minContents is the number of different requests with a part that must have been in flight: what one request
	// crashes is blamed on its content.
	minContents = 2
	// maxPartSuspects bounds the suspected parts, and maxPartRuns the requests that are kept of each, at 48 bytes.
	maxPartSuspects = 2048
	maxPartRuns     = 32
	// maxWith bounds the parts that a verdict names beside its own.
	maxWith = 3
	// endedTTL is how long a verdict that has ended is remembered, so that it does not come back with a message or a row
	// that is older than its end.
	endedTTL = 10 * time.Minute
	// watchTTL is how long a daemon reports that parts survive after it was asked to, and survivalInterval how often
	// it reports it of one part.
	watchTTL         = 5 * time.Second
	survivalInterval = 400 * time.Millisecond
)

// partRun is a request with a part that was in flight when an endpoint crashed, and whose answer had hardly begun.
type partRun struct {
	crash   *crashRecord
	sent    time.Time
	content Fingerprint
}

// partSuspect is a part of prompts that was in flight at endpoints when they crashed.
type partSuspect struct {
	print    Fingerprint
	place    int       // furthest place in a prompt
	runs     []partRun // in the order of crashes; none from before survived
	survived time.Time // latest first event of an answer that its endpoint has survived
	lastSeen time.Time
}

// crashes returns the crashes that the part was in flight for, in order.
func (s *partSuspect) crashes() (out []*crashRecord) {
	for _, r := range s.runs {
		if !slices.Contains(out, r.crash) {
			out = append(out, r.crash)
		}
	}
	return out
}

// unexplained returns the number of crashes without a known cause.
func (s *partSuspect) unexplained() (n int) {
	for _, c := range s.crashes() {
		if c.cause == (Fingerprint{}) {
			n++
		}
	}
	return n
}

// contents returns the number of different requests among the runs.
func (s *partSuspect) contents() int {
	seen := make(map[Fingerprint]bool)
	for _, r := range s.runs {
		seen[r.content] = true
	}
	return len(seen)
}

// causeAt returns when the part became a cause: at the last of crashThreshold crashes, each of a request sent after the
// one before. Endpoints that end at one moment for another cause leave one such crash, however many they are.
func (s *partSuspect) causeAt() (at time.Time, ok bool) {
	n := 0
	for _, r := range s.runs {
		if n == 0 || r.sent.After(at) {
			at, n = r.crash.at, n+1
		}
		if n >= crashThreshold {
			return at, true
		}
	}
	return at, false
}

// survive drops the crashes up to the first event of an answer that its endpoint has survived.
func (s *partSuspect) survive(begun time.Time) {
	if begun.After(s.survived) {
		s.survived = begun
	}
	s.runs = slices.DeleteFunc(s.runs, func(r partRun) bool { return !r.crash.at.After(s.survived) })
}

// blameParts adds a crash to the records of the parts of a flight's prompt. The caller holds the lock.
func (l *Ledger) blameParts(now time.Time, c *crashRecord, f Flight) {
	for place, p := range f.Parts[:min(len(f.Parts), MaxParts)] {
		s := l.parts[p]
		if s == nil {
			s = &partSuspect{print: p}
			l.parts[p] = s
		}
		s.place, s.lastSeen = max(s.place, place), now
		if !c.at.After(s.survived) {
			continue
		}
		s.runs = slices.DeleteFunc(s.runs, func(r partRun) bool { return now.Sub(r.crash.at) >= suspectTTL })
		s.runs = append(s.runs, partRun{c, now.Add(-f.For), f.Print})
		s.runs = s.runs[max(0, len(s.runs)-maxPartRuns):]
	}
}

// evictParts deletes expired suspects, and the oldest if there are too many. The caller holds the lock.
func (l *Ledger) evictParts(now time.Time) {
	maps.DeleteFunc(l.parts, func(_ Fingerprint, s *partSuspect) bool { return now.Sub(s.lastSeen) >= suspectTTL })
	maps.DeleteFunc(l.ended, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= endedTTL })
	maps.DeleteFunc(l.watched, func(_ Fingerprint, w *watch) bool { return !now.Before(w.until) })
	if len(l.parts) > maxPartSuspects {
		oldest := slices.SortedFunc(maps.Values(l.parts), func(a, b *partSuspect) int { return a.lastSeen.Compare(b.lastSeen) })
		for _, s := range oldest[:len(oldest)-maxPartSuspects/2] {
			delete(l.parts, s.print)
		}
	}
	l.updateCounts()
}
