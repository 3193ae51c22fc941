// SPDX-License-Identifier: MIT

package quota

import (
	"sync"
	"time"
)

// Limit is the limit of a team over all daemons.
type Limit struct {
	Team  string
	Rate  float64 // units per second; 0 for no limit
	Burst float64 // capacity of the bucket
}

// Buckets holds a token bucket for each team: the exact one at the owner of the team's limit, and a copy at the other
// daemons, which is charged with what others have admitted as soon as that is known.
type Buckets struct {
	first bool // nothing was admitted before this process started

	mu      sync.Mutex
	buckets map[string]*bucket
	shares  map[string]*bucket // even shares, used while no owner is reached
}

type bucket struct {
	began time.Time // when this process made it
	level float64
	at    time.Time
	rate  float64
	burst float64

	owner     bool      // the level is that of the real bucket, as this daemon grants
	exactAt   time.Time // when a copy was last exact
	grantedAt time.Time // last grant of the owner
	ownedAt   time.Time // first grant of the owner
	unseen    float64   // units taken for admissions that are yet to be reported

	localSince         time.Time // start of the current localWindow
	local, localBefore float64   // units admitted without asking in it, and in the one before

	pending  map[string]pendingUnits // at the owner, by daemon
	bookings bookings                // at the owner
}

// New returns full buckets; first reports whether the whole system has just started.
func New(first bool) *Buckets {
	return &Buckets{first: first, buckets: make(map[string]*bucket), shares: make(map[string]*bucket)}
}

// restartFraction is the fraction of its share of a bucket that a process starts with if it does not know what
// was admitted before: daemons that crash repeatedly must not grant the whole burst each time.
const restartFraction = 0.5

// maxDebtSeconds bounds how far a bucket falls below zero, in seconds of its rate: what all daemons admitted
// at the same time is paid back, but not indefinitely. At eight times a limit and a delay of 0.8 s the debt
// is 4.6 s.
const maxDebtSeconds = 6

// minRetryAfter is the shortest wait reported to a caller over its limit. If a bucket lacked a fraction of a
// unit, the wait was zero and the answer had no Retry-After.
const minRetryAfter = time.Millisecond

// nearLimitFraction is the fill level, as a fraction of the burst, below which refusals are likely soon.
const nearLimitFraction = 0.5

// bucket returns a team's bucket, refilled up to now; share is the fraction of the limit that this daemon
// may use. The caller holds the lock.
func (q *Buckets) bucket(now time.Time, l Limit, share float64) *bucket {
	b := q.buckets[l.Team]
	if b == nil {
		b = &bucket{began: now, level: l.Burst, at: now, exactAt: now, rate: l.Rate, burst: l.Burst}
		if !q.first {
			b.level *= restartFraction * share
		}
		q.buckets[l.Team] = b
	}
	if b.rate != l.Rate || b.burst != l.Burst {
		level := b.usable()
		b.rate, b.burst = l.Rate, l.Burst
		b.level = min(level, l.Burst) + b.lead()
	}
	b.refill(now, share)
	return b
}

const (
	// reportLag is the usual time until the admissions of other daemons are reported.
	reportLag = 300 * time.Millisecond
	// ownerTTL is how long after its last grant a daemon keeps the exact bucket of an owner.
	ownerTTL = time.Second
	// unseenTTL is the longest time that a report takes.
	unseenTTL = time.Second
)

// lead is by how much a copy of the bucket is above the real one: refill comes at once, and the admissions of
// others a report's lag later.
func (b *bucket) lead() float64 {
	if b.owner {
		return 0
	}
	return b.rate * min(reportLag, b.at.Sub(b.exactAt)).Seconds()
}

// usable returns the level of the real bucket as far as it is known.
func (b *bucket) usable() float64 { return min(b.level-b.lead(), b.burst) }

// refill adds the units since the last update, up to the burst.
func (b *bucket) refill(now time.Time, share float64) {
	dt := now.Sub(b.at)
	if dt <= 0 {
		return
	}
	if b.owner && now.Sub(b.grantedAt) > ownerTTL {
		b.owner, b.exactAt = false, b.at
	}
	b.at = now
	if b.unseen > 0 && now.Sub(b.ownedAt) > unseenTTL {
		b.level += b.unseen
		b.unseen = 0
	}
	b.level = min(b.level+dt.Seconds()*b.rate*share, b.burst+b.lead())
}

// own makes the copy of the bucket the exact one of the owner. What others have admitted and not reported yet
// is taken from it at once; nothing if the bucket has been full.
func (b *bucket) own(now time.Time) {
	if !b.owner {
		lead := b.lead()
		b.unseen = min(lead, 2*(b.burst+lead-b.level))
		b.level = min(b.level-b.unseen, b.burst)
		b.owner, b.ownedAt = true, now
	}
	b.grantedAt = now
}

// charge takes units, or gives them back if negative.
func (b *bucket) charge(units float64) {
	b.level = min(max(b.level-units, -maxDebtSeconds*b.rate), b.burst+b.lead())
}

// chargeRemote takes the units that a daemon reports, but for those that were taken before.
func (b *bucket) chargeRemote(now time.Time, daemon string, units float64) {
	units = b.offset(now, daemon, units)
	if units > 0 {
		known := min(units, b.unseen)
		b.unseen -= known
		units -= known
	}
	b.charge(units)
}

// Return gives back the units of a request that did not run.
func (q *Buckets) Return(l Limit, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[l.Team]; b != nil {
		b.charge(-units)
	}
}

// NearLimit reports whether some team is near its limit or over it.
func (q *Buckets) NearLimit(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.buckets {
		if b.rate > 0 && b.usable()+now.Sub(b.at).Seconds()*b.rate < nearLimitFraction*b.burst {
			return true
		}
	}
	return false
}

// Levels returns the fill levels of the teams' buckets, for Adopt.
func (q *Buckets) Levels(now time.Time, limits []Limit, share float64) map[string]int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]int64, len(limits))
	for _, l := range limits {
		if l.Rate > 0 {
			out[l.Team] = int64(q.bucket(now, l, share).usable())
		}
	}
	return out
}

// Adopt takes over the levels of a daemon that has run for longer; they include what this daemon has
// admitted so far. What the others have admitted just now is in their first reports, which are only a baseline.
func (q *Buckets) Adopt(now time.Time, limits []Limit, levels map[string]int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range limits {
		if level, ok := levels[l.Team]; ok {
			b := q.bucket(now, l, 1)
			b.owner, b.unseen, b.pending, b.exactAt = false, 0, nil, now
			b.level = min(float64(level), l.Burst)
		}
	}
}

// ChargeRemote takes what another daemon has admitted from a team's bucket, but for what this daemon has granted
// to it. The daemon is empty for the sum of several.
func (q *Buckets) ChargeRemote(now time.Time, daemon string, l Limit, units, share float64) {
	if l.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, l, share)
	b.chargeRemote(now, daemon, units)
}
