// SPDX-License-Identifier: MIT

package trial_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/trial"
	"streambend.example/version"
)

// TestPlacementIsCheapAtEqualAttainment compares the cost of placement policies over generated hours, at
// an attainment of interactive work that every policy reaches and at one that only some reach.
func TestPlacementIsCheapAtEqualAttainment(t *testing.T) {
	const hours = 5
	for _, share := range []float64{0.9, 0.99} {
		cost := make(map[version.Policy]float64)
		for _, p := range []version.Policy{version.Ours, version.OnDemand, version.Greedy, version.Spread} {
			o, ok := trial.AtAttainment(p, share, hours)
			t.Logf("%.3f: %-10s attains %.4f (reached %t) with %.1f times the demand, cost %.2f an hour, done %.3f",
				share, p, o.Attainment, ok, o.Extra, o.Cost, o.Done)
			cost[p] = o.Cost
			assert.Zero(t, o.Doubled)
			if p == version.Ours {
				assert.True(t, ok)
			}
		}
		assert.LessOrEqual(t, cost[version.Ours], 0.5*cost[version.OnDemand])
		assert.Less(t, cost[version.Ours], cost[version.Spread])
		if share > 0.95 {
			assert.Less(t, cost[version.Ours], cost[version.Greedy], "the greedy policy does not reach this attainment at any size")
		}
	}
}
