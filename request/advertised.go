// SPDX-License-Identifier: MIT

package request

import (
	"sync"
	"sync/atomic"
	"time"

	"streambend.example/pace"
)

// advertisedState is the state that one instance of an endpoint advertises in its answers. It outlives the
// endpoint's registry entry, which may expire and return while the store is unavailable.
type advertisedState struct {
	requestingPermit atomic.Bool // a permit is being requested
	nextPermit       expiry      // no permit is available before then
	rateLimited      atomic.Bool // it advertises a rate limit
	backoff          expiry      // it asked this daemon to send nothing until then

	// othersBackoff is the same for other daemons. An endpoint that asks one daemon to back off usually
	// rejects the requests of all, and each of many daemons would lose a request to learn it.
	othersBackoff expiry

	mu     sync.Mutex
	limit  pace.Limit
	gap    time.Duration // approximate interval of this daemon's requests under the limit
	leaves bool
	bad    map[string]string // last invalid value of each kind
}

// expiry is an atomic expiry time. It includes the monotonic clock reading, so that a step of the wall
// clock neither ends nor prolongs it. The zero value has expired.
type expiry struct{ at atomic.Pointer[time.Time] }

func (m *expiry) set(t time.Time) { m.at.Store(&t) }

func (m *expiry) clear() { m.at.Store(nil) }

// extend sets the expiry unless the current one is later.
func (m *expiry) extend(t time.Time) {
	for {
		old := m.at.Load()
		if old != nil && !t.After(*old) || m.at.CompareAndSwap(old, &t) {
			return
		}
	}
}

