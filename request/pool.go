// SPDX-License-Identifier: MIT

package request

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"streambend.example/rollout"
	"streambend.example/seam"
)

// Pool holds the endpoints of one service. Routing reads an immutable list that is replaced as a whole;
// the lock guards the rest.
type Pool struct {
	Service string // partner/name
	Zone    string // of this daemon

	list atomic.Pointer[poolList] // nil after a change of endpoints, until the next use

	mu          sync.Mutex
	byID        map[string]*Target
	standing    rollout.VersionPolicy // of the service's versions
	ended       map[string]bool       // boxes that have ended; the box list may still contain them
	savedStates stateMemory           // advertised state of endpoints without an entry
	batch       int                   // default concurrency of an endpoint

	lastTick time.Time
	inFlight atomic.Int64                 // in-flight requests of this daemon
	counted  atomic.Pointer[poolCapacity] // as of the last tick of a large pool

	hits  hitMemory
	cost  PrefillCost
	holds slotTimeModel

	retrySchedule retrySchedule // retry times given to callers refused at the endpoints' rate limits
	lastDelaying  atomic.Int64  // when a prompt that delays other streams was last routed, in Unix nanoseconds
}

// sentHalfLife is the half-life of the count of sent requests.
const sentHalfLife = time.Minute

// poolList is an immutable snapshot of the endpoints for routing.
type poolList struct {
	all  []*Target
	zone []*Target // those of this daemon's zone

	// order is the rank of each endpoint of all by its hash: all daemons agree on it, and it changes
	// little as endpoints come and go.
	order []int

	versions []string // of all, sorted

	ring   []*Target // all, by hash
	byHash map[uint64]*Target
}

// NewPool returns an empty pool; batch is the assumed concurrency of an endpoint until it reports its own.
func NewPool(service, zone string, batch int) *Pool {
	p := &Pool{Service: service, Zone: zone, byID: make(map[string]*Target), ended: make(map[string]bool), batch: batch}
	p.hits.init()
	return p
}

// Add adds an endpoint and returns its view. It returns the existing view of a known endpoint, and nil for
// one that is known to have ended.
func (p *Pool) Add(e Endpoint) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.byID[e.ID]; ok {
		return t
	}
	if p.ended[e.ID] {
		return nil
	}
	t := newTarget(e, p.batch, p, p.savedStates.take(e.Hash()))
	t.role.Store(int32(p.standing.RoleOf(e.Version)))
	t.resting.Store(t.Role() == rollout.Trial) // until the next Rule
	p.byID[e.ID] = t
	p.list.Store(nil)
	return t
}

// Remove drops an endpoint permanently: Add refuses its ID from then on.
func (p *Pool) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended[id] = true
	if _, ok := p.byID[id]; ok {
		delete(p.byID, id)
		p.list.Store(nil)
	}
}

// Forget drops an endpoint that may come back under the same ID; its advertised state is retained.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.byID[id]; ok {
		p.savedStates.keep(t.hash, t.advertised.Load())
		delete(p.byID, id)
		p.list.Store(nil)
	}
}

// EndInstance drops the instance of an endpoint that has restarted, and cancels its in-flight requests.
func (p *Pool) EndInstance(id string) {
	t := p.Get(id)
	if t == nil {
		return
	}
	p.Forget(id)
	t.end()
}

