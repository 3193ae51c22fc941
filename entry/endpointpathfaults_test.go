// SPDX-License-Identifier: MIT

package entry_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
)

// Guards against callers who wait, or are told no time to return, while no daemon reaches the endpoints.
func TestRequestsAreRefusedAtOnceWhileNoDaemonHasAPath(t *testing.T) {
	for _, mode := range []endpointCut{cutHang, cutReset} {
		t.Run(mode.String(), func(t *testing.T) {
			inEndpoints(t, 9, func(w *world) {
				all := setOf(upTo(9)...)
				w.cutEndpoints(mode, all)
				w.demandByCut(60, cutContact, all)
				w.demand(upTo(9), 60, 2*time.Second, func(daemon, n int) answer {
					began := time.Now()
					a := w.askMixed(daemon, n)
					assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
					assert.Positive(t, a.retryAfter(t))
					assert.Less(t, time.Since(began), maxRefusalTime)
					return a
				})
				w.cutEndpoints(noCut, all)
				time.Sleep(time.Second)
				_, rest := w.demandByCut(60, 2*time.Second, nil)
				assert.Equal(t, rest.tries, rest.ok, "a second after the path is back")
			})
		})
	}
}

// Guards against requests that go on through other daemons, and probes that go on, after the path is back.
func TestRequestsGoToEndpointsDirectlySoonAfterThePathIsBack(t *testing.T) {
	for _, mode := range []endpointCut{cutHang, cutReset, cutRefuse} {
		t.Run(mode.String(), func(t *testing.T) {
			inEndpoints(t, 9, func(w *world) {
				cut := setOf(1, 2, 4)
				w.cutEndpoints(mode, cut)
				w.demandByCut(60, 6*time.Second, cut)
				w.cutEndpoints(noCut, cut)
				time.Sleep(time.Second)
				assert.Zero(t, w.counterSum("paths.lost"))
				forwarded := w.counterSum("attempts.forwarded")
				assert.Positive(t, forwarded)
				off, _ := w.demandByCut(60, 2*time.Second, cut)
				assert.Equal(t, off.tries, off.ok)
				assert.Equal(t, forwarded, w.counterSum("attempts.forwarded"))
				w.dials.Store(0)
				time.Sleep(2 * time.Second)
				assert.Zero(t, w.dials.Load(), "probes without requests")
			})
		})
	}
}

// Guards against a daemon whose connections are all reset, and that reports the endpoints as ended: others would leave
// them alone for seconds, and requests that were under way would be suspected of crashing them.
func TestADaemonWithoutAPathReportsNoEndpointAsEnded(t *testing.T) {
	inEndpoints(t, 9, func(w *world) {
		cut := setOf(0, 4, 5)
		for range 3 {
			go w.demandByCut(200, time.Second, nil)
			time.Sleep(500 * time.Millisecond) // requests are under way
			w.cutEndpoints(cutReset, cut)
			time.Sleep(4 * time.Second)
			w.cutEndpoints(noCut, cut)
			time.Sleep(2 * time.Second)
		}
		assert.Zero(t, w.counterSum("endpoints.ended"))
		assert.Zero(t, w.counterSum("requests.held_back"))
	})
}

// Guards against an endpoint that works on for a caller who has left, when another daemon has sent the request there.
func TestADisconnectedCallerOfADaemonWithoutAPathIsCancelledAtTheEndpoint(t *testing.T) {
	inEndpoints(t, 3, func(w *world) {
		w.cutEndpoints(cutHang, setOf(0))
		w.demandByCut(30, cutContact, nil)
		long := w.runner(engines, "a", "e-long", 1000)
		for _, r := range w.runners {
			if r != long && r.Events > 0 {
				r.Events = 1000
			}
		}
		w.client.Timeout = 400 * time.Millisecond
		a := w.ask(0, http.MethodPost, "/digest/", "leaves")
		assert.Error(t, a.err)
		time.Sleep(200 * time.Millisecond)
		ran := 0
		for _, r := range w.runners {
			for _, x := range r.Ran() {
				if x.ID == "leaves" {
					ran++
					assert.True(t, x.Left)
				}
			}
		}
		assert.Equal(t, 1, ran)
	})
}

// Guards against a second run, or a lost stream that could be resumed, when the daemon that has taken a request over dies
// in the middle of it.
func TestADaemonThatHasTakenARequestOverDies(t *testing.T) {
	inEndpoints(t, 4, func(w *world) {
		w.cutEndpoints(cutHang, setOf(0))
		w.demandByCut(30, cutContact, nil)
		for _, r := range w.runners {
			if r.Events > 0 {
				r.Events = 60 // of 20 ms each
			}
		}
		answers := make(chan answer, 24)
		for i := range 24 {
			kind := []string{"digest", "explain"}[i%2]
			go func() { answers <- w.ask(0, http.MethodPost, "/"+kind+"/", fmt.Sprint("dies-", kind, i)) }()
		}
		time.Sleep(400 * time.Millisecond)
		dies, lost := 0, 0 // the daemon with the most requests that can't be resumed
		for i, d := range w.daemons {
			if n := w.log.takenOver(d.Self.Name, "dies-digest"); n > lost {
				dies, lost = i, n
			}
		}
		w.daemons[dies].Kill()
		w.cancels[dies]()
		whole, cutOff := 0, 0
		for range 24 {
			a := <-answers
			if a.err == nil && a.status == http.StatusOK {
				whole++
				assert.Equal(t, events(60), a.body)
				continue
			}
			cutOff++
		}
		t.Logf("%d whole, %d cut off", whole, cutOff)
		assert.GreaterOrEqual(t, whole, 12, "the resumable half, and what other daemons have taken over")
		assert.Positive(t, cutOff, "some were taken over by the daemon that died")
		assert.Equal(t, lost, cutOff, "those alone")
	})
}

