// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"sync"
	"time"

	"streambend.example/process"
	"streambend.example/seam"
	"streambend.example/version"
)

// Notice periods of a reclaim: from the notice to the termination of the box.
const (
	shortNotice = 2 * time.Second
	slowNotice  = 8 * time.Second
)

func (w *world) leavingBoxes() []seam.Box {
	var out []seam.Box
	for _, b := range w.cloud.Boxes() {
		if b.State == seam.BoxLeaving {
			out = append(out, b)
		}
	}
	return out
}

// reclaim gives noticeTime of notice to all reclaimable boxes of the zones.
func (t *trial) reclaim(zones ...string) { t.reclaimIn(shortNotice, zones...) }

func (t *trial) reclaimIn(notice time.Duration, zones ...string) {
	for _, z := range zones {
		n := t.cloud.Reclaim(time.Now(), notice, func(b seam.Box) bool { return b.Zone == z })
		t.mu.Lock()
		t.report.BoxesReclaimed += n
		t.mu.Unlock()
		t.progressf("       zone %s is reclaimed in %s: %d boxes", z, notice, n)
	}
}

// An operator retries a change up to changeRetries times, changePause apart, while the
// store is down.
const (
	changeRetries = 100
	changePause   = 100 * time.Millisecond
)

// change confirms a changed intent and measures how long it takes until all daemons apply it. The
// time starts when the first daemon shows the change, because it is accepted by then; the response
// of a slow store may come later.
func (t *trial) change(ctx context.Context) {
	s := scaled(t.opts.Boxes)[0]
	s.MinBoxes++
	s.MaxBoxes++
	s.HourlyBound++
	ds := t.live()
	var row version.Row
	for _, d := range ds {
		if r, err := t.operator(office, d).row(ctx, s.Name); err == nil && r.Rev > row.Rev {
			row = r
		}
	}
	var wg sync.WaitGroup
	seen := make([]time.Time, len(ds))
	for i, d := range ds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			until(ctx, t.opts.Span, "change in force", func() bool {
				now, err := t.operator(office, d).row(ctx, s.Name)
				if t.isStopped(d) || err != nil || now.Rev <= row.Rev {
					return t.isStopped(d)
				}
				seen[i] = time.Now()
				return true
			})
		}()
	}
	c, err := t.operator(office, ds[0]).change(ctx, s)
	for tries := 0; err != nil && tries < changeRetries && ctx.Err() == nil; tries++ {
		time.Sleep(changePause)
		c, err = t.operator(office, t.live()[0]).change(ctx, s)
	}
	wg.Wait()
	if err != nil {
		t.progressf("       change of the configuration failed: %v", err)
	}
	t.recordInForce(ds, seen, c.Accepted)
}

// recordInForce records the time from the first to the last daemon that showed a change.
func (t *trial) recordInForce(ds []*process.Daemon, seen []time.Time, version int64) {
	var first, last time.Time
	missing := 0
	for i, at := range seen {
		switch {
		case at.IsZero() && !t.isStopped(ds[i]):
			missing++
		case at.IsZero():
		case first.IsZero() || at.Before(first):
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if first.IsZero() {
		return
	}
	t.changes++
	took := last.Sub(first)
	if missing > 0 {
		took = t.opts.Span
	}
	t.inForce = max(t.inForce, took)
	t.progressf("       version %d in force at all daemons %.0f ms after it was accepted", version, took.Seconds()*1000)
}

func (w *world) isStopped(d *process.Daemon) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped[d]
}

// plannedStop stops the last daemon gracefully.
func (t *trial) plannedStop(ctx context.Context) {
	ds := t.live()
	d := ds[len(ds)-1]
	if len(ds) < 2 || t.balancer.stopping(d) {
		return
	}
	t.balancer.markStopping(d)
	t.progressf("       planned stop of %s", d.Self.Name)
	if stop := t.opts.Hooks.Stop; stop != nil {
		stop(ctx, d)
	} else {
		d.Stop(ctx)
	}
	t.markStopped(d)
	t.progressf("       %s has stopped", d.Self.Name)
}

// watchVersions counts how often the configuration version of a daemon decreases.
func (t *trial) watchVersions(ctx context.Context) func() int {
	var mu sync.Mutex
	reverts := 0
	if t.opts.DaemonNet != nil {
		return func() int { return 0 } // polling would distort the measurement of the daemons' traffic
	}
	seen := make(map[*process.Daemon]int64)
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		for ctx.Err() == nil {
			for _, d := range t.live() {
				row, err := t.operator(office, d).row(ctx, "llm")
				if err != nil {
					continue
				}
				if see := t.opts.Hooks.Version; see != nil {
					row.Rev = see(d, row.Rev)
				}
				mu.Lock()
				if row.Rev < seen[d] {
					reverts++
				}
				seen[d] = row.Rev
				mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return reverts
	}
}
