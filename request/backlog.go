// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"streambend.example/mechanism"
)

// Part is a piece of a prompt; the pieces before the last are shared between
// requests and stay in an engine's cache.
type Part struct {
	ID     uint64 `codec:"i"`
	Tokens int    `codec:"t"`
}

const (
	// cacheParts bounds how many parts are remembered of an engine, at about
	// 100 bytes each.
	cacheParts = 512
	// cacheShare is the part of an engine's memory that is taken to hold shared
	// parts; requests that run need the rest.
	cacheShare = 0.7
	// paceWeight is the weight of one sample of an engine's own pace, and
	// paceLeast and paceMost bound that pace against odd samples.
	paceWeight = 0.1
	paceLeast  = 0.5
	paceMost   = 8
)

// Backlog is what is known of the prompts that an engine has still to read and
// of the parts that it keeps. It is modelled from what the daemons have sent
// there, since an engine's own report is old on arrival.
type Backlog struct {
	cost *ReadCost // of the service's engines

	mu     sync.Mutex
	left   time.Duration // of reading at the moment at
	at     time.Time
	added  time.Duration // of reading ever added
	pace   float64       // time that the engine takes, as a multiple of the service's
	parts  *simplelru.LRU[uint64, int]
	kept   int // tokens of the parts remembered
	memory int // tokens that may be kept; 0 for no bound
}

func newBacklog(cost *ReadCost, memory int) *Backlog {
	b := &Backlog{cost: cost, pace: 1, memory: int(cacheShare * float64(memory))}
	b.parts, _ = simplelru.NewLRU(cacheParts, func(_ uint64, tokens int) { b.kept -= tokens }) // the size is above 0
	return b
}

// Left returns how long the engine reads what it has.
func (b *Backlog) Left(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	return b.left
}

// drain brings the backlog up to now; the caller holds the lock.
func (b *Backlog) drain(now time.Time) {
	if dt := now.Sub(b.at); dt > 0 {
		b.left = max(0, b.left-dt)
		b.at = now
	}
}

// Done returns how long the engine has read in all.
func (b *Backlog) Done(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	return b.added - b.left
}

// Reading is an engine's state towards one prompt.
type Reading struct {
	Wait   time.Duration // until it begins to read the prompt
	Own    time.Duration // to read what it has not kept of it
	Start  time.Duration // from then to the first event
	Fresh  int           // tokens that it has not kept
	Shared int           // those of them that other requests share
	Held   time.Duration // the longest pause of the streams that run beside
}

// Read returns how long a prompt takes to be read at the engine.
func (b *Backlog) Read(now time.Time, parts []Part) Reading {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	r := Reading{Wait: b.left}
	kept, total := true, 0
	for i, p := range parts {
		total += p.Tokens
		kept = kept && b.parts.Contains(p.ID)
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
	r.Held = time.Duration(b.pace * float64(b.cost.Held(r.Fresh, total)))
	return r
}

// Mark names a prompt's place in the backlog.
type Mark struct {
	added time.Duration // up to and with the prompt
	alone bool          // nothing was ahead of it
	own   time.Duration
	fresh int
	total int
	at    time.Time
}

// Add takes in that a prompt of so many tokens in all was sent to the engine.
func (b *Backlog) Add(now time.Time, fresh, total int, shared []Part) Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	own := time.Duration(b.pace * float64(b.cost.Time(fresh, total)))
	m := Mark{alone: b.left == 0, own: own, fresh: fresh, total: total, at: now}
	b.left += own
	b.added += own
	b.cost.Count(own)
	m.added = b.added
	for _, p := range shared {
		b.keep(p)
	}
	return m
}

// keep remembers a shared part; the caller holds the lock.
func (b *Backlog) keep(p Part) {
	if b.parts.Contains(p.ID) {
		b.parts.Get(p.ID) // it was used
		return
	}
	b.parts.Add(p.ID, p.Tokens)
	b.kept += p.Tokens
	for b.memory > 0 && b.kept > b.memory && b.parts.Len() > 1 {
		b.parts.RemoveOldest()
	}
}

