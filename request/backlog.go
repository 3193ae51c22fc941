// SPDX-License-Identifier: MIT

package request

import (
	"iter"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"streambend.example/mechanism"
)

// Part is a segment of a prompt. All segments but the last are shared between requests and stay in an
// engine's prefix cache.
type Part struct {
	ID     uint64 `codec:"i"`
	Tokens int    `codec:"t"`
}

const (
	// maxCachedParts is the maximum number of cached parts tracked per engine, at about 100 bytes each.
	maxCachedParts = 512
	// cacheShare is the assumed share of an engine's KV memory that caches shared parts; running requests
	// use the rest.
	cacheShare = 0.7
	// paceWeight is the weight of one sample in an engine's pace; paceMin and paceMax bound the samples
	// against outliers.
	paceWeight = 0.1
	paceMin    = 0.5
	paceMax    = 8
)

// Backlog estimates the pending prefill work of an engine and the parts in its prefix cache. It is modelled
// from what the daemons have sent there, since an engine's own report is stale on arrival.
type Backlog struct {
	cost *PrefillCost // of the service's engines

	mu            sync.Mutex
	pending       time.Duration // prefill time pending at the time at
	at            time.Time
	added         time.Duration               // prefill time added in total
	pace          float64                     // the engine's prefill time relative to the service's
	parts         *simplelru.LRU[uint64, int] // nil before the first one
	cachedTokens  int                         // tokens of the tracked parts
	cacheCapacity int                         // capacity for cached tokens; 0 for no bound
}

func newBacklog(cost *PrefillCost, memory int) Backlog {
	return Backlog{cost: cost, pace: 1, cacheCapacity: int(cacheShare * float64(memory))}
}

// Left returns the pending prefill time of the engine.
func (b *Backlog) Left(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	return b.pending
}

// drain subtracts the time passed since the last update; the caller holds the lock.
func (b *Backlog) drain(now time.Time) {
	if dt := now.Sub(b.at); dt > 0 {
		b.pending = max(0, b.pending-dt)
		b.at = now
	}
}

// Done returns the total prefill time that the engine has completed.
func (b *Backlog) Done(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	return b.added - b.pending
}

// PrefillEstimate is the estimated prefill of one prompt at an engine.
type PrefillEstimate struct {
	Wait     time.Duration // until prefill begins
	Own      time.Duration // prefill of the tokens that are not cached
	Start    time.Duration // from the end of prefill to the first event
	Fresh    int           // tokens that are not cached
	Shared   int           // the part of Fresh that other requests share
	MaxPause time.Duration // longest pause that the prefill causes in concurrent streams
}

// Estimate estimates the prefill of a prompt at the engine.
func (b *Backlog) Estimate(now time.Time, parts []Part) PrefillEstimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	r := PrefillEstimate{Wait: b.pending}
	kept, total := true, 0
	for i, p := range parts {
		total += p.Tokens
		kept = kept && b.parts != nil && b.parts.Contains(p.ID)
		if kept {
			continue
		}
		r.Fresh += p.Tokens
		if i < len(parts)-1 {
			r.Shared += p.Tokens
		}
	}
	r.Start = b.cost.Start()
	r.Own = time.Duration(b.pace * float64(b.cost.Time(r.Fresh, total)))
	r.MaxPause = time.Duration(b.pace * float64(b.cost.MaxPause(r.Fresh, total)))
	return r
}

// Mark is the position of a prompt in the backlog.
type Mark struct {
	added time.Duration // prefill time added up to and including the prompt
	alone bool          // the backlog was empty before it
	own   time.Duration
	fresh int
	total int
	at    time.Time
}

// Add records that a prompt was sent to the engine, with fresh of its total tokens not cached there.
func (b *Backlog) Add(now time.Time, fresh, total int, shared []Part) Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	own := time.Duration(b.pace * float64(b.cost.Time(fresh, total)))
	m := Mark{alone: b.pending == 0, own: own, fresh: fresh, total: total, at: now}
	b.pending += own
	b.added += own
	b.cost.Count(own)
	m.added = b.added
	for _, p := range shared {
		b.cachePart(p)
	}
	return m
}

// cachePart records a shared part as cached; the caller holds the lock.
func (b *Backlog) cachePart(p Part) {
	if b.parts == nil {
		b.parts, _ = simplelru.NewLRU(maxCachedParts, func(_ uint64, tokens int) { b.cachedTokens -= tokens }) // fails only for a size below 1
	}
	if b.parts.Contains(p.ID) {
		b.parts.Get(p.ID) // marks it as recently used
		return
	}
	b.parts.Add(p.ID, p.Tokens)
	b.cachedTokens += p.Tokens
	for b.cacheCapacity > 0 && b.cachedTokens > b.cacheCapacity && b.parts.Len() > 1 {
		b.parts.RemoveOldest()
	}
}

