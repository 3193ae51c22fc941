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

const (
	// holdFirst is how long a request is taken to hold its place for each token that its
	// caller expects, until answers have shown it: a step of a large engine.
	holdFirst = 5 * time.Millisecond
	// holdWeight is the weight of one answer, so that some fifty tell.
	holdWeight = 0.02
)

// holdTime is how long answers take for each token expected of them.
type holdTime struct {
	mu    sync.Mutex
	token float64 // seconds; 0 while not known
}

// learn takes in that an answer of which so many tokens were expected took so long from
// its first event to its last.
func (h *holdTime) learn(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == 0 {
		h.token = holdFirst.Seconds()
	}
	h.token += holdWeight * (took.Seconds()/float64(tokens) - h.token)
}

// Held takes in how long an answer held its place at an engine of the service from its first event
// on, of which so many tokens were expected.
func (p *Pool) Held(tokens int, took time.Duration) { p.holds.learn(tokens, took) }

// of returns how long an answer of so many expected tokens holds its place.
func (h *holdTime) of(tokens int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	token := h.token
	if token == 0 {
		token = holdFirst.Seconds()
	}
	return time.Duration(token * float64(tokens) * float64(time.Second))
}
