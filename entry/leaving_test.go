// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// drain is the time after its announcement from which on a leaving endpoint must get no requests.
const drain = 2 * time.Second

func (w *world) askPlain(daemon, n int) answer {
	return w.ask(daemon, http.MethodPost, "/write/", fmt.Sprint("id-", n))
}

// An endpoint that leaves while the store is down cannot record so in its entry, but announces it in its
// answers. The daemons must act on that: with the entry alone, which was written 12 s later, requests still
// reached an endpoint 2.5 s after its announcement, where 2 s are allowed.
func TestAnnouncedLeavingStopsRequests(t *testing.T) {
	for _, daemons := range []int{3, 60} {
		inZones(t, daemons, []string{"a", "b", "c"}, func(w *world) {
			leaves := w.runner(plain, "a", "i-0", 0)
			w.runner(plain, "b", "i-1", 0)
			time.Sleep(2 * time.Second)
			w.demand(upTo(daemons), 60, time.Second, w.askPlain)
			w.store.SetFault(standin.RowsFault{NoResponse: true})
			leaves.SetFault(standin.RunnerFault{Leaving: "1"})
			announced := time.Now()
			for i, a := range w.demand(upTo(daemons), 60, 3500*time.Millisecond, w.askPlain) {
				assert.Equal(t, http.StatusOK, a.status, "%d daemons, request %d", daemons, i)
			}
			assert.Zero(t, countFrom(leaves.ArrivalTimes(), announced.Add(drain)), "%d daemons", daemons)
			assert.LessOrEqual(t, countFrom(leaves.ArrivalTimes(), announced.Add(500*time.Millisecond)), 2, "all daemons learn of it")
		})
	}
}

// The entry of a leaving endpoint expires in an outage and is then written again, as ready, by another
// writer. What the endpoint announced holds for this start of it; its next start is a new endpoint.
func TestAnnouncedLeavingOutlastsTheEntry(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		leaves := w.runner(plain, "a", "i-0", 0)
		w.runner(plain, "a", "i-1", 0)
		time.Sleep(time.Second)
		leaves.SetFault(standin.RunnerFault{Leaving: "1"})
		announced := time.Now()
		w.demand(upTo(3), 60, 500*time.Millisecond, w.askPlain)
		w.store.Drop(platform.RunnerTable, "", "i-0")
		time.Sleep(500 * time.Millisecond)
		w.store.Put(platform.RunnerTable, "", "i-0", leaves.Entry(plain, "a", "ready"))
		time.Sleep(2 * time.Second)
		w.demand(upTo(3), 60, time.Second, w.askPlain)
		assert.Zero(t, countFrom(leaves.ArrivalTimes(), announced.Add(drain)))
		again := w.restart(plain, "a", leaves)
		w.store.Drop(platform.RunnerTable, "", "i-1")
		time.Sleep(600 * time.Millisecond)
		for _, a := range w.demand(upTo(3), 60, time.Second, w.askPlain) {
			assert.Equal(t, http.StatusOK, a.status)
		}
		assert.GreaterOrEqual(t, len(again.ArrivalTimes()), 60, "the only endpoint left")
	})
}

// A value of the header that does not announce the end of the endpoint changes nothing.
func TestInvalidLeavingHeaderIsIgnored(t *testing.T) {
	for _, bad := range []string{"0", "2", "yes", "-1", "1;"} {
		inWorld(t, 2, func(w *world) {
			w.runner(plain, "a", "i-0", 0).SetFault(standin.RunnerFault{Leaving: bad})
			time.Sleep(time.Second)
			for i, a := range w.demand(upTo(2), 20, 3*time.Second, w.askPlain) {
				require.Equal(t, http.StatusOK, a.status, "request %d, %q", i, bad)
			}
		})
	}
}
