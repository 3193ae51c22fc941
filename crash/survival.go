// SPDX-License-Identifier: MIT

package crash

import "time"

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

// Suspects reports whether parts of prompts are suspected, watched or held back.
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
func (l *Ledger) Survived(now time.Time, s Survival) (report, ended []Fingerprint) {
	if l.partCount.Load() == 0 {
		return nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := now.Add(-max(s.Age, 0))
	for _, p := range s.Parts {
		if l.survivedPart(now, p, begun) {
			ended = append(ended, p)
		}
		if w := l.watched[p]; w != nil && now.Before(w.until) && now.Sub(w.reported) >= survivalInterval {
			w.reported = now
			report = append(report, p)
		}
	}
	return report, ended
}

// survivedPart records that an endpoint has survived a part, and reports whether that ends a verdict: its answer began after
// the verdict, or after so many of the crashes that the others prove nothing. A ledger that lacks some of the verdict's crashes
// cannot tell the latter. The caller holds the lock.
func (l *Ledger) survivedPart(now time.Time, p Fingerprint, begun time.Time) (ended bool) {
	v, held := l.verdicts[p]
	before, proved := l.crashesOf(p), true
	if s := l.parts[p]; s != nil {
		s.survive(begun)
		if len(s.crashes()) < len(before) && len(before) >= v.Crashes {
			_, proved = s.causeAt()
		}
	}
	if !held || proved && !begun.After(v.issued) {
		return false
	}
	unexplain(before, p)
	l.release(now, p)
	return true
}

// End removes verdicts that have ended at another daemon, on parts or as another one explains their crashes. Other than
// Clear it does not exonerate.
func (l *Ledger) End(now time.Time, prints []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lazyInit()
	for _, p := range prints {
		l.release(now, p)
	}
}

// Ended reports whether a verdict has ended here.
func (l *Ledger) Ended(now time.Time, v Verdict) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasEnded(now, v)
}

func (l *Ledger) hasEnded(now time.Time, v Verdict) bool {
	at, ok := l.ended[v.Print]
	return ok && !v.bounded(now).began().After(at)
}

// release removes a verdict. The crashes that it explained have no known cause any more. The caller holds the lock.
func (l *Ledger) release(now time.Time, p Fingerprint) {
	delete(l.verdicts, p)
	l.ended[p] = now
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
