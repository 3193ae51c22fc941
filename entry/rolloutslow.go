// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"time"

	"streambend.example/request"
)

// usualTime is how long answers of the old version take on a route, beside what is expected of
// each.
type usualTime struct {
	times float64 // as a multiple of what is expected
	gap   float64 // seconds between two events
	seen  int
}

const (
	// slowTimes is from how many times the usual on an answer counts as slow: a version that is
	// slower by several times passes it with nearly each answer, one of the old version with
	// one in thirty (lognormal times of a spread of 0.3).
	slowTimes = 1.75
	// usualWeight is the weight of one answer in what is usual, and usualLeast how many answers
	// make it known.
	usualWeight = 0.05
	usualLeast  = 5
	// expectLeast is what an answer is expected to take at least.
	expectLeast = 5 * time.Millisecond
)

// slow reports whether an answer took several times as long as the old version's do, and learns
// from those.
func (v *serviceVersions) slow(a request.TrialAnswer, isNew bool) bool {
	if v.usual == nil {
		v.usual = make(map[string]*usualTime)
	}
	u := v.usual[a.Route]
	if u == nil {
		u = &usualTime{}
		v.usual[a.Route] = u
	}
	if a.Failed || a.Silent {
		return false
	}
	expected := max(a.Expected, expectLeast).Seconds()
	if a.Events > 1 {
		expected += float64(a.Events-1) * u.gap
	}
	times := a.Took.Seconds() / expected
	slow := u.seen >= usualLeast && times > slowTimes*u.times
	if isNew {
		return slow
	}
	weight := math.Max(usualWeight, 1/float64(u.seen+1))
	u.seen++
	if a.Events > 1 {
		u.gap += weight * ((a.Took-a.First).Seconds()/float64(a.Events-1) - u.gap)
	}
	u.times += weight * (math.Min(times, 3*math.Max(u.times, 1)) - u.times)
	return slow
}
