// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"time"

	"streambend.example/request"
)

// usualTime is the latency baseline of a route: how long answers of the old version take compared
// with their expected time.
type usualTime struct {
	times float64 // mean ratio of the actual to the expected time
	gap   float64 // mean time between two events, in seconds
	seen  int     // number of answers
}

const (
	// slowTimes is the multiple of the baseline beyond which an answer counts as slow. Nearly every
	// answer of a version that is several times slower exceeds it, and one in thirty of the old
	// version's (lognormal times with a spread of 0.3).
	slowTimes = 1.75
	// usualWeight is the weight of one answer in the baseline, and usualLeast the number of answers
	// that make the baseline valid.
	usualWeight = 0.05
	usualLeast  = 5
	// expectLeast is the lower bound on an answer's expected time.
	expectLeast = 5 * time.Millisecond
)

// slow reports whether an answer took longer than slowTimes the route's baseline, and updates the
// baseline with answers of the old version.
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