// Begun records that the engine has finished the prefill of a prompt, and thus of all prompts sent before
// it. If the prompt was alone there, its time is a sample of the engine's pace and of the service's prefill
// cost.
func (b *Backlog) Begun(now time.Time, m Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	b.pending = min(b.pending, max(0, b.added-m.added))
	took := now.Sub(m.at)
	if !m.alone || took <= 0 || m.own <= 0 {
		return
	}
	start := b.cost.Start()
	b.cost.Learn(m.fresh, m.total, start+time.Duration(float64(took-start)/b.pace))
	took -= start
	if m.fresh < minSampleTokens || took <= 0 {
		return
	}
	sample := math.Min(math.Max(b.pace*float64(took)/float64(m.own), paceMin), paceMax)
	b.pace += paceWeight * (sample - b.pace)
}

// Dropped removes a prompt that the engine will not process.
func (b *Backlog) Dropped(now time.Time, m Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	b.pending = max(0, b.pending-m.own)
}

// SentPrompt announces to other daemons that a prompt was sent to an engine.
type SentPrompt struct {
	Endpoint uint64 `codec:"e"` // Endpoint.Hash of the engine
	Fresh    int    `codec:"f"` // tokens not cached at the engine
	Total    int    `codec:"t"` // tokens of the whole prompt
	Out      int    `codec:"o"` // expected tokens of the answer
	Parts    []Part `codec:"p"` // the shared parts
}

// Send records a prompt sent to the engine, of which fresh tokens are not cached there and whose answer is
// expected to have out tokens. It returns the prompt's position in the backlog and the announcement for
// other daemons.
func (t *Target) Send(now time.Time, fresh int, parts []Part, out int) (Mark, SentPrompt) {
	s := SentPrompt{Endpoint: t.hash, Fresh: fresh, Parts: parts[:len(parts)-1], Out: out}
	for _, p := range parts {
		s.Total += p.Tokens
	}
	m := t.backlog.Add(now, s.Fresh, s.Total, s.Parts)
	t.places.Delay(t.holds.prefillDelay(m.own))
	return m, s
}

// Begun records that the engine has begun to answer a prompt.
func (t *Target) Begun(now time.Time, m Mark) { t.backlog.Begun(now, m) }

// PrefillDone returns the total prefill time that the engine has completed: prefill during an answer delays
// that answer.
func (t *Target) PrefillDone(now time.Time) time.Duration { return t.backlog.Done(now) }

// Dropped records that the engine will not process a prompt.
func (t *Target) Dropped(now time.Time, m Mark) { t.backlog.Dropped(now, m) }

// RecordSent records a prompt that another daemon has sent.
func (w *ServiceStates) RecordSent(now time.Time, s SentPrompt) {
	for _, k := range w.All() {
		if t := k.Pool.snapshot().byHash[s.Endpoint]; t != nil {
			m := t.backlog.Add(now, s.Fresh, s.Total, s.Parts)
			t.places.Delay(t.holds.prefillDelay(m.own))
			if w.opts.Without.On(mechanism.EnginePlaces) {
				t.places.Occupy(now, now.Add(t.backlog.Left(now)), k.Pool.holds.predict(s.Out), t.slotsForOthers(w.opts.Without))
			}
			return
		}
	}
}

const (
	// recomputePartWeight is the extra weight of recomputing a shared part beyond its time: it costs money
	// and evicts another part.
	recomputePartWeight = 1.0
	// maxPauseShare is the share of the longest tolerated pause that a prompt's prefill may cause in
	// concurrent streams.
	maxPauseShare = 0.8
	// lateStreamCost is the cost of making one stream late, in seconds. Twice the value puts 0.85 instead
	// of 0.82 of the long prompts in time on 85 nearly full simulated engines, and changes nothing on 120,
	// but loses 0.02 of the earnings of a day of peak load on 9 engines of 64 slots.
	lateStreamCost = 0.15
	// reservedShare is the share of the engines set apart for prompts whose prefill delays other streams;
	// reservedCost is the penalty in seconds for other prompts there.
	reservedShare = 0.2
	reservedCost  = 0.1
	// reservedMinEngines is the minimum number of engines at which some are set apart.
	reservedMinEngines = 4
	// reservedTTL is how long engines stay set apart after the last such prompt.
	reservedTTL = 20 * time.Second
)

