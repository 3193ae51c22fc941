// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/platform"
)

// feeder follows the changes of one table of the store.
type feeder struct {
	d     *Daemon
	table string
	wait  func() time.Duration // how long the store may hold a query
	name  string               // for log lines

	failing bool // the last read failed
	limited bool // the store rejected it for the rate of all daemons' reads
}

// run passes each answer to take until ctx ends; whole is true if it holds all rows of the table, false if
// only those that changed. It is idle while other daemons read the store for this one; known returns the
// version that this daemon has reached through them.
func (f *feeder) run(ctx context.Context, known func() int64, take func(now, sent time.Time, p platform.Page, whole bool) error) {
	var at int64
	whole, began := true, false
	var pause time.Duration
	for ctx.Err() == nil {
		now := clock.Now()
		if v := known(); v > at {
			at, whole = v, false
		}
		if f.d.awaitsReader(now) {
			sleep(ctx, startPoll)
			continue
		}
		if !f.d.readsStore(now) || whole && at > 0 && f.d.reliesOnReaders() {
			sleep(ctx, idlePause)
			continue
		}
		sent := clock.Now()
		p, err := f.ask(ctx, at, whole, began)
		now = clock.Now()
		if err == nil {
			err = take(now, sent, p, whole)
		}
		if err == nil {
			began = whole && at == 0
			at, whole, pause = p.Version, false, 0
			f.d.lastRead.Store(&now)
			f.recordRead(at, nil)
			switch {
			case began:
				sleep(ctx, settlePause)
			case len(p.Rows) > 0:
				sleep(ctx, time.Duration(changeShare*float64(f.d.Site().Bounds.Configuration)))
			}
			continue
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			whole = true
			f.d.log.WithFields(logrus.Fields{"part": f.name, "version": at}).Info("store no longer has the changes since this version, reading the whole table")
			continue
		}
		if ctx.Err() == nil {
			f.recordRead(at, err)
		}
		f.d.recordOutage(now)
		first, last := f.pauses()
		pause = min(max(2*pause, first), last)
		sleep(ctx, pause/2+rand.N(pause/2+1))
	}
}

// recordRead records the outcome of a read; version is the one reached before it.
func (f *feeder) recordRead(version int64, err error) {
	setCounted(&f.limited, errors.Is(err, platform.ErrRateLimited), &f.d.limitedFeeds)
	if !setCounted(&f.failing, err != nil, &f.d.failingFeeds) {
		return
	}
	l := f.d.log.WithFields(logrus.Fields{"part": f.name, "version": version})
	if err != nil {
		l.Warnf("store lost: %v", err)
	} else {
		l.Info("store regained")
	}
}

// setCounted sets a flag, keeps the number of set flags in count, and reports whether the flag has changed.
func setCounted(flag *bool, set bool, count *atomic.Int32) (changed bool) {
	if *flag == set {
		return false
	}
	*flag = set
	if set {
		count.Add(1)
	} else {
		count.Add(-1)
	}
	return true
}

// pauses returns the first and the longest pause after a failed call. In a large fleet the readers retry on
// behalf of all; the others only check whether they alone are cut off.
func (f *feeder) pauses() (first, last time.Duration) {
	if f.d.largeFleet() && !f.d.isReader() {
		return aloneMinRetryPause, aloneMaxRetryPause
	}
	return minRetryPause, maxRetryPause
}

// ask reads the whole table, or what has changed. The first query for changes does not wait in the store:
// other daemons that have started depend on this one's answer, and with the full wait after settlePause each
// of them found its list late and queried the store itself.
func (f *feeder) ask(ctx context.Context, at int64, whole, first bool) (platform.Page, error) {
	if !whole && first {
		return f.d.store.Feed(ctx, f.table, at, 0)
	}
	if !whole {
		return f.d.store.Feed(ctx, f.table, at, f.wait())
	}
	return f.d.store.AllRows(ctx, f.table, "")
}

func sleep(ctx context.Context, d time.Duration) {
	passed, stop := after(d)
	defer stop()
	select {
	case <-ctx.Done():
	case <-passed:
	}
}

// after returns a channel that is closed after a delay, and a function that cancels it. It does not use a
// timer's own channel: receiving from that when the timer is due crashes like a timer that is due at once
// (clock.LeastTimer).
func after(d time.Duration) (passed <-chan struct{}, stop func() bool) {
	done := make(chan struct{})
	return done, time.AfterFunc(max(d, clock.LeastTimer), func() { close(done) }).Stop
}
