// SPDX-License-Identifier: MIT

package reach

import (
	"sync"
	"time"
)

const (
	// refusalTTL is how long a daemon that refuses a service's requests, or cannot be reached, is not asked again.
	refusalTTL = time.Second
	// unsupportedTTL is the same for a daemon of a version that takes no requests over.
	unsupportedTTL = 30 * time.Second
	// loadTTL is how long a daemon's report of its load is used.
	loadTTL = time.Second
	// provenTTL is how long a daemon that has answered for a service counts as one that reaches it.
	provenTTL = 2 * time.Second
	// drawsPerZone is the number of daemons drawn in the own availability zone and in all others.
	drawsPerZone = 2
)

// Refusal is a reason why a daemon did not take a request over.
type Refusal int

// The refusals.
const (
	RefusedNoPath      Refusal = iota // it does not reach the service either, or stops
	RefusedUnsupported                // its version takes no requests over
)

// Candidate is another daemon.
type Candidate struct {
	Name  string
	Zone  string
	Power int // its processor share in percent; 0 if unknown
}

// Peers holds what is known of the daemons to send requests through. The zero value is ready to use.
type Peers struct {
	mu     sync.Mutex
	byName map[string]*peer
	proven map[string]proof // the last daemon that has answered for a service
}

type proof struct {
	name string
	at   time.Time
}

// peer is what is known of one daemon.
type peer struct {
	refusedUntil map[string]time.Time // by service; the empty name stands for all
	inFlight     int                  // requests of this daemon that it has taken over
	load         int                  // all its requests, as it last reported
	loadAt       time.Time
}

// peer returns the state of a daemon. The caller holds the lock.
func (p *Peers) peer(name string) *peer {
	if p.byName == nil {
		p.byName, p.proven = make(map[string]*peer), make(map[string]proof)
	}
	x := p.byName[name]
	if x == nil {
		x = &peer{refusedUntil: make(map[string]time.Time)}
		p.byName[name] = x
	}
	return x
}

// Choose returns the daemon to send a request of a service through, among all others but those tried before; false if
// there is none. Of a few daemons drawn at random it takes the least loaded, one of the own zone first; after a refusal,
// one that is known to reach the service.
func (p *Peers) Choose(now time.Time, service, zone string, all []Candidate, draw uint64, tried []string) (name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.proven[service]; len(tried) > 0 && now.Sub(x.at) < provenTTL && p.asks(now, service, x.name, tried) {
		return x.name, true
	}
	var best Candidate
	least := 0.0
	near, far := 0, 0
	for i := range all {
		c := all[(int(draw%uint64(len(all)))+i)%len(all)]
		count := &far
		if c.Zone == zone {
			count = &near
		}
		if *count >= drawsPerZone || !p.asks(now, service, c.Name, tried) {
			continue
		}
		*count++
		if load := p.loadOf(now, c, zone); !ok || load < least {
			best, least, ok = c, load, true
		}
	}
	return best.Name, ok
}

// asks reports whether a daemon may be asked. The caller holds the lock.
func (p *Peers) asks(now time.Time, service, name string, tried []string) bool {
	for _, t := range tried {
		if t == name {
			return false
		}
	}
	x := p.byName[name]
	return x == nil || !now.Before(x.refusedUntil[service]) && !now.Before(x.refusedUntil[""])
}

// sameZoneBonus is the load, in requests, by which a daemon of another availability zone must be better.
const sameZoneBonus = 0.5

// loadOf returns a daemon's load relative to its processor share. The caller holds the lock.
func (p *Peers) loadOf(now time.Time, c Candidate, zone string) float64 {
	load := 0.0
	if x := p.byName[c.Name]; x != nil {
		load = float64(x.inFlight)
		if now.Sub(x.loadAt) < loadTTL {
			load = max(load, float64(x.load))
		}
	}
	if c.Zone != zone {
		load += sameZoneBonus
	}
	if c.Power > 0 {
		load *= 100 / float64(c.Power)
	}
	return load
}

// Begin counts a request that is sent through a daemon.
func (p *Peers) Begin(name string) { p.count(name, 1) }

// End reverses Begin.
func (p *Peers) End(name string) { p.count(name, -1) }

func (p *Peers) count(name string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(name).inFlight += n
}

// Answered records that a daemon has taken a request of a service over, and the load that it reported.
func (p *Peers) Answered(now time.Time, service, name string, load int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peer(name)
	x.load, x.loadAt = load, now
	delete(x.refusedUntil, service)
	p.proven[service] = proof{name, now}
}

// Refused records that a daemon did not take a request of a service over; other is a daemon that does, as the refusing
// one says, or empty.
func (p *Peers) Refused(now time.Time, service, name string, why Refusal, other string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch x := p.peer(name); why {
	case RefusedNoPath:
		x.refusedUntil[service] = now.Add(refusalTTL)
	case RefusedUnsupported:
		x.refusedUntil[""] = now.Add(unsupportedTTL)
	}
	if known := p.proven[service]; other != "" && now.Sub(known.at) >= provenTTL {
		p.proven[service] = proof{other, now}
	}
}

// Proven returns a daemon that has lately taken a request of a service over, or an empty name.
func (p *Peers) Proven(now time.Time, service string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.proven[service]; now.Sub(x.at) < provenTTL {
		return x.name
	}
	return ""
}

// Retain drops the state of daemons that are not listed any more and have no requests.
func (p *Peers) Retain(listed func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, x := range p.byName {
		if x.inFlight == 0 && !listed(name) {
			delete(p.byName, name)
		}
	}
}
