// SPDX-License-Identifier: MIT

package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"streambend.example/entry"
	"streambend.example/version"
)

func spot(zone string) entry.ScaleKind { return entry.ScaleKind{Zone: zone, Reclaimable: true} }
func firm(zone string) entry.ScaleKind { return entry.ScaleKind{Zone: zone} }

func scaling() version.Scaling {
	return version.Scaling{Least: 1, Most: 6, Startup: 4 * time.Second, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.2, "d": 0.9}}
}

// counts returns a plan by kind, and its sums.
func counts(plan []entry.ScaleOrder) (by map[entry.ScaleKind]int, spots, firms int) {
	by = make(map[entry.ScaleKind]int)
	for _, o := range plan {
		by[o.ScaleKind] = o.Count
		if o.Reclaimable {
			spots += o.Count
		} else {
			firms += o.Count
		}
	}
	return by, spots, firms
}

func TestReclaimableEndpointsAreSpreadEvenly(t *testing.T) {
	by, spots, firms := counts(entry.PlanScale(entry.ScaleState{
		Scaling: scaling(), Base: map[string]int{"a": 3, "b": 2, "c": 2, "d": 2}, Need: 2.5,
		Live: map[entry.ScaleKind]int{spot("a"): 3, spot("b"): 3, spot("c"): 2, spot("d"): 2},
	}))
	assert.Equal(t, 10, spots, "busy a quarter of their time")
	assert.Equal(t, map[entry.ScaleKind]int{
		spot("a"): 3, spot("b"): 3, spot("c"): 2, spot("d"): 2, firm("a"): 0, firm("b"): 0, firm("c"): 0, firm("d"): 0,
	}, by)
	assert.Zero(t, firms)
}

func TestDearEndpointsFillWhatIsMissingInTheCheapestZone(t *testing.T) {
	by, _, firms := counts(entry.PlanScale(entry.ScaleState{
		Scaling: scaling(), Base: map[string]int{"a": 3, "b": 2, "c": 2, "d": 2}, Need: 3,
		Live: map[entry.ScaleKind]int{spot("a"): 2},
	}))
	assert.Equal(t, 4, firms, "six in all, busy a little over half of their time")
	assert.Equal(t, 4, by[firm("b")])
}

func TestWhileNoneAreToBeHadTheNextZoneIsBorne(t *testing.T) {
	s := entry.ScaleState{
		Scaling: scaling(), Base: map[string]int{"a": 3, "b": 3, "c": 3, "d": 3}, Need: 3,
		Live: map[entry.ScaleKind]int{spot("a"): 3, spot("b"): 3, spot("d"): 1},
	}
	_, _, firms := counts(entry.PlanScale(s))
	assert.Zero(t, firms, "seven are enough for six")
	s.Dry = true
	_, _, firms = counts(entry.PlanScale(s))
	assert.Equal(t, 2, firms, "four would be left without the largest zone")
}

func TestANewHolderTakesNothingAwayBeforeItKnowsTheDemand(t *testing.T) {
	live := map[entry.ScaleKind]int{spot("a"): 6, spot("b"): 5, firm("c"): 2}
	by, _, _ := counts(entry.PlanScale(entry.ScaleState{
		Scaling: scaling(), Base: map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}, Need: -1, Live: live,
	}))
	for k, n := range live {
		assert.GreaterOrEqual(t, by[k], n, "%v", k)
	}
}

func TestAPlanKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := entry.ScaleState{Scaling: scaling(), Base: make(map[string]int), Live: make(map[entry.ScaleKind]int), Need: rapid.Float64Range(-1, 30).Draw(t, "need")}
		for _, z := range []string{"a", "b", "c", "d"} {
			s.Base[z] = rapid.IntRange(0, 6).Draw(t, "base")
			s.Live[spot(z)] = rapid.IntRange(0, 3).Draw(t, "spot")
			s.Live[firm(z)] = rapid.IntRange(0, 3).Draw(t, "firm")
		}
		by, _, _ := counts(entry.PlanScale(s))
		for _, z := range []string{"a", "b", "c", "d"} {
			if by[spot(z)] > s.Scaling.Most || by[spot(z)] < s.Scaling.Least || by[firm(z)] < 0 || by[firm(z)] > s.Scaling.Most {
				t.Fatalf("%s: %d and %d", z, by[spot(z)], by[firm(z)])
			}
		}
	})
}
