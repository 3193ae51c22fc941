// SPDX-License-Identifier: MIT

package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"streambend.example/seam"
	"streambend.example/version"
)

// Hour is a generated hour of prices, demand, reclaims and refused starts, sampled every Tick.
type Hour struct {
	Tick    time.Duration
	Prices  [][]seam.Price
	Demand  []float64         // boxes that the demand needs
	Reclaim []string          // zone whose reclaimable boxes get notice, "" for none
	Refused []map[string]bool // zones where reclaimable starts are refused
}

// Parameters of a generated hour.
const (
	hourTick    = 10 * time.Second
	bootTime    = 90 * time.Second
	noticeShort = 30 * time.Second
	spotLow     = 0.2 // fraction of the on-demand price
	spotHigh    = 0.5
	spotStep    = 0.03
)

// RecordHour generates an hour from a seed: prices follow a random walk, demand oscillates by half,
// zones are reclaimed at random (more likely the cheaper they are), and reclaimable starts in a zone
// are refused for some minutes after its reclaim.
func RecordHour(seed uint64, s version.Service) Hour {
	rng := rand.New(rand.NewPCG(seed, 9))
	h := Hour{Tick: hourTick}
	spot := make([]float64, len(s.Zones))
	shut := make([]time.Duration, len(s.Zones))
	for i := range spot {
		spot[i] = spotLow + (spotHigh-spotLow)*rng.Float64()
	}
	for at := time.Duration(0); at < time.Hour; at += hourTick {
		var prices []seam.Price
		refused := make(map[string]bool)
		reclaim := ""
		for i, z := range s.Zones {
			spot[i] = math.Min(spotHigh, math.Max(spotLow, spot[i]+spotStep*(rng.Float64()-0.5)))
			prices = append(prices,
				seam.Price{Zone: z, Class: s.Class, Hourly: 4},
				seam.Price{Zone: z, Class: s.Class, Reclaimable: true, Hourly: 4 * spot[i]})
			if rng.Float64() < 0.008*spotLow/spot[i] {
				reclaim, shut[i] = z, at+time.Duration(3+rng.IntN(6))*time.Minute
			}
			refused[z] = at < shut[i]
		}
		wave := 1 + 0.5*math.Sin(2*math.Pi*at.Hours()*2)
		h.Prices = append(h.Prices, prices)
		h.Demand = append(h.Demand, 8*wave+rng.Float64())
		h.Reclaim = append(h.Reclaim, reclaim)
		h.Refused = append(h.Refused, refused)
	}
	return h
}

// Outcome is the result of a placement policy for an hour.
type Outcome struct {
	Policy     version.Policy `json:"policy"`
	Extra      float64        `json:"extra"` // factor by which the demand given to the policy is multiplied
	Cost       float64        `json:"cost"`
	Attainment float64        `json:"attainment"` // fraction of the interactive work done without delay
	Done       float64        `json:"done"`       // fraction of all work done within the hour
	Doubled    int            `json:"doubled"`    // start orders whose token a box already had
}

// replay is the state of a simulation of one policy over an hour.
type replay struct {
	s       version.Service
	h       Hour
	p       version.Policy
	extra   float64
	boxes   []seam.Box
	ready   map[string]time.Time
	refused map[version.BoxKind]time.Time
	dear    map[string]time.Time
	lost    map[string]float64
	surplus time.Time
	peak    float64
	nextID  int
	out     Outcome
}

// Replay simulates a placement policy over an hour. Extra multiplies the demand that is passed to the
// policy, so that policies can be compared at the same attainment.
func Replay(h Hour, s version.Service, p version.Policy, extra float64) Outcome {
	r := &replay{
		s: s, h: h, p: p, extra: extra, ready: make(map[string]time.Time), refused: make(map[version.BoxKind]time.Time),
		dear: make(map[string]time.Time), lost: make(map[string]float64), out: Outcome{Policy: p, Extra: extra},
	}
	start := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	// Start with the boxes that the policy orders, all ready.
	r.order(start.Add(-time.Hour), 0)
	for id := range r.ready {
		r.ready[id] = start
	}
	var atOnce, urgent, done, all, backlog float64
	for i := range h.Demand {
		now := start.Add(time.Duration(i) * h.Tick)
		r.reclaim(now, i)
		r.order(now, i)
		up := r.serving(now)
		need := h.Demand[i] * s.Interactive
		atOnce += math.Min(up, need)
		urgent += need
		backlog += h.Demand[i] * (1 - s.Interactive)
		patient := math.Min(backlog, math.Max(0, up-need))
		backlog -= patient
		done += math.Min(up, need) + patient
		all += h.Demand[i]
		r.bill(i)
	}
	r.out.Attainment, r.out.Done = atOnce/urgent, done/all
	return r.out
}

// reclaim removes boxes whose notice period has ended and gives notice to those of the zone
// that is reclaimed at tick i.
func (r *replay) reclaim(now time.Time, i int) {
	for j := range r.boxes {
		b := &r.boxes[j]
		if b.State == seam.BoxLeaving && !now.Before(b.Deadline) {
			b.State = seam.BoxGone
		}
		if b.State < seam.BoxLeaving && b.Reclaimable && b.Zone == r.h.Reclaim[i] {
			b.State, b.Deadline = seam.BoxLeaving, now.Add(noticeShort)
			r.lost[b.Zone]++
		}
	}
}

