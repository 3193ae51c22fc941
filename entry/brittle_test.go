// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
)

const (
	// brittleSlots and brittleQueue are the requests that an endpoint runs, and lets wait beside them.
	brittleSlots, brittleQueue = 8, 4
	// brittleGoodput is the least goodput relative to that of endpoints that are not brittle.
	brittleGoodput = 0.9
)

// inBrittle runs f among daemons with four engines of 40 streams a second each and four plain endpoints of 40 calls,
// whose answers say that they are brittle; empty for not.
func inBrittle(t *testing.T, daemons int, brittle string, f func(w *world)) {
	t.Helper()
	inZones(t, daemons, []string{"a", "b", "c"}, func(w *world) {
		for i := range 4 {
			w.runner(engines, w.zones[i%3], fmt.Sprint("e-", i), 10).Pace = 20 * time.Millisecond
			w.runner(plain, w.zones[i%3], fmt.Sprint("p-", i), 0).Pace = 200 * time.Millisecond
		}
		w.setBrittle(brittle, brittleQueue)
		f(w)
	})
}

func (w *world) setBrittle(brittle string, queue int) {
	for _, r := range w.runners {
		r.SetFault(standin.RunnerFault{Slots: brittleSlots, Queue: queue, Brittle: brittle})
	}
}

// askBrittle sends a stream or a plain call.
func (w *world) askBrittle(daemon, n int) answer {
	if n%2 == 0 {
		return w.askStream(daemon, n)
	}
	return w.ask(daemon, http.MethodPost, "/write/", fmt.Sprint("id-", n))
}

// overload sends half of what the endpoints can take, and then twice as much as they can. It returns how many of these
// requests were served.
func (w *world) overload(middle func()) (ok int) {
	daemons := upTo(len(w.daemons))
	w.demand(daemons, 160, 4*time.Second, w.askBrittle)
	middle()
	for _, a := range w.demand(daemons, 640, 6*time.Second, w.askBrittle) {
		if a.status == http.StatusOK && a.err == nil {
			ok++
		}
	}
	return ok
}

// falls returns how often an endpoint has rejected more than n requests within a second, from a time on.
func falls(r *standin.Runner, from time.Time, n int) (count int) {
	at := r.Rejected()
	for first, i := 0, 0; i < len(at); i++ {
		if at[i].Before(from) {
			first = i + 1
			continue
		}
		for at[i].Sub(at[first]) > time.Second {
			first++
		}
		if i-first+1 > n {
			count++
			first = i + 1 // it starts anew
		}
	}
	return count
}

// Guards against endpoints that fall over, as they have to reject many requests at a jump of the load: all daemons
// together must not exceed their room, and use it. Of 5 allowed a second, each plain endpoint rejected up to 90, and
// each engine up to 31.
func TestBrittleEndpointsAreNotOverrun(t *testing.T) {
	for daemons, bounds := range map[int][]int{3: {1, 10}, 80: {1}} {
		usual := 0
		inBrittle(t, daemons, "", func(w *world) { usual = w.overload(func() {}) })
		for _, n := range bounds {
			t.Run(fmt.Sprint(daemons, " daemons, ", n, " a second"), func(t *testing.T) {
				inBrittle(t, daemons, strconv.Itoa(n), func(w *world) {
					from := time.Now().Add(announcedDelay)
					ok := w.overload(func() { w.setBrittle(strconv.Itoa(n), brittleQueue/2) })
					for _, r := range w.runners {
						assert.Zero(t, falls(r, from, n), "%s", r.Instance)
					}
					t.Logf("%d served, %d by endpoints that are not brittle", ok, usual)
					assert.GreaterOrEqual(t, float64(ok), brittleGoodput*float64(usual))

					w.setBrittle("", brittleQueue)
					w.demand(upTo(daemons), 160, 2*time.Second, w.askBrittle)
					assert.Zero(t, w.counterSum("endpoints.limited"), "no longer brittle")
				})
			})
		}
	}
}

// Guards against endpoints that are overrun when a daemon that grants their places ends, and another one does.
func TestBrittleEndpointsAreNotOverrunWhileDaemonsEnd(t *testing.T) {
	inBrittle(t, 5, "2", func(w *world) {
		from := time.Now().Add(announcedDelay)
		w.demand(upTo(5), 160, 4*time.Second, w.askBrittle)
		for i := range 3 {
			go func() {
				time.Sleep(time.Duration(2+i) * time.Second)
				w.daemons[2+i].Kill()
				w.cancels[2+i]()
			}()
		}
		w.demand([]int{0, 1}, 640, 8*time.Second, w.askBrittle)
		count := 0
		for _, r := range w.runners {
			count += falls(r, from, 2)
		}
		assert.LessOrEqual(t, count, 2+len(w.runners)/10)
	})
}
