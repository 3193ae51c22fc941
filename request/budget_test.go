// SPDX-License-Identifier: MIT

package request_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
)

// What callers saw: nothing; as all engines of a service turned requests away, daemons together sent more
// repeats than the bound allows, 346 in 10 s of 340 allowed.
//
// Order of events: 142 requests a second at an even rate, then each of them is turned away and sent again until
// nothing is left; all repeats fall into two seconds.
//
// Cause: the requests that allow repeats were counted over 11 steps of a second, of which a window has 10.
// Evidence: 1,428 requests in the fullest window, and 344 repeats allowed by 1,562 of 11 s.
func TestRepeatsOfABurstStayWithinTheirBound(t *testing.T) {
	const (
		daemons   = 7
		perSecond = 20
		ratio     = 0.2
		slack     = 54.0
		window    = 10 * time.Second
	)
	for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
		burst := start.Add(2*window + offset)
		repeats := 0
		for range daemons {
			b := request.NewWindowBudget(request.RetryBound{Ratio: ratio, Window: window, Slack: slack, Daemons: func() int { return daemons }})
			for now := start; now.Before(burst); now = now.Add(time.Second / perSecond) {
				b.First(now)
			}
			for b.Left(burst) {
				b.Spend(burst)
				repeats++
			}
		}
		requests := daemons * perSecond * window.Seconds()
		assert.LessOrEqual(t, float64(repeats), ratio*requests+slack, "%s into a step", offset)
		assert.GreaterOrEqual(t, float64(repeats), ratio*requests, "%s into a step", offset)
	}
}
