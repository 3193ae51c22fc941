// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"
)

const (
	// initialTokenTime is the initial estimate of the time for which a request holds its slot, per expected
	// token: one step of a large engine.
	initialTokenTime = 5 * time.Millisecond
	// initialPrefillShare is the initial estimate of the share of an engine's prefill time by which running
	// answers are delayed. Engines either interleave prefill with decoding or run it separately.
	initialPrefillShare = 0.5
	// maxPrefillShare is the upper bound of that share.
	maxPrefillShare = 1.2
	// holdDecay is the decay of the weights per answer: about the last fifty answers count.
	holdDecay = 0.98
	// priorSlotTokens and priorPrefillSquared are the weights of the two initial estimates: the tokens
	// of about one answer, and the squared prefill seconds of about four.
	priorSlotTokens, priorPrefillSquared = 300, 1
)

// slotTimeModel estimates how long an answer holds its slot at an engine: a time per expected token plus
// a share of the time in which the engine prefills other prompts meanwhile. Callers' estimates of
// an answer's length are far off, so the model is fitted to sums over answers, not to single ones.
// Without the second term, 45 engines were predicted to start an answer within 190 ms that took
// 750 ms: they prefilled all the time, which made running answers many times slower.
type slotTimeModel struct {
	mu         sync.Mutex
	t, r, w    float64 // decayed sums of tokens, of prefill and of holding times (seconds)
	rt, rr, rw float64 // and of their products with the prefill time
}

// observe adds an observation: the expected tokens of an answer, the time from its first event to
// its last, and the engine's prefill time meanwhile.
func (h *slotTimeModel) observe(tokens int, took, read time.Duration) {
	if tokens <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t, r, w := float64(tokens), max(read, 0).Seconds(), took.Seconds()
	for _, sum := range []*float64{&h.t, &h.r, &h.w, &h.rt, &h.rr, &h.rw} {
		*sum *= holdDecay
	}
	h.t += t
	h.r += r
	h.w += w
	h.rt += r * t
	h.rr += r * r
	h.rw += r * w
}

// solve fits the seconds per token and the share of prefill time to the sums. The caller holds mu.
func (h *slotTimeModel) solve() (token, beside float64) {
	t, w := h.t+priorSlotTokens, h.w+priorSlotTokens*initialTokenTime.Seconds()
	up := h.rw - h.rt*w/t + priorPrefillSquared*initialPrefillShare
	down := h.rr - h.rt*h.r/t + priorPrefillSquared
	beside = math.Min(math.Max(up/math.Max(down, priorPrefillSquared), 0), maxPrefillShare)
	return math.Max((w-h.r*beside)/t, initialTokenTime.Seconds()/20), beside
}

// predict returns the predicted time for which an answer of so many expected tokens holds its slot,
// without prefill of other prompts.
func (h *slotTimeModel) predict(tokens int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	token, _ := h.solve()
	return time.Duration(token * float64(tokens) * float64(time.Second))
}

// prefillDelay returns the predicted delay of running answers caused by a given prefill time.
func (h *slotTimeModel) prefillDelay(read time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, part := h.solve()
	return time.Duration(part * float64(read))
}

// RecordSlotTime records how long an answer held its slot at an engine from its first event on, given the
// expected tokens, and the engine's prefill time meanwhile.
func (p *Pool) RecordSlotTime(tokens int, took, read time.Duration) {
	p.holds.observe(tokens, took, read)
}
