// SPDX-License-Identifier: MIT

package estimate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/estimate"
)

const ms = time.Millisecond

// callers sends requests to a route over a span, and returns how many are sent and served. A request is served if its
// route takes less than its timeout, and refused at once if only its estimate says that it does not.
func callers(times *estimate.Times, began time.Time, route string, perSecond int, takes, timeout, span time.Duration) (sent, served int) {
	for now := began; now.Before(began.Add(span)); now = now.Add(time.Second / time.Duration(perSecond)) {
		sent++
		refused := times.Least(now, route, 0) > timeout
		if refused && !times.Probe(now, route) {
			continue
		}
		if takes < timeout {
			served++
			times.Record(now, route, estimate.Sample{Took: takes, Probe: refused})
		}
	}
	return sent, served
}

// A route that is faster than the others of its service was refused, by their mean time.
func TestARouteIsNotRefusedByTheTimesOfOthers(t *testing.T) {
	var times estimate.Times
	began := time.Unix(1000, 0)
	callers(&times, began, "slow", 10, 240*ms, 800*ms, 10*time.Second)
	sent, served := callers(&times, began, "fast", 10, 10*ms, 200*ms, 10*time.Second)
	assert.Equal(t, sent, served)
}

// A route was refused for ever once its mean time had passed its timeout.
func TestARouteThatWasSlowIsServedAgain(t *testing.T) {
	for _, perSecond := range []int{1, 10, 200} {
		var times estimate.Times
		began := time.Unix(1000, 0)
		callers(&times, began, "a", perSecond, 2*time.Second, 4*time.Second, 30*time.Second)
		_, served := callers(&times, began.Add(time.Minute), "a", perSecond, 10*ms, 200*ms, 10*time.Second)
		assert.GreaterOrEqual(t, served, 5*perSecond, "%d a second", perSecond)
		_, probes := callers(&times, began.Add(2*time.Minute), "a", perSecond, time.Second, 200*ms, 10*time.Second)
		assert.Zero(t, probes)
	}
}

// A bound that holds for half of the requests would let the others be cut at the end of a planned stop.
func TestNearlyAllRequestsEndWithinTheBound(t *testing.T) {
	for _, samples := range []int{1, 3, 20, 200} {
		var times estimate.Times
		now := time.Unix(1000, 0)
		_, ok := times.Bound(now, "a", 0)
		assert.False(t, ok)
		draw, beyond := uint64(1), 0
		next := func() time.Duration { // evenly from 0.4 to 1.6 s
			draw = draw*6364136223846793005 + 1442695040888963407
			return 400*ms + time.Duration(draw>>33%1200)*ms
		}
		for range samples {
			times.Record(now, "a", estimate.Sample{Took: next()})
		}
		bound, ok := times.Bound(now, "a", 0)
		assert.True(t, ok)
		for range 1000 {
			if next() > bound {
				beyond++
			}
		}
		assert.LessOrEqual(t, beyond, 100, "%d samples", samples)
		assert.Less(t, bound, 7*time.Second, "%d samples", samples)
	}
}

func TestTheUsualTimeOfAnUnknownRouteIsThatOfAll(t *testing.T) {
	var times estimate.Times
	assert.Zero(t, times.Usual("a"))
	times.Record(time.Unix(1000, 0), "a", estimate.Sample{Took: 100 * ms})
	assert.Equal(t, 100*ms, times.Usual("b"))
	assert.Zero(t, times.Expect("b"))
}

// A single answer does not establish the usual time, by which endpoints are ejected as slow.
func TestASteadyTimeNeedsSeveralAnswers(t *testing.T) {
	var times estimate.Times
	times.Record(time.Unix(1000, 0), "a", estimate.Sample{Took: 5 * ms})
	assert.Zero(t, times.Steady("a"))
	for range 30 {
		times.Record(time.Unix(1000, 0), "a", estimate.Sample{Took: 60 * ms})
	}
	assert.InDelta(t, 60, times.Steady("a").Milliseconds(), 5)
}
