// SPDX-License-Identifier: MIT

package request_test

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"streambend.example/conn"
	"streambend.example/internal/standin"
	"streambend.example/request"
	"streambend.example/version"
)

// Simulation, in virtual time and without a network, of many daemons that route prompts to engines with few
// slots, with delayed information about each other's requests.

// promptKind describes one kind of prompt in a simulated load.
type promptKind struct {
	name        string
	rate        float64 // requests per second
	shared, own int     // tokens
	spread      float64 // sigma of the log-normal distribution of own; 0 for an exponential one
	most        int     // maximum of own, for a log-normal distribution
	heads       int     // number of distinct shared parts
	events      int
	target      time.Duration
	limit       time.Duration // refused if it would wait longer; 0 for never
	worth       float64       // value of an answer in time
}

// The own parts of exponentialKinds are exponentially distributed; some of longTailKinds are so long that
// their prefill makes concurrent streams late.
var (
	exponentialKinds = []promptKind{
		{"digest", 165, 5400, 6600, 0, 0, 1650, 32, 1200 * time.Millisecond, 0, 0},
		{"explain", 218, 200, 630, 0, 0, 966, 24, 800 * time.Millisecond, 0, 0},
		{"tag", 373, 570, 1800, 0, 0, 3722, 2, 800 * time.Millisecond, 0, 0},
	}
	longTailKinds = []promptKind{
		{"digest", 165, 5400, 6600, 1.4, 54600, 1650, 32, 1200 * time.Millisecond, 0, 0},
		{"explain", 218, 200, 630, 1, 3300, 966, 24, 800 * time.Millisecond, 0, 0},
		{"tag", 373, 570, 1800, 1.3, 6900, 3722, 2, 800 * time.Millisecond, 0, 0},
	}
)

const (
	engineSlots    = 12
	engineMemory   = 380000
	decodeStep     = 4300 * time.Microsecond // one token of each running stream
	tokensPerEvent = 12                      // tokens per event
	prefillChunk   = 4096                    // prompt tokens processed between two decode steps
	maxPause       = 600 * time.Millisecond  // longest pause between events that is in time
)

// job is a simulated request.
type job struct {
	kind   int
	parts  []request.Part
	daemon int
	target *request.Target
	mark   request.Mark
	sent   time.Time
	events int
	guess  int // the caller's estimate of the answer's tokens
	begun  bool
	late   bool          // the first event, or one after a pause, was late
	again  bool          // it was refused once
	began  time.Time     // time of the first event
	end    time.Time     // end of the answer
	read   time.Duration // the daemon's estimate of its engine's total prefill at the first event
}

// simEngine is a simulated engine: it runs up to engineSlots requests, prefills one prompt at a time, and
// caches the shared parts.
type simEngine struct {
	running map[*job]bool
	free    time.Time // end of the prefill of its running requests
	queue   []*job
	kept    *simplelru.LRU[uint64, int]
	tokens  int
}

// simEvent is a simulated event; seq orders events of the same time.
type simEvent struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

// eventQueue is a heap of events ordered by time.
type eventQueue struct {
	list []simEvent
	seq  int
}

func (a *eventQueue) Len() int { return len(a.list) }
func (a *eventQueue) Less(i, j int) bool {
	if a.list[i].at.Equal(a.list[j].at) {
		return a.list[i].seq < a.list[j].seq
	}
	return a.list[i].at.Before(a.list[j].at)
}
func (a *eventQueue) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }
func (a *eventQueue) Push(x any)    { a.list = append(a.list, x.(simEvent)) }
func (a *eventQueue) Pop() any {
	x := a.list[len(a.list)-1]
	a.list = a.list[:len(a.list)-1]
	return x
}
func (a *eventQueue) add(at time.Time, do func(now time.Time)) {
	a.seq++
	heap.Push(a, simEvent{at, a.seq, do})
}

// placementSim runs the simulation and counts, by kind, the prompts answered in time.
type placementSim struct {
	rng           *rand.Rand
	kinds         []promptKind
	events        eventQueue
	daemons       []*request.Server
	engines       map[string]*simEngine
	countFrom     time.Time // requests sent before are not counted
	sent          [3]int
	inTime        [3]int
	refused       [3]int
	prefillDelays bool // prefill delays the engine's running streams
}

// simulatePlacement simulates a load on so many engines for a span, whose first two fifths are not counted.
func simulatePlacement(seed uint64, kinds []promptKind, daemons, engines int, span time.Duration) *placementSim {
	return (&placementSim{}).play(seed, kinds, daemons, engines, span)
}

