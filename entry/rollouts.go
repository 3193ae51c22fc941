// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/request"
	"streambend.example/rollout"
)

const (
	// evaluationPeriod is how often the results of a version on trial are evaluated. The counts of other
	// daemons arrive every 150 to 450 ms.
	evaluationPeriod = 250 * time.Millisecond
	// findingLogPeriod is the minimum time between two log lines of an unchanged finding.
	findingLogPeriod = 2 * time.Second
	// maxReportAge is the maximum age of the last order report from another daemon for requests to go
	// to a version on trial. Reports arrive each second, and a version must get no request later
	// than 5 s after its 50th bad answer.
	maxReportAge = 2500 * time.Millisecond
	// minTrialEndpoints is the minimum number of endpoints used by a version on trial, so that one faulty
	// endpoint is not taken for a faulty version.
	minTrialEndpoints = 2
)

// rolloutController tracks, for each service, the versions that may get requests and the progress of an
// order to move it to another version. It implements request.Trials.
type rolloutController struct {
	d      *Daemon
	active atomic.Int32 // number of running orders; while it is 0, requests skip the lock

	mu         sync.Mutex
	services   map[string]*serviceVersions
	lastReport time.Time // when the last report from another daemon arrived
	tallied    []int64   // orders whose results the tallies still hold
}

// serviceVersions holds a service's own versions and the state of its roll-out. The fields of the
// roll-out are empty while there is no order.
type serviceVersions struct {
	own        []string // found among the endpoints, or set by a completed order; nil while unknown, and for any
	settled    []string // versions that all daemons know of; nil while there is none
	order      rollout.Order
	writtenBy  time.Time // upper bound on when the order was written
	fact       rollout.OrderState
	stageSince time.Time // when this daemon saw the current stage begin
	withdrawn  bool      // the order was withdrawn; fact may not show it yet
	bucket     *rollout.Bucket
	evidence   *rollout.ClampedSPRT
	finding    rollout.Finding
	logged     time.Time // when the finding was last logged
	idleSince  time.Time // since when the old version has had no requests; zero while it has some
	baselines  map[string]*latencyBaseline
}

func newRolloutController(d *Daemon) rolloutController {
	return rolloutController{d: d, services: make(map[string]*serviceVersions)}
}

// running reports whether an order has not ended.
func (v *serviceVersions) running() bool { return v.order.Number != 0 && !v.fact.Stage.Ended() }

func (v *serviceVersions) standing() rollout.VersionPolicy {
	return rollout.VersionPolicy{Own: v.own, Settled: v.settled, OrderState: v.fact, Order: v.order.Number != 0}
}

func (v *serviceVersions) span() rollout.Span {
	return rollout.Span{Stage: v.fact.Stage, Deadline: v.writtenBy.Add(v.order.For)}
}

// lookup returns the state of a service, and creates it if needed. The caller holds the lock.
func (k *rolloutController) lookup(service string) *serviceVersions {
	v := k.services[service]
	if v == nil {
		v = &serviceVersions{}
		k.services[service] = v
	}
	return v
}

// Assign implements request.Trials.
func (k *rolloutController) Assign(now time.Time, a request.TrialRequest) bool {
	if k.active.Load() == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.services[a.Service]
	return v != nil && v.running() && v.bucket.Take(now, v.span(), a.Ask) && k.current(now)
}

// Unassign implements request.Trials.
func (k *rolloutController) Unassign(a request.TrialRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v := k.services[a.Service]; v != nil && v.bucket != nil {
		v.bucket.Return(a.Ask)
	}
}

// Uncount implements request.Trials.
func (k *rolloutController) Uncount(a request.TrialRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v := k.services[a.Service]; v != nil && v.running() {
		v.bucket.Unsent(a.Ask)
	}
}

// Allows implements request.Trials.
func (k *rolloutController) Allows(now time.Time, service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.services[service]
	return v != nil && (v.fact.Stage == rollout.Watching || v.fact.Stage == rollout.Shifting) && k.current(now)
}

// current reports whether this daemon would know of a roll-back: other daemons have reported
// recently, or there are none. The caller holds the lock.
func (k *rolloutController) current(now time.Time) bool {
	f := k.d.fleet()
	return f.Counted && f.Known < 2 || now.Sub(k.lastReport) < maxReportAge
}