// Begun takes in that the engine has read a prompt to its end: all that was
// sent before is read as well.
func (b *Backlog) Begun(now time.Time, m Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	b.left = min(b.left, max(0, b.added-m.added))
	took := now.Sub(m.at)
	if !m.alone || took <= 0 || m.own <= 0 {
		return
	}
	start := b.cost.Start()
	b.cost.Learn(m.fresh, m.total, start+time.Duration(float64(took-start)/b.pace))
	took -= start
	if m.fresh < sampleLeast || took <= 0 {
		return
	}
	sample := math.Min(math.Max(b.pace*float64(took)/float64(m.own), paceLeast), paceMost)
	b.pace += paceWeight * (sample - b.pace)
}

// Dropped takes in that a prompt will not be read after all.
func (b *Backlog) Dropped(now time.Time, m Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	b.left = max(0, b.left-m.own)
}

// Sent is a prompt that a daemon has sent to an engine, as it tells the others.
type Sent struct {
	Endpoint uint64 `codec:"e"` // the hash of the engine's name
	Fresh    int    `codec:"f"` // tokens that the engine has to read
	Total    int    `codec:"t"` // tokens of the whole prompt
	Out      int    `codec:"o"` // tokens expected of the answer
	Parts    []Part `codec:"p"` // the shared ones
}

// Send counts a prompt that is sent to the engine, which has to read so many of its
// tokens and is to answer with so many. It returns the prompt's place there and the word
// for other daemons.
func (t *Target) Send(now time.Time, fresh int, parts []Part, out int) (Mark, Sent) {
	s := Sent{Endpoint: t.hash, Fresh: fresh, Parts: parts[:len(parts)-1], Out: out}
	for _, p := range parts {
		s.Total += p.Tokens
	}
	m := t.backlog.Add(now, s.Fresh, s.Total, s.Parts)
	t.places.Delay(t.holds.beside(m.own))
	return m, s
}

// Begun takes in that the engine has begun to answer a prompt.
func (t *Target) Begun(now time.Time, m Mark) { t.backlog.Begun(now, m) }

// ReadingDone returns how long the engine has read prompts in all: what it reads while an answer is
// under way holds that up.
func (t *Target) ReadingDone(now time.Time) time.Duration { return t.backlog.Done(now) }

// Dropped takes in that a prompt will not be read after all.
func (t *Target) Dropped(now time.Time, m Mark) { t.backlog.Dropped(now, m) }

// HearSent takes in a prompt that another daemon has sent.
func (w *Works) HearSent(now time.Time, s Sent) {
	for _, k := range w.All() {
		if t := k.Pool.view().byHash[s.Endpoint]; t != nil {
			m := t.backlog.Add(now, s.Fresh, s.Total, s.Parts)
			t.places.Delay(t.holds.beside(m.own))
			if w.opts.Without.On(mechanism.EnginePlaces) {
				t.places.Take(now, now.Add(t.backlog.Left(now)), k.Pool.holds.of(s.Out), t.placesFor(w.opts.Without))
			}
			return
		}
	}
}

const (
	// rereadWeight is by how much reading a shared part again counts beyond its
	// time: it is paid for, and takes the place of another part.
	rereadWeight = 1.0
	// heldShare is the share of the longest pause in time that reading a prompt
	// may cause to the streams beside it.
	heldShare = 0.8
	// heldCost is what making one stream late counts, as time. At twice that, 0.85 of
	// the long prompts in place of 0.82 were in time on 85 nearly full engines of a
	// played load, and as many on 120; on 9 engines of 64 places a day of the highest
	// load earned 0.02 less (three seeds).
	heldCost = 0.15
	// laneShare is the part of the engines to which prompts go that would hold
	// the others up, and laneCost what keeps other prompts away from them.
	laneShare = 0.2
	laneCost  = 0.1
	// laneLeast is from how many engines on some are set apart.
	laneLeast = 4
	// laneMemory is how long after the last such prompt they stay set apart.
	laneMemory = 20 * time.Second
)

// homeHit is how likely the first endpoints in a prompt's order are to keep its
// shared parts although nothing is known of it here: all daemons have the same
// order, and prefer the first. Where each knows what all have sent, it only makes
// the endpoints less evenly used (0.44 of the worth for 0.49 on a quiet day of nine
// engines).
var homeHit = [...]float64{0.7, 0.3}

// tieBreak spreads prompts over endpoints that are as good, in seconds.
const tieBreak = 0.004

