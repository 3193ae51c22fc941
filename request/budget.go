// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

// Retries is the retry budget of a service.
type Retries interface {
	// First counts the first attempt of a request.
	First(now time.Time)
	// Earn counts a complete answer.
	Earn()
	// Left reports whether one more retry is allowed.
	Left(now time.Time) bool
	// TakeSpare spends one retry on a request that its current endpoint may still answer, and reports
	// whether that is allowed.
	TakeSpare(now time.Time) bool
	// Spend spends one retry.
	Spend(now time.Time)
}

// Budget is a token bucket that limits retries to a share of the successes, so that many failures at once
// do not multiply the load.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	budgetShare    = 0.2 // tokens per success
	budgetCapacity = 100 // capacity in tokens
	budgetInitial  = 20  // initial tokens
)

// NewBudget returns a budget with its initial tokens.
func NewBudget() *Budget { return &Budget{tokens: budgetInitial} }

// First implements Retries; only successes count here.
func (b *Budget) First(time.Time) {}

// Earn adds the share of one success.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = math.Min(budgetCapacity, b.tokens+budgetShare)
}

// Left reports whether a retry is allowed.
func (b *Budget) Left(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// TakeSpare implements Retries.
func (b *Budget) TakeSpare(now time.Time) bool {
	if !b.Left(now) {
		return false
	}
	b.Spend(now)
	return true
}

// Spend implements Retries.
func (b *Budget) Spend(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = math.Max(0, b.tokens-1)
}

// RetryBound bounds the retries of a service over all daemons: in each Window at most Ratio times its
// requests, plus Slack.
type RetryBound struct {
	Ratio   float64
	Window  time.Duration
	Slack   float64
	Daemons func() int // number of daemons that share the slack
}

// usedSlackShare is the share of the slack that is used: a restarted daemon does not know what it has
// spent, and the number of daemons is known with a delay.
const usedSlackShare = 0.6

// spareShare is the share of the retries for requests that are still in flight at an endpoint. The rest is
// reserved for streams whose endpoint ends: without it, slow engines during the reclaim of a zone used up all
// retries, and none of 30 interrupted streams was resumed.
const spareShare = 0.5

// windowBuckets is the number of buckets of the sliding window.
const windowBuckets = 10

// WindowBudget enforces this daemon's part of a RetryBound over a sliding window: the ratio of its own
// requests, and an even share of the slack.
type WindowBudget struct {
	bound RetryBound

	mu            sync.Mutex
	bucket        int64 // current bucket, counted from the Unix epoch
	firstAttempts [windowBuckets + 1]int
	retries       [windowBuckets + 1]int
}

// NewWindowBudget returns a budget with an empty window.
func NewWindowBudget(b RetryBound) *WindowBudget { return &WindowBudget{bound: b} }

// advance clears the buckets that have left the window and returns the index of the current one; the caller
// holds the lock.
func (b *WindowBudget) advance(now time.Time) int {
	step := now.UnixNano() / int64(b.bound.Window/windowBuckets)
	gone := min(step-b.bucket, windowBuckets+1)
	for i := range gone {
		at := (step - i) % (windowBuckets + 1)
		b.firstAttempts[at], b.retries[at] = 0, 0
	}
	b.bucket = max(b.bucket, step)
	return int(b.bucket % (windowBuckets + 1))
}

// First implements Retries.
func (b *WindowBudget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts[b.advance(now)]++
}

// Earn implements Retries; only requests count here.
func (b *WindowBudget) Earn() {}

// Left implements Retries.
func (b *WindowBudget) Left(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.allows(1)
}

// TakeSpare implements Retries.
func (b *WindowBudget) TakeSpare(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	if !b.allows(spareShare) {
		return false
	}
	b.retries[at]++
	return true
}

// allows reports whether one more retry stays within a share of the bound; the caller holds the lock. The
// oldest bucket may lie partly before the window: its retries count, its requests do not.
func (b *WindowBudget) allows(part float64) bool {
	firsts, repeats := 0, 0
	oldest := int((b.bucket + 1) % (windowBuckets + 1))
	for i := range b.firstAttempts {
		repeats += b.retries[i]
		if i != oldest {
			firsts += b.firstAttempts[i]
		}
	}
	share := usedSlackShare * b.bound.Slack / float64(max(b.bound.Daemons(), 1))
	return float64(repeats+1) <= part*(b.bound.Ratio*float64(firsts)+share)
}

// Spend implements Retries.
func (b *WindowBudget) Spend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries[b.advance(now)]++
}