// RecordOutcome implements request.Trials.
func (k *rolloutController) RecordOutcome(now time.Time, a request.TrialOutcome) {
	if k.active.Load() == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.services[a.Service]
	if v == nil || !v.running() {
		return
	}
	isNew := a.Version == v.order.Target
	slow := v.slow(a, isNew)
	t := rollout.Tally{Total: 1}
	if a.Failed || a.Silent || slow {
		t.Bad = 1
	}
	endpoint, side := "", "old"
	if isNew {
		endpoint, side = a.Endpoint, "new"
	}
	k.d.tallies.Try(v.order.Number, a.Route, endpoint, t)
	k.d.meters.trialAnswer(a.Service, side, t)
}

// applyOrder applies an order that was written no later than the given time, with its progress as known
// to the sender.
func (k *rolloutController) applyOrder(now, written time.Time, o rollout.Order, fact rollout.OrderState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.lookup(o.Service)
	if o.Number == v.order.Number {
		if written.Before(v.writtenBy) {
			v.writtenBy = written
		}
		k.advance(now, o.Service, v, fact)
		return
	}
	if o.Number < v.order.Number {
		return
	}
	if v.fact.Stage == rollout.Completed {
		v.own = []string{v.fact.Target}
	}
	cap := k.d.Site().Bounds.Untried
	v.order, v.writtenBy, v.withdrawn, v.stageSince = o, written, false, now
	v.fact = rollout.OrderState{Number: o.Number, Target: o.Target}
	v.bucket, v.evidence = &rollout.Bucket{Cap: cap, InitialCredit: k.initialLevel()}, &rollout.ClampedSPRT{}
	v.finding, v.logged, v.idleSince, v.baselines = rollout.Finding{}, time.Time{}, time.Time{}, nil
	k.d.log.WithFields(logrus.Fields{
		"part": "rollout", "service": o.Service, "target": o.Target, "order": o.Number, "for_ms": o.For.Milliseconds(),
		"age_ms": now.Sub(written).Milliseconds(), "own": v.own,
	}).Info("order to move a service to a version")
	k.advance(now, o.Service, v, fact)
	k.apply(o.Service, v)
}

// initialLevel returns the initial level, from 0 to 1, of this daemon's bucket for requests to an untried
// version.
func (k *rolloutController) initialLevel() float64 {
	return float64(daemonNumber(k.d.Self.Name)) / float64(math.MaxUint32+1)
}

// applyFact applies the progress of an order, and reports whether the stage changed.
func (k *rolloutController) applyFact(now time.Time, service string, f rollout.OrderState) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.advance(now, service, k.lookup(service), f)
}

// advance merges a fact and applies a change of stage. The caller holds the lock.
func (k *rolloutController) advance(now time.Time, service string, v *serviceVersions, f rollout.OrderState) bool {
	next := v.fact.Merge(f)
	if f.Number != v.order.Number || next.Stage == v.fact.Stage {
		return false
	}
	k.d.log.WithFields(logrus.Fields{
		"part": "rollout", "service": service, "target": f.Target, "order": f.Number, "stage": next.Stage.String(),
		"before": v.fact.Stage.String(), "after_ms": now.Sub(v.writtenBy).Milliseconds(), "why": next.Why,
	}).Info("order has moved on")
	v.fact, v.stageSince = next, now
	if next.Stage == rollout.Completed {
		v.own = []string{next.Target}
	}
	k.apply(service, v)
	return true
}

// apply updates the roles of the service's endpoints. The caller holds the lock.
func (k *rolloutController) apply(service string, v *serviceVersions) {
	running := int32(0)
	for _, x := range k.services {
		if x.running() {
			running++
		}
	}
	k.active.Store(running)
	pool := k.d.work(service).Pool
	pool.SetRoles(v.standing(), v.activeEndpoints(pool))
}

// activeEndpoints returns how many endpoints of a version on trial take requests, or 0 for all. With
// only a few, each gets as many requests as an endpoint of the old version, so that the results also
// cover load.
func (v *serviceVersions) activeEndpoints(pool *request.Pool) int {
	if v.fact.Stage != rollout.Watching {
		return 0
	}
	old := pool.Ready(rollout.Own)
	return max(minTrialEndpoints, int(math.Ceil(v.bucket.Cap.Share*float64(old))))
}

