// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
	"streambend.example/request"
)

// callMix is a kind of call of the route "x".
type callMix struct {
	name     string // the beginning of its ids
	takes    time.Duration
	wait     time.Duration // of its callers
	interval time.Duration
}

// playCalls sends calls of several kinds for a time, and returns how many of each were sent and served.
func playCalls(t *testing.T, span time.Duration, kinds ...callMix) (sent, served map[string]int) {
	sent, served, _ = playRepeatableCalls(t, span, false, kinds...)
	return sent, served
}

// playRepeatableCalls is playCalls for calls that may be repeated or not. It also returns how many arrived at the endpoint.
func playRepeatableCalls(t *testing.T, span time.Duration, repeatable bool, kinds ...callMix) (sent, served, arrived map[string]int) {
	sent, served, arrived = make(map[string]int), make(map[string]int), make(map[string]int)
	var mu sync.Mutex
	w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		for _, k := range kinds {
			if r.URL.RawQuery == k.name {
				mu.Lock()
				arrived[k.name]++
				mu.Unlock()
				time.Sleep(k.takes)
			}
		}
	})
	w.server.Works.Get(&w.service).Queue.Limit.Fix(24)
	var wg sync.WaitGroup
	for _, k := range kinds {
		wg.Go(func() {
			for i := range int(span / k.interval) {
				time.Sleep(k.interval)
				wg.Go(func() {
					status := w.ask(t, relayAsk{id: fmt.Sprint(k.name, i), path: "/x?" + k.name, route: "x", wait: k.wait, unrepeatable: !repeatable})
					mu.Lock()
					defer mu.Unlock()
					sent[k.name]++
					if status == http.StatusOK {
						served[k.name]++
					}
				})
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // the endpoint ends what its callers have left
	return sent, served, arrived
}

// Quick calls of a route were refused by its mean time, which slow calls of the route had raised.
func TestQuickCallsAreServedBesideSlowOnesOfTheirRoute(t *testing.T) {
	for _, perSecond := range []int{1, 6, 50} {
		for _, slowPerSecond := range []int{6, 50} {
			synctest.Test(t, func(t *testing.T) {
				sent, served := playCalls(t, 15*time.Second,
					callMix{"slow", 400 * time.Millisecond, 1500 * time.Millisecond, time.Second / time.Duration(slowPerSecond)},
					callMix{"quick", 10 * time.Millisecond, 150 * time.Millisecond, time.Second / time.Duration(perSecond)})
				t.Logf("%v sent, %v served", sent, served)
				assert.GreaterOrEqual(t, float64(served["quick"]), 0.95*float64(sent["quick"]))
				assert.Equal(t, sent["slow"], served["slow"])
			})
		}
	}
}

// Calls that took longer than their callers wait were sent on for ever, as none of them ended and was recorded.
func TestCallsOfWhichNoneEndsInTimeAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var arrived atomic.Int64
		var takes atomic.Int64
		takes.Store(int64(400 * time.Millisecond))
		w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			arrived.Add(1)
			time.Sleep(time.Duration(takes.Load()))
		})
		ask := func(n int) (served int, waited time.Duration) {
			for i := range n {
				began := time.Now()
				if w.ask(t, relayAsk{id: fmt.Sprint(i), path: "/x", wait: 200 * time.Millisecond, unrepeatable: true}) == http.StatusOK {
					served++
				}
				waited += time.Since(began)
				time.Sleep(100 * time.Millisecond)
			}
			return served, waited
		}
		ask(30)
		before := arrived.Load()
		_, waited := ask(100)
		assert.Less(t, arrived.Load()-before, int64(25), "one a second, as a probe")
		assert.Less(t, waited, 5*time.Second)
		takes.Store(int64(10 * time.Millisecond))
		served, _ := ask(100)
		assert.GreaterOrEqual(t, served, 85)
	})
}

// Slow calls of a route made endpoints look slow beside its quick ones, and they were ejected.
func TestSlowCallsAmongQuickOnesOfTheirRouteEjectNoEndpoint(t *testing.T) {
	for _, perSecond := range []int{5, 50, 500} {
		synctest.Test(t, func(t *testing.T) {
			sent, served := playCalls(t, 15*time.Second,
				callMix{"slow", 400 * time.Millisecond, 1500 * time.Millisecond, 200 * time.Millisecond},
				callMix{"quick", 10 * time.Millisecond, 1500 * time.Millisecond, time.Second / time.Duration(perSecond)})
			assert.Equal(t, sent, served)
		})
	}
}

// A model whose engines had been slow refused short callers for a minute, by the mean time of its answers.
func TestAModelWhoseEnginesWereSlowServesShortCallersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestCluster([]standin.EngineFault{{SlowTimes: 100}})
		defer o.close()
		s := o.start("a")
		for i := range 40 {
			_, err := answer(s, newRequest("digest", fmt.Sprint("slow-", i), ""))
			assert.NoError(t, err)
		}
		o.engines[0].SetFault(standin.EngineFault{})
		served := 0
		for i := range 100 {
			r := newRequest("digest", fmt.Sprint("quick-", i), "")
			r.Deadline = r.Arrived.Add(300 * time.Millisecond)
			if _, err := answer(s, r); err == nil {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.GreaterOrEqual(t, served, 95)
	})
}

// Slow calls of a route were sent a second time by its latency target, as if their endpoint were silent.
func TestSlowCallsOfARouteAreNotTakenForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, served, arrived := playRepeatableCalls(t, 30*time.Second, true,
			callMix{"slow", 400 * time.Millisecond, 1500 * time.Millisecond, 160 * time.Millisecond},
			callMix{"quick", 10 * time.Millisecond, 150 * time.Millisecond, 160 * time.Millisecond})
		t.Logf("%v sent, %v served, %v arrived", sent, served, arrived)
		assert.Equal(t, sent["slow"], served["slow"])
		assert.LessOrEqual(t, float64(arrived["slow"]), 1.1*float64(sent["slow"]))
	})
}

// A call whose deadline passed in the backoff before a retry ejected the endpoint chosen for it as unreachable.
func TestACallThatIsTooLateForARetryEjectsNoEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := request.Defaults()
		opts.Grace = 0
		var arrived [3]atomic.Int64
		var handlers []http.HandlerFunc
		for i := range arrived {
			handlers = append(handlers, func(out http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if r.URL.RawQuery == "fails" {
					time.Sleep(148 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}
				arrived[i].Add(1)
			})
		}
		w := newRelayFleet(t, 1, opts, handlers...)[0]
		ask := func(id, query string) int {
			return w.ask(t, relayAsk{id: id, path: "/x?" + query, route: "x", wait: 150 * time.Millisecond})
		}
		assert.NotEqual(t, http.StatusOK, ask("fails", "fails"))
		for i := range 30 {
			assert.Equal(t, http.StatusOK, ask(fmt.Sprint("ends-", i), ""))
		}
		for i := range arrived {
			assert.Positive(t, arrived[i].Load(), "endpoint %d", i)
		}
	})
}
