// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"

	"streambend.example/version"
)

// Quotas hold a token bucket for each team, over all daemons: what others have
// admitted is taken from it as soon as their word comes.
type Quotas struct {
	first bool // nothing was admitted before this process

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	level float64
	at    time.Time
	rate  float64
	burst float64
}

// NewQuotas returns quotas of which nothing is used; first tells that the whole
// system has just begun.
func NewQuotas(first bool) *Quotas { return &Quotas{first: first, buckets: make(map[string]*bucket)} }

// restartShare is the part of a bucket that a process finds which does not know
// what was admitted before it: daemons that die again and again must not hand
// the whole burst out each time. Of that it takes its share.
const restartShare = 0.5

// debtSeconds bounds how far a bucket goes below zero, as seconds of its rate: what was
// admitted at once everywhere is paid back, but not for ever. At eight times a limit, heard
// of after 0.8 s, that is 4.6 s of the rate.
const debtSeconds = 6

// leastWait is the least time after which a caller that is over a limit is told to come back: of a
// bucket that lacked a part of a unit it was none, and the answer had no Retry-After.
const leastWait = time.Millisecond

// shortShare is the share of a bucket below which its team is likely to be refused soon.
const shortShare = 0.5

// bucket brings a team's bucket up to now; share is the part of the limit that
// this daemon may use. The caller holds the lock.
func (q *Quotas) bucket(now time.Time, t *version.Tenant, share float64) *bucket {
	b := q.buckets[t.Name]
	if b == nil {
		b = &bucket{level: t.Burst, at: now, rate: t.Rate, burst: t.Burst}
		if !q.first {
			b.level *= restartShare * share
		}
		q.buckets[t.Name] = b
	}
	if b.rate != t.Rate || b.burst != t.Burst {
		b.rate, b.burst = t.Rate, t.Burst
		b.level = min(b.level, t.Burst)
	}
	if dt := now.Sub(b.at); dt > 0 {
		b.level = min(b.level+dt.Seconds()*b.rate*share, b.burst)
		b.at = now
	}
	return b
}

// Admit takes the units of a request from its team's bucket. If it does not hold
// them it returns when it will.
func (q *Quotas) Admit(now time.Time, t *version.Tenant, units, share float64) (wait time.Duration, ok bool) {
	if t.Rate <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, t, share)
	// A request larger than the whole bucket passes when it is full.
	need := min(units, b.burst)
	if b.level < need {
		// By the rate of all daemons: the caller comes back to any of them, and a small
		// share is one that is soon put right.
		return max(time.Duration((need-b.level)/max(b.rate, 1)*float64(time.Second)), leastWait), false
	}
	b.level -= units
	return 0, true
}

// Return gives back what a request that has not run had taken.
func (q *Quotas) Return(t *version.Tenant, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[t.Name]; b != nil {
		b.level = min(b.level+units, b.burst)
	}
}

// Short reports whether some team is near its limit, or over it.
func (q *Quotas) Short(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.buckets {
		if b.rate > 0 && b.level+now.Sub(b.at).Seconds()*b.rate < shortShare*b.burst {
			return true
		}
	}
	return false
}

// Levels returns what the buckets of teams hold, by team.
func (q *Quotas) Levels(now time.Time, teams []version.Tenant, share float64) map[string]int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]int64, len(teams))
	for i := range teams {
		if t := &teams[i]; t.Rate > 0 {
			out[t.Name] = int64(q.bucket(now, t, share).level)
		}
	}
	return out
}

// Adopt takes over the levels of a daemon that has been at work, which has counted what
// this one has admitted so far.
func (q *Quotas) Adopt(now time.Time, teams []version.Tenant, levels map[string]int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range teams {
		if level, ok := levels[t.Name]; ok {
			q.buckets[t.Name] = &bucket{level: min(float64(level), t.Burst), at: now, rate: t.Rate, burst: t.Burst}
		}
	}
}

// Others takes from a team's bucket what other daemons have admitted.
func (q *Quotas) Others(now time.Time, t *version.Tenant, units, share float64) {
	if t.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, t, share)
	b.level = min(max(b.level-units, -debtSeconds*b.rate), b.burst)
}
