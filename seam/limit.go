// SPDX-License-Identifier: MIT

package seam

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Priority orders the uses of the table when its rate is short.
type Priority int

// The priorities, the most urgent first.
const (
	PriorityClaim Priority = iota
	PriorityLease
	PriorityConfig
	PriorityReport
)

// reserved is the share of the bucket that a priority leaves for the more
// urgent ones.
var reserved = [...]float64{0, 0.1, 0.3, 0.5}

// Bucket is a token bucket with priorities: a less urgent use finds it empty
// while a share is still left for the more urgent ones.
type Bucket struct {
	mu    sync.Mutex
	lim   *rate.Limiter
	burst float64
}

// NewBucket returns a bucket of perSecond calls with the given burst.
func NewBucket(perSecond float64, burst int) *Bucket {
	return &Bucket{lim: rate.NewLimiter(rate.Limit(perSecond), burst), burst: float64(burst)}
}

// Take takes one token for a use of priority p and reports whether it could.
func (b *Bucket) Take(now time.Time, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lim.TokensAt(now) < 1+reserved[p]*b.burst {
		return false
	}
	return b.lim.AllowN(now, 1)
}

// Limited is a Table whose calls pass a Bucket at one priority.
type Limited struct {
	Table    Table
	Bucket   *Bucket
	Priority Priority
	Timeout  time.Duration // bound of one call; zero for none
}

func (l Limited) begin(ctx context.Context) (context.Context, context.CancelFunc, error) {
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
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return Item{}, err
	}
	defer cancel()
	return l.Table.Get(ctx, k)
}

// Query implements Table.
func (l Limited) Query(ctx context.Context, part, after string, limit int) ([]Item, error) {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	return l.Table.Query(ctx, part, after, limit)
}

// Write implements Table.
func (l Limited) Write(ctx context.Context, nonce string, writes ...Write) error {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return l.Table.Write(ctx, nonce, writes...)
}
