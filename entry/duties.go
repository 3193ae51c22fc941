// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/platform"
	"streambend.example/version"
)

const (
	// dutyShard names the one lease under which all duties are done.
	dutyShard = "duties"
	// dutyTerm is the term of the lease: it outlasts a slow store's renewal, and
	// leaves a successor time for a report that is due in 10 s.
	dutyTerm = 4 * time.Second
	// dutyMargin is how long before its end a holder stops to act.
	dutyMargin = 500 * time.Millisecond
	// dutyPeriod is how often the holder renews and others look, dutyStep how
	// often the holder looks for work.
	dutyPeriod = 1300 * time.Millisecond
	dutyStep   = 250 * time.Millisecond
	// dutyCall bounds a call to the cloud API.
	dutyCall = 1500 * time.Millisecond
)

// duties are the calls that one daemon at a time makes.
type duties struct {
	d     *Daemon
	lease version.Lease
	usage usageDuty
	scale scaleDuty

	held    bool
	actFrom time.Time // earlier, calls of the holder before may still arrive
}

func newDuties(d *Daemon) *duties {
	x := &duties{d: d, lease: version.Lease{Shard: dutyShard, Self: d.instance(), Term: dutyTerm, Margin: dutyMargin}}
	x.usage = usageDuty{d: d, done: make(map[int64]bool)}
	x.scale = newScaleDuty(d)
	return x
}

// run renews the lease and does what is due until ctx ends.
func (x *duties) run(ctx context.Context) {
	if x.d.Site.Cloud == "" || !(x.d.Site.Duties.Usage || x.d.Site.Duties.Scaling) {
		return
	}
	var renewed time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(renewed) >= dutyPeriod && !x.d.stopping.Load() {
			renewed = now
			x.step(ctx, now)
		}
		if f, ok := x.mayAct(time.Now()); ok {
			x.act(ctx, f)
		}
		sleep(ctx, dutyStep)
	}
}

// step renews the lease, or takes it.
func (x *duties) step(ctx context.Context, now time.Time) {
	before := x.lease.Holder()
	call, cancel := context.WithTimeout(ctx, answerLimit)
	err := x.lease.Step(call, now, x.d.table)
	cancel()
	epoch, held := x.lease.Held(time.Now())
	fields := logrus.Fields{"part": "duties", "epoch": epoch, "holder": x.lease.Holder().Holder}
	if held && !x.held {
		x.actFrom = time.Time{}
		if before.Holder != "" && nodeOf(before.Holder) != x.d.Self.Name {
			x.actFrom = time.Now().Add(x.d.Site.Bounds.Lease)
		}
		x.usage.begin(time.Now())
		x.scale.begin()
		x.d.log.WithFields(fields).Infof("lease taken, held before by %q", before.Holder)
	}
	if !held && x.held {
		x.d.log.WithFields(fields).Warnf("lease lost: %v", err)
	}
	x.held = held
}

// nodeOf returns the daemon's name in the name of one of its starts.
func nodeOf(instance string) string {
	for i := len(instance) - 1; i >= 0; i-- {
		if instance[i] == '#' {
			return instance[:i]
		}
	}
	return instance
}

// mayAct returns the fence to act under, if the lease allows to act now.
func (x *duties) mayAct(now time.Time) (platform.Fence, bool) {
	epoch, held := x.lease.Held(now)
	if !held || now.Before(x.actFrom) || x.d.stopping.Load() {
		return platform.Fence{}, false
	}
	return platform.Fence{Holder: x.d.Self.Name, Token: epoch}, true
}

func (x *duties) act(ctx context.Context, f platform.Fence) {
	if x.d.Site.Duties.Usage {
		x.usage.step(ctx, f, x)
	}
	if x.d.Site.Duties.Scaling {
		x.scale.step(ctx, f, x)
	}
}

// release gives the lease up, so that another daemon need not wait its term out.
func (x *duties) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	if err := x.lease.Release(ctx, time.Now(), x.d.table); err != nil {
		x.d.log.WithField("part", "duties").Warnf("lease not released: %v", err)
	}
}
