// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"streambend.example/conn"
	"streambend.example/request"
	"streambend.example/seam"
)

// fleet tracks the boxes, their endpoints' load and the demand reported by other daemons.
type fleet struct {
	d   *Daemon
	log *logrus.Entry

	mu             sync.Mutex
	seq            int64
	boxes          []seam.Box
	noticed        map[string]time.Time // box to reclaim deadline
	classes        map[string]sentClass
	cacheEventSeqs map[string]int64 // box to its last cache event's sequence number
	probing        map[string]bool
	demands        map[string]peerDemand // daemon to its last reported demand
	sentDemands    map[conn.Demand]bool
	demandsSentAt  time.Time
}

// sentClass is the load class last broadcast for an endpoint.
type sentClass struct {
	class   request.Class
	at      time.Time
	resends int // rebroadcasts since the last change
}

// An unchanged load class is broadcast again for daemons that missed it because they
// have just joined or did not know the endpoint yet. The interval starts at
// firstResend, doubles each time and is capped at maxResendPeriod.
const (
	firstResend     = 2 * time.Second
	maxResendPeriod = 4 * time.Minute
)

// due reports whether a class must be broadcast, and returns the record to store if so.
func (c sentClass) due(now time.Time, class request.Class) (sentClass, bool) {
	if c.class != class || c.at.IsZero() {
		return sentClass{class: class, at: now}, true
	}
	if now.Sub(c.at) < min(maxResendPeriod, firstResend<<min(c.resends, 7)) {
		return c, false
	}
	return sentClass{class: class, at: now, resends: c.resends + 1}, true
}

type peerDemand struct {
	at      time.Time
	demands []conn.Demand
}

func newFleet(d *Daemon) *fleet {
	return &fleet{
		d: d, log: d.log.WithField("part", "fleet"),
		noticed: make(map[string]time.Time), classes: make(map[string]sentClass), cacheEventSeqs: make(map[string]int64),
		probing: make(map[string]bool), demands: make(map[string]peerDemand), sentDemands: make(map[conn.Demand]bool),
	}
}

// pollBoxes polls the platform's box list.
func (f *fleet) pollBoxes(now time.Time) time.Duration {
	period := f.d.sharedPeriod(f.d.Settings.Timing.List.Duration)
	ctx, cancel := context.WithTimeout(f.d.ctx, tableTimeout)
	defer cancel()
	f.mu.Lock()
	since := f.seq
	f.mu.Unlock()
	page, err := f.d.platform.Boxes.List(ctx, since)
	if err != nil || page.Boxes == nil {
		return period
	}
	if f.setBoxes(page) {
		f.resync()
	}
	return period
}

// setBoxes stores a box list unless it is older than the current one, and reports
// whether it did. The list is eventually consistent and may go back in time: a
// box missing from an older list has not necessarily ended.
func (f *fleet) setBoxes(page seam.BoxPage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Seq < f.seq {
		return false
	}
	f.seq, f.boxes = page.Seq, page.Boxes
	return true
}

// resync reconciles the endpoint pools with the box list and the configuration.
func (f *fleet) resync() {
	now := time.Now()
	f.mu.Lock()
	boxes := f.boxes
	var noticed []request.Leave
	for b, t := range f.noticed {
		noticed = append(noticed, request.Leave{Box: b, Deadline: t})
	}
	f.mu.Unlock()
	var listed []conn.Notice
	cfg := f.d.Config()
	for _, row := range cfg.Rows {
		w := f.d.Server.Works.Get(&row.Service)
		for _, b := range w.Pool.Sync(boxes) {
			listed = append(listed, conn.Notice{Box: b.ID, Deadline: b.Deadline})
		}
	}
	f.reportNotices(now, listed...)
	// A notice may arrive before its box is listed.
	f.d.Server.Notice(now, noticed)
}

// snapshot returns the most recent box list.
func (f *fleet) snapshot() []seam.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes
}

// noticeRetention is how long a notice is retained after its deadline.
const noticeRetention = 5 * time.Minute

