// SPDX-License-Identifier: MIT

package estimate

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRoutes is the number of routes whose times are remembered, at some 350 bytes each and 200 for each size class
	// that occurs.
	maxRoutes = 1024
	// steadySamples is the number of samples up to which an average is the plain mean. Beyond it the weight of a
	// sample stays the same.
	steadySamples = 20
	// probeWeight is the weight of the sample of a probe, so that a few of them correct an estimate that refuses.
	probeWeight = 0.5
	// probeInterval is the interval of probes of a route.
	probeInterval = time.Second
	// boundDeviations is how many mean deviations above the mean a request may take by Bound.
	boundDeviations = 3
)

// Times holds the times that the requests of one service took. The zero value is ready to use; it is safe for
// concurrent use.
type Times struct {
	mu     sync.Mutex
	all    average
	routes *simplelru.LRU[string, *routeTimes]
}

// routeTimes are the times of one route.
type routeTimes struct {
	average
	sizes  [maxClasses]*sizeTimes // by size class; nil before the first request
	probed time.Time              // the last probe
}

// average is a mean with its mean deviation, in seconds.
type average struct {
	samples   int
	mean      float64
	deviation float64
	square    float64 // mean of the squares
}

func (a *average) add(x, weight float64) {
	a.samples = min(a.samples+1, steadySamples)
	weight = math.Max(weight, 1/float64(a.samples))
	if a.samples > 1 {
		a.deviation += weight * (math.Abs(x-a.mean) - a.deviation)
	}
	a.mean += weight * (x - a.mean)
	a.square += weight * (x*x - a.square)
}

// spread returns the standard deviation as a share of the mean.
func (a *average) spread() float64 {
	if a.mean <= 0 {
		return 0
	}
	return math.Sqrt(math.Max(a.square-a.mean*a.mean, 0)) / a.mean
}

func (a *average) time() time.Duration { return duration(a.mean) }

// duration converts seconds.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// route returns the times of a route, and remembers it; the caller holds the lock.
func (t *Times) route(name string) *routeTimes {
	if t.routes == nil {
		t.routes, _ = simplelru.NewLRU[string, *routeTimes](maxRoutes, nil) // fails only for a size below 1
	}
	r, ok := t.routes.Get(name)
	if !ok {
		r = &routeTimes{}
		t.routes.Add(name, r)
	}
	return r
}

// Sample is a request that has ended well.
type Sample struct {
	Size   int // in tokens; 0 if it is not known
	Took   time.Duration
	Events int  // of a stream
	Probe  bool // Probe has let it through
}

// Record records a request of a route.
func (t *Times) Record(now time.Time, route string, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	weight := 0.0
	if s.Probe {
		weight = probeWeight
	}
	r := t.route(route)
	r.add(s.Took.Seconds(), weight)
	r.ofSize(s.Size).record(now, s, weight)
	t.all.add(s.Took.Seconds(), weight)
}

// RecordExceeded records that a request had not ended at its deadline; given is the time that it had from when it was sent.
func (t *Times) RecordExceeded(now time.Time, route string, size int, given time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.route(route).ofSize(size).recordOutcome(now, outcomes{exceeded: 1, longest: given.Seconds()})
}

// Expect returns the mean time of a route's requests, 0 if it is not known.
func (t *Times) Expect(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.route(route).time()
}

// Usual returns the mean time of a route's requests, or of all routes' if that is not known; 0 if there is none.
func (t *Times) Usual(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.route(route); r.samples > 0 {
		return r.time()
	}
	return t.all.time()
}

// Steady returns the mean time of a route's requests once it rests on enough samples, 0 before.
func (t *Times) Steady(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.route(route); r.samples == steadySamples {
		return r.time()
	}
	return 0
}

// Spread returns the standard deviation of the times of a route's requests as a share of their mean.
func (t *Times) Spread(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.route(route).spread()
}

// Least returns the time that a request of a size surely takes, 0 if it is not known.
func (t *Times) Least(now time.Time, route string, size int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return duration(t.route(route).ofSize(size).surely(now))
}

// Bound returns a time within which nearly all requests of a route and size end; ok is false if it is not known.
func (t *Times) Bound(now time.Time, route string, size int) (bound time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seconds, ok := t.route(route).bound(now, size)
	return duration(seconds), ok
}

// Events returns the mean number of events of the streams of a route and size, 0 if it is not known.
func (t *Times) Events(route string, size int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.route(route).ofSize(size).events
}

// Probe reports whether a request that only its expected time refuses is let through, so that the time can be learned
// anew.
func (t *Times) Probe(now time.Time, route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.route(route)
	if !r.probed.IsZero() && now.Sub(r.probed) < probeInterval {
		return false
	}
	r.probed = now
	return true
}
