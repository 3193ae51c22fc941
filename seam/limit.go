// SPDX-License-Identifier: MIT

package seam

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Priority is the priority of a table call while the rate limit is reached.
type Priority int

// The priorities, most urgent first.
const (
	PriorityClaim Priority = iota
	PriorityLease
	PriorityConfig
	PriorityReport
)

// reservedShare is the share of the burst that calls of a priority leave to more urgent ones.
var reservedShare = [...]float64{0, 0.1, 0.3, 0.5}

// Bucket is a token bucket with priorities: less urgent calls are refused while some tokens are left
// for more urgent ones.
type Bucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	burst   float64
}

// NewBucket returns a bucket that allows perSecond calls a second with the given burst.
func NewBucket(perSecond float64, burst int) *Bucket {
	return &Bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), burst: float64(burst)}
}

// Take takes one token for a call of priority p, and reports whether there was one.
func (b *Bucket) Take(now time.Time, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter.TokensAt(now) < 1+reservedShare[p]*b.burst {
		return false
	}
	return b.limiter.AllowN(now, 1)
}

// Limited is a Table that is rate-limited by a Bucket at one priority.
type Limited struct {
	Table    Table
	Bucket   *Bucket
	Priority Priority
	Timeout  time.Duration // timeout of one call; zero for none
}

func (l Limited) acquire(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if !l.Bucket.Take(time.Now(), l.Priority) {
		return nil, nil, ErrLimited
	}
	if l.Timeout <= 0 {
		return ctx, func() {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	return ctx, cancel, nil
}

// Get implements Table.
func (l Limited) Get(ctx context.Context, k Key) (Item, error) {
	ctx, cancel, err := l.acquire(ctx)
	if err != nil {
		return Item{}, err
	}
	defer cancel()
	return l.Table.Get(ctx, k)
}

// Query implements Table.
func (l Limited) Query(ctx context.Context, part, after string, limit int) ([]Item, error) {
	ctx, cancel, err := l.acquire(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	return l.Table.Query(ctx, part, after, limit)
}

// Write implements Table.
func (l Limited) Write(ctx context.Context, nonce string, writes ...Write) error {
	ctx, cancel, err := l.acquire(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return l.Table.Write(ctx, nonce, writes...)
}
