// SPDX-License-Identifier: MIT

package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/budget"
)

// Guards against more repeats in a window than the bound allows (346 instead of 340 in 10 s). It happened
// when all engines rejected a steady load of 142 requests per second and all retries fell into two seconds:
// the requests that allow retries were counted over 11 one-second buckets (1,562 requests) instead of the
// window's 10 (1,428).
var start = time.Unix(1_800_000_000, 0)

func TestABurstOfRepeatsStaysWithinTheBound(t *testing.T) {
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
			l := budget.NewLedger(budget.Bound{Ratio: ratio, Window: window, Slack: slack}, budget.Source{}, start, func() int { return daemons }, func() {})
			b := l.Budget("service")
			for now := start; now.Before(burst); now = now.Add(time.Second / perSecond) {
				b.First(now)
			}
			for b.Left(burst) {
				b.Spend(burst)
				repeats++
			}
		}
		requests := daemons * perSecond * window.Seconds()
		assert.LessOrEqual(t, float64(repeats), ratio*requests+slack, "%s into a bucket", offset)
		assert.GreaterOrEqual(t, float64(repeats), ratio*requests, "%s into a bucket", offset)
	}
}