// reportNotices processes notices detected by this daemon and broadcasts the new ones.
func (f *fleet) reportNotices(now time.Time, ns ...conn.Notice) {
	if fresh := f.recordNotices(now, ns); len(fresh) > 0 {
		f.d.Hub.Broadcast(conn.Payload{Notices: fresh})
	}
}

// recordNotices records reclaim notices and returns those that are new.
func (f *fleet) recordNotices(now time.Time, ns []conn.Notice) (fresh []conn.Notice) {
	var leaves []request.Leave
	f.mu.Lock()
	for _, n := range ns {
		if _, old := f.noticed[n.Box]; !old {
			f.noticed[n.Box] = n.Deadline
			fresh = append(fresh, n)
			leaves = append(leaves, request.Leave{Box: n.Box, Deadline: n.Deadline})
		}
	}
	for b, t := range f.noticed {
		if now.Sub(t) > noticeRetention {
			delete(f.noticed, b)
		}
	}
	f.mu.Unlock()
	for _, n := range fresh {
		f.log.Infof("notice: box %s leaves in %s", n.Box, n.Deadline.Sub(now).Round(time.Millisecond))
	}
	f.d.Server.Notice(now, leaves)
	return fresh
}

// pollNotices polls the platform's reclaim notices.
func (f *fleet) pollNotices(now time.Time) time.Duration {
	period := f.d.fleetPeriod(f.d.Settings.Timing.List.Duration) / 2
	ctx, cancel := context.WithTimeout(f.d.ctx, tableTimeout)
	defer cancel()
	ns, err := f.d.platform.Cloud.Notices(ctx)
	if err != nil {
		return period
	}
	var found []conn.Notice
	for _, n := range ns {
		found = append(found, conn.Notice{Box: n.Box, Deadline: n.Deadline})
	}
	f.reportNotices(time.Now(), found...)
	return period
}

// watchersPerEndpoint is the number of daemons that probe each endpoint.
const watchersPerEndpoint = 2

// watches reports whether this daemon probes an endpoint: it does if it is among
// the first in rendezvous order of the endpoint's zone, or of all daemons if the
// zone has none.
func watches(self conn.Member, members []conn.Member, t *request.Target) bool {
	in := make([]conn.Member, 0, len(members))
	for _, m := range members {
		if m.Zone == t.Zone {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		in = members
	}
	ahead := 0
	mine := xxhash.Sum64String(self.Name + "|" + t.ID)
	present := false
	for _, m := range in {
		if m.Name == self.Name {
			present = true
		} else if xxhash.Sum64String(m.Name+"|"+t.ID) > mine {
			ahead++
		}
	}
	return present && ahead < watchersPerEndpoint
}

// probeEndpoints probes this daemon's share of the endpoints and broadcasts the load
// classes that are due.
func (f *fleet) probeEndpoints(time.Time) time.Duration {
	members := f.d.Hub.Mesh.Members()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var changed []conn.LoadClass
	for _, w := range f.d.Server.Works.All() {
		for _, t := range w.Pool.Targets() {
			if !watches(f.d.Self, members, t) || !f.beginProbe(t.ID) {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer f.finishProbe(t.ID)
				if c, ok := f.probe(w, t); ok {
					mu.Lock()
					defer mu.Unlock()
					changed = append(changed, c)
				}
			}()
		}
	}
	wg.Wait()
	if len(changed) > 0 {
		f.d.Hub.Broadcast(conn.Payload{Loads: changed})
	}
	return f.d.Settings.Timing.Watch.Duration
}

func (f *fleet) beginProbe(box string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	busy := f.probing[box]
	f.probing[box] = true
	return !busy
}

func (f *fleet) finishProbe(box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.probing, box)
}

