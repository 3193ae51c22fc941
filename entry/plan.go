// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"math"
	"slices"

	"streambend.example/version"
)

const (
	// spotUse and firmUse are the shares of their time that engines are to spend
	// reading prompts. Reclaimable ones are cheap, so there are enough of them
	// that a zone's loss is borne; those that cannot be reclaimed only keep the
	// rest from being too few.
	spotUse = 0.25
	firmUse = 0.55
	// placeUse is the share of their places that are to be taken.
	placeUse = 0.7
)

// ScaleKind is one kind of endpoint of a service in a zone.
type ScaleKind struct {
	Zone        string
	Reclaimable bool
}

// ScaleState is what is known of a service's endpoints.
type ScaleState struct {
	Scaling version.Scaling
	Base    map[string]int    // endpoints by zone that the service was found with
	Live    map[ScaleKind]int // that take requests
	Coming  map[ScaleKind]int // that are ordered and still start
	Need    float64           // endpoints that would work all the time; negative while not known
	Dry     bool              // reclaimable endpoints were refused lately
	Idle    bool              // the system has just begun, and nothing is asked of the service yet
}

// ScaleOrder is a number of endpoints of a kind.
type ScaleOrder struct {
	ScaleKind
	Count int
}

// PlanScale decides how many endpoints of each kind a service should have:
// reclaimable ones spread over the zones, and others only as far as too few of
// those are to be had.
func PlanScale(s ScaleState) []ScaleOrder {
	zones := slices.Sorted(maps.Keys(s.Scaling.ZonePrices))
	base, spot := 0, 0
	for _, z := range zones {
		base += s.Base[z]
		spot += s.Live[ScaleKind{z, true}] + s.Coming[ScaleKind{z, true}]
	}
	wantSpot, wantAll := base, base/2
	if s.Need >= 0 {
		wantSpot = max(wantSpot, int(math.Ceil(s.Need/spotUse)))
		wantAll = max(int(math.Ceil(s.Need/firmUse)), len(zones)*s.Scaling.Least)
	}
	out := planSpot(s, zones, wantSpot)
	sure := spot
	if s.Dry {
		sure -= s.largestZone(zones) // it may be the next to go, and nothing takes its place in time
	}
	firm := max(0, wantAll-sure)
	if s.Need < 0 && !s.Idle {
		return s.atLeastLive(out, zones)
	}
	if s.Idle && spot > 0 {
		firm = 0 // what is ordered is there before the first requests
	}
	return append(out, planFirm(s, zones, firm)...)
}

// largestZone returns the most reclaimable endpoints that one zone has.
func (s ScaleState) largestZone(zones []string) (most int) {
	for _, z := range zones {
		most = max(most, s.Live[ScaleKind{z, true}])
	}
	return most
}

// atLeastLive keeps what is there, for a holder that does not know yet what is
// asked of the service.
func (s ScaleState) atLeastLive(plan []ScaleOrder, zones []string) []ScaleOrder {
	for i, o := range plan {
		plan[i].Count = max(o.Count, s.Live[o.ScaleKind]+s.Coming[o.ScaleKind])
	}
	for _, z := range zones {
		k := ScaleKind{z, false}
		plan = append(plan, ScaleOrder{k, s.Live[k]})
	}
	return plan
}

// planSpot spreads reclaimable endpoints evenly over the zones, since a zone's
// are taken away together.
func planSpot(s ScaleState, zones []string, want int) []ScaleOrder {
	var out []ScaleOrder
	for i, z := range zones {
		n := want / len(zones)
		if i < want%len(zones) {
			n++
		}
		out = append(out, ScaleOrder{ScaleKind{z, true}, min(max(n, s.Scaling.Least), s.Scaling.Most)})
	}
	return out
}

// planFirm spreads endpoints that cannot be reclaimed over the cheapest zones,
// keeping those that are there already.
func planFirm(s ScaleState, zones []string, firm int) []ScaleOrder {
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int {
		la, lb := s.Live[ScaleKind{a, false}], s.Live[ScaleKind{b, false}]
		if (la > 0) != (lb > 0) {
			if la > 0 {
				return -1
			}
			return 1
		}
		switch pa, pb := s.Scaling.ZonePrices[a], s.Scaling.ZonePrices[b]; {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	var out []ScaleOrder
	for _, z := range byPrice {
		room := max(0, s.Scaling.Most-s.Live[ScaleKind{z, true}])
		n := min(firm, room)
		firm -= n
		out = append(out, ScaleOrder{ScaleKind{z, false}, n})
	}
	return out
}
