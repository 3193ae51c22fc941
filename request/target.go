// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Class is the load class of an endpoint, as exchanged between daemons.
type Class int

// The load classes.
const (
	Unknown Class = iota
	Idle
	Normal
	Busy
	Full
	Leaving
)

// String returns the class's name.
func (c Class) String() string {
	return [...]string{"unknown", "idle", "normal", "busy", "full", "leaving"}[c]
}

// classBounds are the load-to-batch ratios at which Normal, Busy and Full begin.
var classBounds = [...]float64{0.25, 0.75, 1}

// classHysteresis is the hysteresis: how far the ratio must fall below a bound before the class drops.
const classHysteresis = 0.1

// ClassOf returns the class of a load. The class drops only once the load is clearly below a bound, so that
// a load near a bound does not make it oscillate.
func ClassOf(before Class, load, batch int) Class {
	if batch <= 0 {
		return Unknown
	}
	share := float64(load) / float64(batch)
	c := Idle
	for i, b := range classBounds {
		if before > Idle+Class(i) && before <= Full {
			b -= classHysteresis
		}
		if share >= b {
			c = Normal + Class(i)
		}
	}
	return c
}

// assumedLoadShare is the load-to-batch ratio assumed for each class if no number is known.
var assumedLoadShare = [...]float64{0.5, 0.1, 0.5, 0.9, 1.3, 1}

// Target is this daemon's view of one instance (one process start) of an endpoint.
type Target struct {
	Endpoint
	hash         uint64
	ownLoad      atomic.Int32                    // in-flight requests of this daemon
	poolLoad     *atomic.Int64                   // the same at all endpoints of the pool
	load         atomic.Int32                    // estimated in-flight requests of all daemons
	excluded     atomic.Bool                     // excluded from routing: leaving or ejected
	softEjected  atomic.Bool                     // ejected only because requests failed that it had accepted
	ramp         atomic.Uint32                   // share of the load bound allowed after an ejection, as float bits
	advertised   atomic.Pointer[advertisedState] // nil before it has advertised anything
	backlog      Backlog
	holds        *slotTimeModel // of the service
	places       SlotUsage      // slots used by other daemons
	hasCompleted atomic.Bool    // it has completed a request of this daemon
	goneAt       atomic.Int64   // when it was excluded as ended, in Unix nanoseconds; 0 if it is not
	superseded   atomic.Bool    // the endpoint has restarted since
	role         atomic.Int32   // rollout.Role of its version
	resting      atomic.Bool    // canary instance without traffic, as others suffice for the evaluation
	sentDecayed  atomic.Uint32  // decaying count of requests sent by this daemon, as float bits

	mu              sync.Mutex
	class           Class
	batch           int
	reported        int
	reportedAt      time.Time            // of the report
	reportTTL       time.Duration        // validity of the report
	sentSinceReport int                  // requests sent since the report
	deadline        time.Time            // of a leaving box
	failures        int                  // consecutive failures
	ejectedUntil    time.Time            // end of the ejection
	ejectedFor      time.Duration        // length of the last ejection
	meanPace        float64              // moving average of the time per token, or per plain call, relative to the usual one
	paceSamples     int                  // answers in meanPace
	calls           *callLoad            // what load reports tell about plain calls; nil before the first report or call
	flights         map[*Flight]struct{} // nil before the first one
}

// A load report from the endpoint is valid for loadReportTTL. A class from another daemon is valid for
// announcementTTL, as daemons only announce changes. Older values decay towards the load assumed of an
// unknown endpoint, never towards idle.
const (
	loadReportTTL   = 5 * time.Second
	announcementTTL = 5 * time.Minute
)

// newTarget returns the view of an endpoint without any report.
func newTarget(e Endpoint, batch int, p *Pool, s *advertisedState) *Target {
	if e.Slots > 0 {
		batch = e.Slots
	}
	t := &Target{
		Endpoint: e, hash: e.Hash(), batch: max(batch, 1), poolLoad: &p.inFlight,
		backlog: newBacklog(&p.cost, e.Memory), holds: &p.holds,
	}
	t.advertised.Store(s)
	t.ramp.Store(math.Float32bits(1))
	return t
}

