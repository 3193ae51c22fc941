// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
)

const (
	// pauseGrace is the time after its answer from which on an endpoint's pause must be respected.
	pauseGrace = 500 * time.Millisecond
	// maxDuringPause is the maximum number of requests of one daemon that may reach it during the pause.
	maxDuringPause = 2
)

// askStreamTagged is askStream with a request id that names the daemon.
func (w *world) askStreamTagged(daemon, n int) answer {
	return w.ask(daemon, http.MethodPost, "/explain/", fmt.Sprint(daemon, "-", n),
		"Streambend-Token-Counts", "110,10", "Streambend-Prompt-Prefix", fmt.Sprintf("%x:50,%x:60", 7919, 104729*n+1))
}

// maxRequestsInPause returns the maximum number of requests of one daemon that reached a runner during a
// pause that the runner had requested from that daemon in each of its answers between two moments.
func maxRequestsInPause(r *standin.Runner, from, until time.Time, rest time.Duration) (most int) {
	by := make(map[string][]time.Time)
	for _, a := range r.Arrivals() {
		daemon, _, _ := strings.Cut(a.ID, "-")
		by[daemon] = append(by[daemon], a.At)
	}
	for _, at := range by {
		for i, asked := range at {
			if asked.Before(from) || !asked.Before(until) {
				continue
			}
			n := 0
			for _, later := range at[i+1:] {
				if d := later.Sub(asked); d > pauseGrace && d < rest {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// An endpoint that refuses requests with 503 and a Retry-After must get no more of them for that time. When
// the answer counted as that of a full endpoint, which does not affect the next selection, and Retry-After
// was not read, requests were refused although other engines had room: one went to the same two engines
// three times in 50 ms, and an engine that asked for 3 s got 5 to 14 requests from one daemon in that time,
// of 2 allowed.
func TestRetryAfterOfAnEndpointIsRespected(t *testing.T) {
	const rest = 3 * time.Second
	for _, daemons := range []int{3, 60} {
		inZones(t, daemons, []string{"a", "b", "c"}, func(w *world) {
			paused := w.runner(engines, "a", "i-0", 2)
			for i := 1; i < 4; i++ {
				w.runner(engines, "a", fmt.Sprint("i-", i), 2)
			}
			time.Sleep(2 * time.Second)
			// Until the retry budget of each of 60 daemons allows a retry.
			w.demand(upTo(daemons), 60, 5*time.Second, w.askStreamTagged)
			paused.SetFault(standin.RunnerFault{NotRun: true, Rest: "3"})
			began := time.Now()
			for i, a := range w.demand(upTo(daemons), 60, 7*time.Second, w.askStreamTagged) {
				assert.Equal(t, http.StatusOK, a.status, "%d daemons, request %d: other endpoints serve it", daemons, i)
			}
			ended := time.Now()
			assert.LessOrEqual(t, maxRequestsInPause(paused, began, ended, rest), maxDuringPause, "%d daemons", daemons)
			paused.SetFault(standin.RunnerFault{})
			time.Sleep(rest)
			w.demand(upTo(daemons), 60, 2*time.Second, w.askStreamTagged)
			assert.GreaterOrEqual(t, countFrom(paused.ArrivalTimes(), ended.Add(rest)), 15, "%d daemons: used again, of 120 requests on four endpoints", daemons)
		})
	}
}

// Callers that retry after the Retry-After they got are served.
func TestRetryAfterWhenAllEndpointsPause(t *testing.T) {
	for _, service := range []string{engines, plain} {
		inZones(t, 3, []string{"a", "b", "c"}, func(w *world) {
			ask := w.askStreamTagged
			if service == plain {
				ask = func(daemon, n int) answer {
					return w.ask(daemon, http.MethodPost, "/write/", fmt.Sprint(daemon, "-", n))
				}
			}
			for i := range 2 {
				w.runner(service, "a", fmt.Sprint("i-", i), 0).SetFault(standin.RunnerFault{NotRun: true, Rest: "2.5"})
				w.runners[i].Events = 2 * map[string]int{engines: 1}[service]
			}
			time.Sleep(time.Second)
			w.demand(upTo(3), 30, 500*time.Millisecond, ask) // until each daemon has got a Retry-After
			for _, r := range w.runners {
				r.SetFault(standin.RunnerFault{})
			}
			var mu sync.Mutex
			refused := 0
			for _, a := range w.demand(upTo(3), 20, time.Second, func(daemon, n int) answer {
				began := time.Now()
				a := ask(daemon, n)
				if a.status == http.StatusOK {
					return a
				}
				assert.Equal(t, http.StatusServiceUnavailable, a.status)
				assert.Less(t, time.Since(began), maxRefusalTime, "refused without delay")
				assert.Positive(t, a.retryAfter(t))
				assert.LessOrEqual(t, a.retryAfter(t), 3*time.Second)
				mu.Lock()
				refused++
				mu.Unlock()
				time.Sleep(a.retryAfter(t))
				return ask(daemon, n)
			}) {
				assert.Equal(t, http.StatusOK, a.status, "Retry-After is accurate")
			}
			assert.Positive(t, refused, service)
		})
	}
}

// An invalid Retry-After is ignored: the endpoint is used as before.
func TestInvalidRetryAfterIsIgnored(t *testing.T) {
	for _, bad := range []string{"-3", "soon", "NaN", "1e12", "+Inf", "Wed, 21 Oct 2065 07:28:00 GMT", "0x10", "3 4"} {
		inWorld(t, 2, func(w *world) {
			r := w.runner(plain, "a", "i-0", 0)
			r.SetFault(standin.RunnerFault{NotRun: true, Rest: bad})
			time.Sleep(time.Second)
			w.demand(upTo(2), 20, time.Second, w.askPlain)
			r.SetFault(standin.RunnerFault{})
			for i, a := range w.demand(upTo(2), 20, time.Second, w.askPlain) {
				require.Equal(t, http.StatusOK, a.status, "request %d, %q", i, bad)
			}
		})
	}
}
