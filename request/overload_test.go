// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// overloadKinds is a load that exceeds the engines' capacity after half of them have been reclaimed.
var overloadKinds = []promptKind{
	{"digest", 68, 5382, 6610, 1.4, 54600, 402, 24, 1200 * time.Millisecond, 360 * time.Millisecond, 4.5},
	{"explain", 155, 198, 628, 1, 3310, 795, 24, 600 * time.Millisecond, 480 * time.Millisecond, 2.3},
	{"tag", 153, 568, 1800, 1.3, 6870, 908, 2, 800 * time.Millisecond, 270 * time.Millisecond, 0.33},
}

// value returns the share of the total worth that callers receive: a late answer is worth a tenth.
func (p *placementSim) value() float64 {
	got, all := 0.0, 0.0
	for k, kind := range p.kinds {
		late := p.sent[k] - p.inTime[k] - p.refused[k]
		got += kind.worth * (float64(p.inTime[k]) + 0.1*float64(late))
		all += kind.worth * float64(p.sent[k])
	}
	return got / all
}

// Guards against an overload in which almost every answer is late: engines for half or four fifths of the
// load remain, and prefill delays their running streams. Requests that cannot be answered in time must be
// refused at once. The share of the worth (two seeds, 20 s) is 0.22 and 0.25, 0.41 and 0.48 if routing
// models only the wait behind other daemons' requests, and 0.32 and 0.36, 0.65 and 0.65 if it also models
// the delay by prefill. The test requires half of what the engines can deliver.
func TestOverloadedEnginesDeliverHalfTheirCapacity(t *testing.T) {
	const needed = 50
	for _, engines := range []int{24, 40} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(engines, "/", seed), func(t *testing.T) {
				t.Parallel()
				p := (&placementSim{prefillDelays: true}).play(seed, overloadKinds, 60, engines, 12*time.Second)
				for k, kind := range p.kinds {
					t.Logf("%s: %d sent, %d in time, %d refused", kind.name, p.sent[k], p.inTime[k], p.refused[k])
				}
				t.Logf("value %.3f", p.value())
				assert.Greater(t, p.value(), 0.5*math.Min(1, float64(engines)/needed))
			})
		}
	}
}
