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
	// judgePeriod is how often the answers of a version that is rolled out are looked at; what
	// other daemons have counted comes every 150 to 450 ms.
	judgePeriod = 250 * time.Millisecond
	// findingPause is the time between two log lines of a finding that has not changed.
	findingPause = 2 * time.Second
	// orderLife is how old the last word of another daemon on orders may be for requests to go to
	// a version on trial: such words come each second, and a version that has been rolled back
	// may get nothing from 5 s after its 50th bad answer on.
	orderLife = 2500 * time.Millisecond
	// trialLeast is how many endpoints a version on trial uses at least, so that the fault of
	// one is not taken for the version's.
	trialLeast = 2
)

// rolloutKeeper keeps, for each service, which versions may get requests and how far an order to
// move it to another version has come. It implements request.Trials.
type rolloutKeeper struct {
	d      *Daemon
	active atomic.Int32 // orders that have not ended, so that requests are free of all this without one

	mu    sync.Mutex
	known map[string]*serviceVersions
	word  time.Time // when another daemon has last told of orders
	kept  []int64   // orders whose answers are kept in the tallies
}

// serviceVersions is what is known of a service's versions. The order's fields are empty while
// there is none.
type serviceVersions struct {
	own     []string // found, or taken over from an order; nil while not known
	order   rollout.Order
	heard   time.Time // the order was written by then
	fact    rollout.Fact
	since   time.Time // when its stage was reached here
	gone    bool      // the order was withdrawn, and Fact may not say so yet
	share   *rollout.Bucket
	test    *rollout.Voices
	finding rollout.Finding
	logged  time.Time // when the finding was logged last
	idle    time.Time // since when the old version has nothing to do; zero while it has
	usual   map[string]*usualTime
}

func newRolloutKeeper(d *Daemon) rolloutKeeper {
	return rolloutKeeper{d: d, known: make(map[string]*serviceVersions)}
}

// running reports whether an order has not ended.
func (v *serviceVersions) running() bool { return v.order.Number != 0 && !v.fact.Stage.Ended() }

func (v *serviceVersions) standing() rollout.Standing {
	return rollout.Standing{Own: v.own, Fact: v.fact, Order: v.order.Number != 0}
}

func (v *serviceVersions) span() rollout.Span {
	return rollout.Span{Stage: v.fact.Stage, Deadline: v.heard.Add(v.order.For)}
}

// of returns what is kept of a service; the caller holds the lock.
func (k *rolloutKeeper) of(service string) *serviceVersions {
	v := k.known[service]
	if v == nil {
		v = &serviceVersions{}
		k.known[service] = v
	}
	return v
}

// Take implements request.Trials.
func (k *rolloutKeeper) Take(now time.Time, a request.TrialAsk) bool {
	if k.active.Load() == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.known[a.Service]
	return v != nil && v.running() && v.share.Take(now, v.span(), a.Ask) && k.current(now)
}

// Return implements request.Trials.
func (k *rolloutKeeper) Return(a request.TrialAsk) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v := k.known[a.Service]; v != nil && v.share != nil {
		v.share.Return(a.Ask)
	}
}

// Unsent implements request.Trials.
func (k *rolloutKeeper) Unsent(a request.TrialAsk) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v := k.known[a.Service]; v != nil && v.running() {
		v.share.Unsent(a.Ask)
	}
}

// Still implements request.Trials.
func (k *rolloutKeeper) Still(now time.Time, service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.known[service]
	return v != nil && (v.fact.Stage == rollout.Watching || v.fact.Stage == rollout.Shifting) && k.current(now)
}

// current reports whether a roll-back would have been heard of here: by the words of others, or as
// there are none. The caller holds the lock.
func (k *rolloutKeeper) current(now time.Time) bool {
	f := k.d.fleet()
	return f.Counted && f.Known < 2 || now.Sub(k.word) < orderLife
}

// Note implements request.Trials.
func (k *rolloutKeeper) Note(now time.Time, a request.TrialAnswer) {
	if k.active.Load() == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.known[a.Service]
	if v == nil || !v.running() {
		return
	}
	isNew := a.Version == v.order.Target
	slow := v.slow(a, isNew)
	t := rollout.Tally{Whole: 1}
	if a.Failed || a.Silent || slow {
		t.Bad = 1
	}
	endpoint, side := "", "old"
	if isNew {
		endpoint, side = a.Endpoint, "new"
	}
	k.d.tallies.Try(v.order.Number, a.Route, endpoint, t)
	k.d.meters.tried(a.Service, side, t)
}

// order takes in an order that was written by a time, and how far it has come as far as the teller
// knows.
func (k *rolloutKeeper) order(now, written time.Time, o rollout.Order, fact rollout.Fact) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.of(o.Service)
	if o.Number == v.order.Number {
		if written.Before(v.heard) {
			v.heard = written
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
	v.order, v.heard, v.gone, v.since = o, written, false, now
	v.fact = rollout.Fact{Number: o.Number, Target: o.Target}
	v.share, v.test = &rollout.Bucket{Cap: cap, Lead: k.lead()}, &rollout.Voices{}
	v.finding, v.logged, v.idle, v.usual = rollout.Finding{}, time.Time{}, time.Time{}, nil
	k.d.log.WithFields(logrus.Fields{
		"part": "rollout", "service": o.Service, "target": o.Target, "order": o.Number, "for_ms": o.For.Milliseconds(),
		"age_ms": now.Sub(written).Milliseconds(), "own": v.own,
	}).Info("order to move a service to a version")
	k.advance(now, o.Service, v, fact)
	k.apply(o.Service, v)
}

// lead is what this daemon's share of an untried version begins with.
func (k *rolloutKeeper) lead() float64 {
	return float64(daemonNumber(k.d.Self.Name)) / float64(math.MaxUint32+1)
}

// learn takes in how far an order has come, and reports whether that is news.
func (k *rolloutKeeper) learn(now time.Time, service string, f rollout.Fact) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.advance(now, service, k.of(service), f)
}

