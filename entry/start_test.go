// SPDX-License-Identifier: MIT

package entry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/entry"
	"streambend.example/internal/standin"
)

// A daemon that starts beside many others makes few calls to the store: afterwards its zone's reader reads
// for it.
func TestStartsOfManyDaemonsMakeFewStoreCalls(t *testing.T) {
	const daemons = 60
	inWorldOf(t, daemons, func(w *world) {
		w.bootstrap = true
		w.zones = []string{"a", "b", "c", "d", "e", "f"}
	}, func(w *world) {
		// Per daemon: own row, the others' rows, catalog, endpoints. The readers follow two feeds for two
		// seconds, and read the rows again and the lease.
		const readers = 6
		assert.Less(t, w.storeCalls(), daemons*4+readers*(2*5+6), "start of the whole system")

		w.bootstrap = false
		before := w.storeCalls()
		restarts := 0
		for i, d := range w.daemons {
			if r, _ := entry.Reader(d.Self.Zone, d.Hub.Mesh.Members()); r.Name == d.Self.Name || restarts == 20 {
				continue
			}
			restarts++
			d.Kill()
			w.daemons[i] = w.startNamed(d.Self.Name, i)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		// The others' rows, which include its own, catalog, endpoints.
		assert.Less(t, w.storeCalls()-before, restarts*3+readers*(3*4+2), "some daemons restart")
	})
}

// When the whole system starts for the first time, its configuration may come after the daemons. The zones'
// readers wait for it and the others for their reader's answer. When all polled the store, each of 99 made
// eight calls until then; four are enough.
func TestManyDaemonsWaitForTheFirstConfigurationWithoutPolling(t *testing.T) {
	const daemons, readers = 60, 6
	var all, feeds int
	inWorldOf(t, daemons, func(w *world) {
		w.bootstrap = true
		w.configDelay = 600 * time.Millisecond
		w.zones = []string{"a", "b", "c", "d", "e", "f"}
	}, func(w *world) {
		all, feeds = w.storeCalls(), w.store.Calls("/streambend/rows-feed")
		for i := range daemons {
			assert.True(t, w.ready(i), "daemon %d", i)
		}
	})
	t.Logf("%d calls, %d of them feeds", all, feeds)
	assert.Less(t, all, daemons*4+readers*(2*5+6))
	assert.Less(t, feeds, readers*12)
}

// The metrics count a daemon's calls by kind.
func TestCallsAreCountedByKind(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		resp, err := w.client.Get("http://10.0.0.0:82/metrics")
		require.NoError(t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Contains(t, string(b), "calls.rows-feed")
		assert.Contains(t, string(b), "calls.rows-get")
	})
}

// A new daemon must start from its peers while the store is down: it finds them by its settings, without
// waiting for its own calls to the store to fail.
func TestANewDaemonStartsFromPeersWhileTheStoreIsDown(t *testing.T) {
	inWorldOf(t, 16, func(w *world) { w.seeds = []string{"10.0.0.1:82", "10.0.0.2:82"} }, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		time.Sleep(time.Second)
		w.store.SetFault(standin.RowsFault{NoResponse: true})
		w.start()
		time.Sleep(1200 * time.Millisecond)
		assert.True(t, w.ready(16))
		assert.Equal(t, http.StatusOK, w.ask(16, http.MethodPost, "/write/", "id-1").status)
	})
}