// probe queries one endpoint's load. It returns its load class and whether that
// is due to be broadcast.
func (f *fleet) probe(w *request.ServiceState, t *request.Target) (conn.LoadClass, bool) {
	ctx, cancel := context.WithTimeout(f.d.ctx, f.d.Settings.Timing.Watch.Duration)
	defer cancel()
	f.mu.Lock()
	since := f.cacheEventSeqs[t.ID]
	f.mu.Unlock()
	load, err := f.d.Server.Client.Load(ctx, t.Address, since)
	now := time.Now()
	if err != nil {
		if _, leaving := t.Leaving(); !leaving && f.d.ctx.Err() == nil && t.Fail(now, false) {
			f.log.Warnf("eject: load probe of %s failed: %v", t.ID, err)
		}
		return conn.LoadClass{}, false
	}
	f.cacheEvents(w, t, since, load.Events)
	if load.Leaving {
		f.reportNotices(now, conn.Notice{Box: t.ID, Deadline: now.Add(time.Minute)})
		return conn.LoadClass{}, false
	}
	t.Report(now, load.Running+load.Waiting, load.Batch)
	class, _ := t.Class(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	told, due := f.classes[t.ID].due(now, class)
	if !due {
		return conn.LoadClass{}, false
	}
	f.classes[t.ID] = told
	return conn.LoadClass{Box: t.ID, Class: int(class)}, true
}

func (f *fleet) cacheEvents(w *request.ServiceState, t *request.Target, since int64, events []conn.CacheEvent) {
	for _, e := range events {
		if e.Seq > since+1 && since > 0 {
			w.Pool.Gap(t)
		}
		if p := request.ParseCacheKey(e.Removed); p != 0 {
			w.Pool.Evicted(t, p)
		}
		since = e.Seq
	}
	f.mu.Lock()
	f.cacheEventSeqs[t.ID] = since
	f.mu.Unlock()
}

// recordLoad records a load class broadcast by another daemon.
func (f *fleet) recordLoad(now time.Time, l conn.LoadClass) {
	if l.Class < 0 || l.Class > int(request.Leaving) {
		return
	}
	if _, t := f.d.Server.Works.Find(l.Box); t != nil {
		t.RecordClass(now, request.Class(l.Class))
	}
}

const (
	demandPeriod       = time.Second
	demandResendPeriod = 10 * time.Second
	demandTTL          = 25 * time.Second
)

// broadcastDemand broadcasts the number of running and queued requests per service when it
// changes, and repeats it every demandResendPeriod.
func (f *fleet) broadcastDemand(now time.Time) time.Duration {
	var ds []conn.Demand
	for _, w := range f.d.Server.Works.All() {
		running, queued := w.Queue.State()
		if n := running + queued; n > 0 {
			ds = append(ds, conn.Demand{Service: w.Pool.Service, Count: roundCount(n)})
		}
	}
	f.mu.Lock()
	same := len(ds) == len(f.sentDemands) && !slices.ContainsFunc(ds, func(x conn.Demand) bool { return !f.sentDemands[x] })
	due := !same || now.Sub(f.demandsSentAt) >= demandResendPeriod && len(ds) > 0
	if due {
		f.sentDemands, f.demandsSentAt = make(map[conn.Demand]bool), now
		for _, x := range ds {
			f.sentDemands[x] = true
		}
	}
	f.mu.Unlock()
	if due {
		f.recordDemand(now, f.d.Self.Name, ds)
		// The empty element keeps the codec from omitting the list when there
		// is no demand.
		f.d.Hub.Broadcast(conn.Payload{Demands: append(ds, conn.Demand{})})
	}
	return demandPeriod
}

// roundCount rounds a count up to one of two steps per doubling, so that small
// changes are not broadcast.
func roundCount(n int) int {
	step := 1
	for step*4 < n {
		step *= 2
	}
	return (n + step - 1) / step * step
}

func (f *fleet) recordDemand(now time.Time, from string, ds []conn.Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demands[from] = peerDemand{at: now, demands: ds}
}

// demandOf returns the number of requests for a service across all daemons.
func (f *fleet) demandOf(now time.Time, service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for from, h := range f.demands {
		if now.Sub(h.at) > demandTTL {
			delete(f.demands, from)
			continue
		}
		for _, x := range h.demands {
			if x.Service == service {
				n += x.Count
			}
		}
	}
	return n
}