// left returns the time until expiry, 0 if it has expired.
func (m *expiry) left(now time.Time) time.Duration {
	until := m.at.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// nothingAdvertised is the state of all endpoints that have advertised nothing. It is only read.
var nothingAdvertised advertisedState

// readAdvertised returns the endpoint's advertised state, to be read.
func (t *Target) readAdvertised() *advertisedState {
	if s := t.advertised.Load(); s != nil {
		return s
	}
	return &nothingAdvertised
}

// ensureAdvertised returns the endpoint's advertised state, to be changed.
func (t *Target) ensureAdvertised() *advertisedState {
	if s := t.advertised.Load(); s != nil {
		return s
	}
	t.advertised.CompareAndSwap(nil, &advertisedState{})
	return t.advertised.Load()
}

// Limit returns the rate limit that the endpoint advertises, in requests per second over all daemons.
func (t *Target) Limit() pace.Limit {
	s := t.readAdvertised()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// queuedBeside is the number of requests that may wait at an endpoint that must not reject any, so that its slots do
// not idle while a permit is on its way.
const queuedBeside = 1

// RecordLimit records the rate limit that an answer of the endpoint advertises, 0 for none, and whether it is brittle.
// It reports whether to announce it to other daemons.
func (t *Target) RecordLimit(perSecond float64, brittle bool) (l pace.Limit, tell bool) {
	room := 0
	if brittle {
		room = t.slots() + queuedBeside
	}
	s := t.ensureAdvertised()
	s.mu.Lock()
	defer s.mu.Unlock()
	l, tell = s.limit.Update(perSecond, room)
	s.set(l)
	return l, tell
}

// MergeLimit records a limit announced by another daemon, and reports whether it supersedes the known one.
func (t *Target) MergeLimit(l pace.Limit) bool {
	if !l.Supersedes(t.Limit()) {
		return false
	}
	s := t.ensureAdvertised()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.Supersedes(s.limit) {
		return false
	}
	s.set(l)
	return true
}

// set replaces the limit; the caller holds the lock. Without a limit, no wait for a permit remains.
func (s *advertisedState) set(l pace.Limit) {
	s.limit = l
	s.rateLimited.Store(l.Named())
	if !l.Named() {
		s.nextPermit.clear()
	}
}

// refuse records when a permit is available again after a refusal.
func (s *advertisedState) refuse(now time.Time, g pace.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit.Named() {
		s.gap = g.Interval
		s.nextPermit.set(now.Add(g.Wait))
	}
}

// recordInvalid records an invalid value, and reports whether it differs from the last one of its kind.
func (s *advertisedState) recordInvalid(b pace.InvalidValue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bad[b.What] == b.Value {
		return false
	}
	if s.bad == nil {
		s.bad = make(map[string]string)
	}
	s.bad[b.What] = b.Value
	return true
}

// permitTime is the approximate time that a request for a permit takes.
const permitTime = 10 * time.Millisecond

// acceptsFrom returns when the endpoint accepts a request according to its advertised state; shut is false if
// it does so now.
func (s *advertisedState) acceptsFrom(now time.Time) (at time.Time, shut bool) {
	wait := s.backoff.left(now)
	if s.rateLimited.Load() {
		wait = max(wait, s.nextPermit.left(now))
		if wait == 0 && s.requestingPermit.Load() {
			wait = permitTime
		}
	}
	return now.Add(wait), wait > 0
}

// sendInterval returns the interval of this daemon's requests under the limit, 0 for an endpoint without one.
func (s *advertisedState) sendInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.Named() {
		return 0
	}
	return s.gap
}

// Limited returns the number of endpoints that advertise a rate limit.
func (w *ServiceStates) Limited() (n int) {
	for _, k := range w.All() {
		for _, t := range k.Pool.Targets() {
			if t.readAdvertised().rateLimited.Load() {
				n++
			}
		}
	}
	return n
}

// stateMemorySize is the capacity of stateMemory.
const stateMemorySize = 1024

// stateMemory holds the advertised state of endpoints without a registry entry. The zero value is ready to
// use.
type stateMemory struct {
	byHash map[uint64]*advertisedState
}

// keep stores the state of an endpoint instance, nil for none; a full memory is emptied first.
func (m *stateMemory) keep(hash uint64, s *advertisedState) {
	if s == nil {
		return
	}
	if m.byHash == nil || len(m.byHash) >= stateMemorySize {
		m.byHash = make(map[uint64]*advertisedState)
	}
	m.byHash[hash] = s
}

// take removes and returns the stored state of an endpoint instance, nil for none.
func (m *stateMemory) take(hash uint64) *advertisedState {
	s := m.byHash[hash]
	delete(m.byHash, hash)
	return s
}

// FreeAt returns when the first of the endpoints that decline the request only by their advertised state
// will accept it, and the combined interval of this daemon's requests at them; ok is false if there is no
// such endpoint.
func (p *Pool) FreeAt(now time.Time, n Need) (at time.Time, gap time.Duration, ok bool) {
	perSecond := 0.0
	for _, t := range p.Targets() {
		if t.excluded.Load() || !t.takes(n.Trial) || !n.Binding.allows(t.Version) {
			continue
		}
		from, shut := t.readAdvertised().acceptsFrom(now)
		if !shut {
			continue
		}
		if !ok || from.Before(at) {
			at, ok = from, true
		}
		if g := t.readAdvertised().sendInterval(); g > 0 {
			perSecond += 1 / g.Seconds()
		}
	}
	if perSecond > 0 {
		gap = time.Duration(float64(time.Second) / perSecond)
	}
	return at, gap, ok
}

// retrySchedule schedules the retry times given to refused callers. The zero value is ready to use.
type retrySchedule struct {
	mu   sync.Mutex
	last time.Time
}

const (
	// maxRetryDelay is the maximum retry delay given to a caller; minRetryGap is the minimum interval of
	// retry times, so that refused callers do not return all at once.
	maxRetryDelay = time.Minute
	minRetryGap   = 2 * time.Millisecond
)

// next returns the retry time for one more caller: first for the first caller, and a gap later for each
// further one.
func (p *retrySchedule) next(now, first time.Time, gap time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := first
	if last := p.last.Add(max(gap, minRetryGap)); last.After(at) {
		at = last
	}
	if most := now.Add(maxRetryDelay); at.After(most) {
		return most
	}
	p.last = at
	return at
}
