// SPDX-License-Identifier: MIT

package request

import (
	"slices"
	"sync"
	"time"
)

// Places models which places of an engine are taken by requests of other daemons. An
// engine tells its load only to whoever it answers: among 295 daemons and 80 engines
// each hears of an engine every half a minute, and a request holds its place for two
// seconds. The zero value has none taken.
type Places struct {
	mu   sync.Mutex
	ends []time.Time // when each is expected to be free, in order
}

// Take notes that a request takes a place for a time, from about a moment on, at an engine that has
// so many places for the requests of other daemons. While all of them are taken it waits for the
// next to be free, as those that came before it do.
func (p *Places) Take(now, from time.Time, hold time.Duration, places int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(now)
	if over := len(p.ends) - max(places, 1); over >= 0 && p.ends[over].After(from) {
		from = p.ends[over]
	}
	until := from.Add(hold)
	at, _ := slices.BinarySearchFunc(p.ends, until, time.Time.Compare)
	p.ends = slices.Insert(p.ends, at, until)
}

// Delay notes that all that runs is held up for a time.
func (p *Places) Delay(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.ends {
		p.ends[i] = p.ends[i].Add(by)
	}
}

// drop forgets the places that are free by now; the caller holds the lock.
func (p *Places) drop(now time.Time) {
	free := 0
	for free < len(p.ends) && !p.ends[free].After(now) {
		free++
	}
	p.ends = slices.Delete(p.ends, 0, free)
}

// Told takes in the engine's own word of how many of its places others have: those
// expected to be free soonest are free already.
func (p *Places) Told(now time.Time, taken int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(now)
	if over := len(p.ends) - max(taken, 0); over > 0 {
		p.ends = slices.Delete(p.ends, 0, over)
	}
}

// Taken returns how many places others have.
func (p *Places) Taken(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(now)
	return len(p.ends)
}

// Wait returns how long a request waits for a place, of so many that others may take.
func (p *Places) Wait(now time.Time, places int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(now)
	over := len(p.ends) - places
	if over < 0 {
		return 0
	}
	if over >= len(p.ends) {
		return 0 // what runs there is all of this daemon, which knows it better
	}
	return p.ends[over].Sub(now)
}
