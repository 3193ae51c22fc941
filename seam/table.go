// SPDX-License-Identifier: MIT

package seam

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of this package's interfaces. After any other error of a write it is unknown whether the
// write took effect.
var (
	// ErrConflict says that a condition was not met; nothing was written.
	ErrConflict = errors.New("seam: condition not met")
	// ErrLimited says that the client-side rate limiter refused the call; nothing was sent.
	ErrLimited = errors.New("seam: rate limit exceeded")
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("seam: not found")
)

// Ambiguous reports whether the write that returned err may have taken effect.
func Ambiguous(err error) bool {
	return err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrLimited)
}

// Key identifies an item: a partition and a sort key within it.
type Key struct {
	Part string
	Sort string
}

// Item is a stored value.
type Item struct {
	Key   Key
	Rev   int64  // increases with each write of the item, from 1
	Nonce string // identifies the write that made this revision
	Value []byte
}

// Write is one conditional change: it applies only if the item has revision Rev, or does not exist
// and Rev is 0.
type Write struct {
	Key    Key
	Rev    int64 // expected revision; 0 if the item must not exist
	Value  []byte
	Delete bool
}

// Table is the transactional table service.
type Table interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, k Key) (Item, error)
	// Query returns the items of a partition whose sort key is greater than
	// after, in ascending order, at most limit.
	Query(ctx context.Context, part, after string, limit int) ([]Item, error)
	// Write applies all writes or none. The nonce identifies the attempt: the same nonce sent again
	// has one effect.
	Write(ctx context.Context, nonce string, writes ...Write) error
}

// Put writes one item and resolves lost answers: if the write may have taken effect, it reads the
// item again and compares the nonce. It returns nil if its write took effect, ErrConflict if another
// one did, and an Ambiguous error if the table cannot be read.
func Put(ctx context.Context, t Table, nonce string, w Write) error {
	err := t.Write(ctx, nonce, w)
	if !Ambiguous(err) && !errors.Is(err, ErrConflict) {
		return err
	}
	// The conflict may be with this write, if a lower layer sent it twice and the answer to the
	// first was lost.
	it, rerr := t.Get(ctx, w.Key)
	switch {
	case rerr == nil && it.Nonce == nonce:
		return nil
	case errors.Is(err, ErrConflict):
		return ErrConflict
	case rerr == nil && it.Rev > w.Rev:
		return ErrConflict
	default:
		return err
	}
}
