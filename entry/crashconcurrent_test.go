// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heldBack is the error number that the caller of a held request gets.
const heldBack = "1111"

// all runs n requests concurrently and returns their answers.
func all(n int, ask func(i int) answer) []answer {
	out := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { out[i] = ask(i) })
	}
	wg.Wait()
	return out
}

// Streams that run on the same endpoints as a crashing request are cut off and resent, some of them to the
// next endpoint that it crashes. They must not be taken for the cause and held back, and all are served
// once the crashing request is held.
func TestRequestsBesideACrashingRequestAreServed(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 10, 30) // streams of 0.6 s
		done := make(chan []answer)
		go func() {
			done <- all(60, func(i int) answer {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				return w.ask(i%4, http.MethodPost, "/explain/", fmt.Sprint("beside-", i))
			})
		}()
		for i := range 12 {
			time.Sleep(100 * time.Millisecond)
			c.crash(i%4, "/explain/")
		}
		for _, a := range <-done {
			assert.NotContains(t, a.body, heldBack)
		}
		assert.LessOrEqual(t, c.crashed(), maxCrashes)
		for i := range 60 {
			a := w.ask(i%4, http.MethodPost, "/explain/", fmt.Sprint("beside-", i)) // the caller retries
			assert.NoError(t, a.err)
			assert.Equal(t, events(30), a.body)
		}
	})
}

// A request that many callers send runs on every endpoint when half of them end for an unrelated reason. It
// must not be held back for it.
func TestAPopularRequestIsServedWhenHalfOfTheEndpointsEnd(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 12, 20)
		popular := func(round int) []answer {
			return all(24, func(i int) answer {
				return w.askFor(i%4, http.MethodPost, "/explain/", fmt.Sprintf("popular-%d-%d", round, i), "the same for all")
			})
		}
		for _, a := range popular(0) {
			require.Equal(t, http.StatusOK, a.status)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			for _, r := range w.runners[:6] {
				r.Close()
			}
		}()
		for _, a := range popular(1) {
			assert.NotContains(t, a.body, heldBack)
		}
		for round := 2; round < 5; round++ {
			for _, a := range popular(round) {
				assert.NoError(t, a.err)
				assert.Equal(t, http.StatusOK, a.status, a.body)
			}
		}
	})
}

// All endpoints lose power while one request, new to the system, runs on each of them, so that it looks
// like a crashing request. One daemon must soon try it once, and it is served from then on.
func TestADoubtfulRequestIsTriedOnceAndServed(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 8, 40)
		ask := func(round int) (served, refused int) {
			for _, a := range all(12, func(i int) answer {
				return w.askFor(i%4, http.MethodPost, "/digest/", fmt.Sprintf("new-%d-%d", round, i), "new to all")
			}) {
				if a.err == nil && a.status == http.StatusOK {
					served++
					continue
				}
				refused++
				if round > 0 {
					assert.Equal(t, http.StatusServiceUnavailable, a.status)
					assert.Contains(t, a.body, heldBack)
					assert.NotEmpty(t, a.header.Get("Retry-After"))
				}
			}
			return served, refused
		}
		go func() {
			time.Sleep(150 * time.Millisecond)
			for extra := 0; w.reached() < minSuspected; extra++ { // routing is drawn
				go w.askFor(extra%4, http.MethodPost, "/digest/", fmt.Sprint("new-extra-", extra), "new to all")
				time.Sleep(2 * time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // before the first is answered
			for _, r := range w.runners[:8] {
				r.Close()
			}
		}()
		served, _ := ask(0)
		require.Zero(t, served)
		c.endpoints(engines, 6, 40)
		time.Sleep(time.Second)
		served, refused := ask(1)
		assert.Zero(t, served)
		assert.Equal(t, 12, refused)

		time.Sleep(10 * time.Second)
		before := w.ran()
		served, _ = ask(2)
		assert.Equal(t, 1, served, "one over all daemons")
		assert.Equal(t, 1, w.ran()-before)
		time.Sleep(time.Second)
		served, _ = ask(3)
		assert.Equal(t, 12, served)
	})
}

// minSuspected is the number of endpoints that end under a request until it is suspected.
const minSuspected = 3

// reached returns the number of endpoints that have begun to run a request.
func (w *world) reached() (n int) {
	for _, r := range w.runners {
		if len(r.Ran()) > 0 {
			n++
		}
	}
	return n
}

// ran returns how many requests the endpoints have begun to run.
func (w *world) ran() (n int) {
	for _, r := range w.runners {
		n += len(r.Ran())
	}
	return n
}
