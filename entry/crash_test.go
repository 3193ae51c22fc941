// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
)

// One request that crashes each endpoint that runs it must be held back after a few crashes, whichever
// endpoint, attempt, daemon or later start of a daemon meets it. If its crashes are known only to the
// attempt, the resends, other boxes and the caller's retries crash further endpoints: 60 to 79 engines
// ended within a minute, with 18 at work at once. Each engine ended 16 to 140 ms after it had begun the
// request, and the requests beside it were cut off and sent again.
const (
	crashing = "crashes what runs it"

	// maxCrashes is the maximum number of crashes until a request is held back: three establish the
	// cause, and one more attempt may be in flight.
	maxCrashes = 4
	// maxSends is the maximum number of sends once the cause is known, over all daemons.
	maxSends = 3
	// knownAfter is the time after the third crash by which all daemons know of it.
	knownAfter = 3 * time.Second
)

// crashWorld is a world whose endpoints crash when they begin a crashing request.
type crashWorld struct {
	*world
	asked int
}

// endpoints starts n endpoints.
func (w *crashWorld) endpoints(service string, n, events int) {
	for range n {
		r := w.runner(service, w.zones[len(w.runners)%len(w.zones)], fmt.Sprint("i-", len(w.runners)), events)
		r.SetFault(standin.RunnerFault{CrashOn: crashing})
	}
}

// crash sends the crashing request to a daemon, with a new request id.
func (w *crashWorld) crash(daemon int, path string) answer {
	w.asked++
	return w.askFor(daemon, http.MethodPost, path, fmt.Sprint("crash-", w.asked), crashing)
}

// crashed returns the number of endpoints that have crashed.
func (w *crashWorld) crashed() (n int) {
	for _, r := range w.runners {
		for _, ran := range r.Ran() {
			if strings.Contains(ran.Body, crashing) {
				n++
			}
		}
	}
	return n
}

func (w *crashWorld) checkServed(daemon int, id string) {
	w.t.Helper()
	a := w.ask(daemon, http.MethodPost, "/explain/", id)
	assert.NoError(w.t, a.err, "%s at daemon %d", id, daemon)
	assert.Equal(w.t, http.StatusOK, a.status, "%s at daemon %d", id, daemon)
}

func TestARequestThatCrashesEndpointsIsHeldBack(t *testing.T) {
	for _, path := range []string{"/explain/", "/digest/", "/write/", "/read/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			inWorld(t, 4, func(w *world) {
				c := &crashWorld{world: w}
				c.endpoints(engines, 12, 8)
				c.endpoints(plain, 12, 0)
				for i := range 20 {
					a := c.crash(i%4, path)
					assert.True(t, a.err != nil || a.status >= 500, "%d %v", a.status, a.err)
					if i >= 10 {
						assert.Equal(t, http.StatusServiceUnavailable, a.status, "refused without a run")
						assert.NotEmpty(t, a.header.Get("Retry-After"))
					}
					c.checkServed(i%4, fmt.Sprint("other-", i))
					time.Sleep(100 * time.Millisecond)
				}
				assert.GreaterOrEqual(t, c.crashed(), 2)
				assert.LessOrEqual(t, c.crashed(), maxCrashes)
			})
		})
	}
}

// Copies sent to all daemons at once may crash the endpoints they reach. Once the cause is known, no
// further copy is sent.
func TestConcurrentCrashingRequestsAreHeldBack(t *testing.T) {
	inWorld(t, 9, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 40, 8)
		done := make(chan struct{})
		for i := range 9 {
			go func() {
				w.askFor(i, http.MethodPost, "/explain/", fmt.Sprint("at-once-", i), crashing)
				done <- struct{}{}
			}()
		}
		for range 9 {
			<-done
		}
		time.Sleep(knownAfter)
		before := c.crashed()
		require.Less(t, before, len(w.runners))
		for i := range 30 {
			c.crash(i%9, "/explain/")
			time.Sleep(100 * time.Millisecond)
		}
		assert.LessOrEqual(t, c.crashed()-before, maxSends)
		c.checkServed(3, "other")
	})
}

// Boxes have no disk and all daemons may end at once, so the knowledge of a crashing request must survive
// in the store.
func TestACrashingRequestIsHeldBackAfterAFullRestart(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 20, 8)
		for i := range 6 {
			c.crash(i%4, "/explain/")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(knownAfter)
		before := c.crashed()
		for _, d := range w.daemons {
			d.Kill()
		}
		for i, d := range w.daemons {
			w.daemons[i] = w.startNamed(d.Self.Name, i)
		}
		time.Sleep(knownAfter)
		for i := range 20 {
			c.crash(i%4, "/explain/")
			time.Sleep(50 * time.Millisecond)
		}
		assert.LessOrEqual(t, c.crashed()-before, maxSends)
		c.checkServed(1, "other")
	})
}

// Each of many daemons gets the request once; they must share what they know.
func TestManyDaemonsHoldACrashingRequestBack(t *testing.T) {
	const daemons = 60
	inWorldOf(t, daemons, func(w *world) { w.zones = []string{"a", "b", "c", "d", "e", "f"} }, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 30, 8)
		time.Sleep(2 * time.Second) // until all daemons know the endpoints
		for i := range 4 {
			c.crash(i, "/explain/")
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(knownAfter)
		before := c.crashed()
		for i := range daemons {
			c.crash(i, "/explain/")
		}
		assert.LessOrEqual(t, c.crashed()-before, maxSends)
		c.checkServed(17, "other")
	})
}

// A daemon that is cut off from the others but reaches the store and the endpoints learns of a crashing
// request from the store.
func TestAnIsolatedDaemonHoldsACrashingRequestBack(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 20, 8)
		w.isolated.Store(&w.daemons[3].Self.Name)
		time.Sleep(10 * time.Second)
		for i := range 4 {
			c.crash(i%3, "/explain/")
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(knownAfter)
		before := c.crashed()
		for range 10 {
			c.crash(3, "/explain/")
		}
		assert.LessOrEqual(t, c.crashed()-before, maxSends)
	})
}
