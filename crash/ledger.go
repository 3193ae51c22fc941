// SPDX-License-Identifier: MIT

package crash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashThreshold is the number of endpoint crashes after which a request is held back. One or
	// two prove nothing: the requests in flight beside the cause fail with it and are retried where
	// the cause is retried next. Each further crash costs all requests in flight there.
	crashThreshold = 3
	// dedupWindow is the time within which reports of one endpoint's crash are one crash. Daemons
	// detect it at most half a second apart, and an endpoint is assumed to need longer than this to
	// restart.
	dedupWindow = time.Second
	// suspectTTL is how long a crash counts against a request: callers retry after seconds, jobs
	// after minutes.
	suspectTTL = 10 * time.Minute
	// maxSuspects bounds the suspected requests, at about 200 bytes each. The oldest are evicted
	// first; 4,096 are left by 128 crashes at once with 32 requests each.
	maxSuspects = 4096
	// answeredTTL is how long an answer exonerates a request: endpoints that crash while it is in
	// flight have another cause. It need only be longer than an endpoint takes to crash and restart,
	// since a request that many callers send is answered many times a second.
	answeredTTL = 15 * time.Second
	// maxAnswered bounds the answered requests that are remembered, at about 40 bytes each.
	maxAnswered = 4096
)

// Flight is a request that was in flight at an endpoint.
type Flight struct {
	Print Fingerprint   `codec:"p"`
	For   time.Duration `codec:"f"` // time since it was sent there
	// Parts are the parts of its prompt but the last, in order; none if its answer began SurvivalTime before or earlier.
	Parts []Fingerprint `codec:"s,omitempty"`
}

// EndpointCrash is the crash of an endpoint, with the requests that one daemon had in flight there.
type EndpointCrash struct {
	Endpoint string   `codec:"e"`
	Flights  []Flight `codec:"f"`
}

// crashRecord is the ledger's record of an endpoint's crash.
type crashRecord struct {
	at    time.Time
	cause Fingerprint // of the verdict that explains it; zero if unknown
}

// suspect is a request that was in flight at endpoints when they crashed.
type suspect struct {
	print    Fingerprint
	lastSeen time.Time // time of the last crash
	crashes  []*crashRecord
	inFlight time.Duration // total time in flight at the endpoints that crashed
}

// count returns the number of crashes that no other request is known to have caused.
func (s *suspect) count() (n int) {
	for _, e := range s.crashes {
		if e.cause == (Fingerprint{}) || e.cause == s.print {
			n++
		}
	}
	return n
}

// Ledger records the requests that were in flight when endpoints crashed, and the verdicts on them.
// The zero value is ready. Its methods are safe for concurrent use.
type Ledger struct {
	verdictCount atomic.Int32 // number of verdicts; lets Held skip the lock while it is 0
	partCount    atomic.Int32 // number of suspected and watched parts and of verdicts; the same for Survived and Evaluate

	mu       sync.Mutex
	crashes  map[string]*crashRecord // last crash of each endpoint
	suspects map[Fingerprint]*suspect
	verdicts map[Fingerprint]Verdict
	answered Recent[Fingerprint]
	parts    map[Fingerprint]*partSuspect
	watched  map[Fingerprint]*watch
	ended    map[Fingerprint]time.Time // when verdicts ended
}

// lazyInit makes the zero value usable. The caller holds the lock.
func (l *Ledger) lazyInit() {
	if l.suspects != nil {
		return
	}
	l.crashes, l.suspects, l.verdicts = make(map[string]*crashRecord), make(map[Fingerprint]*suspect), make(map[Fingerprint]Verdict)
	l.parts, l.watched, l.ended = make(map[Fingerprint]*partSuspect), make(map[Fingerprint]*watch), make(map[Fingerprint]time.Time)
	l.answered = Recent[Fingerprint]{Period: answeredTTL, Most: maxAnswered}
}

// updateCounts updates the counts that are read without the lock, which the caller holds.
func (l *Ledger) updateCounts() {
	l.verdictCount.Store(int32(len(l.verdicts)))
	l.partCount.Store(int32(len(l.parts) + len(l.watched) + len(l.verdicts)))
}

// AddCrash records the crash of an endpoint. It returns the new verdicts on contents, and the parts of prompts that are
// newly watched.
func (l *Ledger) AddCrash(now time.Time, e EndpointCrash) (fresh []Verdict, watched []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lazyInit()
	l.evict(now)
	crash := l.crashes[e.Endpoint]
	if crash == nil || now.Sub(crash.at) >= dedupWindow {
		crash = &crashRecord{at: now}
		l.crashes[e.Endpoint] = crash
	}
	var suspects []*suspect
	for _, f := range e.Flights {
		if s := l.blame(now, crash, f); s != nil {
			suspects = append(suspects, s)
		}
		l.blameParts(now, crash, f)
	}
	l.explain(crash, e.Flights)
	// A request that is held back explains the crashes it was in flight for, so that others are no
	// longer suspected for them. Suspects are checked by their time in flight, shortest first, as a
	// request that crashes an endpoint does so when it begins.
	slices.SortFunc(suspects, func(a, b *suspect) int { return cmp.Compare(a.inFlight, b.inFlight) })
	for _, s := range suspects {
		if _, held := l.verdicts[s.print]; held || s.count() < crashThreshold {
			continue
		}
		fresh = append(fresh, l.issueVerdict(now, s))
	}
	watched = l.watchSuspects(now)
	l.updateCounts()
	return fresh, watched
}

