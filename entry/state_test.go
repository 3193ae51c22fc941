// SPDX-License-Identifier: MIT

package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/entry"
	"streambend.example/internal/standin"
	"streambend.example/platform"
)

func TestAConfigurationAppliesSoonAndNeverRegresses(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		w.routes = append(w.routes, w.route("/new/", "unsafe", plain, nil))
		w.put()
		time.Sleep(300 * time.Millisecond)
		for d := range 2 {
			assert.Equal(t, http.StatusOK, w.ask(d, http.MethodPost, "/new/", fmt.Sprint("id-", d)).status)
		}
		w.routes = w.routes[:len(w.routes)-1]
		w.version -= 4 // an older version, as from a late writer
		w.put()
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/new/", "id-3").status)
	})
}

func TestATruncatedHistoryCausesAFullRead(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		w.store.SetFault(standin.RowsFault{Busy: true})
		time.Sleep(500 * time.Millisecond)
		w.runner(plain, "a", "i-2", 0)
		w.store.Drop(platform.RunnerTable, "", "i-1")
		w.store.TruncateFeed()
		w.store.SetFault(standin.RowsFault{})
		time.Sleep(3 * time.Second)
		for i := range 5 {
			assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/write/", fmt.Sprint("id-", i)).status)
		}
		assert.Empty(t, r.Ran(), "its entry is gone")
	})
}

func TestEndpointsThatExpireInAnOutageAreKept(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		w.store.SetFault(standin.RowsFault{NoResponse: true})
		time.Sleep(2500 * time.Millisecond)
		w.store.Drop(platform.RunnerTable, "", "i-1")
		w.store.SetFault(standin.RowsFault{})
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/write/", "id-1").status, "its entry may come back")
		w.store.Put(platform.RunnerTable, "", "i-1", r.Entry(plain, "a", "ready"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/write/", "id-2").status, "it has come back")
		w.store.Drop(platform.RunnerTable, "", "i-1")
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, http.StatusServiceUnavailable, w.ask(0, http.MethodPost, "/write/", "id-3").status, "it is gone")
	})
}

func TestLateEntriesAfterAnOutageLoseNoRequests(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		w.store.SetFault(standin.RowsFault{Busy: true})
		time.Sleep(2500 * time.Millisecond)
		w.store.Drop(platform.RunnerTable, "", "i-1")
		w.store.SetFault(standin.RowsFault{})
		for i := range 8 { // up to 2 s after the return its entry may still come back
			time.Sleep(250 * time.Millisecond)
			assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/write/", fmt.Sprint("id-", i)).status, "after %d quarters of a second", i+1)
		}
		ran := len(r.Ran())
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, http.StatusServiceUnavailable, w.ask(0, http.MethodPost, "/write/", "id-late").status, "it is gone by then")
		assert.Len(t, r.Ran(), ran)
	})
}

func TestARevokedKeyExpiresAtAnIsolatedBox(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		w.store.SetFault(standin.RowsFault{NoResponse: true})
		revoked := time.Now()
		for i := 0; time.Since(revoked) < 8*time.Second; i++ {
			a := w.ask(0, http.MethodPost, "/write/", fmt.Sprint("id-", i))
			switch since := time.Since(revoked); {
			case since < 4*time.Second:
				assert.Equal(t, http.StatusOK, a.status, "served through an outage of 4 s, after %s", since)
			case since > 5*time.Second:
				assert.Equal(t, http.StatusServiceUnavailable, a.status, "after %s", since)
				assert.NotEmpty(t, a.header.Get("Retry-After"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.False(t, w.ready(0))
		w.store.SetFault(standin.RowsFault{})
		time.Sleep(2500 * time.Millisecond)
		assert.True(t, w.ready(0))
		assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/write/", "id-last").status)
	})
}

func TestPeersUpdateABoxThatTheStoreRefuses(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		w.store.SetFault(standin.RowsFault{RejectedDaemons: map[string]bool{"daemon-0": true}})
		time.Sleep(8 * time.Second)
		assert.True(t, w.ready(0))
		assert.Equal(t, http.StatusOK, w.ask(0, http.MethodPost, "/write/", "id-1").status)
		w.keys = []string{"another"}
		w.put()
		time.Sleep(5 * time.Second)
		for d := range 3 {
			assert.Equal(t, http.StatusUnauthorized, w.ask(d, http.MethodPost, "/write/", fmt.Sprint("id-", d)).status)
		}
	})
}

