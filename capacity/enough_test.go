// SPDX-License-Identifier: MIT

package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"streambend.example/capacity"
)

func load() capacity.Load {
	return capacity.Load{Busy: 3.6, Read: 34 * time.Millisecond, ReadSCV: 6, Target: 250 * time.Millisecond}
}

func TestEnoughEndpointsKeepTheWaitShort(t *testing.T) {
	n := capacity.RequiredEndpoints(load())
	assert.Greater(t, n, 4, "all would be busy")
	assert.LessOrEqual(t, n, 8)
	l := load()
	l.ReadSCV = 30
	assert.Greater(t, capacity.RequiredEndpoints(l), n, "a higher variation means a longer wait")
	l = load()
	l.Target = 2 * time.Second
	assert.Less(t, capacity.RequiredEndpoints(l), n, "a longer target allows a longer wait")
	l = load()
	l.SlotLoad = 9
	assert.Equal(t, 12, capacity.RequiredEndpoints(l), "three quarters of the slots")
}

// Guards against too few endpoints where daemons learn late of each other's prompts: prompts sent
// within that delay collide at engines.
func TestStaleStateNeedsMoreEndpoints(t *testing.T) {
	l := load()
	l.Busy = 20
	n := capacity.RequiredEndpoints(l)
	l.StateDelay = 15 * time.Millisecond
	assert.Equal(t, n, capacity.RequiredEndpoints(l), "the delay is short compared with the target")
	l.StateDelay = 130 * time.Millisecond
	assert.GreaterOrEqual(t, float64(capacity.RequiredEndpoints(l))*l.Target.Seconds()*0.25, 20*l.StateDelay.Seconds())
	assert.Greater(t, capacity.RequiredEndpoints(l), n)
}

func TestLargeServicesNeedLessSpareCapacity(t *testing.T) {
	small, large := load(), load()
	large.Busy *= 10
	use := func(l capacity.Load) float64 { return l.Busy / float64(capacity.RequiredEndpoints(l)) }
	assert.Greater(t, use(large), use(small))
}

func TestEnoughGrowsWithTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := load()
		l.Busy = rapid.Float64Range(0, 3000).Draw(t, "busy")
		l.ReadSCV = rapid.Float64Range(0, 50).Draw(t, "spread")
		n := capacity.RequiredEndpoints(l)
		if float64(n) <= l.Busy {
			t.Fatalf("%d endpoints for %f busy", n, l.Busy)
		}
		l.Busy *= 1.5
		if capacity.RequiredEndpoints(l) < n {
			t.Fatalf("fewer endpoints for a higher load")
		}
	})
}

func TestDemandIsSmoothed(t *testing.T) {
	var d capacity.Demand
	at := time.Unix(1000, 0)
	d.AddReadTime(at, 0)
	assert.False(t, d.Seen)
	for i := 1; i <= 10; i++ {
		d.AddReadTime(at.Add(time.Duration(i)*2*time.Second), time.Duration(i)*6*time.Second)
	}
	assert.True(t, d.Seen)
	assert.InDelta(t, 3, d.Busy, 0.1)
	d.AddReadTime(at.Add(22*time.Second), 60*time.Second)
	assert.Greater(t, d.Busy, 2.0, "a falling load is followed more slowly")
}

func TestScaleDownIsDelayed(t *testing.T) {
	var h capacity.Stabilizer
	at := time.Unix(1000, 0)
	have := map[capacity.Kind]int{reclaimable("a"): 5}
	plan := func(n int) []capacity.Order { return []capacity.Order{{Kind: reclaimable("a"), Count: n}} }
	assert.Equal(t, plan(5), h.Settle(at, plan(3), have))
	assert.Equal(t, plan(6), h.Settle(at.Add(5*time.Second), plan(6), have), "more at once")
	assert.Equal(t, plan(5), h.Settle(at.Add(9*time.Second), plan(3), have), "the delay starts again")
	assert.Equal(t, plan(3), h.Settle(at.Add(18*time.Second), plan(3), have))
}
