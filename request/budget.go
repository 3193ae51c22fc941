// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

// Retries bounds how often the requests of a service are sent again.
type Retries interface {
	// First counts a request that is sent for the first time.
	First(now time.Time)
	// Earn counts a whole answer.
	Earn()
	// Left reports whether one more is allowed.
	Left(now time.Time) bool
	// TakeSpare takes one for a request that may still be answered where it is, and reports
	// whether that is allowed.
	TakeSpare(now time.Time) bool
	// Spend takes one.
	Spend(now time.Time)
}

// Budget bounds retries to a share of the successes, so that a wave of
// failures does not multiply the load.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	budgetShare = 0.2
	budgetMost  = 100
	budgetStart = 20
)

// NewBudget returns a budget with something to begin with.
func NewBudget() *Budget { return &Budget{tokens: budgetStart} }

// First implements Retries; only successes count here.
func (b *Budget) First(time.Time) {}

// Earn adds the share of one success.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = math.Min(budgetMost, b.tokens+budgetShare)
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

// Spend takes one retry.
func (b *Budget) Spend(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = math.Max(0, b.tokens-1)
}

// RetryBound is a bound on the retries of a service over all daemons: in each
// Window a share Ratio of its requests and Slack more.
type RetryBound struct {
	Ratio   float64
	Window  time.Duration
	Slack   float64
	Daemons func() int // that share the slack
}

// slackUsed is the part of the slack that is used: daemons that start again
// have forgotten what they spent, and the others' number lags.
const slackUsed = 0.6

// spareShare is the part of the retries that requests may take which are still under way
// somewhere. The rest is for streams whose endpoint ends: engines that were all slow as a zone was
// reclaimed had taken all retries, and of 30 streams under way none was taken up elsewhere.
const spareShare = 0.5

// windowSteps is how finely a window is cut.
const windowSteps = 10

// WindowBudget keeps a RetryBound by this daemon's part of it: the ratio of its
// own requests, and an even share of the slack.
type WindowBudget struct {
	bound RetryBound

	mu      sync.Mutex
	step    int64
	firsts  [windowSteps + 1]int
	repeats [windowSteps + 1]int
}

// NewWindowBudget returns a budget that has seen no request.
func NewWindowBudget(b RetryBound) *WindowBudget { return &WindowBudget{bound: b} }

// advance forgets the steps that have left the window; the caller holds the
// lock.
func (b *WindowBudget) advance(now time.Time) int {
	step := now.UnixNano() / int64(b.bound.Window/windowSteps)
	gone := min(step-b.step, windowSteps+1)
	for i := range gone {
		at := (step - i) % (windowSteps + 1)
		b.firsts[at], b.repeats[at] = 0, 0
	}
	b.step = max(b.step, step)
	return int(b.step % (windowSteps + 1))
}

// First implements Retries.
func (b *WindowBudget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts[b.advance(now)]++
}

// Earn implements Retries; only requests count here.
func (b *WindowBudget) Earn() {}

// Left implements Retries.
func (b *WindowBudget) Left(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.within(1)
}

// TakeSpare implements Retries.
func (b *WindowBudget) TakeSpare(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	if !b.within(spareShare) {
		return false
	}
	b.repeats[at]++
	return true
}

// within reports whether one more is within a part of what is allowed; the caller holds the lock. The
// oldest step may lie partly before the window: its repeats count, its requests allow no more.
func (b *WindowBudget) within(part float64) bool {
	firsts, repeats := 0, 0
	oldest := int((b.step + 1) % (windowSteps + 1))
	for i := range b.firsts {
		repeats += b.repeats[i]
		if i != oldest {
			firsts += b.firsts[i]
		}
	}
	share := slackUsed * b.bound.Slack / float64(max(b.bound.Daemons(), 1))
	return float64(repeats+1) <= part*(b.bound.Ratio*float64(firsts)+share)
}

// Spend implements Retries.
func (b *WindowBudget) Spend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeats[b.advance(now)]++
}
