// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/capacity"
	"streambend.example/clock"
	"streambend.example/mechanism"
	"streambend.example/platform"
	"streambend.example/rollout"
	"streambend.example/version"
)

const (
	// scaleTable is the store table with the initial endpoint count of each service and zone.
	scaleTable = "streambend-scale"
	// reorderPeriod is how long an accepted order may take effect before it is sent again.
	reorderPeriod = 6 * time.Second
	// minRefusalBackoff is the backoff after the first refused order. A call costs as much as 0.05 s of an
	// on-demand endpoint; with a backoff of 5 s, ten on-demand endpoints replaced reclaimable ones
	// for 5 s longer than needed.
	minRefusalBackoff = time.Second
	// refusalBackoffFactor is the factor by which the backoff grows with each consecutive refusal, up
	// to maxRefusalBackoff.
	refusalBackoffFactor = 1.1
	maxRefusalBackoff    = 5 * time.Second
	// minCountHeartbeats is the minimum time, in heartbeats, from the first list of endpoints until
	// they are counted: when endpoints and daemons start together, the last endpoint registered 2.4
	// heartbeats after that list. The count is put off while more than maxRecentShare of the endpoints
	// were found in the last recentHeartbeats (in a large fleet, 70 of 90 were found after 2.7), but
	// not beyond maxCountHeartbeats.
	minCountHeartbeats = 2.7
	recentHeartbeats   = 0.5
	maxRecentShare     = 0.1
	maxCountHeartbeats = 4.5
	// servingAfter is how long after it was listed an endpoint is assumed to serve, even if it has
	// not answered a request of this daemon.
	servingAfter = 3 * time.Second
	// targetUtilization is the share of time that endpoints may spend reading prompts when the
	// queueing model is switched off.
	targetUtilization = 0.55
)

// scaleDuty orders endpoints from the cloud API.
type scaleDuty struct {
	d      *Daemon
	state  map[string]*serviceScale
	demand map[string]*capacity.Demand // by service; every daemon tracks it, for when it takes the lease
}

// refusalBackoff is the backoff for a kind of endpoint whose orders are refused.
type refusalBackoff struct {
	until time.Time     // the earliest time of the next order
	pause time.Duration // the length of the current backoff
}

// serviceScale is the lease holder's record of its own orders for a service.
type serviceScale struct {
	initial  map[string]int
	ordered  map[capacity.Kind]acceptedOrder
	refusals map[capacity.Kind]refusalBackoff
	hold     capacity.Stabilizer
	live     map[capacity.Kind]int // in the previous step
	lastPlan string                // the last plan logged
}

// refused reports whether endpoints are in backoff in some zone.
func (s *serviceScale) refused(reclaimable bool) bool {
	for k := range s.refusals {
		if k.Reclaimable == reclaimable {
			return true
		}
	}
	return false
}

// endBackoff ends the backoff in all zones after an order was accepted, so that they are tried again at once.
func (s *serviceScale) endBackoff(reclaimable bool) {
	maps.DeleteFunc(s.refusals, func(k capacity.Kind, _ refusalBackoff) bool { return k.Reclaimable == reclaimable })
}

// acceptedOrder is the last accepted order for a kind of endpoint.
type acceptedOrder struct {
	count int
	at    time.Time
}

func newScaleDuty(d *Daemon) scaleDuty {
	return scaleDuty{d: d, state: make(map[string]*serviceScale), demand: make(map[string]*capacity.Demand)}
}

// begin starts a lease term. The orders of earlier holders are not known.
func (x *scaleDuty) begin() { clear(x.state) }

// observe tracks the demand for each service. Every daemon does, so that a new lease holder knows it.
func (x *scaleDuty) observe(now time.Time) {
	c := x.d.catalog.get()
	if c == nil {
		return
	}
	for name, b := range c.Backend {
		if b.Scaling == nil {
			continue
		}
		w := x.demand[name]
		if w == nil {
			w = &capacity.Demand{}
			x.demand[name] = w
		}
		pool := x.d.work(name).Pool
		w.AddReadTime(now, pool.TotalPrefill())
		places, _ := pool.Capacity()
		w.SetRunning(now, x.d.tallies.Running(now, pool.Service), places)
	}
}

