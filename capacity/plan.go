// SPDX-License-Identifier: MIT

package capacity

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// spareCost is what is spent on reclaimable endpoints beyond those that are
	// needed, as a share of what the needed ones cost on demand. A zone's go at
	// once, often a second zone's soon after, and those that are left read faster
	// meanwhile. At 0.22 of the price on demand that is three times the needed
	// ones: with twice, three and four times, days with reclaims earned 0.556,
	// 0.576 and 0.565 of their worth.
	spareCost = 0.45
	// earlyShare is the part of the most that all zones may have which is ordered
	// before the endpoints found at a first start can be counted: what they were
	// then found with was a third to a half of it.
	earlyShare = 0.4
)

// Kind is one kind of endpoint of a service in a zone.
type Kind struct {
	Zone        string
	Reclaimable bool
}

// Limits are what may be ordered, and at which price.
type Limits struct {
	Least      int                // endpoints in each zone
	Most       int                // endpoints in each zone, of both kinds
	Startup    time.Duration      // from the order to the first request
	SpotPrice  float64            // of a reclaimable endpoint, as a share of the zone's price
	ZonePrices map[string]float64 // by zone, relative
}

// State is what is known of a service's endpoints.
type State struct {
	Limits
	Found   map[string]int // endpoints by zone that the service was found with
	Live    map[Kind]int   // that take requests
	Serving map[Kind]int   // those of them that have answered
	Coming  map[Kind]int   // that are ordered and still start
	Enough  int            // endpoints that serve the load; less than 0 while it is not known
	Dry     bool           // reclaimable endpoints were refused lately
	Idle    bool           // the system has just begun, and nothing is asked of the service yet
	Early   bool           // the endpoints that it was found with are not counted yet
	NoPrice bool           // twice the needed reclaimable ones at any price, for comparison
	NoHold  bool           // what is coming counts as serving, for comparison
}

// Order is a number of endpoints of a kind.
type Order struct {
	Kind
	Count int
}

// Plan decides how many endpoints of each kind a service should have: reclaimable
// ones spread over the zones, and others as far as too few of those are sure.
func Plan(s State) []Order {
	zones := slices.Sorted(maps.Keys(s.ZonePrices))
	if len(zones) == 0 {
		return nil
	}
	if s.Enough < 0 {
		return s.unknown(zones)
	}
	s.Enough = max(s.Enough, len(zones)*s.Least)
	out := s.spread(zones, s.reclaimable(zones))
	return append(out, s.onDemand(zones, s.firm(zones))...)
}

// unknown is the plan while the load is not known: what was there is replaced by
// reclaimable endpoints, before the first request if nothing is asked yet.
func (s State) unknown(zones []string) []Order {
	found, coming := 0, 0
	for _, z := range zones {
		found += s.Found[z]
		coming += s.Live[Kind{z, true}] + s.Coming[Kind{z, true}]
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
		out[i].Count = max(o.Count, s.Live[o.Kind]+s.Coming[o.Kind])
	}
	for _, z := range zones {
		k := Kind{z, false}
		out = append(out, Order{k, s.Live[k]})
	}
	return out
}

// reclaimable returns how many reclaimable endpoints there should be. More than
// as many as are needed in each zone would spare nothing.
func (s State) reclaimable(zones []string) int {
	times := 1 + spareCost/math.Max(s.SpotPrice, 0.01)
	if s.NoPrice {
		times = 2
	}
	return int(math.Ceil(math.Min(times, float64(len(zones))) * float64(s.Enough)))
}

// spread gives the zones even numbers of reclaimable endpoints, since a zone's are
// taken away together.
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

// sure returns how many reclaimable endpoints are sure to be there while what is
// ordered now starts. While none are to be had, that is without the zone with the
// most of them, which may be the next to go.
func (s State) sure(zones []string, counts ...map[Kind]int) int {
	sum, most := 0, 0
	for _, z := range zones {
		n := 0
		for _, c := range counts {
			n += c[Kind{z, true}]
		}
		sum += n
		most = max(most, n)
	}
	if s.Dry {
		sum -= most
	}
	return sum
}

// firm returns how many endpoints on demand there should be. More are ordered for
// what is neither serving nor starting; none is given up before reclaimable ones
// serve in its place.
func (s State) firm(zones []string) int {
	most := max(0, s.Enough-s.sure(zones, s.Serving))
	least := max(0, s.Enough-s.sure(zones, s.Live, s.Coming))
	if s.NoHold {
		return least
	}
	have := 0
	for _, z := range zones {
		have += s.Live[Kind{z, false}] + s.Coming[Kind{z, false}]
	}
	return min(max(have, least), max(most, least))
}

// onDemand spreads endpoints on demand over the cheapest zones, keeping those that
// are there already.
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
