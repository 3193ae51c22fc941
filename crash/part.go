// SPDX-License-Identifier: MIT

package crash

import (
	"bytes"
	"cmp"
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
	// partVerdictDelay is how long after the crash that makes a part a cause its verdict waits: by then a part that
	// is in use elsewhere has begun an answer, survived it, and this has been reported.
	partVerdictDelay = 1200 * time.Millisecond
	// minContents is the number of different requests with a part that must have been in flight: what one request
	// crashes is blamed on its content.
	minContents = 2
	// maxPartSuspects bounds the suspected parts, and maxPartRuns the requests that are kept of each, at 48 bytes.
	maxPartSuspects = 2048
	maxPartRuns     = 32
	// maxWith bounds the parts that a verdict names beside its own.
	maxWith = 3
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
	maps.DeleteFunc(l.watched, func(_ Fingerprint, w *watch) bool { return !now.Before(w.until) })
	if len(l.parts) > maxPartSuspects {
		oldest := slices.SortedFunc(maps.Values(l.parts), func(a, b *partSuspect) int { return a.lastSeen.Compare(b.lastSeen) })
		for _, s := range oldest[:len(oldest)-maxPartSuspects/2] {
			delete(l.parts, s.print)
		}
	}
	l.updateCounts()
}

// Evaluate returns new verdicts on parts of prompts, and the earlier verdicts that end as these explain their crashes.
func (l *Ledger) Evaluate(now time.Time) (fresh []Verdict, cleared []Fingerprint) {
	if l.partCount.Load() == 0 {
		return nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		s := l.likeliest(now)
		if s == nil {
			return fresh, cleared
		}
		v := newVerdict(now, s.print, len(s.crashes()), simultaneousWindow)
		v.With = l.inseparable(s)
		for _, c := range s.crashes() {
			c.cause = s.print
		}
		l.apply(v)
		fresh = append(fresh, v)
		cleared = append(cleared, l.supersede(s.print)...)
	}
}

// supersede removes the verdicts whose crashes are all explained by another one. The caller holds the lock.
func (l *Ledger) supersede(by Fingerprint) (cleared []Fingerprint) {
	for p := range l.verdicts {
		crashes := l.crashesOf(p)
		if p == by || len(crashes) == 0 || slices.ContainsFunc(crashes, func(c *crashRecord) bool { return c.cause != by }) {
			continue
		}
		delete(l.verdicts, p)
		cleared = append(cleared, p)
	}
	l.updateCounts()
	return cleared
}

// likeliest returns the part that was in flight for most crashes, among those that must have caused some, or nil. Of parts
// that were in flight for as many it takes the one furthest in prompts, which fewer requests share. The caller holds the lock.
func (l *Ledger) likeliest(now time.Time) (best *partSuspect) {
	most := 0
	for _, s := range l.parts {
		at, ok := s.causeAt()
		if !ok || now.Sub(at) < partVerdictDelay || s.contents() < minContents || !l.explainsMore(s) {
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

// watch is a part of which daemons report that endpoints survive it.
type watch struct {
	until    time.Time
	reported time.Time // when this was last reported
}

// Watch makes Survived report the survival of parts for some seconds.
func (l *Ledger) Watch(now time.Time, parts []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lazyInit()
	l.watch(now, parts)
	l.updateCounts()
}

func (l *Ledger) watch(now time.Time, parts []Fingerprint) {
	for _, p := range parts {
		if w := l.watched[p]; w != nil {
			w.until = now.Add(watchTTL)
		} else if len(l.watched) < maxPartSuspects {
			l.watched[p] = &watch{until: now.Add(watchTTL)}
		}
	}
}

// watchSuspects watches the parts that may soon be blamed, and returns those that were not watched. The caller holds the
// lock.
func (l *Ledger) watchSuspects(now time.Time) (fresh []Fingerprint) {
	var due []Fingerprint
	for p, s := range l.parts {
		if s.unexplained() < crashThreshold-1 {
			continue
		}
		due = append(due, p)
		if w := l.watched[p]; w == nil || !now.Before(w.until.Add(-watchTTL/2)) {
			fresh = append(fresh, p)
		}
	}
	l.watch(now, due)
	return fresh
}

// Suspects reports whether parts of prompts are suspected or watched.
func (l *Ledger) Suspects() bool { return l.partCount.Load() > 0 }

// SuspectedParts returns the number of parts of prompts that are suspected.
func (l *Ledger) SuspectedParts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.parts)
}

// Survival is the evidence of one answer: an endpoint has survived it since its first event, whose age is given.
type Survival struct {
	Parts []Fingerprint `codec:"p"` // of its prompt
	Age   time.Duration `codec:"a"`
}

// Survived records that an endpoint has survived an answer, so that the parts of its prompt have not caused the crashes
// before. It returns those whose survival is to be reported to the other daemons, and the verdicts that end with it.
func (l *Ledger) Survived(now time.Time, s Survival) (report, cleared []Fingerprint) {
	if l.partCount.Load() == 0 {
		return nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := now.Add(-max(s.Age, 0))
	for _, p := range s.Parts {
		if l.survivedPart(p, begun) {
			cleared = append(cleared, p)
		}
		if w := l.watched[p]; w != nil && now.Before(w.until) && now.Sub(w.reported) >= survivalInterval {
			w.reported = now
			report = append(report, p)
		}
	}
	return report, cleared
}

// survivedPart records that an endpoint has survived a part, and reports whether that ends a verdict: its answer began after
// the verdict, or after so many of the crashes that the others prove nothing. The caller holds the lock.
func (l *Ledger) survivedPart(p Fingerprint, begun time.Time) (cleared bool) {
	v, held := l.verdicts[p]
	s := l.parts[p]
	if s == nil {
		if held = held && begun.After(v.issued); held {
			l.release(p)
		}
		return held
	}
	before := s.crashes()
	s.survive(begun)
	if !held || len(before) == len(s.crashes()) {
		return false
	}
	if _, proved := s.causeAt(); proved {
		return false
	}
	unexplain(before, p)
	l.release(p)
	return true
}

// release removes a verdict. The crashes that it explained have no known cause any more. The caller holds the lock.
func (l *Ledger) release(p Fingerprint) {
	delete(l.verdicts, p)
	unexplain(l.crashesOf(p), p)
	if s := l.parts[p]; s != nil {
		s.runs = nil
	}
	l.updateCounts()
}

// unexplain removes a cause from crashes.
func unexplain(crashes []*crashRecord, cause Fingerprint) {
	for _, c := range crashes {
		if c.cause == cause {
			c.cause = Fingerprint{}
		}
	}
}
