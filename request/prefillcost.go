// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

const (
	// tokenTime and pairTime are the prior prefill times per token, and per million pairs of a token and an
	// earlier one, in seconds: 50,000 tokens per second, as for a large engine on one accelerator. startTime
	// is the prior time from the end of prefill to the first event, in seconds.
	tokenTime = 20e-6
	pairTime  = 0.3e-3
	startTime = 20e-3
	// priorTokenWeight, priorPairWeight and priorStartWeight are the weights of the priors, as of samples.
	priorTokenWeight = 20
	priorPairWeight  = 200
	priorStartWeight = 2
	// minSampleTokens is the minimum number of tokens of a sample for an engine's pace, or, with NoStart, for
	// the fit.
	minSampleTokens = 2000
	// maxSampleFactor clamps a sample to this factor of the expected time, in both directions: an engine that
	// hung, or that was busy with a prompt just sent by another daemon, says nothing about prefill. A wrong
	// estimate can still double with each sample.
	maxSampleFactor = 2
	// sampleDecay is the exponential decay of the weight of earlier samples, per sample.
	sampleDecay = 0.98
	// timesWeight is the weight of one prompt in the moving average of prefill times.
	timesWeight = 0.002
	// chunkTokens is the prefill chunk: the prompt tokens that an engine processes between two decode steps.
	chunkTokens = 4096
	// eventTokens is the initial estimate of decode steps (tokens) per event; eventStep is the relative
	// change per answer, and minEvents the minimum number of events of an answer that counts.
	eventTokens = 5
	eventStep   = 0.03
	minEvents   = 8
)

// PrefillCost models the time to the first event of an answer at the engines of a service: a time per prompt
// token, a time per pair of a token and an earlier one, and a start time during which the engine can
// already process the next prompt. It is fitted by least squares to prompts that were sent to an idle
// engine. Without the start time, the model gave 72 ms of prefill for 4,000 tokens where engines took 45
// ms.
type PrefillCost struct {
	NoStart bool // counts the start time as prefill, for comparison

	mu         sync.Mutex
	total      time.Duration // prefill time of all prompts sent
	mean       float64       // moving average of the prefill time, in seconds
	meanSquare float64       // moving average of its square
	fit        fit
	known      coefficients // solution of fit, valid if fresh
	fresh      bool

	event float64 // tokens per event; 0 while not known
}

// fit holds the sums over samples for least squares: n is their number, t thousands of tokens, p millions of
// pairs, s seconds.
type fit struct {
	n, t, p, s         float64
	tt, tp, pp, ts, ps float64
}

// add decays the sums and adds a sample.
func (f *fit) add(t, p, s float64) {
	for _, sum := range []*float64{&f.n, &f.t, &f.p, &f.s, &f.tt, &f.tp, &f.pp, &f.ts, &f.ps} {
		*sum *= sampleDecay
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

// det3 returns the determinant of a 3x3 matrix given by its columns.
func det3(a, b, c [3]float64) float64 {
	return a[0]*(b[1]*c[2]-b[2]*c[1]) - b[0]*(a[1]*c[2]-a[2]*c[1]) + c[0]*(a[1]*b[2]-a[2]*b[1])
}

// coefficients are the seconds per start, per thousand tokens and per million pairs.
type coefficients struct{ start, token, pair float64 }

// solved returns the fitted coefficients; the caller holds the lock. They are cached until the next sample,
// since every routing decision needs them for every engine.
func (c *PrefillCost) solved() coefficients {
	if !c.fresh {
		c.known, c.fresh = c.solve(), true
	}
	return c.known
}

// solve fits the coefficients by Cramer's rule. Each prior acts as samples of its variable alone.
func (c *PrefillCost) solve() coefficients {
	f, priorStart := c.fit, float64(priorStartWeight)
	guess := [3]float64{startTime, tokenTime * 1e3, pairTime}
	if c.NoStart {
		f.n, f.t, f.p, f.s, priorStart = 0, 0, 0, 0, 1
		guess[0] = 0
	}
	ofStart := [3]float64{f.n + priorStart, f.t, f.p}
	ofToken := [3]float64{f.t, f.tt + priorTokenWeight, f.tp}
	ofPair := [3]float64{f.p, f.tp, f.pp + priorPairWeight}
	right := [3]float64{f.s + priorStart*guess[0], f.ts + priorTokenWeight*guess[1], f.ps + priorPairWeight*guess[2]}
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

// pairsOf returns the attention pairs, in millions, of the prefill of the last fresh tokens of a prompt.
func pairsOf(fresh, total int) float64 {
	return float64(fresh) * (float64(total) - float64(fresh)/2) / 1e6
}

// Time returns the prefill time of the last fresh tokens of a prompt.
func (c *PrefillCost) Time(fresh, total int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.solved()
	return time.Duration((float64(fresh)/1e3*k.token + pairsOf(fresh, total)*k.pair) * float64(time.Second))
}

// Start returns the part of the time to the first event that is not prefill.
func (c *PrefillCost) Start() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.solved().start * float64(time.Second))
}

// MaxPause returns the longest pause that a prompt's prefill causes in concurrent streams: the time of as
// many of the last chunks as an event has decode steps.
func (c *PrefillCost) MaxPause(fresh, total int) time.Duration {
	return c.Time(min(fresh, int(c.eventTokens()*chunkTokens)), total)
}

func (c *PrefillCost) eventTokens() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.event == 0 {
		return eventTokens
	}
	return c.event
}

// LearnEvents updates the tokens per event from a complete answer and the number of tokens that its caller
// had expected. Such an estimate may be far off but is right at the median, to which steps of equal size
// converge.
func (c *PrefillCost) LearnEvents(tokens, events int) {
	if tokens <= 0 || events < minEvents {
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

// Learn adds the time to the first event of a prompt that was sent to an idle engine.
func (c *PrefillCost) Learn(fresh, total int, took time.Duration) {
	if c.NoStart && fresh < minSampleTokens {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.solved()
	t, p := float64(fresh)/1e3, pairsOf(fresh, total)
	expected := k.start + t*k.token + p*k.pair
	s := took.Seconds()
	if !c.NoStart {
		s = math.Min(math.Max(s, expected/maxSampleFactor), expected*maxSampleFactor)
	}
	c.fit.add(t, p, s)
	c.fresh = false
}

// Count adds the prefill time of a prompt that was sent to an engine.
func (c *PrefillCost) Count(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += d
	s := d.Seconds()
	if c.mean == 0 {
		c.mean, c.meanSquare = s, s*s
		return
	}
	c.mean += timesWeight * (s - c.mean)
	c.meanSquare += timesWeight * (s*s - c.meanSquare)
}

// Times returns the mean prefill time of recently sent prompts and its squared coefficient of variation.
func (c *PrefillCost) Times() (mean time.Duration, spread float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mean <= 0 {
		return 0, 0
	}
	return time.Duration(c.mean * float64(time.Second)), c.meanSquare/(c.mean*c.mean) - 1
}

// Counted returns the total prefill time of all prompts sent to the engines.
func (c *PrefillCost) Counted() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
