// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/platform"
	"streambend.example/version"
)

const (
	// scaleTable is the store's table of what services were found with.
	scaleTable = "streambend-scale"
	// orderAgain is how long an order that was taken is waited for.
	orderAgain = 6 * time.Second
	// drySpell is how long after a refusal a kind in a zone is asked for again.
	drySpell = 1500 * time.Millisecond
	// dryMost is what that time grows to while refusals go on.
	dryMost = 5 * time.Second
	// countBeats is how many heartbeats after the first list of endpoints they
	// are counted: all were just started where the daemons were, and the last was
	// seen to write itself to the store 2.4 heartbeats after that list.
	countBeats = 2.7
	// spotUse and firmUse are the shares of their time that engines are to spend
	// reading prompts. Reclaimable ones are cheap, so there are enough of them
	// that a zone's loss is borne; those that cannot be reclaimed only keep the
	// rest from being too few.
	spotUse = 0.25
	firmUse = 0.55
	// placeUse is the share of their places that are to be taken.
	placeUse = 0.7
	// demandRise and demandFall are how fast the demand that is planned for
	// follows the demand that is seen.
	demandRise = 2 * time.Second
	demandFall = 8 * time.Second
	// firmHold is how long too many of the dear endpoints are kept, in case they
	// are needed again.
	firmHold = 3 * time.Second
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

// scaleDuty orders endpoints.
type scaleDuty struct {
	d      *Daemon
	state  map[string]*serviceScale
	demand map[string]*demand
}

type serviceScale struct {
	base    map[string]int
	ordered map[ScaleKind]scaleOrdered
	refused map[ScaleKind]time.Time
	spell   map[ScaleKind]time.Duration // since the last refusal in a row
	spare   time.Time                   // since when there are too many dear endpoints
}

// demand follows how many endpoints would be busy all the time.
type demand struct {
	at   time.Time
	read time.Duration
	need float64
	seen bool
}

// take takes in the reading ever asked of a service.
func (d *demand) take(now time.Time, read time.Duration) {
	if d.at.IsZero() {
		d.at, d.read = now, read
		return
	}
	dt := now.Sub(d.at)
	if dt < demandRise {
		return
	}
	rate := (read - d.read).Seconds() / dt.Seconds()
	d.seen = d.seen || rate > 0
	span := demandFall
	if rate > d.need {
		span = demandRise
	}
	d.need += (rate - d.need) * (1 - math.Exp(-dt.Seconds()/span.Seconds()))
	d.at, d.read = now, read
}

type scaleOrdered struct {
	count int
	at    time.Time
}

func newScaleDuty(d *Daemon) scaleDuty {
	return scaleDuty{d: d, state: make(map[string]*serviceScale), demand: make(map[string]*demand)}
}

// begin starts a term: what an earlier holder has ordered is not known.
func (x *scaleDuty) begin() { clear(x.state) }

// observe follows what is asked of each service, at every daemon, so that a new
// holder knows it.
func (x *scaleDuty) observe(now time.Time) {
	c := x.d.catalog.get()
	if c == nil {
		return
	}
	for name, b := range c.Backend {
		if b.Scaling == nil {
			continue
		}
		if x.demand[name] == nil {
			x.demand[name] = &demand{}
		}
		x.demand[name].take(now, x.d.work(name).Pool.Reading())
	}
}

// step sends the orders that are due.
func (x *scaleDuty) step(ctx context.Context, f platform.Fence, u *duties) {
	c := x.d.catalog.get()
	counted := time.Duration(countBeats * float64(x.d.Site().Bounds.Heartbeat))
	if c == nil || !x.d.runners.knownFor(time.Now(), counted) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.Backend)) {
		if b := c.Backend[name]; b.Scaling != nil {
			x.service(ctx, f, u, b)
		}
	}
}

func (x *scaleDuty) service(ctx context.Context, f platform.Fence, u *duties, b version.Backend) {
	live := x.live(b.Name)
	s := x.state[b.Name]
	if s == nil {
		base, err := x.base(ctx, b.Name, live)
		if err != nil {
			x.d.log.WithFields(logrus.Fields{"part": "scale", "service": b.Name}).Warnf("first numbers: %v", err)
			return
		}
		s = &serviceScale{base: base, ordered: make(map[ScaleKind]scaleOrdered), refused: make(map[ScaleKind]time.Time), spell: make(map[ScaleKind]time.Duration)}
		x.state[b.Name] = s
	}
	now := time.Now()
	for _, o := range x.plan(now, b, s, live) {
		if !s.due(now, o, live[o.ScaleKind]) {
			continue
		}
		if _, ok := u.mayAct(time.Now()); !ok {
			return
		}
		x.order(ctx, f, b.Name, s, o)
	}
}

