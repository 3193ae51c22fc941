// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"streambend.example/request"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// pool returns a pool of n endpoints in 12 zones, each reported lightly loaded.
func pool(n int) *request.Pool {
	p := request.NewPool("office/llm", "zone-0", 16)
	for i := range n {
		t := p.Add(request.Endpoint{ID: fmt.Sprintf("box-%04d", i), Zone: fmt.Sprintf("zone-%d", i%12), Address: "127.0.0.1:1", Reclaimable: true})
		t.Report(start, i%4, 16)
	}
	return p
}

func BenchmarkRoute2500(b *testing.B) {
	p := pool(2500)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := request.Need{Prefix: uint64(i)*2654435761 | 1, Prompt: 1500, PrefillRate: 20000}
		if _, ok := p.Route(start, n); !ok {
			b.Fatal("no endpoint")
		}
	}
}

func need(prefix uint64) request.Need {
	return request.Need{Prefix: prefix | 1, Prompt: 1000, PrefillRate: 20000, Service: time.Second}
}

func TestDaemonsRoutePrefixesAlike(t *testing.T) {
	a, b := pool(100), pool(100)
	for i := range 200 {
		x, _ := a.Route(start, need(uint64(i)*7919))
		y, _ := b.Route(start, need(uint64(i)*7919))
		assert.Equal(t, x.Target.ID, y.Target.ID)
	}
}

// Applies random events to endpoints and checks that Route never chooses a leaving or ejected one.
func TestLeavingAndEjectedEndpointsAreNotChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pool(6)
		now := start
		until := make(map[string]time.Time)
		left := make(map[string]bool)
		pick := func(t *rapid.T) *request.Target { return rapid.SampledFrom(p.Targets()).Draw(t, "target") }
		t.Repeat(map[string]func(*rapid.T){
			"leave": func(t *rapid.T) {
				x := pick(t)
				x.Leave(now.Add(time.Minute))
				left[x.ID] = true
			},
			"fail": func(t *rapid.T) {
				x := pick(t)
				if x.Fail(now, true) {
					until[x.ID] = now.Add(time.Second)
				}
			},
			"report": func(t *rapid.T) { pick(t).Report(now, rapid.IntRange(0, 40).Draw(t, "load"), 16) },
			"hear":   func(t *rapid.T) { pick(t).RecordClass(now, request.Class(rapid.IntRange(0, 5).Draw(t, "class"))) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				p.Tick(now)
			},
			"": func(t *rapid.T) {
				open := 0
				for _, x := range p.Targets() {
					if !left[x.ID] && !now.Before(until[x.ID]) {
						open++
					}
				}
				for _, n := range []request.Need{need(rapid.Uint64().Draw(t, "prefix")), {Plain: true}, {Plain: true, PreferNonReclaimable: true}} {
					c, ok := p.Route(now, n)
					if ok && (left[c.Target.ID] || now.Before(until[c.Target.ID])) {
						t.Fatalf("excluded endpoint %s was chosen", c.Target.ID)
					}
					if !ok && open == len(p.Targets()) {
						t.Fatal("no endpoint chosen although all are eligible")
					}
				}
			},
		})
	})
}

func TestStaleLoadDecaysTowardsUnknown(t *testing.T) {
	x := pool(1).Targets()[0]
	x.Report(start, 0, 16)
	c, load := x.Class(start)
	assert.Equal(t, request.Idle, c)
	assert.Zero(t, load)
	c, load = x.Class(start.Add(time.Minute))
	assert.Equal(t, request.Unknown, c)
	assert.Equal(t, 8, load)
	x.Report(start, 15, 16)
	_, load = x.Class(start.Add(time.Minute))
	assert.Equal(t, 15, load)
}

func TestCacheEventsOnlyLowerExpectedHit(t *testing.T) {
	p := pool(3)
	c, _ := p.Route(start, need(7919))
	p.Hit(c.Target, 7919, 0.8)
	before, _ := p.Route(start, need(7919))
	assert.InDelta(t, 0.8, before.Hit, 0.001)
	p.Evicted(c.Target, 7919)
	evicted, _ := p.Route(start, need(7919))
	assert.Less(t, evicted.Hit, before.Hit)
	p.Gap(c.Target)
	gap, _ := p.Route(start, need(7919))
	assert.Less(t, gap.Hit, evicted.Hit)
	assert.Equal(t, before.Target, gap.Target, "a lower expected hit alone does not change the choice")
}

