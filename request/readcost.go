// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

const (
	// readToken and readPair are the time to read a token, and for each million
	// pairs of a token and one before it, taken until answers have shown them:
	// 50,000 tokens a second, as a large engine on one accelerator reads.
	readToken = 20e-6
	readPair  = 0.3e-3
	// priorTokens and priorPairs are how much of such samples the guess counts.
	priorTokens = 20
	priorPairs  = 200
	// sampleLeast is how many tokens a sample must have to tell of reading
	// rather than of fixed costs.
	sampleLeast = 2000
	// forget is what is left of a sample's weight after the next.
	forget = 0.98
	// chunkTokens is how many tokens engines read between two steps of the
	// streams that run.
	chunkTokens = 4096
	// eventTokens is how many of these steps make an event, until answers have
	// shown it; eventStep is how far one answer moves it, as a share, and
	// eventLeast how many events an answer must have to tell of it.
	eventTokens = 5
	eventStep   = 0.03
	eventLeast  = 8
)

// ReadCost is how long the engines of a service take to read prompts: a time for
// each token, and one for each pair of a token and one before it. It is fitted
// to the prompts that were read with nothing before them, by least squares.
type ReadCost struct {
	mu    sync.Mutex
	total time.Duration // of all prompts that were sent
	// sums over samples of tokens (thousands), pairs (millions) and seconds
	tt, tp, pp, ts, ps float64

	event float64 // tokens of an event; 0 while not known
}

// coefficients returns the times of a thousand tokens and a million pairs in
// seconds; the caller holds the lock.
func (c *ReadCost) coefficients() (token, pair float64) {
	tt, pp := c.tt+priorTokens, c.pp+priorPairs
	ts, ps := c.ts+priorTokens*readToken*1e3, c.ps+priorPairs*readPair
	det := tt*pp - c.tp*c.tp
	if det <= 0 {
		return readToken * 1e3, readPair
	}
	token = (ts*pp - ps*c.tp) / det
	pair = (ps*tt - ts*c.tp) / det
	return math.Max(token, readToken*1e3/20), math.Max(pair, 0)
}

// pairsOf returns the millions of pairs that reading the last fresh tokens of a
// prompt works through.
func pairsOf(fresh, total int) float64 {
	return float64(fresh) * (float64(total) - float64(fresh)/2) / 1e6
}

// Time returns how long reading the last fresh tokens of a prompt takes.
func (c *ReadCost) Time(fresh, total int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, pair := c.coefficients()
	return time.Duration((float64(fresh)/1e3*token + pairsOf(fresh, total)*pair) * float64(time.Second))
}

// Held returns the longest pause that reading the prompt causes to streams that
// run beside: the time of the last chunks, as many as steps make an event.
func (c *ReadCost) Held(fresh, total int) time.Duration {
	return c.Time(min(fresh, int(c.eventTokens()*chunkTokens)), total)
}

func (c *ReadCost) eventTokens() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.event == 0 {
		return eventTokens
	}
	return c.event
}

// LearnEvents takes in how many events a whole answer had whose caller expected
// so many tokens. Such a guess may be far off, but is right at the median, which
// is what small steps of one size lead to.
func (c *ReadCost) LearnEvents(tokens, events int) {
	if tokens <= 0 || events < eventLeast {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.event == 0 {
		c.event = eventTokens
	}
	if float64(tokens) > c.event*float64(events) {
		c.event *= 1 + eventStep
	} else {
		c.event = math.Max(1, c.event/(1+eventStep))
	}
}

// Learn takes in how long a prompt took that had nothing before it.
func (c *ReadCost) Learn(fresh, total int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, p, s := float64(fresh)/1e3, pairsOf(fresh, total), took.Seconds()
	for _, sum := range []*float64{&c.tt, &c.tp, &c.pp, &c.ts, &c.ps} {
		*sum *= forget
	}
	c.tt += t * t
	c.tp += t * p
	c.pp += p * p
	c.ts += t * s
	c.ps += p * s
}

// Count adds to the time of reading that was ever sent to the engines.
func (c *ReadCost) Count(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += d
}

// Counted returns the time of reading that was ever sent to the engines.
func (c *ReadCost) Counted() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
