// SPDX-License-Identifier: MIT

package seam

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of the seams. Every other error leaves open whether a write took
// effect.
var (
	// ErrConflict says that a condition did not hold; nothing was written.
	ErrConflict = errors.New("seam: condition does not hold")
	// ErrLimited says that the client-side rate limit kept the call back;
	// nothing was sent.
	ErrLimited = errors.New("seam: over the rate limit")
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("seam: not found")
)

// Ambiguous reports whether err leaves open if the write took effect.
func Ambiguous(err error) bool {
	return err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrLimited)
}

// Key names an item: a partition and a sort key within it.
type Key struct {
	Part string
	Sort string
}

// Item is a stored value.
type Item struct {
	Key   Key
	Rev   int64  // grows with each write of the item, from 1
	Nonce string // names the write that made this revision
	Value []byte
}

// Write is one conditional change: it holds only if the item is absent
// (Rev 0) or has revision Rev.
type Write struct {
	Key    Key
	Rev    int64 // revision the item must have; 0 for absent
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
	// Write applies all writes or none. The nonce names the attempt: the
	// same nonce sent again has one effect.
	Write(ctx context.Context, nonce string, writes ...Write) error
}

// Put writes one item and settles a lost answer: when the error leaves the
// effect open it reads the item again and compares the nonce. It returns nil
// if the write stands, ErrConflict if another one does, and an Ambiguous
// error if the table cannot tell.
func Put(ctx context.Context, t Table, nonce string, w Write) error {
	err := t.Write(ctx, nonce, w)
	if !Ambiguous(err) && !errors.Is(err, ErrConflict) {
		return err
	}
	// A conflict may be our own earlier write, when a lower layer sent it
	// twice and only the first answer was lost.
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