// previousConn makes a daemon answer as one of a version that takes no requests over.
type previousConn struct{ net.Conn }

// Write implements net.Conn.
func (c previousConn) Write(b []byte) (int, error) {
	_, err := c.Conn.Write(bytes.Replace(b, []byte("POST /forward "), []byte("POST /unknown "), 1))
	return len(b), err
}

// Guards against requests that are lost at daemons of a previous version, which take none over, while one of the same
// version serves them.
func TestDaemonsOfAPreviousVersionTakeNoRequestsOver(t *testing.T) {
	inEndpoints(t, 9, func(w *world) {
		w.previous = map[string]bool{}
		for i := 1; i < 8; i++ {
			w.previous[fmt.Sprintf("10.0.0.%d%s", i, linkPort)] = true
		}
		cut := setOf(0)
		w.cutEndpoints(cutRefuse, cut)
		w.demandByCut(90, cutContact, cut)
		off, _ := w.demandByCut(90, 3*time.Second, cut)
		assert.Equal(t, off.tries, off.ok)
	})
}

// Guards against an endpoint's answer that is taken for the result of the daemon that has sent the request there.
func TestAnEndpointsHeadersAreNotThoseOfADaemon(t *testing.T) {
	inEndpoints(t, 3, func(w *world) {
		w.cutEndpoints(cutRefuse, setOf(0))
		w.demandByCut(30, cutContact, nil)
		for _, r := range w.runners {
			r.SetFault(standin.RunnerFault{Header: [2]string{"Streambend-Forward-Code", "1113"}})
		}
		for i := range 8 {
			a := w.askMixed(0, 1e9+i)
			assert.Equal(t, http.StatusOK, a.status, a.body)
		}
	})
}

// checkRandomPathCuts runs a series of cuts that overlap, while daemons restart, drawn from a seed.
func checkRandomPathCuts(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	daemons := 3 + r.IntN(10)
	inEndpoints(t, daemons, func(w *world) {
		for range 3 {
			first, second := make(map[int]bool), make(map[int]bool)
			for i := range daemons - 1 { // one is never cut off
				first[i], second[i] = r.IntN(3) == 0, r.IntN(3) == 0
			}
			cut := make(map[int]bool)
			for at, set := range []map[int]bool{first, second} {
				mode := []endpointCut{cutHang, cutReset, cutRefuse}[r.IntN(3)]
				t.Logf("seed %d, %d daemons: cut %d of %v by %s", seed, daemons, at, set, mode)
				for i, off := range set {
					if off && !cut[i] {
						cut[i] = true
						w.endpointCuts.set(w.daemons[i].Self.Name, mode)
					}
				}
				w.demandByCut(60, time.Duration(r.IntN(2000))*time.Millisecond, cut)
			}
			w.demandByCut(60, cutContact, cut)
			off, rest := w.demandByCut(60, 2*time.Second, cut)
			assert.GreaterOrEqual(t, off.share(), minServedShare*rest.share(), "seed %d: %d of %d, others %d of %d", seed, off.ok, off.tries, rest.ok, rest.tries)
			w.cutEndpoints(noCut, cut)
			time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		_, rest := w.demandByCut(60, 2*time.Second, nil)
		require.Equal(t, rest.tries, rest.ok, "seed %d: after the cuts", seed)
	})
}

// Runs series of cuts from endpoints drawn from seeds.
func TestCallersAreServedThroughRandomCutsFromEndpoints(t *testing.T) {
	for _, seed := range seedsToRun(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkRandomPathCuts(t, seed) })
	}
}

// Guards against an endpoint that is silent for a second and goes on, and is then left alone, taken for ended, or loses
// requests that may not be repeated to a second run.
func TestAnEndpointThatIsSilentForASecondGoesOn(t *testing.T) {
	inEndpoints(t, 3, func(w *world) {
		silent := w.runners[:2] // an engine and a plain endpoint
		go func() {
			time.Sleep(500 * time.Millisecond)
			for _, r := range silent {
				r.SetFault(standin.RunnerFault{Slower: 50}) // nothing for a second
			}
			time.Sleep(time.Second)
			for _, r := range silent {
				r.SetFault(standin.RunnerFault{})
			}
		}()
		_, rest := w.demandByCut(60, 4*time.Second, nil)
		assert.Equal(t, rest.tries, rest.ok)
		assert.Zero(t, w.counterSum("endpoints.ejected"))
		assert.Zero(t, w.counterSum("endpoints.ended"))
		assert.Zero(t, w.counterSum("requests.held_back"))
		assert.Zero(t, w.counterSum("paths.lost"))
	})
}
