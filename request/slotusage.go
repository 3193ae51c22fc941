// SPDX-License-Identifier: MIT

package request

import (
	"slices"
	"sync"
	"time"
)

// SlotUsage estimates which slots of an engine are occupied by requests of other daemons. An engine reports
// its load only in its answers: with 295 daemons and 80 engines, a daemon receives a report of an engine
// every half minute, while a request occupies its slot for two seconds. In the zero value all slots are
// free.
type SlotUsage struct {
	mu   sync.Mutex
	ends []time.Time // expected release times of the occupied slots, sorted
}

// Occupy records that a request occupies a slot for hold, starting at about from, at an engine with so many
// slots for requests of other daemons. If all are occupied, it starts when the next is released, after
// earlier requests.
func (p *SlotUsage) Occupy(now, from time.Time, hold time.Duration, places int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(now)
	if over := len(p.ends) - max(places, 1); over >= 0 && p.ends[over].After(from) {
		from = p.ends[over]
	}
	until := from.Add(hold)
	at, _ := slices.BinarySearchFunc(p.ends, until, time.Time.Compare)
	p.ends = slices.Insert(p.ends, at, until)
}

// Delay postpones the release of all occupied slots.
func (p *SlotUsage) Delay(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.ends {
		p.ends[i] = p.ends[i].Add(by)
	}
}

// release removes the slots that have been released by now; the caller holds the lock.
func (p *SlotUsage) release(now time.Time) {
	free := 0
	for free < len(p.ends) && !p.ends[free].After(now) {
		free++
	}
	p.ends = slices.Delete(p.ends, 0, free)
}

// Correct corrects the estimate by the engine's own report of how many slots others occupy: the excess ones,
// those with the earliest release times, are dropped.
func (p *SlotUsage) Correct(now time.Time, taken int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(now)
	if over := len(p.ends) - max(taken, 0); over > 0 {
		p.ends = slices.Delete(p.ends, 0, over)
	}
}

// Occupied returns the number of slots occupied by others.
func (p *SlotUsage) Occupied(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(now)
	return len(p.ends)
}

// Wait returns how long a request waits for a slot, out of so many that others may occupy.
func (p *SlotUsage) Wait(now time.Time, places int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(now)
	over := len(p.ends) - places
	if over < 0 {
		return 0
	}
	if over >= len(p.ends) {
		return 0 // this daemon's own requests fill the engine, and it knows those exactly
	}
	return p.ends[over].Sub(now)
}
