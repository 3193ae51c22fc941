// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"time"

	"streambend.example/request"
)

// latencyBaseline describes how long answers of the old version take on a route, compared with their
// expected time.
type latencyBaseline struct {
	ratio   float64 // mean ratio of the actual to the expected time
	gap     float64 // mean time between two events, in seconds
	samples int     // number of answers
}

const (
	// slowFactor is the multiple of the baseline beyond which an answer counts as slow. Nearly every
	// answer of a version that is several times slower exceeds it, and one in thirty of the old
	// version's (lognormal times with a spread of 0.3).
	slowFactor = 1.75
	// baselineWeight is the weight of one answer in the baseline, and minBaselineSamples the number of
	// answers that make the baseline valid.
	baselineWeight     = 0.05
	minBaselineSamples = 5
	// minExpectedTime is the lower bound on an answer's expected time.
	minExpectedTime = 5 * time.Millisecond
)

// slow reports whether an answer took longer than slowFactor the route's baseline, and updates the
// baseline with answers of the old version.
func (v *serviceVersions) slow(a request.TrialOutcome, isNew bool) bool {
	if v.baselines == nil {
		v.baselines = make(map[string]*latencyBaseline)
	}
	u := v.baselines[a.Route]
	if u == nil {
		u = &latencyBaseline{}
		v.baselines[a.Route] = u
	}
	if a.Failed || a.Silent {
		return false
	}
	expected := max(a.Expected, minExpectedTime).Seconds()
	if a.Events > 1 {
		expected += float64(a.Events-1) * u.gap
	}
	times := a.Took.Seconds() / expected
	slow := u.samples >= minBaselineSamples && times > slowFactor*u.ratio
	if isNew {
		return slow
	}
	weight := math.Max(baselineWeight, 1/float64(u.samples+1))
	u.samples++
	if a.Events > 1 {
		u.gap += weight * ((a.Took-a.First).Seconds()/float64(a.Events-1) - u.gap)
	}
	u.ratio += weight * (math.Min(times, 3*math.Max(u.ratio, 1)) - u.ratio)
	return slow
}
