// SPDX-License-Identifier: MIT

package crash_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/crash"
)

func partOf(name string) crash.Fingerprint { return crash.FingerprintOf([]byte("part"), []byte(name)) }

func partsOf(names ...string) (out []crash.Fingerprint) {
	for _, n := range names {
		out = append(out, partOf(n))
	}
	return out
}

// partPlay feeds a ledger with requests, each with a content of its own.
type partPlay struct {
	crash.Ledger
	now       time.Time
	contents  int
	endpoints int
}

func newPartPlay() *partPlay { return &partPlay{now: start} }

func (p *partPlay) flight(age time.Duration, parts ...string) crash.Flight {
	p.contents++
	return crash.Flight{Print: printOf(1_000_000 + p.contents), For: age, Parts: partsOf(parts...)}
}

// pass moves the time on by steps of 100 ms and evaluates the ledger.
func (p *partPlay) pass(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		p.Evaluate(p.now)
	}
}

// crash ends an endpoint with some requests, which were sent 100 ms before.
func (p *partPlay) crash(prompts ...[]string) {
	p.endpoints++
	e := crash.EndpointCrash{Endpoint: fmt.Sprint("i-", p.endpoints)}
	for _, parts := range prompts {
		e.Flights = append(e.Flights, p.flight(100*time.Millisecond, parts...))
	}
	p.AddCrash(p.now, e)
}

func (p *partPlay) survives(parts ...string) {
	p.Survived(p.now, crash.Survival{Parts: partsOf(parts...), Age: crash.SurvivalTime})
}

func (p *partPlay) held(parts ...string) bool {
	_, held := p.HeldRequest(p.now, printOf(-1), partsOf(parts...))
	return held
}

// Guards against sound parts that are blamed for running beside a crashing one: rare ones, and one that all requests share.
func TestRarePartsBesideACrashingOneAreNotHeldBack(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := newPartPlay()
		rare := func() string { return fmt.Sprint("rare-", r.IntN(2000)) }
		for range 200 {
			if !p.held("common", "crashing") {
				prompts := [][]string{{"common", "crashing"}}
				for range r.IntN(4) {
					prompts = append(prompts, []string{"common", rare()})
				}
				p.crash(prompts...)
			}
			for range 3 {
				p.pass(time.Duration(r.IntN(200)) * time.Millisecond)
				p.survives("common", rare())
			}
		}
		assert.True(t, p.held("common", "crashing"), "seed %d", seed)
		assert.LessOrEqual(t, p.endpoints, 16, "seed %d", seed)
		for i := range 2000 {
			assert.False(t, p.held("common", fmt.Sprint("rare-", i)), "seed %d", seed)
		}
	}
}

// Guards against parts that are blamed as endpoints end at one moment, with requests on all of them.
func TestEndsAtOneMomentBlameNoPart(t *testing.T) {
	p := newPartPlay()
	for range 20 {
		p.crash([]string{"first", "second"}, []string{"first", "third"})
	}
	p.pass(time.Minute)
	assert.Empty(t, p.Verdicts(p.now))
}

func TestTwoCrashingPartsAreBothHeldBack(t *testing.T) {
	p := newPartPlay()
	for i := range 12 {
		if q := []string{"common", []string{"crashing-a", "crashing-b"}[i%2]}; !p.held(q...) {
			p.crash(q)
		}
		p.pass(300 * time.Millisecond)
		p.survives("common", "sound")
	}
	p.pass(2 * time.Second)
	assert.True(t, p.held("common", "crashing-a"))
	assert.True(t, p.held("other", "crashing-b"))
	assert.False(t, p.held("common", "sound"))
}

// Guards against a sound part that is held back alone as it has only come with the crashing one so far, and a crashing one
// that is not once they come apart.
func TestPartsThatCameTogetherAreToldApart(t *testing.T) {
	for name, crashingFirst := range map[string]bool{"crashing part first": true, "crashing part last": false} {
		t.Run(name, func(t *testing.T) {
			p, both := newPartPlay(), []string{"sound", "crashing"}
			if crashingFirst {
				slices.Reverse(both)
			}
			for range 4 {
				p.crash(both)
				p.pass(300 * time.Millisecond)
			}
			p.pass(2 * time.Second)
			assert.True(t, p.held(both...))
			assert.False(t, p.held("sound"))
			assert.False(t, p.held("other", "crashing"))
			p.crash([]string{"other", "crashing"})
			p.pass(2 * time.Second)
			assert.True(t, p.held("other", "crashing"))
			assert.False(t, p.held("other", "sound"))
		})
	}
}