// order runs the policy and applies its decision.
func (r *replay) order(now time.Time, i int) {
	r.peak = math.Max(r.h.Demand[i], r.peak*math.Pow(0.5, r.h.Tick.Minutes()/2))
	in := version.PlaceInput{
		Service: r.s, Need: int(math.Ceil(r.peak * r.extra)), Prices: r.h.Prices[i], Boxes: r.boxes,
		Refused: r.refused, Dear: r.dear, Swap: 10 * time.Minute, Hold: 2 * time.Minute, Loss: make(map[string]float64),
	}
	for z, n := range r.lost {
		in.Loss[z] = n / float64(max(1, r.s.MaxBoxes/len(r.s.Zones)))
	}
	alive := 0
	for _, b := range r.boxes {
		if b.State < seam.BoxLeaving {
			alive++
			if !version.IsDear(in, b) {
				delete(r.dear, b.ID)
			} else if _, ok := r.dear[b.ID]; !ok {
				r.dear[b.ID] = now
			}
		}
	}
	in.Surplus = r.surplus
	d := version.Place(now, in, r.p)
	if alive <= d.Want {
		r.surplus = time.Time{}
	} else if r.surplus.IsZero() {
		r.surplus = now
	}
	for _, o := range d.Starts {
		r.start(now, o, i)
	}
	for _, id := range d.Stops {
		for j := range r.boxes {
			if r.boxes[j].ID == id {
				r.boxes[j].State = seam.BoxGone
			}
		}
	}
	r.prune()
}

// prune drops boxes that are gone and whose slot has a newer box, as the platform's list
// eventually does.
func (r *replay) prune() {
	newest := make(map[string]int)
	for _, b := range r.boxes {
		slot, gen := version.SplitToken(b.Token)
		newest[slot] = max(newest[slot], gen)
	}
	r.boxes = slices.DeleteFunc(r.boxes, func(b seam.Box) bool {
		slot, gen := version.SplitToken(b.Token)
		return b.State == seam.BoxGone && gen < newest[slot]
	})
}

func (r *replay) start(now time.Time, o seam.StartOrder, i int) {
	if o.Reclaimable && r.h.Refused[i][o.Zone] {
		r.refused[version.BoxKind{Zone: o.Zone, Class: o.Class, Reclaimable: true}] = now.Add(time.Minute)
		return
	}
	for _, b := range r.boxes {
		if b.Token == o.Token {
			r.out.Doubled++
			return
		}
	}
	r.nextID++
	id := fmt.Sprintf("box-%04d", r.nextID)
	r.boxes = append(r.boxes, seam.Box{
		ID: id, Token: o.Token, Partner: o.Partner, Service: o.Service, Zone: o.Zone, Class: o.Class,
		Reclaimable: o.Reclaimable, State: seam.BoxLive,
	})
	r.ready[id] = now.Add(bootTime)
}

// serving returns the number of boxes that have booted and are not gone.
func (r *replay) serving(now time.Time) float64 {
	n := 0.0
	for _, b := range r.boxes {
		if b.State < seam.BoxGone && !now.Before(r.ready[b.ID]) {
			n++
		}
	}
	return n
}

// bill adds the cost of one tick.
func (r *replay) bill(i int) {
	for _, b := range r.boxes {
		if b.State == seam.BoxGone {
			continue
		}
		for _, p := range r.h.Prices[i] {
			if p.Zone == b.Zone && p.Class == b.Class && p.Reclaimable == b.Reclaimable {
				r.out.Cost += p.Hourly * r.h.Tick.Hours()
			}
		}
	}
}

// PlacementService returns the service that Replay simulates.
func PlacementService() version.Service {
	s := services()[0]
	s.MinBoxes, s.MaxBoxes, s.HourlyBound = 4, 40, 1000
	return s
}

// demandMultipliers are the demand multipliers that AtAttainment tries, in order.
var demandMultipliers = [...]float64{1, 1.5, 3}

// minDone is the minimum fraction of all work that must be done within the hour.
const minDone = 0.95

// AtAttainment returns the outcome of a policy, averaged over hours of several seeds, at the smallest
// demand multiplier that attains a fraction of the interactive work and doneShare of all work. If none
// does, it returns the outcome at the largest multiplier and false.
func AtAttainment(p version.Policy, share float64, seeds int) (Outcome, bool) {
	s := PlacementService()
	var best Outcome
	for _, extra := range demandMultipliers {
		sum := Outcome{Policy: p, Extra: extra}
		for seed := range seeds {
			o := Replay(RecordHour(uint64(seed+1), s), s, p, extra)
			sum.Cost += o.Cost / float64(seeds)
			sum.Attainment += o.Attainment / float64(seeds)
			sum.Done += o.Done / float64(seeds)
			sum.Doubled += o.Doubled
		}
		if best = sum; sum.Attainment >= share && sum.Done >= minDone {
			return sum, true
		}
	}
	return best, false
}
