// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/platform"
	"streambend.example/version"
)

const (
	// dutyLease is the name of the single lease for all duties.
	dutyLease = "duties"
	// leaseTerm is the term of the lease. It exceeds a renewal at a slow store, and leaves a successor
	// time for a report that is due within 10 s.
	leaseTerm = 3 * time.Second
	// leaseMargin is how long before the end of the term the holder stops making calls, so that its
	// last call has arrived or is lost when the next holder begins.
	leaseMargin = 900 * time.Millisecond
	// leaseRenewPeriod is how often the holder renews the lease and other daemons check it, and dutyPeriod
	// how often the holder checks for work.
	leaseRenewPeriod = 900 * time.Millisecond
	dutyPeriod       = 250 * time.Millisecond
	// leaseWatchPeriod is how often other daemons check a lease whose holder they know to be alive.
	leaseWatchPeriod = 2500 * time.Millisecond
	// minLeaseUptime is the minimum time after its start before a daemon tries to take the lease. By then,
	// daemons that start together have read each other's rows, and only the readers of a large fleet
	// check the lease. Without it, each of 60 daemons tried to take the lease, which was a third of
	// the calls of their start.
	minLeaseUptime = 500 * time.Millisecond
	// rosterStableTime is how long the roster must be unchanged before a starting daemon tries to take the
	// lease; rosterStableLimit after the start this no longer applies. When 60 daemons start at once, one
	// that does not know its zone's reader yet considers itself the reader, and the lease keeps
	// changing hands.
	rosterStableTime  = 2 * dutyPeriod
	rosterStableLimit = 3 * time.Second
	// renewFailureLimit is how long renewals may fail until the holder gives the lease up. The next renewal
	// falls within it.
	renewFailureLimit = time.Second
	// cloudCallTimeout is the timeout of a call to the cloud API.
	cloudCallTimeout = 1500 * time.Millisecond
)

// duties runs the tasks that only one daemon at a time performs, under a lease.
type duties struct {
	d       *Daemon
	gate    gate // guards the lease and what depends on it; a planned stop releases it concurrently
	calls   gate // held during a call under the lease, which must end before the lease is released
	lease   version.Lease
	usage   usageDuty
	scale   scaleDuty
	rollout rolloutDuty

	held         bool
	failingSince time.Time    // since when renewals fail; zero while they succeed
	began        time.Time    // start of this process
	roster       *Roster      // as last seen
	rosterSince  time.Time    // when the roster last changed
	lastCall     time.Time    // end of this process's last call
	callsFrom    time.Time    // before this, a call could look like alternation with another holder
	freedEpoch   atomic.Int64 // latest epoch whose holder has released the lease
}

func newDuties(d *Daemon) *duties {
	x := &duties{d: d, gate: newGate(), calls: newGate(), lease: version.Lease{Shard: dutyLease, Self: instanceOf(d.Self), Term: leaseTerm, Margin: leaseMargin}, began: clock.Now()}
	x.usage = usageDuty{d: d, done: make(map[int64]bool)}
	x.scale = newScaleDuty(d)
	x.rollout = rolloutDuty{d: d}
	return x
}

// run renews the lease and performs the duties until ctx ends.
func (x *duties) run(ctx context.Context) {
	if x.d.Site().Cloud == "" || !(x.d.Site().Duties.Usage || x.d.Site().Duties.Scaling) {
		return
	}
	var renewed time.Time
	for ctx.Err() == nil {
		clock.Refresh() // the term may have ended while the box was suspended
		now := clock.Now()
		able := x.eligible(now)
		if !able && x.holds() {
			x.release(ctx)
		}
		if able && now.Sub(renewed) >= x.checkPeriod() && !x.d.stopping.Load() {
			renewed = now
			x.step(ctx, now)
		}
		x.scale.observe(now)
		if _, _, ok := x.mayCall(clock.Now()); ok {
			x.stepDuties(ctx)
		}
		sleep(ctx, dutyPeriod)
	}
}

// eligible reports whether this daemon may hold the lease: it must know how many daemons there are, and
// in a large fleet it must be a reader, as only readers know all tallies.
func (x *duties) eligible(now time.Time) bool {
	if r := x.d.roster(); r != x.roster {
		x.roster, x.rosterSince = r, now
	}
	// This applies only to taking the lease: a holder that released it for this would let another
	// daemon act, and then take it back.
	settled := x.holds() || now.Sub(x.began) >= minLeaseUptime && (now.Sub(x.rosterSince) >= rosterStableTime || now.Sub(x.began) >= rosterStableLimit)
	return x.d.contact.counted.Load() && settled && (!x.d.largeFleet() || x.d.isReader())
}

// holds reports whether this daemon held the lease when it last checked.
func (x *duties) holds() bool {
	x.gate.lock()
	defer x.gate.unlock()
	return x.held
}

// checkPeriod returns the time between two checks of the lease.
func (x *duties) checkPeriod() time.Duration {
	x.gate.lock()
	defer x.gate.unlock()
	holder := x.lease.Holder()
	if x.held || holder.Holder == "" || holder.Free || x.freedEpoch.Load() >= holder.Epoch {
		return leaseRenewPeriod
	}
	for _, m := range x.d.others() {
		if m.Name == daemonOf(holder.Holder) && m.State == conn.MemberAlive && instanceOf(m) == holder.Holder {
			return leaseWatchPeriod
		}
	}
	return leaseRenewPeriod
}