// tick updates the state that changes with time alone.
func (k *rolloutController) tick(now time.Time) {
	c := k.d.catalog.get()
	if c == nil || !k.d.runners.known() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range c.Backend {
		v := k.lookup(name)
		pool := k.d.work(name).Pool
		if settled := k.d.streams.observe(now, name, pool); !slices.Equal(settled, v.settled) {
			v.settled = settled
			k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": name, "settled": settled}).Info("versions known to all daemons changed")
			k.apply(name, v)
		}
		if v.own == nil {
			if !k.d.Site().Bounds.RollOuts && v.order.Number == 0 {
				continue // versions serve side by side
			}
			found := pool.Versions()
			if v.order.Number != 0 {
				delete(found, v.order.Target)
			}
			if v.own = rollout.OwnVersions(found); v.own == nil {
				continue
			}
			k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": name, "own": v.own}).Info("own versions of the service determined")
			k.apply(name, v)
			continue
		}
		if v.running() {
			k.apply(name, v)
			k.trackIdle(now, name, v)
		}
	}
	k.forget(now)
}

// forget drops the results of ended orders from the tallies, which are sent to other daemons
// repeatedly. The caller holds the lock.
func (k *rolloutController) forget(now time.Time) {
	var keep []int64
	for _, v := range k.services {
		if v.running() || v.order.Number != 0 && now.Sub(v.stageSince) < endedReportTime {
			keep = append(keep, v.order.Number)
		}
	}
	slices.Sort(keep)
	if !slices.Equal(keep, k.tallied) {
		k.d.tallies.DropTrials(keep)
		k.tallied = keep
	}
}

// trackIdle tracks since when no daemon has a request at the old version.
func (k *rolloutController) trackIdle(now time.Time, name string, v *serviceVersions) {
	busy := k.d.tallies.Running(now, oldVersionKey(k.d.work(name).Pool.Service))
	switch {
	case busy > 0:
		v.idleSince = time.Time{}
	case v.idleSince.IsZero():
		v.idleSince = now
	}
}

// oldVersionKey returns the key under which daemons count running requests at a service's old version.
func oldVersionKey(service string) string { return service + "@old" }

// countOldVersions adds this daemon's running requests at the old versions of services being rolled out.
func (k *rolloutController) countOldVersions(running map[string]int) {
	if k.active.Load() == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, v := range k.services {
		if !v.running() {
			continue
		}
		pool := k.d.work(name).Pool
		if n := pool.InFlightAt(rollout.Own); n > 0 {
			running[oldVersionKey(pool.Service)] = n
		}
	}
}

// blocksScaleDown reports whether a service must not be scaled down: during a roll-out it is unknown
// which of the two versions would lose the endpoints.
func (k *rolloutController) blocksScaleDown(service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.services[service]
	return v != nil && v.running()
}

// evaluate checks the results of the versions on trial, and rolls back the bad ones. This needs
// neither the store nor the lease holder.
func (k *rolloutController) evaluate(now time.Time) {
	if k.active.Load() == 0 || k.d.largeFleet() && !k.d.isReader() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, v := range k.services {
		if !v.running() {
			continue
		}
		before := v.finding.Opinion
		v.finding = v.evidence.Take(now, k.d.tallies.Trials(v.order.Number))
		if v.finding.Opinion != before || now.Sub(v.logged) >= findingLogPeriod {
			v.logged = now
			k.d.log.WithFields(logrus.Fields{
				"part": "rollout", "service": name, "order": v.order.Number, "opinion": v.finding.Opinion.String(), "why": v.finding.Reason(),
			}).Info("version on trial evaluated")
		}
		if v.finding.Opinion != rollout.Bad {
			continue
		}
		f := v.fact
		f.Stage, f.Why = rollout.RolledBack, v.finding.Reason()
		k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": name, "target": f.Target, "order": f.Number}).Warnf("version is bad: %s", f.Why)
		if k.advance(now, name, v, f) {
			go k.broadcast(name, v.order, v.writtenBy, f)
		}
	}
}
