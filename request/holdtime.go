// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

const (
	// holdFirst is how long a request is taken to hold its place for each token that its
	// caller expects, until answers have shown it: a step of a large engine.
	holdFirst = 5 * time.Millisecond
	// besideFirst is the part of the time in which an engine reads prompts by which the answers
	// beside are held up, until they have shown it: engines read between the tokens of what
	// runs, or apart from it.
	besideFirst = 0.5
	// besideMost bounds that part.
	besideMost = 1.2
	// holdForget is what is left of an answer's weight after the next, so that some fifty tell.
	holdForget = 0.98
	// priorHeld and priorRead2 are the weight of the two guesses: tokens of about one answer, and
	// seconds of reading, squared, of about four.
	priorHeld, priorRead2 = 300, 1
)

// holdTime is how long an answer holds its place at an engine: a time for each token expected of it,
// and a part of the time in which the engine reads other prompts meanwhile. Callers' guesses of an
// answer's length are far off, so that the times are fitted to the sum of the answers seen, not to
// each. Without the second part 45 engines were expected to begin an answer within 190 ms that took
// 750: as they read all the time, what ran there took many times as long.
type holdTime struct {
	mu         sync.Mutex
	t, r, w    float64 // sums of tokens, of reading and of holding (seconds)
	rt, rr, rw float64 // and of their products with reading
}

// learn takes in that an answer of which so many tokens were expected took so long from
// its first event to its last, and for how long the engine read meanwhile.
func (h *holdTime) learn(tokens int, took, read time.Duration) {
	if tokens <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t, r, w := float64(tokens), max(read, 0).Seconds(), took.Seconds()
	for _, sum := range []*float64{&h.t, &h.r, &h.w, &h.rt, &h.rr, &h.rw} {
		*sum *= holdForget
	}
	h.t += t
	h.r += r
	h.w += w
	h.rt += r * t
	h.rr += r * r
	h.rw += r * w
}

// solve returns the seconds of a token and the part of reading, which fit the sums; the caller
// holds the lock.
func (h *holdTime) solve() (token, beside float64) {
	t, w := h.t+priorHeld, h.w+priorHeld*holdFirst.Seconds()
	up := h.rw - h.rt*w/t + priorRead2*besideFirst
	down := h.rr - h.rt*h.r/t + priorRead2
	beside = math.Min(math.Max(up/math.Max(down, priorRead2), 0), besideMost)
	return math.Max((w-h.r*beside)/t, holdFirst.Seconds()/20), beside
}

// of returns how long an answer of so many expected tokens holds its place while nothing is read
// beside it.
func (h *holdTime) of(tokens int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	token, _ := h.solve()
	return time.Duration(token * float64(tokens) * float64(time.Second))
}

// beside returns by how much reading for a time holds up what runs.
func (h *holdTime) beside(read time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, part := h.solve()
	return time.Duration(part * float64(read))
}

// Held takes in how long an answer held its place at an engine of the service from its first event
// on, of which so many tokens were expected, and for how long the engine read meanwhile.
func (p *Pool) Held(tokens int, took, read time.Duration) { p.holds.learn(tokens, took, read) }