// Report records a load report of the endpoint.
func (t *Target) Report(now time.Time, load, batch int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if batch > 0 {
		t.batch = batch
	}
	t.ensureCallLoad().record(now, load)
	t.reported, t.reportedAt, t.sentSinceReport, t.reportTTL = load, now, 0, loadReportTTL
	if t.class != Leaving {
		t.class = ClassOf(t.class, load, t.batch)
	}
	t.estimate(now)
}

// RecordClass records the class announced by another daemon. It does not replace a fresh load report.
func (t *Target) RecordClass(now time.Time, c Class) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := t.reportTTL == loadReportTTL && now.Sub(t.reportedAt) < loadReportTTL/2
	if t.class == Leaving || c == Leaving || fresh {
		return
	}
	t.class = c
	t.reported, t.reportedAt, t.sentSinceReport, t.reportTTL = int(assumedLoadShare[c]*float64(t.batch)), now, 0, announcementTTL
	t.estimate(now)
}

// Class returns the load class and the estimated load at now.
func (t *Target) Class(now time.Time) (Class, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimate(now)
	if now.Sub(t.reportedAt) > 2*t.reportTTL && t.class != Leaving {
		return Unknown, int(t.load.Load())
	}
	return t.class, int(t.load.Load())
}

// reportAge returns the age of the last load report, negative if there was none.
func (t *Target) reportAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reportedAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.reportedAt)
}

// reportedFull reports whether the endpoint is full according to a recent load report or announcement.
func (t *Target) reportedFull(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.class == Full && now.Sub(t.reportedAt) < loadReportTTL
}

// estimate updates load; the caller holds the lock.
func (t *Target) estimate(now time.Time) {
	est := float64(t.reported + t.sentSinceReport)
	if age := now.Sub(t.reportedAt); age > t.reportTTL {
		w := math.Min(1, float64(age-t.reportTTL)/float64(t.reportTTL+1))
		unknown := assumedLoadShare[Unknown] * float64(t.batch)
		est = (1-w)*est + w*math.Max(est, unknown)
	}
	t.load.Store(max(int32(est), t.ownLoad.Load()))
}

