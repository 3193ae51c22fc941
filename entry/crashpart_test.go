// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
	"streambend.example/platform"
)

const (
	crashingPart = "dead0001"
	// minSoundShare is the least share of sound streams that are whole once a crashing part is held back.
	minSoundShare = 0.9
	// partsHeldAfter is the time after the fifth crash from which at most maxSends requests with a crashing part are sent
	// to endpoints.
	partsHeldAfter = 3 * time.Second
	// restartTime is how long after its crash an endpoint is back.
	restartTime = 2500 * time.Millisecond
)

// partWorld is a world of engines that crash as they begin to answer a prompt with a crashing part, and are back later.
type partWorld struct {
	*world
	mu      sync.Mutex
	spared  bool // no part crashes engines yet
	crashes []time.Time
	starts  int
	every   []*standin.Runner
}

// engine starts an engine, which starts again after each crash.
func (w *partWorld) engine() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.t.Context().Err() != nil {
		return
	}
	w.starts++
	id := fmt.Sprint("i-", w.starts)
	r, err := standin.NewRunner(w.net, runnerHost+"0", id, 12, 20*time.Millisecond)
	require.NoError(w.t, err)
	if !w.spared {
		r.SetFault(standin.RunnerFault{CrashPart: crashingPart})
	}
	r.OnCrash = func() {
		w.mu.Lock()
		w.crashes = append(w.crashes, time.Now())
		w.mu.Unlock()
		time.Sleep(restartTime)
		w.store.Drop(platform.RunnerTable, "", id)
		w.engine()
	}
	w.every = append(w.every, r)
	w.store.Put(platform.RunnerTable, "", id, r.Entry(engines, "a", "ready"))
}

// arm lets the engines crash on the part.
func (w *partWorld) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spared = false
	for _, r := range w.every {
		r.SetFault(standin.RunnerFault{CrashPart: crashingPart})
	}
}

// prompt returns a prompt's parts; the last one differs with each.
func prompt(shared ...string) string {
	parts := ""
	for _, id := range shared {
		parts += id + ":100,"
	}
	return parts + fmt.Sprintf("%x:50", rand.Uint64())
}

// soundResult is the outcome of a sound stream.
type soundResult struct {
	sent      time.Time
	firstPart string
	whole     bool
	held      bool
	cut       bool // the connection broke, as the daemon that served it was killed meanwhile
	answer
}

// partLoad is a load of sound streams, and of others with a crashing part among them from a time on.
type partLoad struct {
	daemons   int
	before    time.Duration      // until the first crashing prompt
	span      time.Duration      // in which crashing prompts come
	perSecond float64            // crashing prompts
	crashing  func() []string    // the shared parts of a crashing prompt
	sound     func() []string    // the shared parts of a sound one
	meanwhile func(w *partWorld) // begins with the first crashing prompt; may be nil
	prepare   func(w *world)     // may be nil
	turns     bool               // prompts with the part come from the start on, and crash engines after before
}

// partOutcome is the outcome of a partLoad.
type partOutcome struct {
	crashes, late int // crashes; crashing prompts that reached endpoints later than partsHeldAfter after the fifth
	sound         []soundResult
	fifth         time.Time
	began         time.Time // first crashing prompt
	log           *worldLog
}

const soundPerSecond = 50

