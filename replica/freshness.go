// SPDX-License-Identifier: MIT

package replica

import (
	"sync"
	"time"
)

// Freshness is the latest moment at which a copy of a table of the store, the catalog or the list of
// endpoints, is known to have been current. It uses only this box's monotonic clock (package clock), which
// includes time asleep; clocks of different boxes are never compared. A delayed answer can only make it older.
type Freshness struct {
	mu     sync.Mutex
	at     time.Time
	base   time.Time     // origin of local times
	offset time.Duration // upper bound of the store's clock minus the local one
}

// clockSlack bounds the drift between the monotonic clocks of two boxes while an offset is in use.
const clockSlack = 20 * time.Millisecond

// Store records an answer of the store to a query sent at sent, received at now and produced when the store's
// clock showed clock. A feed answers long after the query; the smallest offset seen so far gives the earliest
// time at which the answer can have been produced.
func (f *Freshness) Store(sent, now time.Time, clock time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.base.IsZero() {
		f.base, f.offset = sent, clock
	}
	f.offset = min(f.offset, clock-sent.Sub(f.base))
	made := f.base.Add(clock - f.offset - clockSlack)
	if made.After(now) {
		// The store's clock has jumped ahead: the offset is no longer valid.
		f.offset = clock - sent.Sub(f.base)
		made = sent
	}
	f.raise(sent)
	f.raise(made)
}

// Peer records that another daemon, queried at sent, answered that its state, no newer than the local one,
// was current age before the answer.
func (f *Freshness) Peer(sent time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raise(sent.Add(-age))
}

func (f *Freshness) raise(t time.Time) {
	if t.After(f.at) {
		f.at = t
	}
}

// Age returns the time since the state is last known to have been current; ok is false if it never was.
func (f *Freshness) Age(now time.Time) (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.at), !f.at.IsZero()
}

// After reports whether the state is known to have been current after a moment.
func (f *Freshness) After(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at.After(t)
}
