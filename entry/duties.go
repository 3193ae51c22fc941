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
	// dutyShard names the one lease under which all duties are done.
	dutyShard = "duties"
	// dutyTerm is the term of the lease: it outlasts a slow store's renewal, and
	// leaves a successor time for a report that is due in 10 s.
	dutyTerm = 3 * time.Second
	// dutyMargin is how long before its end a holder stops to act: its last call
	// has arrived, or is lost, when the next holder begins.
	dutyMargin = 900 * time.Millisecond
	// dutyPeriod is how often the holder renews and others look, dutyStep how
	// often the holder looks for work.
	dutyPeriod = 900 * time.Millisecond
	dutyStep   = 250 * time.Millisecond
	// dutyWatch is how often the others look at a lease whose holder they know
	// to be alive.
	dutyWatch = 2500 * time.Millisecond
	// dutySettle is how long after its start a daemon leaves the duties to others at
	// least: by then those that start together have read each other's rows, and only
	// the readers of many look at the lease. Each of 60 had looked at it and tried to
	// take it, which was a third of the calls of their start.
	dutySettle = 500 * time.Millisecond
	// rosterSettle is for how long a daemon that starts must have known the same daemons, and
	// rosterMost until when it heeds that: as 60 start at once, one that has not heard of its zone's
	// reader yet takes itself for that, and the lease goes from hand to hand.
	rosterSettle = 2 * dutyStep
	rosterMost   = 3 * time.Second
	// dutyPatience is how long the store may fail a holder until it leaves the
	// duties to others: within it falls the next renewal.
	dutyPatience = time.Second
	// dutyCall bounds a call to the cloud API.
	dutyCall = 1500 * time.Millisecond
)

// duties are the calls that one daemon at a time makes.
type duties struct {
	d       *Daemon
	gate    gate // over the lease and what follows from it: a planned stop gives it up from outside
	calls   gate // over a call under the lease, which must be over before that is freed
	lease   version.Lease
	usage   usageDuty
	scale   scaleDuty
	rollout rolloutDuty

	held    bool
	failing time.Time // since when renewals fail; zero while they do not
	began   time.Time // of this process
	roster  *Roster   // as last looked at, and since when it is so
	since   time.Time
	acted   time.Time    // the end of the last call that this process has made
	actFrom time.Time    // earlier, this daemon might be seen to alternate with another
	freed   atomic.Int64 // epoch whose holder has said that it acts no more
}

func newDuties(d *Daemon) *duties {
	x := &duties{d: d, gate: newGate(), calls: newGate(), lease: version.Lease{Shard: dutyShard, Self: instanceOf(d.Self), Term: dutyTerm, Margin: dutyMargin}, began: clock.Now()}
	x.usage = usageDuty{d: d, done: make(map[int64]bool)}
	x.scale = newScaleDuty(d)
	x.rollout = rolloutDuty{d: d}
	return x
}

// run renews the lease and does what is due until ctx ends.
func (x *duties) run(ctx context.Context) {
	if x.d.Site().Cloud == "" || !(x.d.Site().Duties.Usage || x.d.Site().Duties.Scaling) {
		return
	}
	var renewed time.Time
	for ctx.Err() == nil {
		clock.Look() // the term may have ended in the box's sleep
		now := clock.Now()
		able := x.able(now)
		if !able && x.holds() {
			x.release(ctx)
		}
		if able && now.Sub(renewed) >= x.period() && !x.d.stopping.Load() {
			renewed = now
			x.step(ctx, now)
		}
		x.scale.observe(now)
		if _, _, ok := x.mayAct(clock.Now()); ok {
			x.act(ctx)
		}
		sleep(ctx, dutyStep)
	}
}

// able reports whether this daemon may have the lease: it knows how many daemons there
// are, and where they are many, only the readers know all tallies.
func (x *duties) able(now time.Time) bool {
	if r := x.d.roster(); r != x.roster {
		x.roster, x.since = r, now
	}
	// Only to take it: a holder that gave it up for this would let another act, and take it back.
	settled := x.holds() || now.Sub(x.began) >= dutySettle && (now.Sub(x.since) >= rosterSettle || now.Sub(x.began) >= rosterMost)
	return x.d.contact.counted.Load() && settled && (!x.d.many() || x.d.isReader())
}

// holds reports whether the lease was ours when it was last looked at.
func (x *duties) holds() bool {
	x.gate.lock()
	defer x.gate.unlock()
	return x.held
}

// period is how long after a look at the lease the next is due.
func (x *duties) period() time.Duration {
	x.gate.lock()
	defer x.gate.unlock()
	holder := x.lease.Holder()
	if x.held || holder.Holder == "" || holder.Free || x.freed.Load() >= holder.Epoch {
		return dutyPeriod
	}
	for _, m := range x.d.others() {
		if m.Name == nodeOf(holder.Holder) && m.State == conn.MemberAlive && instanceOf(m) == holder.Holder {
			return dutyWatch
		}
	}
	return dutyPeriod
}

