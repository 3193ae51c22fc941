// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"streambend.example/conn"
	"streambend.example/seam"
	"streambend.example/version"
)

// placeAll runs placement for each service that this daemon may start boxes for.
func (l *placer) placeAll(now time.Time) time.Duration {
	cfg := l.d.Config()
	for key, row := range cfg.Rows {
		s := l.shard(key)
		if !l.mayStart(s) {
			continue
		}
		if now.Sub(l.pricedAt) >= pricesTTL {
			l.refreshPrices(now)
		}
		if len(l.prices) == 0 {
			break
		}
		l.place(row.Service, s, l.prices)
	}
	return placePeriod
}

// refreshPrices refreshes the prices; if the cloud does not answer, the old ones remain.
func (l *placer) refreshPrices(now time.Time) {
	ctx, cancel := context.WithTimeout(l.d.ctx, tableTimeout)
	defer cancel()
	if p, err := l.d.platform.Cloud.Prices(ctx); err == nil {
		l.prices, l.pricedAt = p, now
	}
}

// mayStart reports whether this daemon may start boxes of a shard: as its lease
// holder or, after a table outage of one lease term, as a contender. Without the lease
// no box is stopped and no endpoint gets an order; a start is safe, since all daemons
// use the same idempotency token for the same slot.
func (l *placer) mayStart(s *shard) bool {
	if _, ok := l.heldEpoch(s); ok {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !s.tableDownSince.IsZero() && time.Since(s.tableDownSince) > s.lease.Term
}

// place makes the placement decision for one service and executes it.
func (l *placer) place(svc version.Service, s *shard, prices []seam.Price) {
	now := time.Now()
	in := l.placeInput(now, svc, s, prices)
	dec := version.Place(now, in, version.Policy(l.d.Settings.Place))
	l.mu.Lock()
	s.last = dec
	l.mu.Unlock()
	if len(dec.Starts)+len(dec.Stops) > 0 {
		l.log.Infof("place: %s wants %d, has %d: %s; starts %d, stops %v",
			svc.Key(), dec.Want, dec.Present, dec.Reason, len(dec.Starts), dec.Stops)
	}
	for _, o := range dec.Starts {
		l.start(svc, s, o)
	}
	if _, held := l.heldEpoch(s); !held {
		return
	}
	for _, id := range dec.Stops {
		l.drainBox(now, svc, s, id)
	}
	l.loadWeights(svc, s, in.Boxes)
}

// placeInput collects the inputs of the placement policy.
func (l *placer) placeInput(now time.Time, svc version.Service, s *shard, prices []seam.Price) version.PlaceInput {
	boxes := l.boxesOf(now, svc, s)
	in := version.PlaceInput{
		Service: svc, Prices: prices, Boxes: boxes, Refused: s.refused, Loss: lossShare(s.lost, boxes),
		Swap: swapAfter, Hold: l.d.Settings.Timing.Hold.Duration, Dear: s.overpriced,
	}
	demand := l.d.fleet.demandOf(now, svc.Key())
	in.Need = s.need.boxes(now, float64(demand)/float64(svc.PerBox))
	alive := 0
	for _, b := range boxes {
		if b.State > seam.BoxLive {
			continue
		}
		alive++
		if !version.IsDear(in, b) {
			delete(s.overpriced, b.ID)
		} else if _, ok := s.overpriced[b.ID]; !ok {
			s.overpriced[b.ID] = now
		}
	}
	total, _ := version.Target(svc, in.Need)
	switch {
	case alive <= total:
		s.surplus = time.Time{}
	case s.surplus.IsZero():
		s.surplus = now
	}
	in.Surplus = s.surplus
	return in
}

// boxesOf returns the service's boxes: those listed, with boxes known to be leaving
// marked as such, and those started here that the list does not show yet.
func (l *placer) boxesOf(now time.Time, svc version.Service, s *shard) []seam.Box {
	var out []seam.Box
	listed := make(map[string]bool)
	for _, b := range l.d.fleet.snapshot() {
		if b.Partner != svc.Partner || b.Service != svc.Name {
			continue
		}
		listed[b.ID] = true
		if _, stopping := s.stopping[b.ID]; stopping || l.d.fleet.hasNotice(b.ID) {
			b.State = max(b.State, seam.BoxLeaving)
		}
		if b.State >= seam.BoxLeaving && b.Reclaimable && !s.lossCounted[b.ID] {
			s.lossCounted[b.ID] = true
			s.lost[b.Zone]++
		}
		out = append(out, b)
	}
	for id, o := range s.ordered {
		if listed[id] || now.Sub(o.at) > orderedTTL {
			delete(s.ordered, id)
			continue
		}
		out = append(out, o.box)
	}
	return out
}

// hasNotice reports whether there is a reclaim notice for a box.
func (f *fleet) hasNotice(box string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.noticed[box]
	return ok
}

// lossShare returns each zone's losses as a share of its boxes, and decays the loss counts.
func lossShare(lost map[string]float64, boxes []seam.Box) map[string]float64 {
	const decay = 0.9995 // decay factor per placement period
	have := make(map[string]float64)
	for _, b := range boxes {
		have[b.Zone]++
	}
	out := make(map[string]float64)
	for z, n := range lost {
		lost[z] = n * decay
		out[z] = n / math.Max(1, have[z])
	}
	return out
}

// start starts one box. The idempotency token depends only on the slot, so two
// daemons that both believe they hold the lease start a single box.
func (l *placer) start(svc version.Service, s *shard, o seam.StartOrder) {
	kind := version.BoxKind{Zone: o.Zone, Class: o.Class, Reclaimable: o.Reclaimable}
	for range maxGenerations {
		if !l.mayStart(s) {
			l.log.Infof("place: %s: start abandoned, lease expired", svc.Key())
			return
		}
		ctx, cancel := context.WithTimeout(l.d.ctx, orderTimeout)
		b, err := l.d.platform.Cloud.Start(ctx, o)
		cancel()
		if errors.Is(err, seam.ErrRefused) {
			s.backoff[kind] = min(max(2*s.backoff[kind], minRefusalBackoff), maxRefusalBackoff)
			l.mu.Lock()
			s.refused[kind] = time.Now().Add(s.backoff[kind])
			l.mu.Unlock()
			l.log.Infof("place: %s: start refused in %s (class %s, reclaimable %t), retry in %s", svc.Key(), kind.Zone, kind.Class, kind.Reclaimable, s.backoff[kind])
			return
		}
		if err != nil {
			l.log.Warnf("place: %s: start with token %s failed: %v", svc.Key(), o.Token, err)
			return
		}
		if b.State >= seam.BoxLeaving {
			o.Token = version.NextGeneration(o.Token)
			continue
		}
		delete(s.backoff, kind)
		s.ordered[b.ID] = orderedBox{box: b, at: time.Now()}
		l.log.Infof("place: %s: started box %s in %s, price %.2f per hour", svc.Key(), b.ID, o.Zone, b.Price)
		return
	}
}

// drainBox drains a box: it gets no new requests and is stopped after the drain
// timeout.
func (l *placer) drainBox(now time.Time, svc version.Service, s *shard, id string) {
	wait := l.d.Settings.Timing.Drain.Duration
	s.stopping[id] = now
	l.d.fleet.reportNotices(now, conn.Notice{Box: id, Deadline: now.Add(wait)})
	time.AfterFunc(wait, func() {
		epoch, held := l.heldEpoch(s)
		if !held {
			return // the next lease holder sees the box leaving and stops it
		}
		ctx, cancel := context.WithTimeout(l.d.ctx, orderTimeout)
		defer cancel()
		if err := l.d.platform.Cloud.Stop(ctx, id, epoch); err != nil {
			l.log.Warnf("place: %s: stopping box %s failed: %v", svc.Key(), id, err)
		}
	})
}

// loadWeights orders new boxes to load the service's model, at no more than the rate
// that the weight store allows. An engine that does not check fencing tokens gets its order only
// after every order of an earlier lease holder must have ended.
func (l *placer) loadWeights(svc version.Service, s *shard, boxes []seam.Box) {
	if svc.Kind != version.Model || svc.Model == "" {
		return
	}
	term := l.d.Settings.Timing.Lease.Duration
	for _, b := range boxes {
		if b.State != seam.BoxLive || b.Address == "" || s.loaded[b.ID] {
			continue
		}
		epoch, held := l.heldEpoch(s)
		settled := epoch == 1 || time.Since(s.leasedAt) > term+orderTimeout
		if !held || !svc.ChecksFence && !settled || !l.loadLimiter.Allow() {
			return
		}
		ctx, cancel := context.WithTimeout(l.d.ctx, orderTimeout)
		err := l.d.Server.Client.Order(ctx, b.Address, epoch, svc.Model, "serve")
		cancel()
		if err != nil {
			l.log.Infof("place: %s: load order to box %s failed: %v", svc.Key(), b.ID, err)
			continue
		}
		s.loaded[b.ID] = true
	}
}

// forecast estimates the boxes needed from observed demand: it rises immediately and decays slowly.
type forecast struct {
	level float64
	at    time.Time
}

const (
	demandHeadroom = 1.2
	demandHalfLife = 2 * time.Minute
)

func (f *forecast) boxes(now time.Time, seen float64) int {
	if !f.at.IsZero() {
		f.level *= math.Pow(0.5, now.Sub(f.at).Seconds()/demandHalfLife.Seconds())
	}
	f.at = now
	f.level = math.Max(f.level, seen)
	return int(math.Ceil(f.level * demandHeadroom))
}
