// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

// Limiter finds how many requests of a service this daemon may have at the
// endpoints at once. It grows while first tokens come in time and shrinks
// when they do not, so that the daemons, without a word between them, come to
// shares of what the endpoints carry and the waiting happens in the fair
// queues.
type Limiter struct {
	mu      sync.Mutex
	limit   float64
	most    float64
	target  time.Duration
	base    time.Duration // a first token's time on an idle endpoint
	lastCut time.Time
}

const (
	limitLeast   = 2
	limitShrink  = 0.85
	limitGrowth  = 1.0 // per limit answers in time
	cutSpacing   = 500 * time.Millisecond
	targetShare  = 0.25 // of the target that waiting at an endpoint may take
	baseMultiple = 3    // of the base that waiting may take where that is more
)

// NewLimiter returns a limiter that starts at the given limit.
func NewLimiter(start int, target time.Duration) *Limiter {
	return &Limiter{limit: float64(max(start, limitLeast)), most: math.Inf(1), target: target}
}

// SetCapacity tells what all endpoints together run, and for how many daemons.
// It bounds the limit; the first time, the limit starts at an even share.
func (l *Limiter) SetCapacity(batch, daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if math.IsInf(l.most, 1) {
		l.limit = math.Max(limitLeast, float64(batch)/float64(max(daemons, 1)))
	}
	l.most = float64(max(batch, limitLeast))
	l.limit = math.Min(l.limit, l.most)
}

// Fix sets the limit for good, for comparison with one that adapts.
func (l *Limiter) Fix(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.most = float64(limit), float64(limit)
}

// Allowed returns how many requests may be at the endpoints.
func (l *Limiter) Allowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Sample takes in how long an endpoint took to begin an answer, beyond what
// computing its prompt takes, while running requests were there.
func (l *Limiter) Sample(now time.Time, took time.Duration, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base == 0 || took < l.base {
		l.base = took
	} else {
		l.base += (took - l.base) / 256
	}
	bound := max(time.Duration(targetShare*float64(l.target)), baseMultiple*l.base)
	if took <= bound {
		if float64(running) >= 0.8*l.limit {
			l.limit = math.Min(l.most, l.limit+limitGrowth/l.limit)
		}
		return
	}
	l.shrink(now)
}

// Overload takes in that an endpoint refused work.
func (l *Limiter) Overload(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shrink(now)
}

func (l *Limiter) shrink(now time.Time) {
	if now.Sub(l.lastCut) < cutSpacing {
		return
	}
	l.lastCut = now
	l.limit = math.Max(limitLeast, l.limit*limitShrink)
}

// Speed keeps measured speeds of a service as moving averages.
type Speed struct {
	mu      sync.Mutex
	token   float64 // seconds between two tokens
	first   float64 // seconds to the first token beyond the prompt's
	prefill float64 // prompt tokens a second
	whole   float64 // seconds of a plain call
	wholes  int     // plain calls that whole is made of, up to usualAfter
}

const (
	speedWeight = 0.05
	// usualAfter is how many plain calls tell what is usual: below it the mean of
	// all counts, above it the newest with speedWeight.
	usualAfter = int(1 / speedWeight)
)

func blend(avg *float64, v float64) {
	if *avg == 0 {
		*avg = v
		return
	}
	*avg += speedWeight * (v - *avg)
}

// Answered takes a whole answer in.
func (s *Speed) Answered(first, total time.Duration, tokens, fresh int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens == 0 {
		s.wholes = min(s.wholes+1, usualAfter)
		s.whole += (total.Seconds() - s.whole) / float64(s.wholes)
		return
	}
	if tokens > 1 {
		blend(&s.token, (total-first).Seconds()/float64(tokens-1))
	}
	if fresh >= 64 && first > 0 {
		blend(&s.prefill, float64(fresh)/first.Seconds())
	} else {
		blend(&s.first, first.Seconds())
	}
}

// Expect returns how long an answer of so many tokens takes at an endpoint.
func (s *Speed) Expect(tokens, prompt int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens == 0 {
		return time.Duration(s.whole * float64(time.Second))
	}
	sec := s.first + float64(tokens)*s.token
	if s.prefill > 0 {
		sec += 0.5 * float64(prompt) / s.prefill
	}
	return time.Duration(sec * float64(time.Second))
}

// Pace returns the usual time of a token, or of a plain call, or 0 while too few
// answers tell it.
func (s *Speed) Pace(plain bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if plain && s.wholes < usualAfter {
		return 0
	}
	if plain {
		return time.Duration(s.whole * float64(time.Second))
	}
	return time.Duration(s.token * float64(time.Second))
}

// Prefill returns the measured prompt tokens a second, or 0.
func (s *Speed) Prefill() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefill
}