// step sends the orders that are due.
func (x *scaleDuty) step(ctx context.Context, u *duties) {
	c := x.d.catalog.get()
	if c == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.Backend)) {
		b := c.Backend[name]
		if b.Scaling != nil && (x.startsEarly(b.Name) || x.countable(clock.Now())) {
			x.service(ctx, u, b)
		}
	}
}

// countable reports whether all endpoints that existed at the start have probably been found.
func (x *scaleDuty) countable(now time.Time) bool {
	beats := func(n float64) time.Duration { return time.Duration(n * float64(x.d.Site().Bounds.Heartbeat)) }
	read, late := x.d.runners.firstListAge(now, beats(recentHeartbeats))
	return read >= beats(minCountHeartbeats) && (late <= maxRecentShare || read >= beats(maxCountHeartbeats))
}

// startsEarly reports whether orders for a service may be sent before its endpoints can be counted,
// because the whole system starts for the first time.
func (x *scaleDuty) startsEarly(service string) bool {
	w := x.demand[service]
	return x.d.without.On(mechanism.EarlyStart) && x.d.Site().First && w != nil && !w.Seen
}

// service sends the orders that are due for one service.
func (x *scaleDuty) service(ctx context.Context, u *duties, b version.Backend) {
	live, serving := x.count(clock.Now(), b.Name)
	s := x.state[b.Name]
	if s == nil {
		base, err := x.initialCounts(ctx, b.Name, live)
		if err != nil {
			x.d.log.WithFields(logrus.Fields{"part": "scale", "service": b.Name}).Warnf("initial endpoint counts not read: %v", err)
			return
		}
		s = &serviceScale{initial: base, ordered: make(map[capacity.Kind]acceptedOrder), refusals: make(map[capacity.Kind]refusalBackoff)}
		x.state[b.Name] = s
	}
	now := clock.Now()
	s.dropLostOrders(live)
	for _, o := range x.plan(now, b, s, live, serving) {
		if !s.due(now, o, live[o.Kind]) || x.d.rollouts.blocksScaleDown(b.Name) && o.Count < max(live[o.Kind], s.ordered[o.Kind].count) {
			continue
		}
		if err := x.sendOrder(ctx, u, b.Name, s, o, live[o.Kind]); errors.Is(err, errNoLease) {
			return
		}
	}
}

// plan returns the endpoint counts that a service should have now.
func (x *scaleDuty) plan(now time.Time, b version.Backend, s *serviceScale, live, serving map[capacity.Kind]int) []capacity.Order {
	w := x.demand[b.Name]
	if w == nil {
		return nil
	}
	coming := make(map[capacity.Kind]int)
	have := maps.Clone(live)
	for k, o := range s.ordered {
		if now.Sub(o.at) < b.Scaling.Startup+time.Second && o.count > live[k] {
			coming[k] = o.count - live[k]
			have[k] = o.count
		}
	}
	on := x.d.without.On
	state := capacity.State{
		Limits: capacity.Limits(*b.Scaling), Found: s.initial,
		Live: live, Serving: serving, Starting: coming, Enough: -1,
		ReclaimableUnavailable: s.refused(true), Idle: !w.Seen && x.d.Site().First, Early: x.startsEarly(b.Name),
		NoPrice: !on(mechanism.SpareByPrice), NoHold: !on(mechanism.MakeBeforeBreak),
	}
	load := x.load(b, w)
	if w.Seen {
		state.Enough = capacity.RequiredEndpoints(load)
	}
	plan := capacity.Plan(state)
	if w.Seen && on(mechanism.ScaleHold) {
		plan = s.hold.Settle(now, plan, have)
	}
	if text := fmt.Sprint(plan); text != s.lastPlan {
		s.lastPlan = text
		x.d.log.WithFields(logrus.Fields{
			"part": "scale", "service": b.Name, "enough": state.Enough, "busy": load.Busy, "places": load.SlotLoad, "read_ms": load.Read.Milliseconds(), "spread": load.ReadSCV,
			"live": sum(state.Live), "serving": sum(state.Serving), "coming": sum(coming), "dry": state.ReclaimableUnavailable, "plan": text,
		}).Info("planned")
	}
	return plan
}