func TestALimitHoldsOverAllDaemons(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		w.rate = 4000 // 20 plain requests a second
		w.put()
		time.Sleep(time.Second)
		const span = 10 * time.Second
		ok, refused := 0, 0
		for i, began := 0, time.Now(); time.Since(began) < span; i++ {
			a := w.ask(i%3, http.MethodPost, "/write/", fmt.Sprint("id-", i))
			switch a.status {
			case http.StatusOK:
				ok++
			case http.StatusTooManyRequests:
				refused++
				assert.NotEmpty(t, a.header.Get("Retry-After"))
			default:
				assert.Fail(t, "answer", "%d", a.status)
			}
			time.Sleep(5 * time.Millisecond)
		}
		allowed := 4000.0 * (span.Seconds() + 1) / 200
		assert.InDelta(t, allowed, ok, 0.1*allowed)
		assert.Positive(t, refused)
	})
}

func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		w.rate = 4000
		w.put()
		time.Sleep(time.Second)
		for i := range 150 {
			assert.Equal(t, http.StatusOK, w.ask(i%3, http.MethodPost, "/write/", fmt.Sprint("id-", i)).status)
			time.Sleep(40 * time.Millisecond) // 17 a second, including the time to answer
		}
	})
}

func TestUsageIsReportedOnceAndExactly(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		for i := range 60 {
			w.ask(i%3, http.MethodPost, "/write/", fmt.Sprint("id-", i))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		sum := 0
		seen := make(map[string]bool)
		for _, c := range w.api.Calls("/usage") {
			if seen[c.Body] {
				continue
			}
			seen[c.Body] = true
			var window int64
			var n int
			if _, err := fmt.Sscanf(c.Body, `{"window":%d,"counts":{"team-a":%d}}`, &window, &n); err == nil {
				sum += n
			}
		}
		assert.Equal(t, 60, sum)
	})
}

func TestACallWithALostAnswerIsRepeatedVerbatim(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		w.api.SetLoseResponses(true)
		w.ask(0, http.MethodPost, "/write/", "id-1")
		time.Sleep(12 * time.Second)
		w.ask(0, http.MethodPost, "/write/", "id-2")
		w.api.SetLoseResponses(false)
		time.Sleep(5 * time.Second)
		byWindow := make(map[int64]string)
		for _, c := range w.api.Calls("/usage") {
			var window int64
			_, err := fmt.Sscanf(c.Body, `{"window":%d,`, &window)
			require.NoError(t, err)
			if before, ok := byWindow[window]; ok {
				assert.Equal(t, before, c.Body)
			}
			byWindow[window] = c.Body
		}
	})
}

func TestDutiesMoveToAnotherDaemonUnderAHigherFence(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		time.Sleep(10 * time.Second)
		calls := w.api.Calls("/usage")
		require.NotEmpty(t, calls)
		first := calls[len(calls)-1]
		for _, d := range w.daemons {
			if d.Self.Name == first.Holder {
				d.Kill()
			}
		}
		killed := len(w.api.Calls("/usage")) // a call may have been in transit at the kill
		time.Sleep(15 * time.Second)
		calls = w.api.Calls("/usage")[killed:]
		require.NotEmpty(t, calls)
		for _, c := range calls {
			assert.NotEqual(t, first.Holder, c.Holder)
			assert.Greater(t, c.Fence, first.Fence)
		}
	})
}

func TestDutiesResumeSoonAfterAFullRestart(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		time.Sleep(6 * time.Second)
		calls := w.api.Calls("/usage")
		require.NotEmpty(t, calls)
		first := calls[len(calls)-1]
		for _, d := range w.daemons {
			d.Kill()
		}
		for i, d := range w.daemons {
			w.daemons[i] = w.startNamed(d.Self.Name, i)
		}
		time.Sleep(6 * time.Second)
		after := w.api.Calls("/usage")[len(calls):]
		require.NotEmpty(t, after, "the daemon that held the lease knows that its earlier start has ended")
		assert.Greater(t, after[0].Fence, first.Fence)
	})
}

func TestScalingWaitsUntilAllEndpointsAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.put()
		w.start()
		for i := range 10 { // they register in the store one after the other, within 3.5 heartbeats
			w.runner(engines, "a", fmt.Sprint("i-", i), 1)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		spots := 0
		for _, c := range w.api.Calls("/scale") {
			if o := c.Order(); o.Spot {
				spots += o.Count
			}
		}
		assert.Equal(t, 10, spots)
		w.close()
	})
}

func TestThePlannedStop(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.runner(engines, "a", "i-1", 100) // 2 s
		done := make(chan answer)
		go func() { done <- w.ask(0, http.MethodPost, "/digest/", "id-1") }()
		time.Sleep(200 * time.Millisecond)
		stopped := make(chan time.Duration)
		began := time.Now()
		go func() {
			w.daemons[0].Stop(w.t.Context())
			stopped <- time.Since(began)
		}()
		time.Sleep(100 * time.Millisecond)
		assert.False(t, w.ready(0))
		late := w.ask(0, http.MethodPost, "/digest/", "id-2")
		require.NoError(t, late.err, "late requests are served")
		assert.Equal(t, events(100), late.body)
		a := <-done
		require.NoError(t, a.err)
		assert.Equal(t, events(100), a.body)
		assert.Less(t, <-stopped, 8*time.Second)
	})
}

// A caller that sends its next request right after a long answer must not be accepted by a daemon that is
// about to end.
func TestAPlannedStopTakesNothingAfterALongAnswer(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		r := w.runner(engines, "a", "i-1", 200) // 4 s
		first := make(chan answer)
		go func() {
			first <- w.ask(0, http.MethodPost, "/digest/", "id-1", "Streambend-Deadline-Milliseconds", "12000")
		}()
		time.Sleep(200 * time.Millisecond)
		go w.daemons[0].Stop(w.t.Context())
		require.NoError(t, (<-first).err)
		w.ask(0, http.MethodPost, "/digest/", "id-2")
		assert.Len(t, r.Ran(), 1)
		time.Sleep(8 * time.Second)
	})
}

// A daemon that stops must not close a connection as idle on which part of a request has arrived, even if
// the box is slow to read the rest.
func TestAPlannedStopCutsNoRequestThatArrives(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		c, err := w.net.Dial(w.t.Context(), "tcp", "10.0.0.0:80")
		require.NoError(t, err)
		defer c.Close()
		read := bufio.NewReader(c)
		head := "POST /write/ HTTP/1.1\r\nHost: " + host + "\r\nApi-Key: " + key + "\r\nStreambend-Deadline-Milliseconds: 5000\r\nContent-Length: 4\r\nStreambend-Request-Id: "
		send := func(text string) {
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
		}
		answered := func() {
			resp, err := http.ReadResponse(read, nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, http.StatusOK, resp.StatusCode)
			io.Copy(io.Discard, resp.Body)
		}
		send(head + "id-1\r\n\r\nbody")
		answered()
		time.Sleep(100 * time.Millisecond)
		send(head) // the connection was idle, and a part of a request has come
		time.Sleep(10 * time.Millisecond)
		go w.daemons[0].Stop(w.t.Context())
		time.Sleep(100 * time.Millisecond)
		send("id-2\r\n\r\nbody")
		answered()
		assert.Len(t, r.Ran(), 2)
		time.Sleep(8 * time.Second)
	})
}

func TestAnOutageOfOneReaderDelaysNoOtherDaemon(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		w.runner(plain, "a", "i-2", 0)
		time.Sleep(2 * time.Second)
		reader, ok := entry.Reader("a", w.daemons[0].Hub.Mesh.Members())
		require.True(t, ok)
		w.store.SetFault(standin.RowsFault{RejectedDaemons: map[string]bool{reader.Name: true}})
		time.Sleep(50 * time.Millisecond)
		w.store.Drop(platform.RunnerTable, "", "i-1")
		time.Sleep(50 * time.Millisecond)
		w.store.SetFault(standin.RowsFault{})
		time.Sleep(time.Second)
		before := len(r.Ran())
		for i, d := range w.daemons {
			if d.Self.Name == reader.Name {
				continue
			}
			for n := range 8 {
				w.ask(i, http.MethodPost, "/write/", fmt.Sprint("id-", i, "-", n))
			}
		}
		assert.Len(t, r.Ran(), before, "its entry was removed while only the reader was refused")
	})
}
