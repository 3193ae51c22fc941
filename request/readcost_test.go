// SPDX-License-Identifier: MIT

package request_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
)

// The time for which streams are held up follows from how many tokens an event
// holds, which differs between deployments: it shows in the callers' guesses.
func TestTheTokensOfAnEventAreLearnt(t *testing.T) {
	for _, tokens := range []int{3, 8} {
		var c request.ReadCost
		before := c.Held(100_000, 100_000)
		r := rand.New(rand.NewPCG(1, uint64(tokens)))
		for range 200 {
			events := 10 + r.IntN(60)
			guess := float64(events*tokens) * (0.4 + 1.2*r.Float64()) // right at the median
			c.LearnEvents(int(guess), events)
		}
		// The longest pause is that of as many chunks as an event has tokens.
		one := c.Time(4096, 100_000)
		assert.InDelta(t, float64(tokens), float64(c.Held(100_000, 100_000))/float64(one), 1.2, "%d tokens an event", tokens)
		assert.NotEqual(t, before, c.Held(100_000, 100_000))
	}
}

func TestShortAnswersAndMissingGuessesSayNothingOfEvents(t *testing.T) {
	var c request.ReadCost
	before := c.Held(100_000, 100_000)
	for range 100 {
		c.LearnEvents(0, 50)
		c.LearnEvents(400, 2)
	}
	assert.Equal(t, before, c.Held(100_000, 100_000))
}