// Begin counts a request sent by this daemon and registers its Flight, if any.
func (t *Target) Begin(f *Flight) {
	t.ownLoad.Add(1)
	t.poolLoad.Add(1)
	t.load.Add(1)
	t.addSent(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentSinceReport++
	if f == nil {
		return
	}
	if t.flights == nil {
		t.flights = make(map[*Flight]struct{})
	}
	t.flights[f] = struct{}{}
}

// recentlySent returns the decaying count of requests sent by this daemon.
func (t *Target) recentlySent() float64 { return float64(math.Float32frombits(t.sentDecayed.Load())) }

func (t *Target) addSent(n float64) {
	for {
		old := t.sentDecayed.Load()
		if t.sentDecayed.CompareAndSwap(old, math.Float32bits(math.Float32frombits(old)+float32(n))) {
			return
		}
	}
}

// End reverses Begin once the request has ended.
func (t *Target) End(f *Flight) {
	t.ownLoad.Add(-1)
	t.poolLoad.Add(-1)
	t.load.Add(-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sentSinceReport > 0 {
		t.sentSinceReport--
	} else if t.reported > 0 {
		t.reported--
	}
	if f != nil {
		delete(t.flights, f)
	}
}

// Leave marks the endpoint as leaving at a deadline. It reports whether that is new, and returns the
// in-flight requests.
func (t *Target) Leave(deadline time.Time) (flights []*Flight, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.class == Leaving {
		return nil, false
	}
	t.class, t.deadline = Leaving, deadline
	t.softEjected.Store(false)
	t.excluded.Store(true)
	for f := range t.flights {
		flights = append(flights, f)
	}
	return flights, true
}

// errRestarted ends an attempt whose endpoint has restarted: the new instance does not know the request.
var errRestarted = errors.New("request: endpoint restarted")

// end excludes an instance that has been replaced and cancels its in-flight requests.
func (t *Target) end() {
	t.superseded.Store(true)
	t.softEjected.Store(false)
	t.excluded.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.flights {
		f.cancel(errRestarted)
	}
}

// Leaving reports whether the endpoint is leaving, and its deadline.
func (t *Target) Leaving() (deadline time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deadline, t.class == Leaving
}

// Parameters of ejection (outlier detection).
const (
	ejectAfter = 3 // consecutive failures
	ejectMin   = time.Second
	ejectMax   = 30 * time.Second
	rampStart  = 0.1 // initial share of the load bound after an ejection
	rampFactor = 1.5 // factor on that share per success
)

// Fail counts a failure and reports whether it ejects the endpoint. A hard failure, such as a refused
// connection, ejects at once. Each further ejection is twice as long, up to ejectMax.
func (t *Target) Fail(now time.Time, hard bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
	if !hard && t.failures < ejectAfter {
		return false
	}
	t.eject(now, hard)
	return true
}

// FailAtOnce is Fail for a failure by which the endpoint would harm this daemon again.
func (t *Target) FailAtOnce(now time.Time, hard bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eject(now, hard)
	return true
}

// eject ejects the endpoint, each time for twice as long; the caller holds the lock.
func (t *Target) eject(now time.Time, hard bool) {
	t.ejectedFor = min(max(2*t.ejectedFor, ejectMin), ejectMax)
	t.excludeUntil(now.Add(t.ejectedFor))
	t.failures = 0
	t.softEjected.Store(!hard)
	t.excluded.Store(true)
}

// excludeUntil extends the exclusion to the given time and never shortens it; the caller holds the lock.
func (t *Target) excludeUntil(until time.Time) {
	if until.After(t.ejectedUntil) {
		t.ejectedUntil = until
	}
}

// Succeed counts a success: it resets the failure count and raises the ramp of an endpoint that has
// returned from ejection.
func (t *Target) Succeed() {
	t.hasCompleted.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	r := math.Min(1, float64(math.Float32frombits(t.ramp.Load()))*rampFactor)
	t.ramp.Store(math.Float32bits(float32(r)))
	if r >= 1 {
		t.ejectedFor = 0
	}
}

// Answered reports whether the endpoint has ever completed a request of this daemon.
func (t *Target) Answered() bool { return t.hasCompleted.Load() }

// An endpoint is slow if the average over at least slowMinAnswers answers exceeds slowFactor times the usual time per
// token, or that of the calls' routes. A full batch is about twice as slow as an empty one. Where the usual times spread, the
// average takes more answers: a few slow calls in a row do not make the endpoint of a route with slow and quick ones slow.
const (
	slowMinAnswers = 4
	slowFactor     = 4
	maxPaceRatio   = 2 * slowFactor // bounds the effect of a single answer
)

// RecordPace records the time per token (or per plain call) of a complete answer, and reports whether the
// endpoint is ejected as slow compared with the usual value, 0 if that is not known, whose standard deviation is spread
// times as large.
func (t *Target) RecordPace(now time.Time, pace, usual time.Duration, spread float64) bool {
	if usual <= 0 {
		return false
	}
	t.mu.Lock()
	t.paceSamples++
	need := int(math.Ceil(slowMinAnswers * math.Max(1, spread*spread)))
	ratio := math.Min(pace.Seconds()/usual.Seconds(), maxPaceRatio)
	t.meanPace += (ratio - t.meanPace) / float64(min(t.paceSamples, need))
	slow := t.paceSamples >= need && t.meanPace > slowFactor
	if slow {
		t.meanPace, t.paceSamples = 0, 0
	}
	t.mu.Unlock()
	return slow && t.Fail(now, true)
}

// Return readmits an endpoint whose ejection is over, at the start of its ramp, and reports whether it did.
func (t *Target) Return(now time.Time) bool {
	if !t.excluded.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.class == Leaving || now.Before(t.ejectedUntil) {
		return false
	}
	t.ramp.Store(math.Float32bits(rampStart))
	t.excluded.Store(false)
	t.goneAt.Store(0)
	return true
}

// Ejected reports whether the endpoint is excluded for a reason other than leaving.
func (t *Target) Ejected() bool {
	_, leaving := t.Leaving()
	return t.excluded.Load() && !leaving
}
