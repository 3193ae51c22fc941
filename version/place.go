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

// Policy names a placement policy.
type Policy string

// The placement policies: ours and the baselines that it is measured against.
const (
	Ours     Policy = "ours"
	OnDemand Policy = "on-demand" // no reclaimable box
	Greedy   Policy = "greedy"    // the cheapest kind, whatever its zone
	Spread   Policy = "spread"    // reclaimable, the same number in each zone
)

// BoxKind is what the cloud is asked for.
type BoxKind struct {
	Zone        string
	Class       string
	Reclaimable bool
}

// Allotment is how many boxes of a kind a policy wants.
type Allotment struct {
	BoxKind
	Hourly float64 // price of one box an hour
	Count  int
}

// PlaceInput is what a placement decision rests on.
type PlaceInput struct {
	Service Service
	Need    int // boxes that the demand needs
	Prices  []seam.Price
	Boxes   []seam.Box            // of the service, gone ones too
	Refused map[BoxKind]time.Time // until when a kind is not asked for
	Loss    map[string]float64    // share of a zone's boxes lost an hour
	Swap    time.Duration         // how long a better price must stand; zero for never
	Dear    map[string]time.Time  // since when a box is dearer than the best by swapRatio
	Hold    time.Duration         // how long a surplus must stand before a stop
	Surplus time.Time             // since when there is one; zero for none
}

// PlaceDecision is what to order now.
type PlaceDecision struct {
	Starts  []seam.StartOrder
	Stops   []string
	Want    int
	Present int
	Reason  string
}

// swapRatio is how much dearer than the best kind a box must be before it is
// replaced for its price.
const swapRatio = 1.5

// Target returns how many boxes ours wants for a need, and how many of them
// one zone may hold: after the loss of the largest zone the rest still carry
// the interactive work.
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

// candidates returns the kinds that may be asked for, the cheapest first.
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
		return cmp.Or(cmp.Compare(effective(in, a), effective(in, b)), strings.Compare(a.Zone, b.Zone))
	})
	return out
}

// effective is the price of a kind with its expected losses: a lost box is
// paid for while it starts and does not serve.
func effective(in PlaceInput, a Allotment) float64 {
	if !a.Reclaimable {
		return a.Hourly
	}
	return a.Hourly * (1 + in.Loss[a.Zone])
}

// allocate returns a whole allotment from nothing, for plans.
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

// view is the state of the fleet that a placement decision works on.
type view struct {
	in     PlaceInput
	alive  []seam.Box
	zone   map[string]int      // reclaimable boxes alive, by zone
	hourly map[BoxKind]float64 // price now
	used   map[string]int      // slot prefix to highest generation seen
	busy   map[string]bool     // slot prefix of boxes alive
	spent  float64
}

func newView(in PlaceInput) *view {
	v := &view{
		in: in, zone: make(map[string]int), hourly: make(map[BoxKind]float64),
		used: make(map[string]int), busy: make(map[string]bool),
	}
	for _, p := range in.Prices {
		v.hourly[BoxKind{Zone: p.Zone, Class: p.Class, Reclaimable: p.Reclaimable}] = p.Hourly
	}
	for _, b := range in.Boxes {
		slot, gen := SplitToken(b.Token)
		v.used[slot] = max(v.used[slot], gen)
		if b.State == seam.BoxStarting || b.State == seam.BoxLive {
			v.busy[slot] = true
			v.alive = append(v.alive, b)
			v.spent += v.price(b)
			if b.Reclaimable {
				v.zone[b.Zone]++
			}
		}
	}
	return v
}

func kindOf(b seam.Box) BoxKind {
	return BoxKind{Zone: b.Zone, Class: b.Class, Reclaimable: b.Reclaimable}
}

func (v *view) price(b seam.Box) float64 {
	if p, ok := v.hourly[kindOf(b)]; ok {
		return p
	}
	return b.Price
}

// slotPrefix names a slot of a kind of a service.
func slotPrefix(service string, k BoxKind, slot int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%s|%s|%t", service, k.Zone, k.Class, k.Reclaimable))
	return fmt.Sprintf("%016x-%d", h, slot)
}

// SplitToken returns the slot that a start token names and its generation.
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

// NextGeneration returns the token to try when the box that a token names is
// gone already, although the list no longer shows it.
func NextGeneration(token string) string {
	slot, gen := SplitToken(token)
	return fmt.Sprintf("%s-%d", slot, gen+1)
}

// start takes the lowest free slot of a kind. Whoever decides from the same
// boxes takes the same slot, so a second order for it has no second effect.
func (v *view) start(k BoxKind) seam.StartOrder {
	for slot := 0; ; slot++ {
		p := slotPrefix(v.in.Service.Key(), k, slot)
		if v.busy[p] {
			continue
		}
		v.busy[p] = true
		if k.Reclaimable {
			v.zone[k.Zone]++
		}
		v.spent += v.hourly[k]
		return seam.StartOrder{
			Token: fmt.Sprintf("%s-%d", p, v.used[p]+1), Partner: v.in.Service.Partner, Service: v.in.Service.Name,
			Zone: k.Zone, Class: k.Class, Reclaimable: k.Reclaimable,
		}
	}
}

// Place decides which boxes to start and stop now.
func Place(now time.Time, in PlaceInput, p Policy) PlaceDecision {
	v := newView(in)
	total, perZone := targetOf(in, p)
	d := PlaceDecision{Want: total, Present: len(v.alive)}
	kinds := candidates(now, in, p)
	for n := len(v.alive); n < total; n++ {
		k, ok := v.choose(kinds, perZone, p)
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
		d.Stops = v.dearest(surplus, perZone)
		d.Reason = fmt.Sprintf("%d over for %s", surplus, now.Sub(in.Surplus))
	case surplus == 0 && p == Ours:
		v.swap(now, kinds, perZone, &d)
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

// choose returns the cheapest kind with room left under the zone's limit and
// the cost bound.
func (v *view) choose(kinds []Allotment, perZone int, p Policy) (Allotment, bool) {
	for _, k := range kinds {
		if k.Reclaimable && v.zone[k.Zone] >= perZone {
			continue
		}
		if p == Ours && v.spent+k.Hourly > v.in.Service.HourlyBound {
			continue
		}
		return k, true
	}
	return Allotment{}, false
}

// dearest returns the n boxes to stop: those of zones over their limit first,
// then by price now.
func (v *view) dearest(n, perZone int) []string {
	bs := slices.Clone(v.alive)
	over := func(b seam.Box) int {
		if b.Reclaimable && v.zone[b.Zone] > perZone {
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

// swap starts one box of a better kind when one alive has been too dear for
// long enough; the surplus then ends the dear one.
func (v *view) swap(now time.Time, kinds []Allotment, perZone int, d *PlaceDecision) {
	if v.in.Swap <= 0 {
		return
	}
	best, ok := v.choose(kinds, perZone, Ours)
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

// IsDear reports whether a box costs more than swapRatio times the cheapest
// kind of its class.
func IsDear(in PlaceInput, b seam.Box) bool {
	v := newView(in)
	best := math.Inf(1)
	for _, p := range in.Prices {
		if p.Class == b.Class && slices.Contains(in.Service.Zones, p.Zone) {
			best = math.Min(best, p.Hourly)
		}
	}
	return v.price(b) > swapRatio*best
}