func (p partLoad) run(t *testing.T) (out partOutcome) {
	if p.prepare == nil {
		p.prepare = func(*world) {}
	}
	inWorldOf(t, p.daemons, p.prepare, func(w *world) {
		pw := &partWorld{world: w, spared: p.turns}
		out.log = &w.log
		for range 30 {
			pw.engine()
		}
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		var mu sync.Mutex
		number := 0
		ask := func(parts []string) (a answer, cut bool) {
			mu.Lock()
			number++
			id := fmt.Sprint("p-", number)
			mu.Unlock()
			header := []string{"Streambend-Prompt-Prefix", prompt(parts...), "Streambend-Token-Counts", "350,60"}
			for { // until the connection meets a daemon that is up
				at := rand.IntN(p.daemons)
				kills := w.killsOf(at)
				a := w.askFor(at, http.MethodPost, "/explain/", id, "body of "+id, header...)
				if a.err == nil || !strings.Contains(a.err.Error(), "refused") {
					return a, a.err != nil && w.killsOf(at) > kills
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		began := time.Now()
		wg.Go(func() {
			for time.Since(began) < p.before+p.span {
				wg.Go(func() {
					parts := p.sound()
					s := soundResult{sent: time.Now(), firstPart: parts[0]}
					s.answer, s.cut = ask(parts)
					s.whole = s.err == nil && s.status == http.StatusOK && s.body == events(12)
					s.held = strings.Contains(s.body, heldBack)
					mu.Lock()
					defer mu.Unlock()
					out.sound = append(out.sound, s)
				})
				time.Sleep(time.Second / soundPerSecond)
			}
		})
		crashing := func(until time.Duration) {
			for time.Since(began) < until {
				wg.Go(func() { ask(p.crashing()) })
				time.Sleep(time.Duration(float64(time.Second) / p.perSecond))
			}
		}
		if p.turns {
			crashing(p.before)
		}
		time.Sleep(p.before - time.Since(began))
		out.began = time.Now()
		pw.arm()
		if p.meanwhile != nil {
			wg.Go(func() { p.meanwhile(pw) })
		}
		crashing(p.before + p.span)
		wg.Wait()
		time.Sleep(restartTime + time.Second)
		out.count(pw)
		for _, r := range pw.every {
			r.Close()
		}
	})
	return out
}

// count counts the crashes, and the crashing prompts that reached endpoints too late.
func (o *partOutcome) count(w *partWorld) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o.crashes = len(w.crashes)
	if o.crashes < 5 {
		return
	}
	o.fifth = w.crashes[4]
	for _, r := range w.every {
		for _, ran := range r.Ran() {
			if strings.Contains(ran.Header.Get("Streambend-Prompt-Prefix"), crashingPart+":") && ran.At.After(o.fifth.Add(partsHeldAfter)) {
				o.late++
			}
		}
	}
}

// share returns how many sound streams, of those that a filter lets pass, were whole.
func (o *partOutcome) share(of func(s soundResult) bool) (whole, all int) {
	for _, s := range o.sound {
		if of(s) {
			all++
			if s.whole {
				whole++
			}
		}
	}
	return whole, all
}

// check checks that crashing prompts are held back, and that sound ones are served.
func (o *partOutcome) check(t *testing.T, firstPart string) {
	t.Helper()
	after := o.fifth.Add(2 * partsHeldAfter)
	before, allBefore := o.share(func(s soundResult) bool { return s.sent.Before(o.began) })
	_, cut := o.share(func(s soundResult) bool { return s.sent.After(after) && s.cut })
	whole, all := o.share(func(s soundResult) bool { return s.sent.After(after) && !s.cut })
	same, allSame := o.share(func(s soundResult) bool { return s.sent.After(after) && !s.cut && s.firstPart == firstPart })
	t.Logf("%d crashes, %d reached endpoints late; sound streams whole before %d of %d, after %d of %d, those with the same first part %d of %d; %d more were cut with their daemons",
		o.crashes, o.late, before, allBefore, whole, all, same, allSame, cut)
	assert.LessOrEqual(t, o.late, maxSends)
	assert.GreaterOrEqual(t, float64(whole), minSoundShare*float64(all))
	assert.GreaterOrEqual(t, float64(same), minSoundShare*float64(allSame))
	if t.Failed() {
		o.log.save(t)
	}
}

// oneOf returns a function that chooses some parts at random.
func oneOf(choices ...[]string) func() []string {
	return func() []string { return choices[rand.IntN(len(choices))] }
}

// Guards against endpoints that end one after the other under requests that have nothing in common but a part of their
// prompts.
func TestAPartThatCrashesEndpointsIsHeldBack(t *testing.T) {
	const first, other = "aaaa0001", "bbbb0001"
	subject := func(prefix string) string { return fmt.Sprint(prefix, 1000+rand.IntN(20)) }
	var companion atomic.Bool
	sound := func() []string {
		if companion.Load() && rand.IntN(3) == 0 {
			return []string{first, "eeee0001"}
		}
		if rand.IntN(3) == 0 {
			return []string{first, subject("cc")}
		}
		return []string{other, subject("dd")}
	}
	for name, p := range map[string]partLoad{
		"first":              {daemons: 9, perSecond: 4.5, crashing: func() []string { return []string{crashingPart, subject("cc")} }},
		"second":             {daemons: 9, perSecond: 4.5, crashing: func() []string { return []string{first, crashingPart} }},
		"third, many":        {daemons: 4, perSecond: 10, crashing: func() []string { return []string{first, subject("cc"), crashingPart} }},
		"second, few":        {daemons: 9, perSecond: 1.3, crashing: func() []string { return []string{first, crashingPart} }},
		"with one companion": {daemons: 9, perSecond: 4.5, crashing: func() []string { return []string{first, crashingPart, "eeee0001"} }},
		"daemons are killed": {daemons: 9, perSecond: 4.5, crashing: func() []string { return []string{first, crashingPart} }, meanwhile: func(w *partWorld) {
			time.Sleep(2 * time.Second)
			w.killEach(time.Second, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		}},
		"all daemons are killed": {daemons: 9, perSecond: 4.5, crashing: func() []string { return []string{first, crashingPart} }, meanwhile: func(w *partWorld) {
			time.Sleep(5 * time.Second)
			w.killEach(0, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		}},
		"daemons are killed again and again": {daemons: 9, perSecond: 9, crashing: func() []string { return []string{first, crashingPart} }, meanwhile: func(w *partWorld) {
			time.Sleep(5 * time.Second)
			for range 3 {
				w.killEach(330*time.Millisecond, 0, 1, 2, 3, 4, 5, 6, 7, 8)
			}
		}},
		"answered before": {daemons: 9, perSecond: 4.5, crashing: func() []string { return []string{first, crashingPart, subject("ff")} }, turns: true},
		"a sound part that only came with it": {daemons: 9, perSecond: 4.5, crashing: func() []string { return []string{first, crashingPart, "eeee0001"} }, meanwhile: func(*partWorld) {
			time.Sleep(6 * time.Second)
			companion.Store(true)
		}},
		"40 daemons": {daemons: 40, perSecond: 4.5, crashing: func() []string { return []string{first, crashingPart} }, prepare: func(w *world) { w.zones = []string{"a", "b", "c", "d"} }},
	} {
		t.Run(name, func(t *testing.T) {
			p.before, p.span, p.sound = 4*time.Second, 16*time.Second, sound
			companion.Store(false)
			o := p.run(t)
			require.GreaterOrEqual(t, o.crashes, 5)
			o.check(t, first)
		})
	}
}

// Guards against sound parts that are held back for endpoints that end for another cause.
func TestSoundPartsAreServedWhileEndpointsEndForAnotherCause(t *testing.T) {
	p := partLoad{daemons: 9, before: 4 * time.Second, span: 12 * time.Second, perSecond: 4.5}
	p.sound = oneOf([]string{"aaaa0001", "cccc0001"}, []string{"aaaa0001", "cccc0002"}, []string{"bbbb0001", "abcd0001"})
	p.crashing = p.sound
	p.meanwhile = func(w *partWorld) {
		for i := range 24 {
			w.every[i].Close()
			go w.every[i].OnCrash()
			time.Sleep([]time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond}[i%3])
		}
	}
	o := p.run(t)
	held, all := 0, 0
	for _, s := range o.sound {
		all++
		if s.held {
			held++
		}
	}
	t.Logf("%d endpoints ended; %d of %d streams held back", o.crashes, held, all)
	assert.Zero(t, held)
	whole, after := o.share(func(s soundResult) bool { return s.sent.After(o.began.Add(8 * time.Second)) })
	assert.GreaterOrEqual(t, float64(whole), 0.97*float64(after))
}