// abandoned returns the newest epoch whose holder is known to make no more calls: it has released the
// lease, or its daemon has restarted since.
func (x *duties) abandoned(row version.LeaseRow) int64 {
	freed := x.freedEpoch.Load()
	if row.Epoch <= freed || row.Holder == instanceOf(x.d.Self) {
		return freed
	}
	for _, m := range append(x.d.others(), x.d.Self) {
		if node, start := splitInstance(row.Holder); m.Name == node && m.Follows(start) {
			return row.Epoch
		}
	}
	return freed
}

// noteFreed records that the holder of an epoch has released the lease.
func (x *duties) noteFreed(epoch int64) {
	if x.freedEpoch.Load() < epoch {
		x.freedEpoch.Store(epoch)
	}
}

// step renews the lease, or tries to take it.
func (x *duties) step(ctx context.Context, now time.Time) {
	x.gate.lock()
	defer x.gate.unlock()
	before := x.lease.Holder()
	x.lease.Abandoned = x.abandoned(before)
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	err := x.lease.Step(call, now, x.d.table)
	cancel()
	epoch, held := x.lease.Held(clock.Now())
	fields := logrus.Fields{"part": "duties", "epoch": epoch, "holder": x.lease.Holder().Holder}
	if held && !x.held {
		before = x.lease.Replaced()
		x.callsFrom = x.earliestCall(before.Holder)
		x.usage.begin(clock.Now())
		x.scale.begin()
		x.rollout.begin()
		x.d.log.WithFields(fields).Infof("lease taken, previous holder %q", before.Holder)
	}
	if err != nil && held {
		if x.failingSince.IsZero() {
			x.failingSince = now
		}
		if now.Sub(x.failingSince) >= renewFailureLimit && len(x.d.others()) > 0 {
			x.dropLease(clock.Now())
			held = false
		}
	} else {
		x.failingSince = time.Time{}
	}
	if !held && x.held {
		x.d.log.WithFields(fields).Warnf("lease lost: %v", err)
	}
	x.held = held
}

// earliestCall returns the earliest time at which this daemon may make a call after another holder:
// calls by this daemon, the other and this daemon again must not fall within the lease bound. A new
// process does not know when its daemon made its last call, and counts from its start.
func (x *duties) earliestCall(before string) time.Time {
	if before == "" || daemonOf(before) == x.d.Self.Name {
		return time.Time{}
	}
	last := x.began
	if x.lastCall.After(last) {
		last = x.lastCall
	}
	return last.Add(x.d.Site().Bounds.Lease)
}

// dropLease drops the lease when the store does not answer this daemon, and tells the other daemons, so
// that one with access to the store need not wait for the end of the term.
func (x *duties) dropLease(now time.Time) {
	epoch, held := x.lease.Held(now)
	if !held {
		return
	}
	x.lease.Drop()
	x.held = false
	x.d.log.WithFields(logrus.Fields{"part": "duties", "epoch": epoch}).Warn("lease given up: the store does not answer")
	x.d.Hub.Broadcast(conn.Payload{Freed: epoch})
}

// daemonOf returns the daemon name in an instance name.
func daemonOf(instance string) string {
	node, _ := splitInstance(instance)
	return node
}

// splitInstance splits an instance name, as instanceOf returns it, into daemon name and start time.
func splitInstance(instance string) (node string, start int64) {
	at := strings.LastIndexByte(instance, '#')
	if at < 0 {
		return instance, 0
	}
	start, err := strconv.ParseInt(instance[at+1:], 10, 64)
	if err != nil {
		return instance, 0
	}
	return instance[:at], start
}

// mayCall returns the fencing token to use and the time by which a call must have arrived; ok is false
// if the lease does not allow a call now.
func (x *duties) mayCall(now time.Time) (f platform.Fence, until time.Time, ok bool) {
	x.gate.lock()
	defer x.gate.unlock()
	epoch, held := x.lease.Held(now)
	if !held || now.Before(x.callsFrom) || x.d.stopping.Load() {
		return f, until, false
	}
	return platform.Fence{Holder: x.d.Self.Name, Token: epoch}, x.lease.Ends(), true
}

var errNoLease = errors.New("entry: the lease is not held")

// call makes a call to the cloud API under the current lease. It checks the lease anew, as that may
// have ended since, for instance while the store committed a report. The call is cancelled at the end
// of the term, and the lease is not released during the call.
func (x *duties) call(ctx context.Context, do func(context.Context, platform.Fence) error) error {
	x.calls.lock()
	defer x.calls.unlock()
	clock.Refresh() // the box may have been suspended; check again just before the call
	now := clock.Now()
	f, until, ok := x.mayCall(now)
	if !ok {
		return errNoLease
	}
	ctx, cancel := context.WithTimeout(ctx, min(cloudCallTimeout, until.Sub(now)))
	defer cancel()
	defer func() { x.lastCall = clock.Now() }()
	return do(ctx, f)
}

// stepDuties performs one step of each duty.
func (x *duties) stepDuties(ctx context.Context) {
	x.rollout.step(ctx, x)
	if x.d.Site().Duties.Usage {
		x.usage.step(ctx, x)
	}
	if x.d.Site().Duties.Scaling {
		x.scale.step(ctx, x)
	}
}

// release frees the lease, so that another daemon need not wait for the end of the term.
func (x *duties) release(ctx context.Context) {
	x.calls.lock()
	defer x.calls.unlock()
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	x.gate.lock()
	defer x.gate.unlock()
	x.held = false
	if err := x.lease.Release(ctx, clock.Now(), x.d.table); err != nil {
		x.d.log.WithField("part", "duties").Warnf("lease not released: %v", err)
	}
}

// gate is a mutex made of a channel, so that waiting for it does not stop virtual time.
type gate chan struct{}

func newGate() gate { return make(gate, 1) }

func (g gate) lock()   { g <- struct{}{} }
func (g gate) unlock() { <-g }
