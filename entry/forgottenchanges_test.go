// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/entry"
	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// Daemons kept sending requests to endpoints that were gone, as they copied the list from one that had read it whole
// for the second time and knew of no removals before that.
func TestEndpointsRemovedWhileAReaderIsCutOffGetNoRequests(t *testing.T) {
	for _, daemons := range []int{3, 9} {
		for cut := 1200 * time.Millisecond; cut < 2*time.Second; cut += 50 * time.Millisecond {
			t.Run(fmt.Sprint(daemons, " daemons, ", cut), func(t *testing.T) {
				inWorld(t, daemons, func(w *world) { checkRemovalsDuringCut(t, w, cut) })
			})
		}
	}
}

// checkRemovalsDuringCut adds endpoints while the reader is cut off, and removes them before it returns to a store that
// has forgotten all changes.
func checkRemovalsDuringCut(t *testing.T, w *world, cut time.Duration) {
	w.runner(plain, "a", "i-stays", 0)
	time.Sleep(time.Second)
	reader, _ := entry.Reader("a", w.daemons[0].Hub.Mesh.Members())
	w.isolated.Store(&reader.Name)
	w.store.SetFault(standin.RowsFault{RejectedDaemons: map[string]bool{reader.Name: true}})
	var endpoints []*standin.Runner
	for i := range 10 {
		endpoints = append(endpoints, w.runner(plain, "a", fmt.Sprint("i-", i), 0))
	}
	time.Sleep(cut)
	var removed []time.Time
	for i := range endpoints {
		w.store.Drop(platform.RunnerTable, "", fmt.Sprint("i-", i))
		removed = append(removed, time.Now())
		time.Sleep(100 * time.Millisecond)
	}
	w.store.TruncateFeed()
	w.store.SetFault(standin.RowsFault{})
	w.isolated.Store(nil)
	w.demand(w.except(map[string]bool{reader.Name: true}), 60, 6*time.Second, w.askPlain)
	for i, r := range endpoints {
		assert.Zero(t, countFrom(r.ArrivalTimes(), removed[i].Add(bound)), "endpoint %d", i)
	}
}
