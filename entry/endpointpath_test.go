// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
)

const (
	// cutContact is the time that daemons have to notice that a path is cut.
	cutContact = 3 * time.Second
	// minServedShare is the least share of first tries served at daemons without a path to the endpoints, relative
	// to the share at the others.
	minServedShare = 0.9
)

// served counts first tries and how many of them were served.
type served struct{ tries, ok int }

// share returns the share of first tries that were served, 1 if there was none.
func (s served) share() float64 {
	if s.tries == 0 {
		return 1
	}
	return float64(s.ok) / float64(s.tries)
}

// askMixed sends a request to one of the routes: unrepeatable and resumable streams, unsafe and safe calls.
func (w *world) askMixed(daemon, n int) answer {
	id := fmt.Sprint("id-", n)
	switch n % 4 {
	case 0:
		return w.ask(daemon, http.MethodPost, "/digest/", id, "Streambend-Token-Counts", "110,10", "Streambend-Prompt-Prefix", fmt.Sprintf("%x:50,%x:60", 7919, 104729*n+1))
	case 1:
		return w.askStream(daemon, n)
	case 2:
		return w.ask(daemon, http.MethodPost, "/write/", id)
	}
	return w.ask(daemon, http.MethodGet, "/read/", id)
}

// demandByCut sends requests to all daemons for a time and returns the first tries at those that are cut off, and
// at the others.
func (w *world) demandByCut(perSecond int, span time.Duration, cut map[int]bool) (off, rest served) {
	var mu sync.Mutex
	w.demand(upTo(len(w.daemons)), perSecond, span, func(daemon, n int) answer {
		a := w.askMixed(daemon, n)
		mu.Lock()
		defer mu.Unlock()
		to := &rest
		if cut[daemon] {
			to = &off
		}
		to.tries++
		if a.status == http.StatusOK && a.err == nil {
			to.ok++
		}
		return a
	})
	return off, rest
}

// cutEndpoints cuts daemons off from all endpoints, or ends their cuts.
func (w *world) cutEndpoints(mode endpointCut, daemons map[int]bool) {
	for i := range daemons {
		w.endpointCuts.set(w.daemons[i].Self.Name, mode)
	}
}

// inEndpoints runs f among daemons of three zones with four engines and four plain endpoints.
func inEndpoints(t *testing.T, daemons int, f func(w *world)) {
	t.Helper()
	inZones(t, daemons, []string{"a", "b", "c"}, func(w *world) {
		for i := range 4 {
			w.runner(engines, w.zones[i%3], fmt.Sprint("e-", i), 4)
			w.runner(plain, w.zones[i%3], fmt.Sprint("p-", i), 0)
		}
		w.demand(upTo(daemons), 60, 2*time.Second, w.askMixed)
		f(w)
		assertRanOnce(t, w.runners)
	})
}

// assertRanOnce checks that no request ran twice that may not be repeated.
func assertRanOnce(t *testing.T, runners []*standin.Runner) {
	times := make(map[string]int)
	for _, r := range runners {
		for _, x := range r.Ran() {
			if x.Target == "/write/" || x.Target == "/digest/" {
				times[x.ID]++
			}
		}
	}
	for id, n := range times {
		assert.Equal(t, 1, n, "runs of %s", id)
	}
}

// setOf returns the numbers of some daemons.
func setOf(daemons ...int) map[int]bool {
	out := make(map[int]bool)
	for _, i := range daemons {
		out[i] = true
	}
	return out
}

// Guards against a daemon that refuses its callers while it reaches no endpoint and other daemons do: of the first
// tries at such daemons 3 of 195 were served, 417 of 424 at the others.
func TestCallersOfADaemonWithoutAPathToEndpointsAreServed(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		cut     map[int]bool
	}{
		{"one of 3", 3, setOf(1)}, {"a third of 9", 9, setOf(0, 4, 5)}, {"all of a zone of 9", 9, setOf(0, 3, 6)},
		{"all but one of 9", 9, setOf(upTo(8)...)}, {"half of 80", 80, setOf(upTo(40)...)},
	} {
		for _, mode := range []endpointCut{cutHang, cutReset, cutRefuse} {
			if c.daemons > 9 && mode != cutHang {
				continue
			}
			t.Run(fmt.Sprint(c.name, "/", mode), func(t *testing.T) {
				inEndpoints(t, c.daemons, func(w *world) {
					w.cutEndpoints(mode, c.cut)
					w.demandByCut(60, cutContact, c.cut)
					off, rest := w.demandByCut(60, 5*time.Second, c.cut)
					t.Logf("served: %d of %d without a path, %d of %d with one", off.ok, off.tries, rest.ok, rest.tries)
					assert.GreaterOrEqual(t, off.share(), minServedShare*rest.share())
				})
			})
		}
	}
}
