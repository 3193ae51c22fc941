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
	// readStart is the time that the first event takes besides.
	readToken = 20e-6
	readPair  = 0.3e-3
	readStart = 20e-3
	// priorTokens, priorPairs and priorStarts are how much of such samples the
	// guess counts.
	priorTokens = 20
	priorPairs  = 200
	priorStarts = 2
	// sampleLeast is how many tokens a sample must have to tell of an engine's
	// pace at reading, or of reading at all where no start is told apart.
	sampleLeast = 2000
	// sampleTimes bounds a sample to so many times what was expected, either way:
	// an engine that hung, or that read what another daemon had sent just before,
	// tells nothing of reading. It still lets a wrong guess double with a sample.
	sampleTimes = 2
	// forget is what is left of a sample's weight after the next.
	forget = 0.98
	// timesWeight is the weight of one prompt in the mean of reading times.
	timesWeight = 0.002
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

// ReadCost is how long the engines of a service take to the first event of an
// answer: a time for each token of its prompt, one for each pair of a token and
// one before it, and a start that does not keep the engine from reading the next
// prompt. It is fitted to the prompts that were read with nothing before them, by
// least squares. Without the start, prompts of 4,000 tokens were taken to be read
// in 72 ms where engines took 45 (5,112 answers of a day).
type ReadCost struct {
	NoStart bool // the start is taken to be part of reading, for comparison

	mu    sync.Mutex
	total time.Duration // of all prompts that were sent
	mean  float64       // seconds of those sent lately
	sqr   float64       // and the mean of their squares
	fit   fit
	known coefficients // of fit, if fresh
	fresh bool

	event float64 // tokens of an event; 0 while not known
}

// fit is the sums over samples of tokens (thousands), pairs (millions) and
// seconds that least squares need.
type fit struct {
	n, t, p, s         float64
	tt, tp, pp, ts, ps float64
}

// add takes a sample in, after which the earlier ones count a little less.
func (f *fit) add(t, p, s float64) {
	for _, sum := range []*float64{&f.n, &f.t, &f.p, &f.s, &f.tt, &f.tp, &f.pp, &f.ts, &f.ps} {
		*sum *= forget
	}
	f.n++
	f.t += t
	f.p += p
	f.s += s
	f.tt += t * t
	f.tp += t * p
	f.pp += p * p
	f.ts += t * s
	f.ps += p * s
}

// det3 is the determinant of a matrix of three columns.
func det3(a, b, c [3]float64) float64 {
	return a[0]*(b[1]*c[2]-b[2]*c[1]) - b[0]*(a[1]*c[2]-a[2]*c[1]) + c[0]*(a[1]*b[2]-a[2]*b[1])
}

// coefficients are the seconds of a start, a thousand tokens and a million pairs.
type coefficients struct{ start, token, pair float64 }

// solved returns the coefficients of all samples; the caller holds the lock. They
// are kept until the next sample, since each choice asks for them at each engine.
func (c *ReadCost) solved() coefficients {
	if !c.fresh {
		c.known, c.fresh = c.solve(), true
	}
	return c.known
}

// solve fits the coefficients. The priors are samples of one kind each.
func (c *ReadCost) solve() coefficients {
	f, priorStart := c.fit, float64(priorStarts)
	guess := [3]float64{readStart, readToken * 1e3, readPair}
	if c.NoStart {
		f.n, f.t, f.p, f.s, priorStart = 0, 0, 0, 0, 1
		guess[0] = 0
	}
	ofStart := [3]float64{f.n + priorStart, f.t, f.p}
	ofToken := [3]float64{f.t, f.tt + priorTokens, f.tp}
	ofPair := [3]float64{f.p, f.tp, f.pp + priorPairs}
	right := [3]float64{f.s + priorStart*guess[0], f.ts + priorTokens*guess[1], f.ps + priorPairs*guess[2]}
	det := det3(ofStart, ofToken, ofPair)
	if det <= 0 {
		return coefficients{guess[0], guess[1], guess[2]}
	}
	return coefficients{
		start: math.Max(det3(right, ofToken, ofPair)/det, 0),
		token: math.Max(det3(ofStart, right, ofPair)/det, guess[1]/20),
		pair:  math.Max(det3(ofStart, ofToken, right)/det, 0),
	}
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
	k := c.solved()
	return time.Duration((float64(fresh)/1e3*k.token + pairsOf(fresh, total)*k.pair) * float64(time.Second))
}

// Start returns the part of the time to a first event that is not reading.
func (c *ReadCost) Start() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.solved().start * float64(time.Second))
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

// Learn takes in how long the first event of a prompt took that had nothing
// before it.
func (c *ReadCost) Learn(fresh, total int, took time.Duration) {
	if c.NoStart && fresh < sampleLeast {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.solved()
	t, p := float64(fresh)/1e3, pairsOf(fresh, total)
	expected := k.start + t*k.token + p*k.pair
	s := took.Seconds()
	if !c.NoStart {
		s = math.Min(math.Max(s, expected/sampleTimes), expected*sampleTimes)
	}
	c.fit.add(t, p, s)
	c.fresh = false
}

// Count adds to the time of reading that was ever sent to the engines.
func (c *ReadCost) Count(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += d
	s := d.Seconds()
	if c.mean == 0 {
		c.mean, c.sqr = s, s*s
		return
	}
	c.mean += timesWeight * (s - c.mean)
	c.sqr += timesWeight * (s*s - c.sqr)
}

// Times returns the mean time of reading the prompts that were sent lately, and
// the squared variation of it.
func (c *ReadCost) Times() (mean time.Duration, spread float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mean <= 0 {
		return 0, 0
	}
	return time.Duration(c.mean * float64(time.Second)), c.sqr/(c.mean*c.mean) - 1
}

// Counted returns the time of reading that was ever sent to the engines.
func (c *ReadCost) Counted() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
