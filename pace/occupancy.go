// SPDX-License-Identifier: MIT

package pace

import (
	"sync"
	"time"
)

const (
	// unknownTime is the time over which the room of a new endpoint becomes available: requests that were granted by
	// another owner, or before the endpoint named its limit, may still be there.
	unknownTime = 2 * time.Second
	// minHold and holdWeight are the least mean time for which a request occupies its place, and the weight of the
	// latest one in that mean.
	minHold    = 5 * time.Millisecond
	holdWeight = 0.1
	// maxRoomWait bounds the wait of a refused daemon.
	maxRoomWait = 500 * time.Millisecond
)

// Occupancy counts the concurrent requests at endpoints whose room is limited, over all daemons. The zero value is ready
// to use.
type Occupancy struct {
	mu        sync.Mutex
	endpoints map[uint64]*places
}

// places are the requests at one endpoint.
type places struct {
	held   map[uint64]place // by the permit's id
	mean   time.Duration    // for which a request holds its place
	usedAt time.Time
	askers map[string]time.Time
}

// place is held by one request. It is freed at the latest at its end, in case the release is lost.
type place struct{ since, until time.Time }

// Enter takes a place for one request to an endpoint that has the given room, until it is left or ends.
func (o *Occupancy) Enter(now time.Time, endpoint uint64, room int, asker string, id uint64, until time.Time) Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.places(now, endpoint, room)
	p.usedAt, p.askers[asker] = now, now
	for k, x := range p.held {
		if !now.Before(x.until) {
			delete(p.held, k)
		}
	}
	each := max(p.mean, minHold) / time.Duration(max(room, 1))
	g := Grant{Interval: each * time.Duration(p.activeAskers(now))}
	if len(p.held) < room {
		p.held[id] = place{now, until}
		g.OK = true
		return g
	}
	g.Wait = min(max(g.Interval, minHold), maxRoomWait)
	return g
}

// Leave frees a place.
func (o *Occupancy) Leave(now time.Time, endpoint, id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.endpoints[endpoint]
	if p == nil {
		return
	}
	if x, ok := p.held[id]; ok {
		delete(p.held, id)
		p.mean += time.Duration(holdWeight * float64(now.Sub(x.since)-p.mean))
	}
}

func (p *places) activeAskers(now time.Time) int {
	for name, at := range p.askers {
		if now.Sub(at) > maxRoomWait {
			delete(p.askers, name)
		}
	}
	return len(p.askers)
}

// places returns the places of an endpoint. The caller holds the lock.
func (o *Occupancy) places(now time.Time, endpoint uint64, room int) *places {
	if p := o.endpoints[endpoint]; p != nil {
		return p
	}
	if o.endpoints == nil {
		o.endpoints = make(map[uint64]*places)
	}
	if len(o.endpoints) >= maxBuckets {
		for k, p := range o.endpoints {
			if now.Sub(p.usedAt) > bucketTTL {
				delete(o.endpoints, k)
			}
		}
	}
	p := &places{held: make(map[uint64]place), askers: make(map[string]time.Time)}
	for i := range room {
		p.held[uint64(i)] = place{now, now.Add(unknownTime * time.Duration(i+1) / time.Duration(room))}
	}
	o.endpoints[endpoint] = p
	return p
}
