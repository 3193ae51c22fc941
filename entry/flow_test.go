// SPDX-License-Identifier: MIT

package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/entry"
)

// units sums what is counted for one team.
func units(in []entry.Admitted) (n int64) {
	for _, a := range in {
		n += a.Units
	}
	return n
}

func TestAChangeOfReadersLosesNothing(t *testing.T) {
	var f entry.FlowReader
	now, sum := start, int64(0)
	word := func(source string, base int64) {
		now = now.Add(500 * time.Millisecond)
		// The others admit 1,000 units a second; each reader counts from elsewhere.
		told := map[string]int64{"team": base + int64(now.Sub(start)/time.Millisecond)}
		sum += units(f.Take(now, source, told))
	}
	for range 10 {
		word("a", 5000)
	}
	for range 5 {
		word("b", 0)
		word("a", 5000)
	}
	assert.InDelta(t, 9500, sum, 300, "all but what was admitted before the first word")
}

func TestWhileNoReaderIsHeardOthersAreTakenToGoOn(t *testing.T) {
	var f entry.FlowReader
	at := func(d time.Duration) time.Time { return start.Add(d) }
	assert.Empty(t, f.Assume(at(0)), "nothing is known yet")
	f.Take(at(0), "a", map[string]int64{"team": 0})
	for i := 1; i <= 6; i++ {
		f.Take(at(time.Duration(i)*500*time.Millisecond), "a", map[string]int64{"team": int64(500 * i)})
	}
	assert.Empty(t, f.Assume(at(3500*time.Millisecond)), "a word may just be on its way")
	sum := units(f.Assume(at(5*time.Second))) + units(f.Assume(at(5*time.Second)))
	assert.InDelta(t, 2000, sum, 50, "2 s at the rate seen, once")
	sum += units(f.Assume(at(20 * time.Second)))
	assert.InDelta(t, 4000, sum, 100, "not for ever")
	back := units(f.Take(at(21*time.Second), "a", map[string]int64{"team": 4000}))
	assert.InDelta(t, 1000, sum+back, 50, "what was assumed is made good")
}

func TestWhoHearsNobodyUsesItsOwnPartOfALimit(t *testing.T) {
	assert.InDelta(t, 1, entry.LimitShare(80, 80, false), 0)
	assert.InDelta(t, 0.5, entry.LimitShare(40, 80, false), 0)
	assert.InDelta(t, 1.0/80, entry.LimitShare(70, 80, true), 1e-9)
}
