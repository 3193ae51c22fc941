// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

// Limiter is an adaptive concurrency limit (AIMD) on the requests of a service that this daemon has at the
// endpoints. It grows while first tokens arrive in time and shrinks when they do not, so that the daemons
// converge on shares of the endpoints' capacity without coordination, and requests wait in the fair queues.
type Limiter struct {
	mu           sync.Mutex
	limit        float64
	maxLimit     float64
	target       time.Duration
	base         time.Duration // time to first token at an idle endpoint
	lastDecrease time.Time
}

const (
	minLimit         = 2
	decreaseFactor   = 0.85                   // factor of a decrease
	increaseStep     = 1.0                    // increase per as many timely answers as the limit
	decreaseInterval = 500 * time.Millisecond // minimum time between decreases
	targetShare      = 0.25                   // share of the target allowed for the wait at an endpoint
	baseMultiple     = 3                      // multiple of the base allowed for that wait, if longer
)

// NewLimiter returns a limiter that starts at the given limit.
func NewLimiter(start int, target time.Duration) *Limiter {
	return &Limiter{limit: float64(max(start, minLimit)), maxLimit: math.Inf(1), target: target}
}

// SetCapacity sets the total concurrency of all endpoints, which bounds the limit. At the first call, the
// limit starts at this daemon's even share.
func (l *Limiter) SetCapacity(batch, daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if math.IsInf(l.maxLimit, 1) {
		l.limit = math.Max(minLimit, float64(batch)/float64(max(daemons, 1)))
	}
	l.maxLimit = float64(max(batch, minLimit))
	l.limit = math.Min(l.limit, l.maxLimit)
}

// Fix sets a constant limit, for comparison with the adaptive one.
func (l *Limiter) Fix(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.maxLimit = float64(limit), float64(limit)
}

// Allowed returns the current limit.
func (l *Limiter) Allowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Sample updates the limit from the time that an endpoint took to begin an answer, without the prompt's
// prefill, while running requests were at the endpoints.
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
			l.limit = math.Min(l.maxLimit, l.limit+increaseStep/l.limit)
		}
		return
	}
	l.decrease(now)
}

// Overload decreases the limit after an endpoint refused work.
func (l *Limiter) Overload(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decrease(now)
}

func (l *Limiter) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = math.Max(minLimit, l.limit*decreaseFactor)
}

// Speed holds moving averages of the speed of a service's engines.
type Speed struct {
	mu      sync.Mutex
	token   float64 // seconds between two tokens
	first   float64 // seconds to the first token without prefill
	prefill float64 // prompt tokens per second
}

const speedWeight = 0.05

func updateAverage(avg *float64, v float64) {
	if *avg == 0 {
		*avg = v
		return
	}
	*avg += speedWeight * (v - *avg)
}

// Answered records a complete answer; fresh is the number of prompt tokens that were not cached.
func (s *Speed) Answered(first, total time.Duration, tokens, fresh int) {
	if tokens == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens > 1 {
		updateAverage(&s.token, (total-first).Seconds()/float64(tokens-1))
	}
	if fresh >= 64 && first > 0 {
		updateAverage(&s.prefill, float64(fresh)/first.Seconds())
	} else {
		updateAverage(&s.first, first.Seconds())
	}
}

// Expect returns the expected service time of an answer with so many tokens, 0 if it is to have none.
func (s *Speed) Expect(tokens, prompt int) time.Duration {
	if tokens == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sec := s.first + float64(tokens)*s.token
	if s.prefill > 0 {
		sec += 0.5 * float64(prompt) / s.prefill
	}
	return time.Duration(sec * float64(time.Second))
}

// Pace returns the usual time per token, 0 while there is no answer.
func (s *Speed) Pace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.token * float64(time.Second))
}

// Prefill returns the prefill rate in prompt tokens per second, or 0 if not known.
func (s *Speed) Prefill() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefill
}