// preferredHit is the probability that the first endpoints in a prompt's rendezvous order cache its shared
// parts although this daemon does not know it: all daemons share the order and prefer the first ones. If
// daemons know what the others have sent, it only makes the load less even (0.44 instead of 0.49 of the
// worth on a quiet day of nine engines).
var preferredHit = [...]float64{0.7, 0.3}

// tieBreakRange is the range, in seconds, of the random term that spreads prompts over equally good
// endpoints.
const tieBreakRange = 0.004

// choosePrompt chooses the endpoint with the earliest expected first event, with a preference for one that
// caches the shared parts. A prompt whose prefill would delay concurrent streams is sent where few of them
// run.
func (p *Pool) choosePrompt(now time.Time, l *poolList, n Need) (Choice, bool) {
	preferred := preferredFor(l, n)
	if l.large() {
		if c, ok := p.chooseEarliest(now, l, n, preferred, l.sample(n, preferred)); ok {
			return c, true
		}
	}
	return p.chooseEarliest(now, l, n, preferred, slices.All(l.all))
}

// chooseEarliest is choosePrompt among some endpoints of the list, with their indices in it.
func (p *Pool) chooseEarliest(now time.Time, l *poolList, n Need, preferred preferredTargets, among iter.Seq2[int, *Target]) (Choice, bool) {
	var c Choice
	best := math.Inf(1)
	reserved := 0
	if now.Sub(p.lastDelayingAt()) < reservedTTL && len(l.all) >= reservedMinEngines {
		reserved = max(1, int(reservedShare*float64(len(l.all))))
	}
	for i, t := range among {
		if !t.eligible(n) {
			continue
		}
		r := t.backlog.Estimate(now, n.Parts)
		place := t.slotWait(now, n)
		first := max(r.Wait, place) + r.Own + r.Start
		if !n.Without.On(mechanism.PlaceQueue) {
			place = 0
		}
		shared := r.Own.Seconds() * float64(r.Shared) / float64(max(r.Fresh, 1))
		score := first.Seconds()
		if n.Without.On(mechanism.RereadCost) {
			score += recomputePartWeight * shared
		}
		if place := preferred.place(t); place >= 0 {
			score -= preferredHit[place] * (1 + recomputePartWeight) * shared
		}
		score += tieBreakRange * float64(mix(n.Draw, t.hash)%1024) / 1024
		holds := n.Pause > 0 && n.Without.On(mechanism.SetApart) && float64(r.MaxPause) > maxPauseShare*float64(n.Pause)
		switch {
		case holds:
			score += lateStreamCost * float64(t.running(now))
		case l.order[i] < reserved:
			score += reservedCost
		}
		score /= math.Max(float64(math.Float32frombits(t.ramp.Load())), rampStart)
		if t.Zone != p.Zone {
			score += crossZoneSeconds
		}
		if score < best {
			best = score
			c = Choice{Target: t, Load: int(t.load.Load()), PrefillEstimate: r, Place: place, First: first, Why: "read soonest"}
			if holds {
				c.Why = "holds others up, few run beside"
			}
		}
	}
	if c.Target != nil && c.Why != "read soonest" {
		p.recordDelaying(now)
	}
	return c, c.Target != nil
}

// lastDelayingAt returns when a prompt that delays other streams was last routed.
func (p *Pool) lastDelayingAt() time.Time { return time.Unix(0, p.lastDelaying.Load()) }

func (p *Pool) recordDelaying(now time.Time) { p.lastDelaying.Store(now.UnixNano()) }

// running estimates the number of requests at the endpoint.
func (t *Target) running(now time.Time) int {
	return max(int(t.load.Load()), int(t.ownLoad.Load())+t.places.Occupied(now))
}

// slotsForOthers returns how many of the engine's slots are left for requests of other daemons.
func (t *Target) slotsForOthers(without mechanism.Set) int {
	if !without.On(mechanism.PlaceQueue) {
		return math.MaxInt // waiting requests are not modelled apart from running ones
	}
	return t.slots() - int(t.ownLoad.Load())
}

// slots returns the concurrency of the endpoint.
func (t *Target) slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.batch
}

// slotWait estimates how long a request waits for a slot at the endpoint.
func (t *Target) slotWait(now time.Time, n Need) time.Duration {
	batch := t.slots()
	wait := t.places.Wait(now, batch-int(t.ownLoad.Load()))
	if over := int(t.load.Load()) - batch + 1; over > 0 {
		wait = max(wait, time.Duration(float64(over)/float64(batch)*float64(n.Service)))
	}
	return wait
}
