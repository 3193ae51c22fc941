// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"time"
)

// HolderState is a daemon's answer about a request that it may have claimed.
type HolderState int

// The answers of a claim holder.
const (
	HolderUnknown HolderState = iota // it cannot be reached, or has no record
	HolderRunning
	HolderReleased // it released the claim without sending the request
	HolderRan      // it sent the request, which has ended
)

// Peers queries other daemons.
type Peers interface {
	// AskClaim asks the holder of a claim for its state.
	AskClaim(ctx context.Context, holder, name string) HolderState
	// AnyRan reports whether any daemon has sent the request of a claim. It is used while the table is unavailable.
	AnyRan(ctx context.Context, name string) bool
	// RecentStop reports whether a daemon recently shut down as planned, so that
	// an answer may have been handed over.
	RecentStop(now time.Time) bool
	// TakeOver returns the state of a keyed answer that a daemon handed over;
	// false if no daemon has it.
	TakeOver(ctx context.Context, name string) (Snapshot, bool)
}