// explain attributes a crash to a verdict on what was in flight. The caller holds the lock.
func (l *Ledger) explain(c *crashRecord, flights []Flight) {
	for _, f := range flights {
		for _, p := range append([]Fingerprint{f.Print}, f.Parts...) {
			if v, held := l.verdicts[p]; held && c.cause == (Fingerprint{}) && v.names(f.Parts) {
				c.cause = p
			}
		}
	}
}

// blame adds a crash to a request's record. It returns nil if the request was answered recently.
func (l *Ledger) blame(now time.Time, e *crashRecord, f Flight) *suspect {
	if l.answered.Has(now, f.Print) {
		return nil
	}
	s := l.suspects[f.Print]
	if s == nil {
		s = &suspect{print: f.Print}
		l.suspects[f.Print] = s
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(x *crashRecord) bool { return now.Sub(x.at) >= suspectTTL })
	if !slices.Contains(s.crashes, e) {
		s.crashes = append(s.crashes, e)
		s.inFlight += f.For
	}
	s.lastSeen = now
	return s
}

// issueVerdict creates a verdict on a suspect.
func (l *Ledger) issueVerdict(now time.Time, s *suspect) Verdict {
	first := now
	for _, e := range s.crashes {
		if e.cause == (Fingerprint{}) && e.at.Before(first) {
			first = e.at
		}
	}
	v := newVerdict(now, s.print, s.count(), now.Sub(first))
	l.apply(v)
	return v
}

// apply stores a verdict, and marks the crashes that it explains. The caller holds the lock.
func (l *Ledger) apply(v Verdict) {
	if _, known := l.verdicts[v.Print]; !known && len(l.verdicts) >= maxVerdicts {
		l.evictSoonest()
	}
	l.verdicts[v.Print] = v
	l.updateCounts()
	for _, e := range l.crashesOf(v.Print) {
		if e.cause == (Fingerprint{}) {
			e.cause = v.Print
		}
	}
}

// Merge merges a verdict of another daemon. It reports whether the verdict is wrong because the
// request was answered here recently, or the verdict has ended.
func (l *Ledger) Merge(now time.Time, v Verdict) (wrong bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lazyInit()
	if l.answered.Has(now, v.Print) || l.hasEnded(now, v) {
		return true
	}
	if !v.Until.After(now) {
		return false
	}
	v = l.verdicts[v.Print].merge(v.bounded(now))
	if v.issued.IsZero() {
		v.issued = now
	}
	l.apply(v)
	return false
}

// Answered records a complete answer to a request, which shows that it doesn't crash endpoints. It
// reports whether to notify other daemons, because the request is held back or one crash short
// of it.
func (l *Ledger) Answered(now time.Time, p Fingerprint) (notify bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lazyInit()
	s := l.suspects[p]
	_, held := l.verdicts[p]
	l.clear(now, p)
	return held || s != nil && len(s.crashes) >= crashThreshold-1
}

// Clear records that a request was answered at another daemon.
func (l *Ledger) Clear(now time.Time, p Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lazyInit()
	l.clear(now, p)
}

func (l *Ledger) clear(now time.Time, p Fingerprint) {
	if _, held := l.verdicts[p]; held {
		l.release(now, p)
	}
	delete(l.suspects, p)
	l.answered.Add(now, p)
}

// Held returns the verdict on a content or a part, and whether it is in force.
func (l *Ledger) Held(now time.Time, p Fingerprint) (v Verdict, held bool) {
	if l.verdictCount.Load() == 0 {
		return Verdict{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	v, held = l.verdicts[p]
	return v, held && v.Until.After(now)
}

// HeldRequest returns the verdict by which a request with a content and parts of its prompt is held back, if there is one.
func (l *Ledger) HeldRequest(now time.Time, content Fingerprint, parts []Fingerprint) (v Verdict, held bool) {
	if v, held = l.Held(now, content); held {
		return v, true
	}
	for _, p := range parts {
		if v, held = l.Held(now, p); held && v.names(parts) {
			return v, true
		}
	}
	return Verdict{}, false
}

// Suspected returns the number of crashes that a request was in flight for and that no other request
// is known to have caused.
func (l *Ledger) Suspected(p Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[p]
	if s == nil {
		return 0
	}
	return s.count()
}

// Verdicts returns the verdicts in force, and deletes expired ones.
func (l *Ledger) Verdicts(now time.Time) []Verdict {
	if l.verdictCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Verdict, 0, len(l.verdicts))
	for p, v := range l.verdicts {
		if !v.Until.After(now) {
			delete(l.verdicts, p)
			continue
		}
		out = append(out, v)
	}
	l.updateCounts()
	return out
}

// evict deletes expired records, and the oldest suspects if there are too many. The caller holds the
// lock.
func (l *Ledger) evict(now time.Time) {
	l.evictParts(now)
	maps.DeleteFunc(l.crashes, func(_ string, e *crashRecord) bool { return now.Sub(e.at) >= dedupWindow })
	maps.DeleteFunc(l.suspects, func(_ Fingerprint, s *suspect) bool { return now.Sub(s.lastSeen) >= suspectTTL })
	if len(l.suspects) <= maxSuspects {
		return
	}
	oldest := slices.SortedFunc(maps.Values(l.suspects), func(a, b *suspect) int { return a.lastSeen.Compare(b.lastSeen) })
	for _, s := range oldest[:len(oldest)-maxSuspects/2] {
		delete(l.suspects, s.print)
	}
}

// evictSoonest deletes the verdict that expires first. The caller holds the lock.
func (l *Ledger) evictSoonest() {
	soonest := slices.MinFunc(slices.Collect(maps.Values(l.verdicts)), func(a, b Verdict) int { return a.Until.Compare(b.Until) })
	delete(l.verdicts, soonest.Print)
}