// Guards against a verdict that outlives the proof against it.
func TestASurvivedPartIsHeldBackNoLonger(t *testing.T) {
	p := newPartPlay()
	for range 4 {
		p.crash([]string{"first", "crashing"})
		p.pass(300 * time.Millisecond)
		p.survives("first")
	}
	p.pass(2 * time.Second)
	assert.True(t, p.held("crashing"))
	v, _ := p.Held(p.now, partOf("crashing"))
	p.survives("crashing")
	assert.False(t, p.held("crashing"))

	var other crash.Ledger // has seen none of the crashes
	other.Merge(p.now, v)
	now := p.now.Add(10 * time.Minute) // of the trial
	_, ended := other.Survived(now, crash.Survival{Parts: partsOf("crashing"), Age: crash.SurvivalTime})
	assert.Equal(t, partsOf("crashing"), ended)
	_, held := other.HeldRequest(now, printOf(-1), partsOf("crashing"))
	assert.False(t, held)
}

// Guards against an answer from before a part began to crash endpoints that ends its verdict at a daemon which has seen few
// of the crashes.
func TestAnEarlierAnswerEndsNoVerdictWhereCrashesAreMissing(t *testing.T) {
	p := newPartPlay()
	p.crash([]string{"first", "crashing"})
	p.pass(3 * time.Second)
	p.Merge(p.now, crash.Verdict{Print: partOf("crashing"), Crashes: 4, NextTrial: p.now.Add(time.Minute), Until: p.now.Add(time.Hour)})
	p.pass(time.Second)
	_, ended := p.Survived(p.now, crash.Survival{Parts: partsOf("crashing"), Age: 3 * time.Second})
	assert.Empty(t, ended)
	assert.True(t, p.held("crashing"))
	p.survives("crashing") // began after the verdict
	assert.False(t, p.held("crashing"))
}

// Guards against a verdict that comes back with the message of a daemon that did not know of its end yet.
func TestAnEndedVerdictDoesNotComeBack(t *testing.T) {
	p := newPartPlay()
	crashing := func() {
		for range 4 {
			p.crash([]string{"first", "crashing"})
			p.pass(300 * time.Millisecond)
			p.survives("first")
		}
		p.pass(2 * time.Second)
	}
	crashing()
	v, _ := p.Held(p.now, partOf("crashing"))
	p.survives("crashing")
	assert.True(t, p.Merge(p.now, v), "it has ended")
	assert.False(t, p.held("crashing"))
	p.pass(time.Second)
	crashing()
	again, _ := p.Held(p.now, partOf("crashing"))
	var other crash.Ledger
	other.Merge(p.now, v)
	other.End(p.now.Add(-3*time.Second), partsOf("crashing"))
	assert.False(t, other.Merge(p.now, again), "a later verdict")
}

// Guards against a request that holds back others that share a part with it though it alone crashes endpoints.
func TestOneContentBlamesNoPart(t *testing.T) {
	p := newPartPlay()
	for i := range 5 {
		f := crash.Flight{Print: printOf(0), For: 100 * time.Millisecond, Parts: partsOf("first", "second")}
		p.AddCrash(p.now, crash.EndpointCrash{Endpoint: fmt.Sprint("i-", i), Flights: []crash.Flight{f}})
		p.pass(2 * time.Second)
	}
	assert.True(t, held(&p.Ledger, p.now, 0))
	assert.False(t, p.held("first", "second"))
}

// Guards against a ledger that grows with the parts that callers make up.
func TestSuspectedPartsAreBounded(t *testing.T) {
	p := newPartPlay()
	for i := range 200 {
		var parts []string
		for j := range 1000 {
			parts = append(parts, fmt.Sprint(i, "-", j))
		}
		p.crash(parts)
		p.pass(100 * time.Millisecond)
	}
	p.crash([]string{"0-0"})
	assert.LessOrEqual(t, p.SuspectedParts(), 2048+crash.MaxParts)
}
