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
