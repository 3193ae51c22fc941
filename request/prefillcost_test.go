// SPDX-License-Identifier: MIT

package request_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
)

// The pause that prefill causes in concurrent streams depends on the tokens per event, which differ between
// deployments and are learnt from the callers' estimates.
func TestLearnEventsConvergesOnTokensPerEvent(t *testing.T) {
	for _, tokens := range []int{3, 8} {
		var c request.PrefillCost
		before := c.MaxPause(100_000, 100_000)
		r := rand.New(rand.NewPCG(1, uint64(tokens)))
		for range 200 {
			events := 10 + r.IntN(60)
			guess := float64(events*tokens) * (0.4 + 1.2*r.Float64()) // unbiased at the median
			c.LearnEvents(int(guess), events)
		}
		// The longest pause is the time of as many chunks as an event has tokens.
		one := c.Time(4096, 100_000)
		assert.InDelta(t, float64(tokens), float64(c.MaxPause(100_000, 100_000))/float64(one), 1.2, "%d tokens an event", tokens)
		assert.NotEqual(t, before, c.MaxPause(100_000, 100_000))
	}
}

func TestLearnEventsIgnoresShortAnswersAndMissingEstimates(t *testing.T) {
	var c request.PrefillCost
	before := c.MaxPause(100_000, 100_000)
	for range 100 {
		c.LearnEvents(0, 50)
		c.LearnEvents(400, 2)
	}
	assert.Equal(t, before, c.MaxPause(100_000, 100_000))
}

// engine simulates the time to the first event of an engine with a start time of 30 ms, a prefill rate of
// 100,000 tokens per second and 0.1 ms per million pairs; every tenth answer has an unexplained delay.
func engine(r *rand.Rand, fresh, total int) time.Duration {
	pairs := float64(fresh) * (float64(total) - float64(fresh)/2) / 1e6
	took := 0.030 + float64(fresh)*10e-6 + pairs*0.1e-3 + 0.004*r.Float64()
	if r.IntN(10) == 0 {
		took += 0.5 * r.Float64()
	}
	return time.Duration(took * float64(time.Second))
}

func TestFitSeparatesStartTimeFromPrefill(t *testing.T) {
	var c request.PrefillCost
	r := rand.New(rand.NewPCG(2, 2))
	for range 300 {
		fresh := 200 + r.IntN(1500)
		if r.IntN(3) == 0 {
			fresh = 2000 + r.IntN(20_000)
		}
		c.Learn(fresh, fresh, engine(r, fresh, fresh))
	}
	for _, fresh := range []int{4000, 16_000} {
		reading := time.Duration(float64(fresh)*10e-6*1e9 + float64(fresh)*float64(fresh)/2e6*0.1e-3*1e9)
		assert.InEpsilon(t, reading, c.Time(fresh, fresh), 0.25, "prefill of %d tokens", fresh)
	}
	assert.InDelta(t, 32, c.Start().Milliseconds(), 15)
}