// plan returns the orders that a service should have now.
func (x *scaleDuty) plan(now time.Time, b version.Backend, s *serviceScale, live map[ScaleKind]int) []ScaleOrder {
	pool := x.d.work(b.Name).Pool
	asked := x.demand[b.Name]
	need := -1.0
	if asked.seen {
		load, places := pool.Busy()
		need = asked.need
		if places > 0 && len(pool.Targets()) > 0 {
			slots := float64(places) / float64(len(pool.Targets()))
			need = math.Max(need, firmUse/placeUse*float64(load)/slots)
		}
	}
	coming := make(map[ScaleKind]int)
	for k, o := range s.ordered {
		if now.Sub(o.at) < b.Scaling.Startup+time.Second && o.count > live[k] {
			coming[k] = o.count - live[k]
		}
	}
	plan := PlanScale(ScaleState{Scaling: *b.Scaling, Base: s.base, Live: live, Coming: coming, Need: need, Dry: len(s.spell) > 0, Idle: !asked.seen && x.d.Site().First})
	return s.settle(now, plan, live, asked.seen)
}

// settle leaves dear endpoints running for a while before they are given up.
func (s *serviceScale) settle(now time.Time, plan []ScaleOrder, live map[ScaleKind]int, asked bool) []ScaleOrder {
	fewer := false
	for _, o := range plan {
		fewer = fewer || !o.Reclaimable && o.Count < live[o.ScaleKind]
	}
	if !fewer || !asked {
		s.spare = time.Time{}
		return plan
	}
	if s.spare.IsZero() {
		s.spare = now
	}
	if now.Sub(s.spare) >= firmHold {
		return plan
	}
	for i, o := range plan {
		if !o.Reclaimable {
			plan[i].Count = max(o.Count, live[o.ScaleKind])
		}
	}
	return plan
}

// due reports whether an order is to be sent now.
func (s *serviceScale) due(now time.Time, o ScaleOrder, live int) bool {
	if now.Before(s.refused[o.ScaleKind]) {
		return false
	}
	last, ok := s.ordered[o.ScaleKind]
	if !ok {
		return o.Count > 0 || live > 0
	}
	if last.count != o.Count {
		return true
	}
	return live != o.Count && now.Sub(last.at) >= orderAgain
}

func (x *scaleDuty) order(ctx context.Context, f platform.Fence, service string, s *serviceScale, o ScaleOrder) {
	call, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	err := x.d.cloud.Scale(call, f, platform.Order{Service: service, Zone: o.Zone, Count: o.Count, Reclaimable: o.Reclaimable})
	now := time.Now()
	fields := logrus.Fields{"part": "scale", "service": service, "zone": o.Zone, "reclaimable": o.Reclaimable, "count": o.Count, "fence": f.Token}
	if err != nil {
		s.spell[o.ScaleKind] = min(max(2*s.spell[o.ScaleKind], drySpell), dryMost)
		s.refused[o.ScaleKind] = now.Add(s.spell[o.ScaleKind])
		delete(s.ordered, o.ScaleKind)
		x.d.log.WithFields(fields).Infof("not ordered: %v", err)
		return
	}
	delete(s.spell, o.ScaleKind)
	s.ordered[o.ScaleKind] = scaleOrdered{o.Count, now}
	x.d.log.WithFields(fields).Info("ordered")
}

// live counts the endpoints of a service that take requests.
func (x *scaleDuty) live(service string) map[ScaleKind]int {
	out := make(map[ScaleKind]int)
	for _, r := range x.d.runners.all() {
		if r.Service == service && !r.Leaving {
			out[ScaleKind{r.Zone, r.Reclaimable}]++
		}
	}
	return out
}

// base returns by zone how many endpoints the service was found with: the first
// holder ever writes it down.
func (x *scaleDuty) base(ctx context.Context, service string, live map[ScaleKind]int) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*answerLimit)
	defer cancel()
	rows, err := x.d.store.Rows(ctx, scaleTable, service, "")
	if err != nil {
		return nil, err
	}
	out := make(map[string]int)
	if len(rows.Rows) == 0 {
		change := platform.Change{}
		for k, n := range live {
			out[k.Zone] += n
		}
		for z, n := range out {
			change.If = append(change.If, platform.Condition{Table: scaleTable, Part: service, Key: z})
			change.Write = append(change.Write, platform.Row{Table: scaleTable, Part: service, Key: z, Value: []byte(strconv.Itoa(n))})
		}
		if len(change.Write) == 0 {
			return out, nil
		}
		_, err := x.d.store.Apply(ctx, change)
		return out, err
	}
	for _, r := range rows.Rows {
		n, err := strconv.Atoi(string(r.Value))
		if err != nil {
			return nil, errors.Wrapf(err, "entry: number of %s in %s", service, r.Key)
		}
		out[r.Key] = n
	}
	return out, nil
}
