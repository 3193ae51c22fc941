// SPDX-License-Identifier: MIT

package entry_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/entry"
	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// Tests of a fleet with more endpoints than one answer between daemons holds. The endpoints are rows of the store
// only.

// putEndpoints writes the entries of endpoints i to j.
func (w *world) putEndpoints(i, j int) {
	for ; i < j; i++ {
		b, _ := json.Marshal(map[string]any{
			"service": engines, "address": fmt.Sprintf("10.%d.%d.%d:7000", 20+i>>14, i>>7&127, i&127), "zone": w.zones[i%len(w.zones)], "state": "ready",
			"slots": 12, "sequence": 1, "version": "v1.4.2", "cold_remaining_ms": 0, "born": 1764770000000 + i, "identifier": fmt.Sprintf("lm-desk-%05d", i),
		})
		w.store.Put(platform.RunnerTable, "", fmt.Sprintf("lm-desk-%05d", i), b)
	}
}

// listed returns how many endpoints a daemon knows.
func listed(d *entry.Daemon) (n int) {
	for _, s := range d.Server.Works.All() {
		n += len(s.Pool.Targets())
	}
	return n
}

// awaitLists waits until all daemons know exactly n endpoints and are ready, and returns the time it took.
func (w *world) awaitLists(n int, most time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < most {
		missing := 0
		for i, d := range w.daemons {
			if listed(d) != n || !w.ready(i) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return most, false
}

// linkBytes returns how many bytes the daemons have sent to each other.
func (w *world) linkBytes() (n int64) {
	for _, d := range w.daemons {
		n += d.Hub.Traffic().SentBytes
	}
	return n
}

// A list of endpoints that a weak box's link does not carry within the timeout of a query must still reach all
// daemons, once. Sent whole in each answer, it never arrived: each query timed out and was repeated, while the
// reader queued one more copy for each daemon.
func TestALongListReachesWeakBoxesOnce(t *testing.T) {
	const daemons, endpoints, span = 20, 4000, 5 * time.Second
	inWorldOf(t, 0, func(w *world) {
		w.zones, w.strongBoxes, w.links = []string{"a", "b"}, 2, make(map[string]*standin.Link)
		w.putEndpoints(0, endpoints)
	}, func(w *world) {
		for range daemons {
			w.start()
		}
		_, ok := w.awaitLists(endpoints, 10*time.Second)
		assert.True(t, ok, "all daemons know the list")
		assert.Less(t, w.linkBytes(), int64(daemons*endpoints*60), "copies of the list, compressed")

		before := w.linkBytes()
		time.Sleep(span)
		assert.Less(t, w.linkBytes()-before, int64(daemons*2048*5), "2 KB a second and daemon")

		before = w.linkBytes()
		const gone = endpoints * 45 / 100
		for i := range gone {
			w.store.Drop(platform.RunnerTable, "", fmt.Sprintf("lm-desk-%05d", i))
		}
		took, ok := w.awaitLists(endpoints-gone, 5*time.Second)
		assert.True(t, ok, "all daemons know that %d endpoints have gone", gone)
		assert.Less(t, took, 2*time.Second, "within drain_ms")
		assert.Less(t, w.linkBytes()-before, int64(daemons*gone*30), "only what has gone")
	})
}