// snapshot returns the snapshot for routing. It is built at the first use after a change, so that endpoints
// added or removed together cost one rebuild: adding 210 takes 0.17 ms, and 7.7 ms with a rebuild for each.
func (p *Pool) snapshot() *poolList {
	if l := p.list.Load(); l != nil {
		return l
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.list.Load(); l != nil {
		return l
	}
	l := newPoolList(p.byID, p.Zone)
	p.list.Store(l)
	return l
}

func newPoolList(byID map[string]*Target, zone string) *poolList {
	l := &poolList{byHash: make(map[uint64]*Target, len(byID)), order: make([]int, len(byID))}
	l.all = slices.SortedFunc(maps.Values(byID), func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	places := make([]int, len(l.all))
	for i, t := range l.all {
		places[i] = i
		l.byHash[t.hash] = t
		l.versions = append(l.versions, t.Version)
		if t.Zone == zone {
			l.zone = append(l.zone, t)
		}
	}
	slices.Sort(l.versions)
	l.versions = slices.Compact(l.versions)
	slices.SortFunc(places, func(a, b int) int { return cmp.Compare(l.all[b].hash, l.all[a].hash) })
	for order, i := range places {
		l.order[i] = order
		l.ring = append(l.ring, l.all[i])
	}
	slices.Reverse(l.ring)
	return l
}

// Get returns the view of an endpoint, or nil.
func (p *Pool) Get(id string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// Targets returns all endpoints, sorted by ID.
func (p *Pool) Targets() []*Target { return p.snapshot().all }

// Sync updates the pool from the box list and returns the boxes newly listed as leaving.
func (p *Pool) Sync(boxes []seam.Box) (leaving []seam.Box) {
	listed := make(map[string]bool)
	for _, b := range boxes {
		if b.Partner+"/"+b.Service != p.Service {
			continue
		}
		listed[b.ID] = true
		switch {
		case b.State == seam.BoxGone:
			p.Remove(b.ID)
		case b.Address != "":
			t := p.Add(Endpoint{ID: b.ID, Service: p.Service, Zone: b.Zone, Address: b.Address, Reclaimable: b.Reclaimable})
			if t == nil || b.State != seam.BoxLeaving {
				continue
			}
			if _, known := t.Leaving(); !known {
				leaving = append(leaving, b)
			}
		}
	}
	for _, t := range p.Targets() {
		if !listed[t.ID] {
			p.Remove(t.ID)
		}
	}
	return leaving
}

// largePoolTick is the interval at which the endpoints of a large pool are updated. At the usual interval this
// took half a percent of a core with 10,000 endpoints.
const largePoolTick = time.Second

// Tick readmits endpoints whose ejection is over, updates the load estimates and decays the counts of sent
// requests.
func (p *Pool) Tick(now time.Time) {
	l := p.snapshot()
	p.mu.Lock()
	passed := now.Sub(p.lastTick)
	if l.large() && passed < largePoolTick {
		p.mu.Unlock()
		return
	}
	fade := 0.0
	if !p.lastTick.IsZero() {
		fade = 1 - math.Pow(0.5, passed.Seconds()/sentHalfLife.Seconds())
	}
	p.lastTick = now
	p.mu.Unlock()
	for _, t := range l.all {
		t.Return(now)
		t.Class(now)
		t.addSent(-fade * t.recentlySent())
	}
	if l.large() {
		c := l.capacity()
		p.counted.Store(&c)
	}
}

// poolCapacity is the total concurrency of endpoints and their estimated load.
type poolCapacity struct{ batch, load int }

// Capacity returns the total concurrency of the endpoints that are not excluded, and their estimated load; of a
// large pool as of its last tick.
func (p *Pool) Capacity() (batch, load int) {
	l := p.snapshot()
	if c := p.counted.Load(); c != nil && l.large() {
		return c.batch, c.load
	}
	c := l.capacity()
	return c.batch, c.load
}

func (l *poolList) capacity() (c poolCapacity) {
	for _, t := range l.all {
		if t.excluded.Load() {
			continue
		}
		c.batch += t.slots()
		c.load += int(t.load.Load())
	}
	return c
}

// ejected returns how many endpoints are ejected, and how many there are.
func (p *Pool) ejected() (ejected, listed int) {
	all := p.snapshot().all
	for _, t := range all {
		if t.Ejected() {
			ejected++
		}
	}
	return ejected, len(all)
}

// TotalPrefill returns the estimated prefill time of all prompts sent to the engines by all daemons, as far as
// this daemon knows of them.
func (p *Pool) TotalPrefill() time.Duration {
	return p.cost.Counted()
}

// PrefillTimes returns the mean prefill time of recently sent prompts and its squared coefficient of variation;
// zeros while there is none.
func (p *Pool) PrefillTimes() (mean time.Duration, spread float64) { return p.cost.Times() }

// InFlight returns the number of in-flight requests of this daemon.
func (p *Pool) InFlight() int { return int(p.inFlight.Load()) }

// Slots returns the mean concurrency of the endpoints that are not leaving, or 0 if there is none.
func (p *Pool) Slots() float64 {
	places, count := 0, 0
	for _, t := range p.Targets() {
		if _, leaving := t.Leaving(); leaving {
			continue
		}
		t.mu.Lock()
		places += t.batch
		t.mu.Unlock()
		count++
	}
	return float64(places) / float64(max(count, 1))
}

// hitKey identifies a prefix at an endpoint.
type hitKey struct {
	prefix uint64
	target uint64
}

// hitMemory is an LRU map of the share of a prefix last found in an endpoint's cache. It only biases
// routing; correctness does not depend on it.
type hitMemory struct {
	mu  sync.Mutex
	lru *simplelru.LRU[hitKey, float32]
}

// hitMemorySize is the capacity of hitMemory, at about 40 bytes per entry.
const hitMemorySize = 16384

func (h *hitMemory) init() { h.lru, _ = simplelru.NewLRU[hitKey, float32](hitMemorySize, nil) }

func (h *hitMemory) set(k hitKey, share float32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lru.Add(k, share)
}

func (h *hitMemory) get(k hitKey) (float32, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lru.Get(k)
}

// scale multiplies the share stored for a prefix at an endpoint, or for all prefixes there if the key's
// prefix is 0.
func (h *hitMemory) scale(k hitKey, by float32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k.prefix != 0 {
		if s, ok := h.lru.Peek(k); ok {
			h.lru.Add(k, s*by)
		}
		return
	}
	for _, key := range h.lru.Keys() {
		if key.target == k.target {
			s, _ := h.lru.Peek(key)
			h.lru.Add(key, s*by)
		}
	}
}

// Hit records the cached share of a prefix that an answer reported.
func (p *Pool) Hit(t *Target, prefix uint64, share float64) {
	p.hits.set(hitKey{prefix, t.hash}, float32(share))
}

// Evicted lowers the expected hit after an eviction event of the endpoint's cache.
func (p *Pool) Evicted(t *Target, prefix uint64) { p.hits.scale(hitKey{prefix, t.hash}, 0.7) }

// Gap lowers all expected hits at an endpoint whose cache events were lost.
func (p *Pool) Gap(t *Target) { p.hits.scale(hitKey{0, t.hash}, 0.7) }
