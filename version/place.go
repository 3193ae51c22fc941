// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"streambend.example/seam"
)

// Policy is the name of a placement policy.
type Policy string

// Placement policies: the production policy Ours, and baselines for comparison.
const (
	Ours     Policy = "ours"
	OnDemand Policy = "on-demand" // no reclaimable boxes
	Greedy   Policy = "greedy"    // the cheapest kind in any zone
	Spread   Policy = "spread"    // reclaimable boxes, the same number in each zone
)

// BoxKind identifies a kind of box that the cloud offers.
type BoxKind struct {
	Zone        string
	Class       string
	Reclaimable bool
}

// Allotment is the number of boxes of a kind that a policy allocates.
type Allotment struct {
	BoxKind
	Hourly float64 // price per box and hour
	Count  int
}

// PlaceInput is the input of a placement decision.
type PlaceInput struct {
	Service Service
	Need    int // boxes required by the demand
	Prices  []seam.Price
	Boxes   []seam.Box            // boxes of the service, including terminated ones
	Refused map[BoxKind]time.Time // time until which a kind is not requested
	Loss    map[string]float64    // fraction of a zone's boxes lost per hour
	Swap    time.Duration         // how long a better price must persist before a box is replaced; 0 for never
	Dear    map[string]time.Time  // by box id, since when its price exceeds swapRatio times the best
	Hold    time.Duration         // how long a surplus must persist before boxes are stopped
	Surplus time.Time             // since when there is a surplus; zero for none
}

// PlaceDecision is the result of Place.
type PlaceDecision struct {
	Starts  []seam.StartOrder
	Stops   []string
	Want    int
	Present int
	Reason  string
}

// swapRatio is the ratio of a box's price to the best price above which it is replaced.
const swapRatio = 1.5

// Target returns the number of boxes that Ours allocates for a need, and the maximum per
// zone, such that the remaining boxes carry the interactive work after the loss of the
// largest zone.
func Target(s Service, need int) (total, perZone int) {
	need = min(max(need, s.MinBoxes), s.MaxBoxes)
	interactive := int(math.Ceil(float64(need) * s.Interactive))
	zones := len(s.Zones)
	for total = need; total < s.MaxBoxes; total++ {
		perZone = total - interactive
		if perZone*zones >= total {
			break
		}
	}
	return total, max(total-interactive, (total+zones-1)/zones)
}

// candidates returns the kinds that may be requested, sorted by effective price.
func candidates(now time.Time, in PlaceInput, p Policy) []Allotment {
	var out []Allotment
	for _, pr := range in.Prices {
		k := BoxKind{Zone: pr.Zone, Class: pr.Class, Reclaimable: pr.Reclaimable}
		if pr.Class != in.Service.Class || !slices.Contains(in.Service.Zones, pr.Zone) {
			continue
		}
		if now.Before(in.Refused[k]) {
			continue
		}
		if pr.Reclaimable == (p == OnDemand) {
			if p != Ours {
				continue
			}
		}
		out = append(out, Allotment{BoxKind: k, Hourly: pr.Hourly})
	}
	slices.SortFunc(out, func(a, b Allotment) int {
		return cmp.Or(cmp.Compare(effectivePrice(in, a), effectivePrice(in, b)), strings.Compare(a.Zone, b.Zone))
	})
	return out
}

// effectivePrice returns the price of a kind including expected losses: the replacement of a
// lost box is paid for while it starts and does not serve.
func effectivePrice(in PlaceInput, a Allotment) float64 {
	if !a.Reclaimable {
		return a.Hourly
	}
	return a.Hourly * (1 + in.Loss[a.Zone])
}

// allocate returns a complete allocation for an empty fleet, for plans.
func allocate(in PlaceInput, p Policy) []Allotment {
	kinds := candidates(time.Time{}, in, p)
	total, perZone := Target(in.Service, in.Need)
	left := total
	var out []Allotment
	for _, k := range kinds {
		n := left
		if k.Reclaimable {
			n = min(n, perZone)
		}
		if n == 0 {
			continue
		}
		k.Count = n
		left -= n
		out = append(out, k)
	}
	return out
}

// fleet is the fleet state used by a placement decision.
type fleet struct {
	in          PlaceInput
	alive       []seam.Box
	perZone     map[string]int      // number of live reclaimable boxes by zone
	hourly      map[BoxKind]float64 // current price
	generations map[string]int      // highest generation seen, by slot prefix
	occupied    map[string]bool     // slot prefixes of live boxes
	spent       float64
}

func newFleet(in PlaceInput) *fleet {
	v := &fleet{
		in: in, perZone: make(map[string]int), hourly: make(map[BoxKind]float64),
		generations: make(map[string]int), occupied: make(map[string]bool),
	}
	for _, p := range in.Prices {
		v.hourly[BoxKind{Zone: p.Zone, Class: p.Class, Reclaimable: p.Reclaimable}] = p.Hourly
	}
	for _, b := range in.Boxes {
		slot, gen := SplitToken(b.Token)
		v.generations[slot] = max(v.generations[slot], gen)
		if b.State == seam.BoxStarting || b.State == seam.BoxLive {
			v.occupied[slot] = true
			v.alive = append(v.alive, b)
			v.spent += v.price(b)
			if b.Reclaimable {
				v.perZone[b.Zone]++
			}
		}
	}
	return v
}

func kindOf(b seam.Box) BoxKind {
	return BoxKind{Zone: b.Zone, Class: b.Class, Reclaimable: b.Reclaimable}
}

func (v *fleet) price(b seam.Box) float64 {
	if p, ok := v.hourly[kindOf(b)]; ok {
		return p
	}
	return b.Price
}

