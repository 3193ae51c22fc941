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
	service float64 // the same, with an expected time without the predicted wait
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
// baseline with answers of the old version. It must be so with the predicted wait in the expected time and
// without: if predicted waits don't come, the old version's answers have a low ratio, and an equally fast
// answer for which no wait was predicted would count as slow.
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
	ratio, service := u.timesExpected(a, a.Expected), u.timesExpected(a, a.Expected-a.Wait)
	slow := u.samples >= minBaselineSamples && ratio > slowFactor*u.ratio && service > slowFactor*u.service
	if isNew {
		return slow
	}
	weight := math.Max(baselineWeight, 1/float64(u.samples+1))
	u.samples++
	if a.Events > 1 {
		u.gap += weight * ((a.Took-a.First).Seconds()/float64(a.Events-1) - u.gap)
	}
	learn(&u.ratio, ratio, weight)
	learn(&u.service, service, weight)
	return slow
}

// timesExpected returns the ratio of an answer's time to the expected one, of which first is the time to
// the first event.
func (u *latencyBaseline) timesExpected(a request.TrialOutcome, first time.Duration) float64 {
	expected := max(first, minExpectedTime).Seconds()
	if a.Events > 1 {
		expected += float64(a.Events-1) * u.gap
	}
	return a.Took.Seconds() / expected
}

// learn adds a ratio, bounded against outliers, to a mean.
func learn(mean *float64, ratio, weight float64) {
	*mean += weight * (math.Min(ratio, 3*math.Max(*mean, 1)) - *mean)
}
