// SPDX-License-Identifier: MIT

package standin

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// vocabulary is the number of distinct token ids.
const vocabulary = 50000

// Tokens returns the token ids of a text, one per word.
func Tokens(text string) []int {
	words := strings.Fields(text)
	ids := make([]int, len(words))
	for i, w := range words {
		ids[i] = int(xxhash.Sum64String(w) % vocabulary)
	}
	return ids
}

// extendHash extends the running hash of a context by one token.
func extendHash(state uint64, token int) uint64 {
	x := state ^ (uint64(token) + 0x9e3779b97f4a7c15 + state<<6 + state>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>29
}

// contextHash returns the hash of a whole context.
func contextHash(tokens []int) uint64 {
	var h uint64
	for _, t := range tokens {
		h = extendHash(h, t)
	}
	return h
}

// nextToken returns the token that follows a context; it is the same on every engine.
func nextToken(state uint64) int { return int(state>>7) % vocabulary }

// ExpectedTokens returns the n tokens of the complete response to a prompt.
func ExpectedTokens(prompt string, n int) []int {
	state := contextHash(Tokens(prompt))
	out := make([]int, n)
	for i := range out {
		out[i] = nextToken(state)
		state = extendHash(state, out[i])
	}
	return out
}

// Tally holds the counters of a Ledger.
type Tally struct {
	Generated             int // tokens decoded
	Prefilled             int // prompt tokens computed
	Cached                int // prompt tokens found in a cache
	Recomputed            int // tokens in blocks that had been computed before
	Repeated              int // those of Recomputed whose request had already begun elsewhere
	RanTwice              int // non-idempotent requests that began more than once
	Began                 int // requests that began execution
	StaleOrders           int // orders with an outdated epoch
	Orders                int
	MaxNewWorkAfterNotice time.Duration // longest time from a notice to a request that arrived after it
}

// Ledger counts what all endpoints of a trial do. The code under test never
// reads it.
type Ledger struct {
	mu       sync.Mutex
	tally    Tally
	begun    map[string]int
	computed map[uint64]bool
	served   map[string]int // engine to the number of requests begun
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{begun: make(map[string]int), served: make(map[string]int), computed: make(map[uint64]bool)}
}

// Tally returns the current counters.
func (l *Ledger) Tally() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// Served returns the number of requests that an endpoint has begun.
func (l *Ledger) Served(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served[name]
}

// Begun returns how often the request with this id began on any endpoint.
func (l *Ledger) Begun(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun[id]
}

func (l *Ledger) countBegin(endpoint, id string, unrepeatable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[endpoint]++
	l.tally.Began++
	l.begun[id]++
	if unrepeatable && l.begun[id] == 2 {
		l.tally.RanTwice++
	}
}

func (l *Ledger) countWhileLeaving(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.MaxNewWorkAfterNotice = max(l.tally.MaxNewWorkAfterNotice, d)
}

func (l *Ledger) countOrder(stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Orders++
	if stale {
		l.tally.StaleOrders++
	}
}

// countBlock counts a block of tokens that was computed for a request.
func (l *Ledger) countBlock(id string, hash uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.computed[hash] {
		l.tally.Recomputed += BlockTokens
		if l.begun[id] > 1 {
			l.tally.Repeated += BlockTokens
		}
	}
	l.computed[hash] = true
}

func (l *Ledger) countTokens(generated, prefilled, cached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Generated += generated
	l.tally.Prefilled += prefilled
	l.tally.Cached += cached
}