// homes are the first endpoints in the order of a prompt's shared head.
type homes [len(homeHit)]*Target

func homesOf(l *poolList, n Need) homes {
	var h homes
	var weights [len(homeHit)]uint64
	if !n.Homes || n.Prefix == 0 {
		return h
	}
	for _, t := range l.all {
		if !t.open(n) {
			continue
		}
		w := mix(n.Prefix, t.hash)
		for i := range h {
			if h[i] == nil || w > weights[i] {
				copy(h[i+1:], h[i:])
				copy(weights[i+1:], weights[i:])
				h[i], weights[i] = t, w
				break
			}
		}
	}
	return h
}

// place returns an endpoint's place among the homes, or -1.
func (h homes) place(t *Target) int {
	for i, x := range h {
		if x == t {
			return i
		}
	}
	return -1
}

// choosePrompt takes the endpoint at which the prompt is read soonest, with a
// preference for one that keeps its shared parts. A prompt whose reading would
// hold up the streams that run beside it goes where few of them run.
func (p *Pool) choosePrompt(now time.Time, l *poolList, n Need) (Choice, bool) {
	var c Choice
	best := math.Inf(1)
	home := homesOf(l, n)
	lane := 0
	if now.Sub(p.heldAt()) < laneMemory && len(l.all) >= laneLeast {
		lane = max(1, int(laneShare*float64(len(l.all))))
	}
	for i, t := range l.all {
		if !t.open(n) {
			continue
		}
		r := t.backlog.Read(now, n.Parts)
		place := t.slotWait(now, n)
		first := max(r.Wait, place) + r.Own + r.Start
		if !n.Without.On(mechanism.PlaceQueue) {
			place = 0
		}
		shared := r.Own.Seconds() * float64(r.Shared) / float64(max(r.Fresh, 1))
		score := first.Seconds()
		if n.Without.On(mechanism.RereadCost) {
			score += rereadWeight * shared
		}
		if place := home.place(t); place >= 0 {
			score -= homeHit[place] * (1 + rereadWeight) * shared
		}
		score += tieBreak * float64(mix(n.Draw, t.hash)%1024) / 1024
		holds := n.Pause > 0 && n.Without.On(mechanism.SetApart) && float64(r.Held) > heldShare*float64(n.Pause)
		switch {
		case holds:
			score += heldCost * float64(t.running(now))
		case l.order[i] < lane:
			score += laneCost
		}
		score /= math.Max(float64(math.Float32frombits(t.ramp.Load())), rampStart)
		if t.Zone != p.Zone {
			score += zoneSeconds
		}
		if score < best {
			best = score
			c = Choice{Target: t, Load: int(t.load.Load()), Reading: r, Place: place, First: first, Why: "read soonest"}
			if holds {
				c.Why = "holds others up, few run beside"
			}
		}
	}
	if c.Target != nil && c.Why != "read soonest" {
		p.holdsUp(now)
	}
	return c, c.Target != nil
}

// heldAt returns when a prompt was last seen that holds others up.
func (p *Pool) heldAt() time.Time { return time.Unix(0, p.held.Load()) }

func (p *Pool) holdsUp(now time.Time) { p.held.Store(now.UnixNano()) }

// running estimates how many requests run at the endpoint.
func (t *Target) running(now time.Time) int {
	return max(int(t.load.Load()), int(t.mine.Load())+t.places.Taken(now))
}

// placesFor returns how many places the engine has for the requests of other daemons.
func (t *Target) placesFor(without mechanism.Set) int {
	if !without.On(mechanism.PlaceQueue) {
		return math.MaxInt // what waits is not told from what runs
	}
	return t.slots() - int(t.mine.Load())
}

// slots returns how many requests the endpoint runs together.
func (t *Target) slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.batch
}

// slotWait estimates how long a request waits for a place at the endpoint.
func (t *Target) slotWait(now time.Time, n Need) time.Duration {
	batch := t.slots()
	wait := t.places.Wait(now, batch-int(t.mine.Load()))
	if over := int(t.load.Load()) - batch + 1; over > 0 {
		wait = max(wait, time.Duration(float64(over)/float64(batch)*float64(n.Service)))
	}
	return wait
}
