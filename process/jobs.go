// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"streambend.example/seam"
	"streambend.example/version"
)

// placer runs the jobs that only one daemon at a time may run: it holds the
// services' capacity leases and starts and stops boxes under them.
type placer struct {
	d           *Daemon
	log         *logrus.Entry
	loadLimiter *rate.Limiter // limits orders to load weights

	prices   []seam.Price // used only by placeAll
	pricedAt time.Time

	mu     sync.Mutex
	shards map[string]*shard
	frozen time.Time // in fault tests, the time at which this placer's clock stopped; otherwise zero
}

// shard is the capacity of one service.
type shard struct {
	lease          *version.Lease
	leasedAt       time.Time // when this daemon took the lease
	refused        map[version.BoxKind]time.Time
	backoff        map[version.BoxKind]time.Duration
	ordered        map[string]orderedBox
	stopping       map[string]time.Time
	loaded         map[string]bool
	overpriced     map[string]time.Time
	lost           map[string]float64 // zone to recently lost boxes, decaying over time
	lossCounted    map[string]bool
	surplus        time.Time
	tableDownSince time.Time // start of the current table outage; zero if the table answers
	need           forecast
	last           version.PlaceDecision
}

// orderedBox is a started box that the box list may not show yet.
type orderedBox struct {
	box seam.Box
	at  time.Time
}

func newPlacer(d *Daemon) *placer {
	return &placer{
		d: d, log: d.log.WithField("part", "place"),
		loadLimiter: rate.NewLimiter(rate.Limit(d.Settings.Platform.LoadRate), 4), shards: make(map[string]*shard),
	}
}

const (
	contenders        = 2 // daemons that compete for a lease
	orderedTTL        = 30 * time.Second
	minRefusalBackoff = 2 * time.Second
	maxRefusalBackoff = 2 * time.Minute
	placePeriod       = 500 * time.Millisecond
	orderTimeout      = 5 * time.Second // timeout of an order to the cloud or an endpoint
	swapAfter         = 10 * time.Minute
	pricesTTL         = 15 * time.Second
)

// contends reports whether this daemon competes for a shard's lease, by rendezvous order.
func (l *placer) contends(name string) bool {
	mine := xxhash.Sum64String(l.d.Self.Name + "|" + name)
	ahead := 0
	for _, m := range l.d.Hub.Mesh.Members() {
		if m.Name != l.d.Self.Name && xxhash.Sum64String(m.Name+"|"+name) > mine {
			ahead++
		}
	}
	return ahead < contenders
}

// step renews the leases held and tries to acquire those that this daemon
// competes for.
func (l *placer) step(time.Time) time.Duration {
	period := l.d.Settings.Timing.Lease.Duration / 3
	if l.isFrozen() || l.d.draining.Load() {
		return period
	}
	for key := range l.d.Config().Rows {
		s := l.shard(key)
		now := time.Now()
		l.mu.Lock()
		_, held := s.lease.Held(now)
		l.mu.Unlock()
		if !held && !l.contends(key) {
			continue
		}
		l.stepShard(key, s, held)
	}
	return period
}

func (l *placer) stepShard(key string, s *shard, held bool) {
	ctx, cancel := context.WithTimeout(l.d.ctx, 2*tableTimeout)
	defer cancel()
	now := time.Now()
	l.mu.Lock()
	lease := *s.lease
	l.mu.Unlock()
	err := lease.Step(ctx, now, l.d.tables.lease)
	l.mu.Lock()
	defer l.mu.Unlock()
	*s.lease = lease
	switch {
	case err == nil:
		s.tableDownSince = time.Time{}
	case s.tableDownSince.IsZero():
		s.tableDownSince = now
		l.log.Warnf("lease: renewing or acquiring %s failed: %v", key, err)
	}
	epoch, ok := s.lease.Held(time.Now())
	if ok && !held {
		s.leasedAt = now
		l.log.Infof("lease: acquired %s, epoch %d", key, epoch)
	}
	if !ok && held {
		l.log.Infof("lease: lost %s", key)
	}
}

func (l *placer) isFrozen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.frozen.IsZero()
}

// clock returns the time used for lease expiry; the caller must hold mu.
func (l *placer) clock() time.Time {
	if !l.frozen.IsZero() {
		return l.frozen
	}
	return time.Now()
}

// FreezeLeases simulates a paused process in fault tests: the daemon neither
// renews its leases nor notices that they expire, and keeps issuing orders under them.
func (d *Daemon) FreezeLeases(now time.Time, on bool) {
	d.placer.mu.Lock()
	defer d.placer.mu.Unlock()
	d.placer.frozen = time.Time{}
	if on {
		d.placer.frozen = now
	}
}

func (l *placer) shard(key string) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[key]
	if s == nil {
		term := l.d.Settings.Timing.Lease.Duration
		s = &shard{
			lease:   &version.Lease{Shard: key, Self: l.d.instance(), Term: term, Margin: term / 6},
			refused: make(map[version.BoxKind]time.Time), backoff: make(map[version.BoxKind]time.Duration),
			ordered: make(map[string]orderedBox), stopping: make(map[string]time.Time), loaded: make(map[string]bool),
			overpriced: make(map[string]time.Time), lost: make(map[string]float64), lossCounted: make(map[string]bool),
		}
		l.shards[key] = s
	}
	return s
}

// release releases all leases on a graceful shutdown.
func (l *placer) release() {
	l.mu.Lock()
	leases := make([]version.Lease, 0, len(l.shards))
	for _, s := range l.shards {
		leases = append(leases, *s.lease)
		s.lease.Drop()
	}
	l.mu.Unlock()
	for _, lease := range leases {
		ctx, cancel := context.WithTimeout(l.d.ctx, tableTimeout)
		if err := lease.Release(ctx, time.Now(), l.d.tables.lease); err != nil {
			l.log.Warnf("lease: releasing %s failed: %v", lease.Shard, err)
		}
		cancel()
	}
}

// status returns a shard's lease holder as read from the table, or as last known
// here if the table does not answer.
func (l *placer) status(ctx context.Context, key string) leaseStatus {
	row, err := version.ReadLease(ctx, l.d.tables.report, key)
	s := l.shard(key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		row = s.lease.Holder()
	}
	_, mine := s.lease.Held(time.Now())
	return leaseStatus{Service: key, Holder: row.Holder, Epoch: row.Epoch, Mine: mine}
}

func (l *placer) heldEpoch(s *shard) (epoch int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.lease.Held(l.clock())
}

// maxGenerations is the maximum number of start tokens tried per order; a token
// whose box is leaving is skipped.
const maxGenerations = 16
