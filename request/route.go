// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"time"

	"streambend.example/mechanism"
	"streambend.example/version"
)

// RoutePolicy names a way of choosing an endpoint.
type RoutePolicy string

// The routing policies: the default one and two baselines to compare it with.
const (
	RouteOurs   RoutePolicy = "ours"
	RouteRandom RoutePolicy = "random"
	RouteLeast  RoutePolicy = "least-loaded"
)

// Need describes a request to routing.
type Need struct {
	Prefix               uint64  // hash of the prompt's first part; 0 for none
	Prompt               int     // approximate number of prompt tokens
	Plain                bool    // a call without a prompt: no cache affinity
	Avoid                *Target // the endpoint that has just failed
	PreferNonReclaimable bool    // prefer boxes that are not reclaimable
	RecomputeWeight      version.Weight
	Policy               RoutePolicy
	PrefillRate          float64       // prompt tokens per second
	Service              time.Duration // mean time a request spends at an endpoint
	PreferRendezvous     bool          // this daemon sees little of what other daemons send
	Draw                 uint64        // random number for the choice; a seed reproduces it
	Parts                []Part        // of the prompt; empty if not known
	Pause                time.Duration // longest pause within a stream that still counts as in time; 0 if not known
	Trial                bool          // route to a version under canary evaluation
	Ejected              bool          // also allow endpoints ejected for soft failures
	Without              mechanism.Set // mechanisms that are switched off
	At                   time.Time     // time of the routing decision
	AllowBackedOff       bool          // also allow endpoints that asked other daemons to back off
	Binding              Binding       // of a stream that has begun
}

// Choice is the endpoint chosen, the reason, and the estimates behind it.
type Choice struct {
	Target *Target
	Hit    float64 // expected share of the prompt in its prefix cache
	Load   int
	Bound  int // load bound that was applied
	Why    string
	PrefillEstimate
	Place    time.Duration // estimated wait for a free slot there
	First    time.Duration // expected time to the first event; 0 if not known
	Expected time.Duration // expected time of a plain call; 0 if not known
	SendBy   time.Time     // latest time to send the request; zero for no limit
	Unbound  bool          // chosen from a list beyond its bound, as the store fails for all
	release  func()        // releases its place at an endpoint whose room is limited; nil for none
	Others   [candidateCount]Candidate
}

// expired reports whether it is too late to send the request to the endpoint.
func (c Choice) expired(now time.Time) bool { return !c.SendBy.IsZero() && !now.Before(c.SendBy) }

// WaitsBeyond reports whether the prompt would wait longer than limit even at the chosen engine.
func (c Choice) WaitsBeyond(limit time.Duration) bool { return max(c.Wait, c.Place) > limit }

// Candidate is an endpoint that was considered.
type Candidate struct {
	Target *Target
	Score  float64 // expected seconds
}

const (
	candidateCount   = 4    // endpoints considered in rendezvous order
	loadSlack        = 1.15 // load bound as a multiple of the mean
	sentSlack        = 1.05 // the same for recently sent requests
	sentMargin       = 0.5  // requests any endpoint may have above that bound
	crossZoneSeconds = 0.002
	recomputeWeight  = 3 // weight of recomputed tokens for Podwave
)

// defaultHits is the expected cache hit at each position of the rendezvous order
// before any answer has reported one for the prefix.
var defaultHits = [candidateCount]float64{0.5, 0.1, 0, 0}