// advance moves on to what a fact says; the caller holds the lock.
func (k *rolloutKeeper) advance(now time.Time, service string, v *serviceVersions, f rollout.Fact) bool {
	next := v.fact.Merge(f)
	if f.Number != v.order.Number || next.Stage == v.fact.Stage {
		return false
	}
	k.d.log.WithFields(logrus.Fields{
		"part": "rollout", "service": service, "target": f.Target, "order": f.Number, "stage": next.Stage.String(),
		"before": v.fact.Stage.String(), "after_ms": now.Sub(v.heard).Milliseconds(), "why": next.Why,
	}).Info("order has moved on")
	v.fact, v.since = next, now
	if next.Stage == rollout.Completed {
		v.own = []string{next.Target}
	}
	k.apply(service, v)
	return true
}

// apply brings the service's endpoints in line; the caller holds the lock.
func (k *rolloutKeeper) apply(service string, v *serviceVersions) {
	running := int32(0)
	for _, x := range k.known {
		if x.running() {
			running++
		}
	}
	k.active.Store(running)
	pool := k.d.work(service).Pool
	pool.Rule(v.standing(), v.used(pool))
}

// used returns how many endpoints of a version on trial take requests; 0 for all. A few get as many
// requests each as those of the old version do, so that what they answer tells of load as well.
func (v *serviceVersions) used(pool *request.Pool) int {
	if v.fact.Stage != rollout.Watching {
		return 0
	}
	old := pool.Ready(rollout.Own)
	return max(trialLeast, int(math.Ceil(v.share.Cap.Share*float64(old))))
}

// tick brings what changes by time alone up to date.
func (k *rolloutKeeper) tick(now time.Time) {
	c := k.d.catalog.get()
	if c == nil || !k.d.runners.known() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range c.Backend {
		v := k.of(name)
		pool := k.d.work(name).Pool
		if v.own == nil {
			found := pool.Versions()
			if v.order.Number != 0 {
				delete(found, v.order.Target)
			}
			if v.own = rollout.OwnOf(found); v.own == nil {
				continue
			}
			k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": name, "own": v.own}).Info("versions that are the service's own")
			k.apply(name, v)
			continue
		}
		if v.running() {
			k.apply(name, v)
			k.noteIdle(now, name, v)
		}
	}
	k.forget(now)
}

// forget drops the answers counted for orders that have ended: tallies are told again and again. The
// caller holds the lock.
func (k *rolloutKeeper) forget(now time.Time) {
	var keep []int64
	for _, v := range k.known {
		if v.running() || v.order.Number != 0 && now.Sub(v.since) < endedFor {
			keep = append(keep, v.order.Number)
		}
	}
	slices.Sort(keep)
	if !slices.Equal(keep, k.kept) {
		k.d.tallies.DropTrials(keep)
		k.kept = keep
	}
}

// noteIdle follows since when the old version has nothing to do, over all daemons.
func (k *rolloutKeeper) noteIdle(now time.Time, name string, v *serviceVersions) {
	busy := k.d.tallies.Running(now, oldKey(k.d.work(name).Pool.Service))
	switch {
	case busy > 0:
		v.idle = time.Time{}
	case v.idle.IsZero():
		v.idle = now
	}
}

// oldKey names the requests at a service's old version among those that daemons run.
func oldKey(service string) string { return service + "@old" }

// countOld adds what this daemon has at the old versions of services that move to another.
func (k *rolloutKeeper) countOld(running map[string]int) {
	if k.active.Load() == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, v := range k.known {
		if !v.running() {
			continue
		}
		pool := k.d.work(name).Pool
		if n := pool.InFlightAt(rollout.Own); n > 0 {
			running[oldKey(pool.Service)] = n
		}
	}
}

// holdsEndpoints reports whether no endpoints of a service are to be given up: while it moves to
// another version nobody knows which of the two fleets would lose them.
func (k *rolloutKeeper) holdsEndpoints(service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.known[service]
	return v != nil && v.running()
}

// judge looks at the answers that have come, and rolls back what is bad: for that neither the
// table nor the holder of the duty is needed.
func (k *rolloutKeeper) judge(now time.Time) {
	if k.active.Load() == 0 || k.d.many() && !k.d.isReader() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, v := range k.known {
		if !v.running() {
			continue
		}
		before := v.finding.Opinion
		v.finding = v.test.Take(now, k.d.tallies.Trials(v.order.Number))
		if v.finding.Opinion != before || now.Sub(v.logged) >= findingPause {
			v.logged = now
			k.d.log.WithFields(logrus.Fields{
				"part": "rollout", "service": name, "order": v.order.Number, "opinion": v.finding.Opinion.String(), "why": v.finding.Reason(),
			}).Info("answers of a version judged")
		}
		if v.finding.Opinion != rollout.Bad {
			continue
		}
		f := v.fact
		f.Stage, f.Why = rollout.RolledBack, v.finding.Reason()
		k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": name, "target": f.Target, "order": f.Number}).Warnf("version is bad: %s", f.Why)
		if k.advance(now, name, v, f) {
			go k.tellAll(name, v.order, v.heard, f)
		}
	}
}