// slotPrefix returns the token prefix of a slot for a service and kind.
func slotPrefix(service string, k BoxKind, slot int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%s|%s|%t", service, k.Zone, k.Class, k.Reclaimable))
	return fmt.Sprintf("%016x-%d", h, slot)
}

// SplitToken splits a start token into its slot prefix and generation.
func SplitToken(token string) (slot string, gen int) {
	i := strings.LastIndexByte(token, '-')
	if i < 0 {
		return token, 0
	}
	gen, err := strconv.Atoi(token[i+1:])
	if err != nil {
		return token, 0
	}
	return token[:i], gen
}

// NextGeneration returns the token to try next if the box of a token has already
// terminated and is no longer listed.
func NextGeneration(token string) string {
	slot, gen := SplitToken(token)
	return fmt.Sprintf("%s-%d", slot, gen+1)
}

// start returns a start order for the lowest free slot of a kind. Daemons that decide
// from the same boxes select the same slot, so a duplicate order has no further effect.
func (v *fleet) start(k BoxKind) seam.StartOrder {
	for slot := 0; ; slot++ {
		p := slotPrefix(v.in.Service.Key(), k, slot)
		if v.occupied[p] {
			continue
		}
		v.occupied[p] = true
		if k.Reclaimable {
			v.perZone[k.Zone]++
		}
		v.spent += v.hourly[k]
		return seam.StartOrder{
			Token: fmt.Sprintf("%s-%d", p, v.generations[p]+1), Partner: v.in.Service.Partner, Service: v.in.Service.Name,
			Zone: k.Zone, Class: k.Class, Reclaimable: k.Reclaimable,
		}
	}
}

// Place decides which boxes to start and stop at now.
func Place(now time.Time, in PlaceInput, p Policy) PlaceDecision {
	v := newFleet(in)
	total, perZone := targetOf(in, p)
	d := PlaceDecision{Want: total, Present: len(v.alive)}
	kinds := candidates(now, in, p)
	for n := len(v.alive); n < total; n++ {
		k, ok := v.cheapestAllowed(kinds, perZone, p)
		if !ok {
			d.Reason = "no kind left under the bound"
			break
		}
		d.Starts = append(d.Starts, v.start(k.BoxKind))
	}
	switch surplus := len(v.alive) - total; {
	case len(d.Starts) > 0:
		d.Reason = fmt.Sprintf("%d short", total-len(v.alive))
	case surplus > 0 && !in.Surplus.IsZero() && now.Sub(in.Surplus) >= in.Hold:
		d.Stops = v.mostExpensive(surplus, perZone)
		d.Reason = fmt.Sprintf("%d over for %s", surplus, now.Sub(in.Surplus))
	case surplus == 0 && p == Ours:
		v.replaceOverpriced(now, kinds, perZone, &d)
	}
	return d
}

func targetOf(in PlaceInput, p Policy) (total, perZone int) {
	need := min(max(in.Need, in.Service.MinBoxes), in.Service.MaxBoxes)
	switch p {
	case Ours:
		return Target(in.Service, in.Need)
	case Spread:
		zones := len(in.Service.Zones)
		per := (in.Service.MaxBoxes + zones - 1) / zones
		return per * zones, per
	default:
		return need, need
	}
}

// cheapestAllowed returns the cheapest kind within the zone limit and, for Ours, the cost bound.
func (v *fleet) cheapestAllowed(kinds []Allotment, perZone int, p Policy) (Allotment, bool) {
	for _, k := range kinds {
		if k.Reclaimable && v.perZone[k.Zone] >= perZone {
			continue
		}
		if p == Ours && v.spent+k.Hourly > v.in.Service.HourlyBound {
			continue
		}
		return k, true
	}
	return Allotment{}, false
}

// mostExpensive returns the ids of n boxes to stop: first those in zones over the limit, then
// those with the highest current price.
func (v *fleet) mostExpensive(n, perZone int) []string {
	bs := slices.Clone(v.alive)
	over := func(b seam.Box) int {
		if b.Reclaimable && v.perZone[b.Zone] > perZone {
			return 1
		}
		return 0
	}
	slices.SortFunc(bs, func(a, b seam.Box) int {
		return cmp.Or(over(b)-over(a), cmp.Compare(v.price(b), v.price(a)), strings.Compare(a.ID, b.ID))
	})
	ids := make([]string, 0, n)
	for _, b := range bs[:n] {
		ids = append(ids, b.ID)
	}
	return ids
}

// replaceOverpriced starts one box of a cheaper kind if a live box has been overpriced for in.Swap. The
// resulting surplus later stops the overpriced box.
func (v *fleet) replaceOverpriced(now time.Time, kinds []Allotment, perZone int, d *PlaceDecision) {
	if v.in.Swap <= 0 {
		return
	}
	best, ok := v.cheapestAllowed(kinds, perZone, Ours)
	if !ok {
		return
	}
	for _, b := range v.alive {
		since, dear := v.in.Dear[b.ID]
		if dear && now.Sub(since) >= v.in.Swap && v.price(b) > swapRatio*best.Hourly {
			d.Starts = append(d.Starts, v.start(best.BoxKind))
			d.Reason = fmt.Sprintf("%s costs %.2f, %s %.2f", b.ID, v.price(b), best.Zone, best.Hourly)
			return
		}
	}
}

// IsDear reports whether a box costs more than swapRatio times the cheapest kind of
// its class in the zones of the service.
func IsDear(in PlaceInput, b seam.Box) bool {
	v := newFleet(in)
	best := math.Inf(1)
	for _, p := range in.Prices {
		if p.Class == b.Class && slices.Contains(in.Service.Zones, p.Zone) {
			best = math.Min(best, p.Hourly)
		}
	}
	return v.price(b) > swapRatio*best
}
