// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"time"

	"streambend.example/mechanism"
)

const (
	// fewEndpoints is the number of endpoints up to which a plain call is routed by the expected time at each of
	// them. With more, one endpoint matters little, and computing the times would cost each call more than it saves.
	fewEndpoints = 32
	// assumedCallTime is the usual time of a plain call until the daemon has measured one.
	assumedCallTime = 50 * time.Millisecond
	// callLoadTime is the time constant of an endpoint's mean reported load, and callLoadWeight the most that one
	// report counts in it: a daemon may get a report only every few seconds, and the load at one moment differs
	// from the mean by about half of the mean.
	callLoadTime   = 3 * time.Second
	callLoadWeight = 0.25
	// callLoadDecay is the time constant with which the mean load of an endpoint without reports decays towards the
	// mean of all endpoints. Without it, an endpoint that was avoided for its load got no further call, and one
	// daemon alone left a quarter of its endpoints idle.
	callLoadDecay = 15 * time.Second
	// maxUtilization bounds the utilization in the expected wait, which is infinite at 1.
	maxUtilization = 0.95
)

const (
	// ownPrior is the weight, in calls, of the assumption that an endpoint takes the usual time, and ownHalfLife
	// the half-life of a call's weight: a daemon of many calls an endpoint once in seconds.
	ownPrior    = 2
	ownHalfLife = 30 * time.Second
	// waitedWeight is the weight of a call that may have waited for a slot.
	waitedWeight = 0.25
	// ownSampleMin and ownSampleMax bound a call's time relative to the usual one.
	ownSampleMin = 0.2
	ownSampleMax = 5
)

// callLoad is what this daemon's own calls tell about the time of a plain call at an endpoint.
type callLoad struct {
	mean   float64   // mean reported number of requests of all daemons, running and waiting
	last   int       // the last reported number
	at     time.Time // of the last report; zero for none
	fullAt time.Time // when the endpoint last refused a request as full

	weight  float64 // decayed weight of this daemon's calls
	logTime float64 // their weighted sum of the logarithm of the time relative to the usual one
	timedAt time.Time
}

// ensureCallLoad returns what calls tell about the endpoint, to be changed; the caller holds the lock.
func (t *Target) ensureCallLoad() *callLoad {
	if t.calls == nil {
		t.calls = &callLoad{}
	}
	return t.calls
}

// record adds a report. It comes with an answer and counts the answered request, which leaves the endpoint.
func (c *callLoad) record(now time.Time, load int) {
	others := float64(max(load-1, 0))
	c.last = load
	if c.at.IsZero() {
		c.mean, c.at = others, now
		return
	}
	weight := min(1-math.Exp(-now.Sub(c.at).Seconds()/callLoadTime.Seconds()), callLoadWeight)
	c.mean += weight * (others - c.mean)
	c.at = now
}

// RecordFull records that the endpoint has refused a request because its queue is full.
func (t *Target) RecordFull(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ensureCallLoad().fullAt = now
}

// RecordCall records the time of a successful plain call of this daemon, given the service's usual time.
func (t *Target) RecordCall(now time.Time, took, usual time.Duration) {
	if usual <= 0 || took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.ensureCallLoad()
	weight := 1.0
	if c.last > t.batch && now.Sub(c.at) < took {
		weight = waitedWeight
	}
	fade := math.Pow(0.5, now.Sub(c.timedAt).Seconds()/ownHalfLife.Seconds())
	sample := math.Min(math.Max(took.Seconds()/usual.Seconds(), ownSampleMin), ownSampleMax)
	c.weight = fade*c.weight + weight
	c.logTime = fade*c.logTime + weight*math.Log(sample)
	c.timedAt = now
}

// ownFactor returns the mean time of this daemon's calls at the endpoint relative to the usual time.
func (c *callLoad) ownFactor() float64 { return math.Exp(c.logTime / (c.weight + ownPrior)) }

// plainCandidate is an eligible endpoint for a plain call.
type plainCandidate struct {
	target   *Target
	callTime float64 // seconds
	slots    float64
	load     callLoad
	last     float64 // requests there by the last report and those sent since
	own      float64 // in-flight requests of this daemon
	ramp     float64
	weight   float64 // of a draw
	expected float64 // seconds
}