func (p *placementSim) play(seed uint64, kinds []promptKind, daemons, engines int, span time.Duration) *placementSim {
	*p = placementSim{prefillDelays: p.prefillDelays, kinds: kinds, rng: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*simEngine), countFrom: start.Add(span * 2 / 5)}
	svc := version.Service{Name: "desk", PerBox: engineSlots}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := request.Defaults()
	o.Zone, o.NoLimit = "z", true
	for range daemons {
		s := request.NewServer(o, conn.NewClient(standin.NewNet(), 1), nil, nil, log)
		for i := range engines {
			s.Works.Get(&svc).Pool.Add(request.Endpoint{ID: fmt.Sprint("e-", i), Zone: "z", Slots: engineSlots, Memory: engineMemory})
		}
		p.daemons = append(p.daemons, s)
	}
	for i := range engines {
		d := &simEngine{running: make(map[*job]bool)}
		d.kept, _ = simplelru.NewLRU[uint64, int](1<<20, func(_ uint64, n int) { d.tokens -= n })
		p.engines[fmt.Sprint("e-", i)] = d
	}
	end := start.Add(span)
	for k, kind := range kinds {
		gap := func() time.Duration {
			return time.Duration(p.rng.ExpFloat64() / kind.rate * float64(time.Second))
		}
		var next func(now time.Time)
		next = func(now time.Time) {
			p.arrive(now, k)
			if at := now.Add(gap()); at.Before(end) {
				p.events.add(at, next)
			}
		}
		p.events.add(start.Add(gap()), next)
	}
	for p.events.Len() > 0 {
		m := heap.Pop(&p.events).(simEvent)
		m.do(m.at)
	}
	return p
}

// own draws the number of tokens of a prompt's own part.
func (p *placementSim) own(kind promptKind) int {
	if kind.spread == 0 {
		return 1 + int(float64(kind.own)*p.rng.ExpFloat64())
	}
	size := float64(kind.own) * math.Exp(kind.spread*(p.rng.NormFloat64()-kind.spread/2))
	return min(1+int(size), kind.most)
}

// arrive creates a prompt at a random daemon.
func (p *placementSim) arrive(now time.Time, k int) {
	kind := p.kinds[k]
	head := uint64(k)<<32 | uint64(p.rng.IntN(kind.heads))<<1 | 1
	own := p.own(kind)
	j := &job{kind: k, daemon: p.rng.IntN(len(p.daemons)), sent: now, events: 1 + int(float64(kind.events)*math.Exp(0.4*p.rng.NormFloat64())), parts: []request.Part{{ID: head, Tokens: kind.shared}, {ID: p.rng.Uint64(), Tokens: own}}}
	p.place(now, j)
}

// retryDelay is the delay after which a refused caller retries, once.
const retryDelay = 400 * time.Millisecond

// place routes a prompt at its daemon, or refuses it.
func (p *placementSim) place(now time.Time, j *job) {
	kind, head := p.kinds[j.kind], j.parts[0].ID
	pool := p.daemons[j.daemon].Works.All()[0].Pool
	c, ok := pool.Route(now, request.Need{
		Prefix: head, Prompt: kind.shared + j.parts[1].Tokens, Parts: j.parts, Pause: maxPause, Service: 1500 * time.Millisecond, PreferRendezvous: true, Draw: p.rng.Uint64(),
	})
	if !ok {
		return
	}
	if kind.limit > 0 && c.WaitsBeyond(kind.limit) {
		if !j.again {
			j.again, j.daemon = true, p.rng.IntN(len(p.daemons))
			p.events.add(now.Add(retryDelay), func(now time.Time) { p.place(now, j) })
			return
		}
		if !j.sent.Before(p.countFrom) {
			p.sent[j.kind]++
			p.refused[j.kind]++
		}
		return
	}
	j.target = c.Target
	c.Target.Begin(nil)
	var word request.SentPrompt
	j.guess = int(float64(j.events*tokensPerEvent) * math.Exp(0.5*p.rng.NormFloat64()))
	j.mark, word = c.Target.Send(now, c.Fresh, j.parts, j.guess)
	for i, d := range p.daemons {
		if i != j.daemon {
			p.events.add(now.Add(time.Duration(15+p.rng.IntN(120))*time.Millisecond), func(now time.Time) { d.Works.RecordSent(now, word) })
		}
	}
	e := p.engines[c.Target.ID]
	e.queue = append(e.queue, j)
	p.begin(now, e)
}