func TestReadmissionRampsUp(t *testing.T) {
	p := pool(2)
	a := p.Targets()[0]
	a.Report(start, 0, 16)
	p.Targets()[1].Report(start, 12, 16)
	a.Fail(start, true)
	p.Tick(start.Add(2 * time.Second))
	chosen := 0
	for i := range 100 {
		if c, _ := p.Route(start, need(uint64(i)*7919)); c.Target == a {
			chosen++
			a.Begin(nil)
		}
	}
	assert.Positive(t, chosen)
	assert.Less(t, chosen, 10, "limited to a share of its load bound")
}

func TestPlainCallsPreferTheirZoneAndSpill(t *testing.T) {
	p := request.NewPool("office/portal", "silom", 16)
	near := p.Add(request.Endpoint{ID: "near", Zone: "silom"})
	far := p.Add(request.Endpoint{ID: "far", Zone: "bangna"})
	near.Report(start, 1, 16)
	far.Report(start, 1, 16)
	c, _ := p.Route(start, request.Need{Plain: true})
	assert.Equal(t, near, c.Target)
	near.Report(start, 16, 16)
	c, _ = p.Route(start, request.Need{Plain: true})
	assert.Equal(t, far, c.Target)
}

// Guards against sending all non-repeatable requests to one of several equally loaded endpoints. It
// happened when ties were broken by name: each of 16 daemons had at most one request in flight and saw no
// load anywhere, so that all 2,741 answers of the old version came from the first of four endpoints, and
// one endpoint alone decided a canary evaluation.
func TestNonReclaimableChoiceIsSpread(t *testing.T) {
	const endpoints, requests = 4, 400
	p := request.NewPool("office/portal", "silom", 16)
	for i := range endpoints {
		p.Add(request.Endpoint{ID: fmt.Sprint("box-", i), Zone: "silom"})
	}
	got := make(map[string]int)
	for i := range uint64(requests) {
		c, ok := p.Route(start, request.Need{Plain: true, PreferNonReclaimable: true, Draw: i * 0x9e3779b97f4a7c15})
		assert.True(t, ok)
		got[c.Target.ID]++
	}
	for id, n := range got {
		assert.InDelta(t, requests/endpoints, n, requests/endpoints/2, id)
	}
	assert.Len(t, got, endpoints)
}

// Guards against the same for prompts whose preferred endpoints are over their bounds: many daemons without
// recent requests would all fall back to the first of the others by name.
func TestFallbackFromPreferredEndpointsIsSpread(t *testing.T) {
	const endpoints, requests = 12, 400
	got := make(map[string]int)
	for i := range uint64(requests) {
		p := request.NewPool("office/llm", "silom", 16)
		n := need(7)
		n.Draw = i * 0x9e3779b97f4a7c15
		for e := range endpoints {
			p.Add(request.Endpoint{ID: fmt.Sprint("box-", e), Zone: "silom"})
		}
		for _, o := range firstChoice(t, p, n).Others {
			o.Target.Report(start, 100, 16)
		}
		got[firstChoice(t, p, n).Target.ID]++
	}
	assert.Len(t, got, endpoints-len(request.Choice{}.Others))
}

func firstChoice(t *testing.T, p *request.Pool, n request.Need) request.Choice {
	c, ok := p.Route(start, n)
	assert.True(t, ok)
	return c
}

// BenchmarkPoolMemory reports the memory per endpoint, for 2,500, and per prefix, with hitMemory full.
func BenchmarkPoolMemory(b *testing.B) {
	for b.Loop() {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		p := pool(2500)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/2500, "B/endpoint")
		for i := range 16384 {
			p.Hit(p.Targets()[i%2500], uint64(i), 0.5)
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		b.ReportMetric(float64(before.HeapAlloc-after.HeapAlloc)/16384, "B/prefix")
		runtime.KeepAlive(p)
	}
}

// A pause that is over must not exclude an endpoint from a choice whose requirements name no present time,
// such as that of an engine that imports a KV cache.
func TestAnEndedPauseExcludesNoEndpoint(t *testing.T) {
	p := pool(1)
	p.Targets()[0].RecordBackoff(start, time.Second)
	_, ok := p.Route(start.Add(500*time.Millisecond), need(1))
	assert.False(t, ok, "paused")
	_, ok = p.Route(start.Add(2*time.Second), need(1))
	assert.True(t, ok, "the pause is over")
}