// plainCandidate returns the target's state for the choice of a plain call.
func (t *Target) plainCandidate(usual float64) plainCandidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var load callLoad
	if t.calls != nil {
		load = *t.calls
	}
	c := plainCandidate{
		target: t, callTime: usual * load.ownFactor(), slots: float64(t.batch), load: load,
		last: float64(t.reported + t.sentSinceReport), own: float64(t.ownLoad.Load()),
		ramp: math.Max(float64(math.Float32frombits(t.ramp.Load())), rampStart),
	}
	c.weight = c.slots / c.callTime * c.ramp
	return c
}

// full reports whether the endpoint had no room by what it last said within one call time.
func (c *plainCandidate) full(now time.Time) bool {
	if c.freshness(now) > 0 && c.last >= c.slots {
		return true
	}
	return !c.load.fullAt.IsZero() && now.Sub(c.load.fullAt).Seconds() < c.callTime
}

// freshness returns the weight of the last report against the mean load: it falls with the report's age, and is
// 0 after the time of one call, when the requests that it counted have ended.
func (c *plainCandidate) freshness(now time.Time) float64 {
	if c.load.at.IsZero() {
		return 0
	}
	return math.Max(0, 1-now.Sub(c.load.at).Seconds()/c.callTime)
}

// slotWait returns the expected wait for a slot while so many requests are at the endpoint.
func (c *plainCandidate) slotWait(load float64) float64 {
	return math.Max(0, load-c.slots+1) / c.slots * c.callTime
}

// meanWait returns the expected wait for a slot at an endpoint of which only the mean load is known. It is half
// of the wait in a queue with exponential service times, by Sakasegawa's approximation, as the calls of a
// service take similar times.
func (c *plainCandidate) meanWait(load float64) float64 {
	u := math.Min(load/c.slots, maxUtilization)
	wait := math.Pow(u, math.Sqrt(2*(c.slots+1))-1) / (1 - u) / 2
	return (wait + math.Max(0, load-maxUtilization*c.slots)) / c.slots * c.callTime
}

// Reasons for the choice of an endpoint by expected time.
const (
	whyFreshReport = "expected time, by a fresh report"
	whyMeanLoad    = "expected time, by mean load"
)

// choosePlain chooses the endpoint for a plain call by the expected time there: two endpoints are drawn in
// proportion to slots divided by call time, and the one with the less expected time is taken. The draws keep many
// daemons that know the same from choosing the same endpoint. If no endpoint has reported a load, counts of
// requests decide.
func (p *Pool) choosePlain(now time.Time, l *poolList, n Need) (Choice, bool) {
	if !n.Plain || len(l.all) > fewEndpoints || !n.Without.On(mechanism.CallTime) {
		return p.chooseTwo(l, n)
	}
	var buf [fewEndpoints]plainCandidate
	all := p.plainCandidates(now, buf[:0], l, n)
	if len(all) == 0 {
		return p.chooseTwo(l, n)
	}
	best := drawPlain(all, n.Draw)
	if other := drawPlain(all, mix(n.Draw, secondDrawSalt)); other.expected < best.expected {
		best = other
	}
	why := whyMeanLoad
	if best.freshness(now) > 0 {
		why = whyFreshReport
	}
	t := best.target
	return Choice{Target: t, Load: int(t.load.Load()), Why: why, Expected: time.Duration(best.expected * float64(time.Second))}, true
}