// begin starts an engine's queued prompts in its free slots.
func (p *placementSim) begin(now time.Time, e *simEngine) {
	for len(e.running) < engineSlots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running[j] = true
		fresh, total := j.parts[1].Tokens, j.parts[0].Tokens+j.parts[1].Tokens
		if !e.kept.Contains(j.parts[0].ID) {
			fresh = total
			e.tokens += j.parts[0].Tokens
		}
		e.kept.Add(j.parts[0].ID, j.parts[0].Tokens)
		for e.tokens > engineMemory*7/10 {
			e.kept.RemoveOldest()
		}
		read := readTime(fresh, total)
		began := latest(e.free, now)
		e.free = began.Add(read)
		for other := range e.running {
			if p.prefillDelays && other != j && other.begun {
				other.end = other.end.Add(read) // no token is generated during the prefill of a chunk
			}
		}
		if p.kinds[j.kind].spread > 0 {
			p.events.add(began, func(time.Time) { e.markLateStreams(j, fresh, total) })
		}
		first := e.free.Add(decodeStep)
		p.events.add(first, func(now time.Time) {
			p.first(now, j)
			// Prefill after this prompt delays its answer.
			j.end = now.Add(time.Duration((j.events-1)*tokensPerEvent) * decodeStep)
			if p.prefillDelays {
				j.end = j.end.Add(max(0, e.free.Sub(now)))
			}
			p.events.add(j.end, func(now time.Time) { p.last(now, e, j) })
		})
	}
}

// last completes an answer, unless its end has been postponed.
func (p *placementSim) last(now time.Time, e *simEngine, j *job) {
	if now.Before(j.end) {
		p.events.add(j.end, func(now time.Time) { p.last(now, e, j) })
		return
	}
	j.target.End(nil)
	p.daemons[j.daemon].Works.All()[0].Pool.RecordSlotTime(j.guess, now.Sub(j.began), j.target.PrefillDone(now)-j.read)
	delete(e.running, j)
	p.count(j)
	p.begin(now, e)
}

// readTime returns the simulated prefill time of the last fresh tokens of a prompt.
func readTime(fresh, total int) time.Duration {
	pairs := float64(fresh) * (float64(total) - float64(fresh)/2) / 1e6
	return time.Duration((float64(fresh)/64200 + pairs*0.647e-3) * float64(time.Second))
}

// markLateStreams marks the concurrent streams of a prompt as late if its prefill makes the pause between
// two of their events too long: one chunk is processed per token of the event.
func (e *simEngine) markLateStreams(j *job, fresh, total int) {
	pause := readTime(min(fresh, tokensPerEvent*prefillChunk), total) + tokensPerEvent*decodeStep
	for other := range e.running {
		if other != j && other.begun && pause > maxPause {
			other.late = true
		}
	}
}

func (p *placementSim) first(now time.Time, j *job) {
	j.target.Begun(now, j.mark)
	j.begun, j.began, j.read = true, now, j.target.PrefillDone(now)
	j.late = now.Sub(j.sent) > p.kinds[j.kind].target
}

func (p *placementSim) count(j *job) {
	if j.sent.Before(p.countFrom) {
		return
	}
	p.sent[j.kind]++
	if !j.late {
		p.inTime[j.kind]++
	}
}

// share returns the share of a kind that was in time.
func (p *placementSim) share(kind string) float64 {
	k := slices.IndexFunc(p.kinds, func(x promptKind) bool { return x.name == kind })
	return float64(p.inTime[k]) / float64(p.sent[k])
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against prompts that queue at one engine while others have free slots. Each of 60 daemons receives
// an engine's load report every few seconds, and learns of other daemons' prompts 15 to 135 ms late; nine
// tenths of the slots are occupied. The lowest share in time of the three kinds, by seed, is 0.92, 0.94,
// 0.92 and 0.95 or more if daemons ignore the slots that others occupy, and 0.97, 0.98, 0.98, 0.98 if they
// model them.
func TestPromptsAreRoutedToFreeSlots(t *testing.T) {
	least := map[string]float64{"digest": 0.95, "explain": 0.95, "tag": 0.95}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulatePlacement(seed, exponentialKinds, 60, 76, 25*time.Second).check(t, least)
		})
	}
}

// check requires that more than the given share of each kind was in time.
func (p *placementSim) check(t *testing.T, least map[string]float64) {
	for _, kind := range p.kinds {
		share := p.share(kind.name)
		t.Logf("%.3f of %s in time", share, kind.name)
		assert.Greater(t, share, least[kind.name], "%s in time", kind.name)
	}
}

// Guards against long prompts delaying many streams: 3 of 100 digests have a prefill that makes concurrent
// streams late (2 of 100 cannot be in time themselves) and must be routed where few streams run. Shares in
// time over three seeds if daemons only know the engines' load reports: digest 0.83 to 0.86, explain 0.89
// to 0.90, tag 0.98 to 0.99. If they model the slots from other daemons' prompts: digest 0.91 to 0.93,
// explain 0.97 to 0.98, tag 0.99 to 1.00.
func TestLongPromptsAreRoutedToLightlyLoadedEngines(t *testing.T) {
	least := map[string]float64{"digest": 0.88, "explain": 0.96, "tag": 0.99}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulatePlacement(seed, longTailKinds, 40, 120, 12*time.Second).check(t, least)
		})
	}
}
