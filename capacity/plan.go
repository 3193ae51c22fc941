// SPDX-License-Identifier: MIT

package capacity

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// spareCost is the cost of reclaimable endpoints beyond those needed, as a share of the cost of
	// the needed ones on demand. A whole zone is reclaimed at once, often a second one soon after,
	// and the endpoints left over process prompts faster meanwhile. At 0.22 of the price on demand
	// it amounts to three times the needed number: with two, three and four times, days with
	// reclaims earned 0.556, 0.576 and 0.565 of their value.
	spareCost = 0.45
	// earlyShare is the part of the maximum over all zones that is ordered at a first start, before
	// the existing endpoints are counted. Services had a third to a half of the maximum at that
	// time.
	earlyShare = 0.4
)

// Kind is a zone and purchase type of a service's endpoints.
type Kind struct {
	Zone        string
	Reclaimable bool
}

// Limits are the bounds and prices of orders.
type Limits struct {
	Least      int                // endpoints in each zone
	Most       int                // endpoints in each zone, of both kinds
	Startup    time.Duration      // time from the order to the first request
	SpotPrice  float64            // price of a reclaimable endpoint, as a share of the zone's price
	ZonePrices map[string]float64 // relative price of each zone
}

// State is the known state of a service's endpoints.
type State struct {
	Limits
	Found                  map[string]int // endpoints by zone that existed at the start
	Live                   map[Kind]int   // endpoints that accept requests
	Serving                map[Kind]int   // those of them that have answered a request
	Starting               map[Kind]int   // endpoints that are ordered and still starting
	Enough                 int            // endpoints needed for the load; negative while unknown
	ReclaimableUnavailable bool           // orders of reclaimable endpoints are in backoff in some zone after a refusal
	Idle                   bool           // the system has just started, and the service has no load yet
	Early                  bool           // the endpoints that existed at the start are not counted yet
	NoPrice                bool           // order twice the needed reclaimable endpoints at any price, for comparison
	NoHold                 bool           // count starting endpoints as serving, for comparison
}

// Order is a number of endpoints of a kind.
type Order struct {
	Kind
	Count int
}

// Plan returns the number of endpoints of each kind that a service should have: reclaimable ones
// spread over the zones, and ones on demand for those that are not dependably available.
func Plan(s State) []Order {
	zones := slices.Sorted(maps.Keys(s.ZonePrices))
	if len(zones) == 0 {
		return nil
	}
	if s.Enough < 0 {
		return s.planWithoutLoad(zones)
	}
	s.Enough = max(s.Enough, len(zones)*s.Least)
	out := s.spread(zones, s.reclaimable(zones))
	return append(out, s.onDemand(zones, s.onDemandCount(zones))...)
}

// planWithoutLoad is the plan while the load is unknown: existing endpoints are replaced by
// reclaimable ones, before the first request if there is no load yet.
func (s State) planWithoutLoad(zones []string) []Order {
	found, coming := 0, 0
	for _, z := range zones {
		found += s.Found[z]
		coming += s.Live[Kind{z, true}] + s.Starting[Kind{z, true}]
	}
	if s.Early {
		found = max(found, int(earlyShare*float64(s.Most*len(zones))))
	}
	out := s.spread(zones, found)
	if s.Idle && coming > 0 {
		return append(out, s.onDemand(zones, 0)...)
	}
	if s.Idle {
		return append(out, s.onDemand(zones, found/2)...)
	}
	for i, o := range out {
		out[i].Count = max(o.Count, s.Live[o.Kind]+s.Starting[o.Kind])
	}
	for _, z := range zones {
		k := Kind{z, false}
		out = append(out, Order{k, s.Live[k]})
	}
	return out
}

// reclaimable returns how many reclaimable endpoints there should be. More than the needed number in
// each zone would have no benefit.
func (s State) reclaimable(zones []string) int {
	factor := 1 + spareCost/math.Max(s.SpotPrice, 0.01)
	if s.NoPrice {
		factor = 2
	}
	return int(math.Ceil(math.Min(factor, float64(len(zones))) * float64(s.Enough)))
}

// spread distributes reclaimable endpoints evenly over the zones, since those of a zone are
// reclaimed together.
func (s State) spread(zones []string, want int) []Order {
	out := make([]Order, 0, 2*len(zones))
	for i, z := range zones {
		n := want / len(zones)
		if i < want%len(zones) {
			n++
		}
		out = append(out, Order{Kind{z, true}, min(max(n, s.Least), s.Most)})
	}
	return out
}

// dependable returns how many reclaimable endpoints will be there while new orders start. While none
// are available to order it leaves out the zone with the most of them, which may be reclaimed next.
func (s State) dependable(zones []string, counts ...map[Kind]int) int {
	sum, largestZone := 0, 0
	for _, z := range zones {
		n := 0
		for _, c := range counts {
			n += c[Kind{z, true}]
		}
		sum += n
		largestZone = max(largestZone, n)
	}
	if s.ReclaimableUnavailable {
		sum -= largestZone
	}
	return sum
}

// onDemandCount returns how many endpoints on demand there should be. More are ordered if too few
// endpoints are serving or starting; none is given up before reclaimable ones serve in its place.
func (s State) onDemandCount(zones []string) int {
	maxOnDemand := max(0, s.Enough-s.dependable(zones, s.Serving))
	minOnDemand := max(0, s.Enough-s.dependable(zones, s.Live, s.Starting))
	if s.NoHold {
		return minOnDemand
	}
	have := 0
	for _, z := range zones {
		have += s.Live[Kind{z, false}] + s.Starting[Kind{z, false}]
	}
	return min(max(have, minOnDemand), max(maxOnDemand, minOnDemand))
}

// onDemand distributes endpoints on demand over the cheapest zones, after those that already have
// some.
func (s State) onDemand(zones []string, want int) []Order {
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int {
		la, lb := s.Live[Kind{a, false}], s.Live[Kind{b, false}]
		if (la > 0) != (lb > 0) {
			if la > 0 {
				return -1
			}
			return 1
		}
		switch pa, pb := s.ZonePrices[a], s.ZonePrices[b]; {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	var out []Order
	for _, z := range byPrice {
		n := min(want, max(0, s.Most-s.Live[Kind{z, true}]))
		want -= n
		out = append(out, Order{Kind{z, false}, n})
	}
	return out
}