// load returns the current load of a service.
func (x *scaleDuty) load(b version.Backend, w *capacity.Demand) capacity.Load {
	pool := x.d.work(b.Name).Pool
	l := capacity.Load{Busy: w.Busy}
	slots := pool.Slots()
	if slots == 0 {
		slots = float64(b.Slots) // of the endpoints to come
	}
	if slots > 0 {
		l.SlotLoad = w.Running / slots
	}
	l.Read, l.ReadSCV = pool.PrefillTimes()
	if x.d.without.On(mechanism.BlindTime) {
		l.StateDelay = x.d.sendsDelay()
	}
	if c := x.d.catalog.get(); c != nil {
		l.Target = c.ShortestTarget(b.Name)
	}
	if !x.d.without.On(mechanism.QueueModel) {
		l = capacity.Load{Busy: l.Busy / targetUtilization, SlotLoad: l.SlotLoad}
	}
	return l
}

func sum(counts map[capacity.Kind]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// dropLostOrders drops the orders of zones that have just lost all their endpoints, so that they are
// ordered again at once: a refusal shows early that none are available.
func (s *serviceScale) dropLostOrders(live map[capacity.Kind]int) {
	for k := range s.live {
		if live[k] == 0 && s.live[k] > 0 {
			delete(s.ordered, k)
		}
	}
	s.live = live
}

// due reports whether an order has to be sent now.
func (s *serviceScale) due(now time.Time, o capacity.Order, live int) bool {
	if more := o.Count > live; more && now.Before(s.refusals[o.Kind].until) {
		return false
	}
	last, ok := s.ordered[o.Kind]
	if !ok {
		return o.Count > 0 || live > 0 // nothing to do if none exist and none are wanted
	}
	if last.count != o.Count {
		return true
	}
	return live != o.Count && now.Sub(last.at) >= reorderPeriod
}

// sendOrder sends an order to the cloud API and records the result.
func (x *scaleDuty) sendOrder(ctx context.Context, u *duties, service string, s *serviceScale, o capacity.Order, live int) error {
	fields := logrus.Fields{"part": "scale", "service": service, "zone": o.Zone, "reclaimable": o.Reclaimable, "count": o.Count}
	err := u.call(ctx, func(ctx context.Context, f platform.Fence) error {
		fields["fence"] = f.Token
		return x.d.cloud.Scale(ctx, f, platform.Order{Service: service, Zone: o.Zone, Count: o.Count, Reclaimable: o.Reclaimable})
	})
	if errors.Is(err, errNoLease) {
		return err
	}
	now := clock.Now()
	if err != nil {
		pause := min(time.Duration(refusalBackoffFactor*float64(max(s.refusals[o.Kind].pause, minRefusalBackoff))), maxRefusalBackoff)
		s.refusals[o.Kind] = refusalBackoff{now.Add(pause), pause}
		delete(s.ordered, o.Kind)
		x.d.log.WithFields(fields).Infof("not ordered: %v", err)
		return err
	}
	if o.Count > live {
		s.endBackoff(o.Reclaimable)
	}
	s.ordered[o.Kind] = acceptedOrder{o.Count, now}
	x.d.log.WithFields(fields).Info("ordered")
	return nil
}

// count returns, by kind, how many endpoints of a service accept requests (live), and how many of
// those have answered one or have been listed for servingAfter (serving).
func (x *scaleDuty) count(now time.Time, service string) (live, serving map[capacity.Kind]int) {
	live, serving = make(map[capacity.Kind]int), make(map[capacity.Kind]int)
	pool := x.d.work(service).Pool
	for _, r := range x.d.runners.all() {
		t := pool.Get(r.ID)
		if r.Service != service || r.Leaving || t != nil && t.Role() != rollout.Own {
			continue // an endpoint of a version being rolled out is not counted
		}
		k := capacity.Kind{Zone: r.Zone, Reclaimable: r.Reclaimable}
		live[k]++
		if t != nil && (t.Answered() || x.d.runners.listedFor(now, r.ID) >= servingAfter) {
			serving[k]++
		}
	}
	return live, serving
}

// initialCounts returns the service's initial endpoint count by zone. The first lease holder ever stores it.
func (x *scaleDuty) initialCounts(ctx context.Context, service string, live map[capacity.Kind]int) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
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
			return nil, errors.Wrapf(err, "entry: initial endpoint count of %s in zone %s", service, r.Key)
		}
		out[r.Key] = n
	}
	return out, nil
}
