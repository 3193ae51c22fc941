// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

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
	sent, served = make(map[string]int), make(map[string]int)
	w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		for _, k := range kinds {
			if r.URL.RawQuery == k.name {
				time.Sleep(k.takes)
			}
		}
	})
	w.server.Works.Get(&w.service).Queue.Limit.Fix(24)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, k := range kinds {
		wg.Go(func() {
			for i := range int(span / k.interval) {
				time.Sleep(k.interval)
				wg.Go(func() {
					status := w.ask(t, relayAsk{id: fmt.Sprint(k.name, i), path: "/x?" + k.name, route: "x", wait: k.wait, unrepeatable: true})
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
	return sent, served
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
