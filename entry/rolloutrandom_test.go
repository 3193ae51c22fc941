// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
)

// checkRandomOutage orders a bad version among daemons during an outage of the store, with all parameters
// drawn from a seed.
func checkRandomOutage(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	daemons := []int{3, 9, 16, 33}[r.IntN(4)]
	writes := r.IntN(12)
	from := time.Duration(r.IntN(2500)) * time.Millisecond
	away := time.Duration(2000+r.IntN(7000)) * time.Millisecond
	fault := standin.RowsFault{Busy: true}
	if r.IntN(2) == 0 {
		fault = standin.RowsFault{NoResponse: true}
	}
	t.Logf("%d daemons, %d writes before the order, %s after it %+v for %s", daemons, writes, from, fault, away)
	before := func(w *world) {
		for i := range writes {
			w.store.Put("another table", "", fmt.Sprint(i), nil)
		}
	}
	outage := func(w *world) {
		time.Sleep(from)
		w.store.SetFault(fault)
		go func() {
			time.Sleep(away)
			w.store.SetFault(standin.RowsFault{})
		}()
	}
	runRollOut(t, daemons, standin.RunnerFault{FailEach: 2}, before, outage, func(w *world, _ time.Time, _, upgraded []*standin.Runner) {
		state, _ := w.status(plain)
		assert.Equal(t, "rolled_back", state)
		checkRolledBack(t, upgraded, func(i int) bool { return i%2 == 0 })
		now := time.Now()
		assert.Zero(t, ranBetween(upgraded, now.Add(-3*time.Second), now))
	})
}

// Runs outages drawn from seeds, as TestCallersAreServedThroughRandomCuts does for cuts.
func TestABadVersionIsRolledBackThroughRandomOutages(t *testing.T) {
	for _, seed := range seedsToRun(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkRandomOutage(t, seed) })
	}
}
