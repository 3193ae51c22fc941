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
	// are counted at the earliest: all were just started where the daemons were,
	// and the last was seen to write itself to the store 2.4 heartbeats after that
	// list. If more than lateShare of them were found in the last quietBeats, they
	// are not counted yet: 70 of 90 were found after 2.7 (trouble-2 of
	// trmdo-bkk-grown). After countMost they are counted all the same.
	countBeats = 2.7
	quietBeats = 0.5
	lateShare  = 0.1
	countMost  = 4.5
	// demandRise and demandFall are how fast the demand that is planned for
	// follows the demand that is seen.
	demandRise = 2 * time.Second
	demandFall = 8 * time.Second
	// firmHold is how long too many of the dear endpoints are kept, in case they
	// are needed again.
	firmHold = 3 * time.Second
)

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

// demand follows how many endpoints would be busy all the time, and how many
// requests run at them. Both follow what is seen only after a while: daemons that
// have all just started get at once what callers have kept back meanwhile.
type demand struct {
	at   time.Time
	read time.Duration
	need float64
	seen bool

	counted time.Time // when running was followed last
	running float64
}

// count takes in how many requests run at a service's endpoints.
func (d *demand) count(now time.Time, running int) {
	if !d.counted.IsZero() {
		d.running += (float64(running) - d.running) * followed(now.Sub(d.counted), float64(running) > d.running)
	}
	d.counted = now
}

// followed returns by which share of its distance a value is followed in a time.
func followed(dt time.Duration, rises bool) float64 {
	span := demandFall
	if rises {
		span = demandRise
	}
	return 1 - math.Exp(-dt.Seconds()/span.Seconds())
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
	d.need += (rate - d.need) * followed(dt, rate > d.need)
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
		pool := x.d.work(name).Pool
		x.demand[name].take(now, pool.Reading())
		x.demand[name].count(now, x.d.tallies.Running(now, pool.Service))
	}
}

// step sends the orders that are due.
func (x *scaleDuty) step(ctx context.Context, f platform.Fence, u *duties) {
	c := x.d.catalog.get()
	if c == nil || !x.countable(time.Now()) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.Backend)) {
		if b := c.Backend[name]; b.Scaling != nil {
			x.service(ctx, f, u, b)
		}
	}
}

// countable reports whether all endpoints that were there at the start are
// likely to have been found.
func (x *scaleDuty) countable(now time.Time) bool {
	beats := func(n float64) time.Duration { return time.Duration(n * float64(x.d.Site().Bounds.Heartbeat)) }
	read, late := x.d.runners.knownFor(now, beats(quietBeats))
	return read >= beats(countBeats) && (late <= lateShare || read >= beats(countMost))
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
		need = asked.need
		if slots := pool.Slots(); slots > 0 {
			need = math.Max(need, firmUse/placeUse*asked.running/slots)
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