// plainCandidates appends the candidates for a plain call with their expected times; none if no endpoint has
// reported a load. Endpoints that were full within the last call time are left out while there are others.
func (p *Pool) plainCandidates(now time.Time, out []plainCandidate, l *poolList, n Need) []plainCandidate {
	usual := n.Service.Seconds()
	if usual <= 0 {
		usual = assumedCallTime.Seconds()
	}
	for _, t := range l.all {
		if t.eligible(n) {
			out = append(out, t.plainCandidate(usual))
		}
	}
	load, slots := 0.0, 0.0
	for i := range out {
		if c := &out[i]; !c.load.at.IsZero() {
			load += c.load.mean
			slots += c.slots
		}
	}
	if slots == 0 {
		return nil
	}
	if n.PreferNonReclaimable {
		bound := loadBound(l, n)
		out = preferPlain(out, func(c *plainCandidate) bool {
			return !c.target.Reclaimable && int(c.target.load.Load()) <= bound
		})
	}
	out = preferPlain(out, func(c *plainCandidate) bool { return !c.full(now) })
	for i := range out {
		c := &out[i]
		mean := load / slots * c.slots
		if !c.load.at.IsZero() {
			mean += math.Exp(-now.Sub(c.load.at).Seconds()/callLoadDecay.Seconds()) * (c.load.mean - mean)
		}
		fresh := c.freshness(now)
		c.expected = c.callTime + fresh*c.slotWait(math.Max(c.last, c.own)) + (1-fresh)*math.Max(c.meanWait(mean), c.slotWait(c.own))
		if c.target.Zone != p.Zone {
			c.expected += crossZoneSeconds
		}
	}
	return out
}

// preferPlain returns the candidates for which f holds, or all if there is none.
func preferPlain(in []plainCandidate, f func(*plainCandidate) bool) []plainCandidate {
	first := 0
	for i := range in {
		if f(&in[i]) {
			in[first], in[i] = in[i], in[first]
			first++
		}
	}
	if first == 0 {
		return in
	}
	return in[:first]
}

// drawPlain draws a candidate in proportion to the weights.
func drawPlain(in []plainCandidate, draw uint64) *plainCandidate {
	sum := 0.0
	for i := range in {
		sum += in[i].weight
	}
	left := float64(mix(draw, uint64(len(in)))>>11) / (1 << 53) * sum
	for i := range in {
		if left -= in[i].weight; left < 0 {
			return &in[i]
		}
	}
	return &in[len(in)-1]
}

// chooseTwo chooses the less loaded of two random endpoints of the availability zone, and spills to all
// zones if that one is over the load bound.
func (p *Pool) chooseTwo(l *poolList, n Need) (Choice, bool) {
	if n.PreferNonReclaimable {
		if c, ok := chooseNonReclaimable(l, n); ok {
			return c, true
		}
	}
	bound := loadBound(l, n)
	if t := lessLoadedOfTwo(l.zone, n); t != nil && int(t.load.Load()) <= bound {
		return Choice{Target: t, Load: int(t.load.Load()), Bound: bound, Why: "two choices in the zone"}, true
	}
	if t := lessLoadedOfTwo(l.all, n); t != nil && int(t.load.Load()) <= bound {
		return Choice{Target: t, Load: int(t.load.Load()), Bound: bound, Why: "two choices in all zones"}, true
	}
	c, ok := chooseLeast(l.all, n, "least loaded")
	c.Bound = bound
	return c, ok
}

// chooseNonReclaimable chooses the least loaded non-reclaimable box within the load bound, if there is one.
func chooseNonReclaimable(l *poolList, n Need) (Choice, bool) {
	bound := loadBound(l, n)
	best := leastLoaded(l.all, n, func(t *Target) bool { return !t.Reclaimable && int(t.load.Load()) <= bound })
	if best == nil {
		return Choice{}, false
	}
	return Choice{Target: best, Load: int(best.load.Load()), Bound: bound, Why: "not reclaimable"}, true
}

// lessLoadedOfTwo draws two endpoints at random and returns the less loaded eligible one, or nil.
func lessLoadedOfTwo(ts []*Target, n Need) *Target {
	if len(ts) == 0 {
		return nil
	}
	a, b := ts[pick(n.Draw, len(ts))], ts[pick(mix(n.Draw, secondDrawSalt), len(ts))]
	switch {
	case !a.eligible(n) && !b.eligible(n):
		return nil
	case !a.eligible(n):
		return b
	case !b.eligible(n) || a.rampedLoad() <= b.rampedLoad():
		return a
	default:
		return b
	}
}
