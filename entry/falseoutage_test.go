// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/entry"
	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// lateLink is the delay of the links of a daemon that answers others too late but stays alive for them.
const lateLink = 800 * time.Millisecond

// zoneReaders returns the names of the daemons that read the store for their zones.
func (w *world) zoneReaders() map[string]bool {
	out := make(map[string]bool)
	for _, zone := range w.zones {
		r, _ := entry.Reader(zone, w.daemons[0].Hub.Mesh.Members())
		out[r.Name] = true
	}
	return out
}

// except returns the daemons whose names are not in a set.
func (w *world) except(names map[string]bool) (out []int) {
	for i, d := range w.daemons {
		if !names[d.Self.Name] {
			out = append(out, i)
		}
	}
	return out
}

// namesExcept returns the names of the daemons that are not in a set.
func (w *world) namesExcept(names map[string]bool) map[string]bool {
	out := make(map[string]bool)
	for _, i := range w.except(names) {
		out[w.daemons[i].Self.Name] = true
	}
	return out
}

// beginFalseOutage makes the store reject all daemons but the readers, which answer other daemons too late from then
// on, and returns the rejected daemons.
func (w *world) beginFalseOutage(status int) []int {
	readers := w.zoneReaders()
	rejected := make(map[string]bool)
	for _, d := range w.daemons {
		rejected[d.Self.Name] = !readers[d.Self.Name]
	}
	w.lateLinks.Store(&readers)
	w.store.SetFault(standin.RowsFault{RejectedDaemons: rejected, RejectStatus: status})
	return w.except(readers)
}

// inFalseOutages runs f for several sizes and statuses of the store, with two endpoints and a route without a key.
func inFalseOutages(t *testing.T, f func(t *testing.T, w *world, status int, endpoint *standin.Runner)) {
	t.Helper()
	for _, size := range []struct{ daemons, zones int }{{12, 4}, {48, 6}, {9, 3}, {9, 1}} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			t.Run(fmt.Sprintf("%d daemons, %d zones, %d", size.daemons, size.zones, status), func(t *testing.T) {
				inWorldOf(t, size.daemons, func(w *world) {
					w.zones = []string{"a", "b", "c", "d", "e", "f"}[:size.zones]
					w.routes[2]["public"] = true
				}, func(w *world) {
					w.runner(plain, "a", "i-0", 0)
					endpoint := w.runner(plain, "a", "i-1", 0)
					time.Sleep(3 * time.Second)
					f(t, w, status, endpoint)
				})
			})
		}
	}
}

// checkRefusedAtOnce checks that daemons refuse requests without a wait, and are unready.
func (w *world) checkRefusedAtOnce(t *testing.T, daemons []int) {
	t.Helper()
	for _, i := range daemons {
		began := time.Now()
		a := w.askPlain(i, i)
		assert.Equal(t, http.StatusServiceUnavailable, a.status, "daemon %d", i)
		assert.Less(t, time.Since(began), 600*time.Millisecond, "daemon %d", i)
		assert.NotEmpty(t, a.header.Get("Retry-After"), "daemon %d", i)
		assert.False(t, w.ready(i), "daemon %d", i)
	}
}

// Daemons that do not answer attested an outage of the store, so that endpoints got requests after they had left.
func TestSilentReadersDoNotLiftTheBoundOfTheList(t *testing.T) {
	inFalseOutages(t, func(t *testing.T, w *world, status int, endpoint *standin.Runner) {
		rejected := w.beginFalseOutage(status)
		w.store.Put(platform.RunnerTable, "", "i-1", endpoint.Entry(plain, "a", "draining"))
		left := time.Now()
		w.demand(rejected, 60, 12*time.Second, w.askPlain)
		assert.Zero(t, countFrom(endpoint.ArrivalTimes(), left.Add(bound)))
		w.checkRefusedAtOnce(t, rejected)
	})
}

// The same attestation let routes keep a service that the configuration no longer names.
func TestSilentReadersDoNotLiftTheBoundOfTheConfiguration(t *testing.T) {
	inFalseOutages(t, func(t *testing.T, w *world, status int, endpoint *standin.Runner) {
		rejected := w.beginFalseOutage(status)
		w.routes[2]["service"] = "other"
		w.put()
		changed := time.Now()
		w.demand(rejected, 60, 12*time.Second, w.askPlain)
		assert.Zero(t, countFrom(endpoint.ArrivalTimes(), changed.Add(bound)))
		w.checkRefusedAtOnce(t, rejected)
	})
}