// mix hashes two numbers into one; for a prefix and a target it is the rendezvous weight.
func mix(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Route chooses an endpoint, or returns false if none accepts work. If none is eligible, it falls back to
// endpoints that asked other daemons to back off, then to those ejected for soft failures: when all engines
// are slow at once, all are ejected for timeouts, and a slow one is better than none.
func (p *Pool) Route(now time.Time, n Need) (Choice, bool) {
	n.At = now
	c, ok := p.route(now, n)
	if !ok && !n.AllowBackedOff {
		n.AllowBackedOff = true
		c, ok = p.route(now, n)
	}
	if !ok {
		n.Ejected = true
		c, ok = p.route(now, n)
	}
	return c, ok
}

func (p *Pool) route(now time.Time, n Need) (Choice, bool) {
	l := p.snapshot()
	switch {
	case len(l.all) == 0:
		return Choice{}, false
	case n.Policy == RouteRandom:
		return chooseRandom(l.all, n)
	case n.Policy == RouteLeast:
		return chooseLeast(l.all, n, "least loaded")
	case len(n.Parts) > 0:
		return p.choosePrompt(now, l, n)
	case n.Plain || n.Prefix == 0:
		return p.choosePlain(now, l, n)
	default:
		return p.choosePrefix(l, n)
	}
}

// eligible reports whether the target is eligible for the request.
func (t *Target) eligible(n Need) bool {
	if t.excluded.Load() && !(n.Ejected && t.softEjected.Load()) || t == n.Avoid || !t.takes(n.Trial) || !n.Binding.allows(t.Version) {
		return false
	}
	if !n.AllowBackedOff && t.readAdvertised().othersBackoff.left(n.At) > 0 {
		return false
	}
	_, shut := t.readAdvertised().acceptsFrom(n.At)
	return !shut
}

// rampedLoad returns the target's load, scaled up while it ramps up after an ejection.
func (t *Target) rampedLoad() float64 {
	r := float64(math.Float32frombits(t.ramp.Load()))
	return float64(t.load.Load()) / math.Max(r, rampStart)
}

// secondDrawSalt derives a second random number from a draw.
const secondDrawSalt = 0x5bd1e995

// pick returns a number below n, determined by the draw.
func pick(draw uint64, n int) int { return int(mix(draw, uint64(n)) % uint64(n)) }

func chooseRandom(all []*Target, n Need) (Choice, bool) {
	start := pick(n.Draw, len(all))
	for i := range all {
		if t := all[(start+i)%len(all)]; t.eligible(n) {
			return Choice{Target: t, Load: int(t.load.Load()), Why: "random"}, true
		}
	}
	return Choice{}, false
}

// leastLoaded returns the least loaded eligible endpoint for which f holds, or nil. The draw breaks ties:
// many daemons each see no load of their own anywhere, and in order of name all would choose the same one.
func leastLoaded(all []*Target, n Need, f func(*Target) bool) (best *Target) {
	start := pick(n.Draw, len(all))
	for i := range all {
		t := all[(start+i)%len(all)]
		if f(t) && t.eligible(n) && (best == nil || t.rampedLoad() < best.rampedLoad()) {
			best = t
		}
	}
	return best
}

func chooseLeast(all []*Target, n Need, why string) (Choice, bool) {
	best := leastLoaded(all, n, func(*Target) bool { return true })
	if best == nil {
		return Choice{}, false
	}
	return Choice{Target: best, Load: int(best.load.Load()), Why: why}, true
}

// chooseLeastSent chooses the endpoint with the fewest recently sent requests among those within the load
// bound, for a prompt whose preferred endpoints are over their bounds.
func chooseLeastSent(all []*Target, n Need) (Choice, bool) {
	l := poolList{all: all}
	bound := loadBound(&l, n)
	var best *Target
	start := pick(n.Draw, len(all))
	for i := range all {
		t := all[(start+i)%len(all)]
		if t.eligible(n) && int(t.load.Load()) <= bound && (best == nil || t.recentlySent() < best.recentlySent()) {
			best = t
		}
	}
	if best == nil {
		return chooseLeast(all, n, "least loaded")
	}
	return Choice{Target: best, Load: int(best.load.Load()), Why: "all of the order over the bound"}, true
}

// loadBound returns the load that no endpoint may exceed while another is below it.
func loadBound(l *poolList, n Need) int {
	sum, count := 0, 0
	for _, t := range l.all {
		if t.eligible(n) {
			sum += int(t.load.Load())
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return int(math.Ceil(loadSlack * float64(sum+1) / float64(count)))
}

// choosePrefix scores the first endpoints in the rendezvous order of the prompt's prefix. All daemons compute
// the same order, so a prefix reaches the same caches without any coordination.
func (p *Pool) choosePrefix(l *poolList, n Need) (Choice, bool) {
	top, count, bound, sentBound := p.rank(l, n)
	if count == 0 {
		return Choice{}, false
	}
	c := Choice{Bound: bound}
	best := -1
	for i := range count {
		t := top[i]
		hit := p.expectHit(t, n.Prefix, i)
		c.Others[i] = Candidate{Target: t, Score: p.score(t, n, hit)}
		r := math.Float32frombits(t.ramp.Load())
		if float64(t.load.Load()) > float64(bound)*float64(r) || t.recentlySent() > sentBound {
			continue
		}
		if best < 0 || c.Others[i].Score < c.Others[best].Score {
			best, c.Hit = i, hit
		}
	}
	if best < 0 {
		least, ok := chooseLeastSent(l.all, n)
		least.Others, least.Bound = c.Others, bound
		return least, ok
	}
	c.Target = top[best]
	c.Load = int(c.Target.load.Load())
	c.Why = "prefix order"
	if best > 0 {
		c.Why = "lower score further in the order"
	}
	return c, true
}

// rank returns the first endpoints in rendezvous order, and the bounds on load and on recently sent requests.
func (p *Pool) rank(l *poolList, n Need) (top [candidateCount]*Target, count, bound int, sentBound float64) {
	var weights [candidateCount]uint64
	sum, open, sent := 0, 0, 0.0
	for _, t := range l.all {
		if !t.eligible(n) {
			continue
		}
		open++
		sum += int(t.load.Load())
		sent += t.recentlySent()
		w := mix(n.Prefix, t.hash)
		if count == candidateCount && w <= weights[count-1] {
			continue
		}
		if count < candidateCount {
			count++
		}
		i := count - 1
		for ; i > 0 && weights[i-1] < w; i-- {
			weights[i], top[i] = weights[i-1], top[i-1]
		}
		weights[i], top[i] = w, t
	}
	if open > 0 {
		bound = int(math.Ceil(loadSlack * float64(sum+1) / float64(open)))
		sentBound = sentSlack*sent/float64(open) + sentMargin
	}
	return top, count, bound, sentBound
}

// expectHit returns the expected share of the prompt in the target's cache.
func (p *Pool) expectHit(t *Target, prefix uint64, place int) float64 {
	if s, ok := p.hits.get(hitKey{prefix, t.hash}); ok {
		return float64(s)
	}
	return defaultHits[place]
}

// score returns the expected wait and recompute time in seconds.
func (p *Pool) score(t *Target, n Need, hit float64) float64 {
	weight := 1.0
	if n.RecomputeWeight == version.WeighRecompute {
		weight = recomputeWeight
	}
	s := 0.0
	if n.PrefillRate > 0 {
		s = weight * (1 - hit) * float64(n.Prompt) / n.PrefillRate
	}
	if t.Zone != p.Zone {
		s += crossZoneSeconds
	}
	t.mu.Lock()
	batch := t.batch
	t.mu.Unlock()
	over := float64(t.load.Load()) - float64(batch) + 1
	if over > 0 {
		s += over / float64(batch) * n.Service.Seconds()
	}
	return s
}
