// SPDX-License-Identifier: MIT

package estimate

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxClasses is the number of size classes. Each holds sizes up to twice as large as the one before; the first holds
	// requests of unknown size.
	maxClasses = 24
	// leastSpan is the span of time whose requests say what a request takes surely.
	leastSpan = 10 * time.Second
	// peakSpan is the span of time in which the longest request counts for a bound.
	peakSpan = time.Minute
	// exceededSamples is how many requests have to have missed their deadline, and none ended, before that says what a
	// request takes surely.
	exceededSamples = 20
	// exceededFactor is the factor by which a request takes longer, at least, than those that had not ended at their deadline.
	exceededFactor = 1.05
)

// sizeClass returns the class of a size in tokens, 0 if it is not known.
func sizeClass(size int) int { return min(bits.Len(uint(max(size, 0))), maxClasses-1) }

// sizeTimes are the times of the requests of one size class, in seconds.
type sizeTimes struct {
	average
	size   float64 // mean size of the samples
	events float64 // mean number of events
	peak   recent[float64]
	least  recent[outcomes]
}

// outcomes sums up how requests ended.
type outcomes struct {
	ended    int
	fastest  float64 // of those that ended
	exceeded int     // requests that had not ended at their deadline
	longest  float64 // time that one of those had
}

func (o outcomes) add(p outcomes) outcomes {
	if o.ended == 0 || p.ended > 0 && p.fastest < o.fastest {
		o.fastest = p.fastest
	}
	o.ended += p.ended
	o.exceeded += p.exceeded
	o.longest = math.Max(o.longest, p.longest)
	return o
}

func (s *sizeTimes) record(now time.Time, x Sample, weight float64) {
	took := x.Took.Seconds()
	s.average.add(took, weight)
	s.size += (float64(x.Size) - s.size) / float64(s.samples)
	s.events += (float64(x.Events) - s.events) / float64(s.samples)
	s.peak.advance(now, peakSpan)
	s.peak.current = math.Max(s.peak.current, took)
	s.recordOutcome(now, outcomes{ended: 1, fastest: took})
}

func (s *sizeTimes) recordOutcome(now time.Time, o outcomes) {
	s.least.advance(now, leastSpan)
	s.least.current = s.least.current.add(o)
}

// surely returns what a request takes at least, 0 if it is not known.
func (s *sizeTimes) surely(now time.Time) float64 {
	s.least.advance(now, leastSpan)
	switch o := s.least.current.add(s.least.previous); {
	case o.ended > 0:
		return o.fastest
	case o.exceeded >= exceededSamples:
		return exceededFactor * o.longest
	}
	return 0
}

// bound returns what nearly all requests of the class take at most. With few samples it is further from their mean.
func (s *sizeTimes) bound(now time.Time) float64 {
	s.peak.advance(now, peakSpan)
	deviation := math.Max(s.deviation, s.mean/math.Sqrt(float64(s.samples)))
	peak := math.Max(s.peak.current, s.peak.previous)
	return math.Max(s.mean+boundDeviations*deviation, peak+deviation)
}

// scale returns how many times as large as the mean sample a size is, at least 1.
func (s *sizeTimes) scale(size int) float64 {
	if s.size == 0 {
		return 1
	}
	return math.Max(1, float64(size)/s.size)
}

// ofSize returns the times of the requests of a size.
func (r *routeTimes) ofSize(size int) *sizeTimes {
	s := &r.sizes[sizeClass(size)]
	if *s == nil {
		*s = &sizeTimes{}
	}
	return *s
}

// bound returns what nearly all requests of a size take at most; ok is false if it is not known. Where none of the size
// has ended, it follows from others: a smaller request does not take longer than a larger one, and the time of a larger
// one grows at most in proportion.
func (r *routeTimes) bound(now time.Time, size int) (seconds float64, ok bool) {
	class := sizeClass(size)
	if s := r.sizes[class]; s != nil && s.samples > 0 {
		return s.bound(now) * s.scale(size), true
	}
	if class == 0 {
		return 0, false
	}
	seconds = math.Inf(1)
	for c := class - 1; c > 0; c-- {
		if s := r.sizes[c]; s != nil && s.samples > 0 {
			seconds = s.bound(now) * s.scale(size)
			break
		}
	}
	for _, s := range r.sizes[class+1:] {
		if s != nil && s.samples > 0 {
			seconds = math.Min(seconds, s.bound(now))
			break
		}
	}
	return seconds, !math.IsInf(seconds, 1)
}