// abandoned returns the newest epoch whose holder is known to act no more: it has
// said so, or its daemon has started anew since.
func (x *duties) abandoned(row version.LeaseRow) int64 {
	freed := x.freed.Load()
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

// hearFreed takes in that the holder of an epoch acts no more.
func (x *duties) hearFreed(epoch int64) {
	if x.freed.Load() < epoch {
		x.freed.Store(epoch)
	}
}

// step renews the lease, or takes it.
func (x *duties) step(ctx context.Context, now time.Time) {
	x.gate.lock()
	defer x.gate.unlock()
	before := x.lease.Holder()
	x.lease.Abandoned = x.abandoned(before)
	call, cancel := context.WithTimeout(ctx, answerLimit)
	err := x.lease.Step(call, now, x.d.table)
	cancel()
	epoch, held := x.lease.Held(clock.Now())
	fields := logrus.Fields{"part": "duties", "epoch": epoch, "holder": x.lease.Holder().Holder}
	if held && !x.held {
		before = x.lease.Replaced()
		x.actFrom = x.mayAlternate(before.Holder)
		x.usage.begin(clock.Now())
		x.scale.begin()
		x.rollout.begin()
		x.d.log.WithFields(fields).Infof("lease taken, held before by %q", before.Holder)
	}
	if err != nil && held {
		if x.failing.IsZero() {
			x.failing = now
		}
		if now.Sub(x.failing) >= dutyPatience && len(x.d.others()) > 0 {
			x.giveUp(clock.Now())
			held = false
		}
	} else {
		x.failing = time.Time{}
	}
	if !held && x.held {
		x.d.log.WithFields(fields).Warnf("lease lost: %v", err)
	}
	x.held = held
}

// mayAlternate returns from when on this daemon may act after another: three
// calls in turn by it, the other and it again must not fall within the bound. A
// process that has just begun does not know when its daemon acted last.
func (x *duties) mayAlternate(before string) time.Time {
	if before == "" || nodeOf(before) == x.d.Self.Name {
		return time.Time{}
	}
	last := x.began
	if x.acted.After(last) {
		last = x.acted
	}
	return last.Add(x.d.Site().Bounds.Lease)
}

// giveUp ends the term of a holder that the store does not answer, and tells the
// others, so that one which it answers need not wait the term out.
func (x *duties) giveUp(now time.Time) {
	epoch, held := x.lease.Held(now)
	if !held {
		return
	}
	x.lease.Drop()
	x.held = false
	x.d.log.WithFields(logrus.Fields{"part": "duties", "epoch": epoch}).Warn("lease given up, the store does not answer")
	x.d.Hub.Tell(conn.Payload{Freed: epoch})
}

// nodeOf returns the daemon's name in the name of one of its starts.
func nodeOf(instance string) string {
	node, _ := splitInstance(instance)
	return node
}

// splitInstance takes what instanceOf has made apart.
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

// mayAct returns the fence to act under, if the lease allows to act now, and until
// when a call must have arrived.
func (x *duties) mayAct(now time.Time) (f platform.Fence, until time.Time, ok bool) {
	x.gate.lock()
	defer x.gate.unlock()
	epoch, held := x.lease.Held(now)
	if !held || now.Before(x.actFrom) || x.d.stopping.Load() {
		return f, until, false
	}
	return platform.Fence{Holder: x.d.Self.Name, Token: epoch}, x.lease.Ends(), true
}

var errNoLease = errors.New("entry: the lease is over")

// call makes a call to the cloud API under the lease as it stands then: what allowed
// to begin a report may be over when the store has taken that down. The call ends
// with the term, and the lease is not freed while it is under way.
func (x *duties) call(ctx context.Context, do func(context.Context, platform.Fence) error) error {
	x.calls.lock()
	defer x.calls.unlock()
	clock.Look() // as above, at the last step before the call
	now := clock.Now()
	f, until, ok := x.mayAct(now)
	if !ok {
		return errNoLease
	}
	ctx, cancel := context.WithTimeout(ctx, min(dutyCall, until.Sub(now)))
	defer cancel()
	defer func() { x.acted = clock.Now() }()
	return do(ctx, f)
}

func (x *duties) act(ctx context.Context) {
	x.rollout.step(ctx, x)
	if x.d.Site().Duties.Usage {
		x.usage.step(ctx, x)
	}
	if x.d.Site().Duties.Scaling {
		x.scale.step(ctx, x)
	}
}

// release gives the lease up, so that another daemon need not wait its term out.
func (x *duties) release(ctx context.Context) {
	x.calls.lock()
	defer x.calls.unlock()
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	x.gate.lock()
	defer x.gate.unlock()
	x.held = false
	if err := x.lease.Release(ctx, clock.Now(), x.d.table); err != nil {
		x.d.log.WithField("part", "duties").Warnf("lease not released: %v", err)
	}
}

// gate lets one in at a time, as a mutex does; whoever waits at it holds up nothing
// else, also in virtual time.
type gate chan struct{}

func newGate() gate { return make(gate, 1) }

func (g gate) lock()   { g <- struct{}{} }
func (g gate) unlock() { <-g }
