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

// restart ends an endpoint and starts it again under its id, at another address.
func (w *world) restart(service, zone string, old *standin.Runner) *standin.Runner {
	old.Close()
	r, err := standin.NewRunner(w.net, runnerHost+"0", old.Instance, old.Events, old.Pace)
	require.NoError(w.t, err)
	r.Born = time.Now().UnixMilli()
	w.runners = append(w.runners, r)
	w.store.Put(platform.RunnerTable, "", r.Instance, r.Entry(service, zone, "ready"))
	return r
}

// An endpoint that restarts under its id between two reads of the daemons is a new one: requests go to its
// new address, and its earlier failures do not count.
func TestARestartedEndpointIsANewOne(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		for i := range 3 {
			require.Equal(t, http.StatusOK, w.ask(i, http.MethodPost, "/write/", fmt.Sprint("before-", i)).status)
		}
		r.SetFault(standin.RunnerFault{CutAnswer: true})
		for i := range 12 {
			w.ask(i%3, http.MethodGet, "/read/", fmt.Sprint("cut-", i)) // all daemons eject it
		}
		again := w.restart(plain, "a", r)
		time.Sleep(600 * time.Millisecond)
		for i := range 3 {
			a := w.ask(i, http.MethodPost, "/write/", fmt.Sprint("after-", i))
			assert.Equal(t, http.StatusOK, a.status, a.body)
		}
		assert.Len(t, again.Ran(), 3)
	})
}

// Streams on an earlier start of an endpoint are aborted once its next start is known, not at their
// deadline, and continue elsewhere.
func TestStreamsOfAnEarlierStartEndAtOnce(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		r := w.runner(engines, "a", "i-1", 8)
		r.SetFault(standin.RunnerFault{NoResponse: true})
		done := make(chan answer)
		go func() { done <- w.ask(0, http.MethodPost, "/digest/", "one-try") }()
		time.Sleep(200 * time.Millisecond)
		require.Len(t, r.Ran(), 1)
		began := time.Now()
		// The box of the first start is cut off, so nothing closes its connections.
		again, err := standin.NewRunner(w.net, runnerHost+"0", "i-1", 8, r.Pace)
		require.NoError(t, err)
		again.Born = began.UnixMilli()
		w.runners = append(w.runners, again)
		w.store.Put(platform.RunnerTable, "", "i-1", again.Entry(engines, "a", "ready"))
		a := <-done
		assert.Equal(t, http.StatusBadGateway, a.status, "it may have run once")
		assert.Less(t, time.Since(began), time.Second)
	})
}

// A late entry of an earlier start changes nothing.
func TestAnEntryOfAnEarlierStartChangesNothing(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		old := w.runner(plain, "a", "i-1", 0)
		old.Born = 1000
		late := old.Entry(plain, "a", "draining")
		again := w.restart(plain, "a", old)
		time.Sleep(300 * time.Millisecond)
		w.store.Put(platform.RunnerTable, "", "i-1", late)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/write/", "id-1").status)
		assert.Len(t, again.Ran(), 1)
	})
}

// An entry that becomes unreadable removes its endpoint, as a change or in a full read, whatever other
// entries there are; an entry that becomes readable adds it again.
func TestAnUnreadableEntryRemovesItsEndpoint(t *testing.T) {
	for name, bad := range map[string]string{
		"no JSON": "{", "another writer's": `{"service":"plain","address":7}`, "a state we do not know": "",
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 3, func(w *world) {
				r1, r2 := w.runner(plain, "a", "i-1", 0), w.runner(plain, "a", "i-2", 0)
				value := []byte(bad)
				if bad == "" {
					value = r1.Entry(plain, "a", "resting")
				}
				w.store.Put(platform.RunnerTable, "", "i-1", value)
				time.Sleep(600 * time.Millisecond)
				w.start() // reads the whole table
				time.Sleep(time.Second)
				for i := range 12 {
					assert.Equal(t, http.StatusOK, w.ask(i%4, http.MethodGet, "/read/", fmt.Sprint("id-", i)).status)
				}
				assert.Empty(t, r1.Ran())
				assert.Len(t, r2.Ran(), 12)
				w.store.Put(platform.RunnerTable, "", "i-1", r1.Entry(plain, "a", "ready"))
				w.store.Drop(platform.RunnerTable, "", "i-2")
				time.Sleep(600 * time.Millisecond)
				for i := range 4 {
					assert.Equal(t, http.StatusOK, w.ask(i, http.MethodGet, "/read/", fmt.Sprint("back-", i)).status)
				}
				assert.Len(t, r1.Ran(), 4)
			})
		})
	}
}

// An entry of a service that the configuration does not define is used once the configuration defines it.
func TestEntriesOfALaterDefinedServiceAreUsed(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.runner("later", "a", "i-1", 0)
		time.Sleep(500 * time.Millisecond)
		w.extraServices = append(w.extraServices, "later")
		w.routes = append(w.routes, w.route("/later/", "safe", "later", map[string]any{"attempts": 1}))
		w.put()
		time.Sleep(time.Second)
		for i := range 2 {
			assert.Equal(t, http.StatusOK, w.ask(i, http.MethodGet, "/later/", fmt.Sprint("id-", i)).status)
		}
	})
}

// Invalid rows in the table of daemons and among the verdicts on requests are ignored; the valid rows hold.
func TestInvalidRowsAreIgnored(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		c := &crashWorld{world: w}
		c.endpoints(engines, 8, 8)
		for i := range 4 {
			c.crash(i%2, "/explain/")
		}
		time.Sleep(time.Second)
		require.Equal(t, http.StatusServiceUnavailable, c.crash(0, "/explain/").status)
		for i, value := range []string{"{", "{}", "[]", `{"n":"daemon-9"}`, `"x"`} {
			w.store.Put("streambend-daemons", "", fmt.Sprint("daemon-9", i), []byte(value))
			w.store.Put("streambend", "held-back", fmt.Sprint("x", i), []byte(value))
			w.store.Put("streambend", "held-back", fmt.Sprintf("%032d", i), []byte(value))
		}
		for i, d := range w.daemons {
			d.Kill()
			w.daemons[i] = w.startNamed(d.Self.Name, i)
		}
		time.Sleep(3 * time.Second)
		before := c.crashed()
		for i := range w.daemons {
			assert.Len(t, w.daemons[i].Hub.Mesh.Members(), 2)
			assert.Equal(t, http.StatusServiceUnavailable, c.crash(i, "/explain/").status)
		}
		assert.Equal(t, before, c.crashed())
	})
}
