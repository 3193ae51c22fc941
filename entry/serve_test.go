// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// events returns the body of a complete stream.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

func TestARequestPassesUnaltered(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		a := w.ask(0, http.MethodPost, "/write/x%2Fy/?q=a%20b", "id-1", "X-Other", "kept", "Streambend-Tenant", "forged",
			"Connection", "X-Hop", "X-Hop", "dropped", "Streambend-Expected-Instance", "forged")
		require.NoError(t, a.err)
		assert.Equal(t, http.StatusOK, a.status)
		assert.Equal(t, "answer to id-1", a.body)
		assert.Equal(t, "signed by i-1", a.header.Get("Streambend-Server-Signature"))
		assert.Empty(t, a.header.Get("Date"), "the proxy adds nothing to an endpoint's answer that it need not")
		require.Len(t, r.Ran(), 1)
		ran := r.Ran()[0]
		assert.Equal(t, "/write/x%2Fy/?q=a%20b", ran.Target)
		assert.Equal(t, "body of id-1", ran.Body)
		assert.Equal(t, team, ran.Header.Get("Streambend-Tenant"))
		assert.Equal(t, "i-1", ran.Header.Get("Streambend-Expected-Instance"))
		assert.Equal(t, "kept", ran.Header.Get("X-Other"))
		assert.Empty(t, ran.Header.Get("X-Hop"))
		assert.Empty(t, ran.Header.Get("Api-Key"))
		assert.Empty(t, ran.Header.Get("Accept-Encoding"))
	})
}

func TestGeneratedErrorAnswers(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		assert.Equal(t, http.StatusNotFound, w.ask(0, http.MethodPost, "/none/", "id-1").status)
		assert.Equal(t, http.StatusUnauthorized, w.ask(0, http.MethodPost, "/write/", "id-2", "Api-Key", "wrong").status)
		none := w.ask(0, http.MethodPost, "/write/", "id-3")
		assert.Equal(t, http.StatusServiceUnavailable, none.status, "no endpoint")
		assert.NotEmpty(t, none.header.Get("Retry-After"))
		assert.Empty(t, none.header.Get("Streambend-Server-Signature"))
		large := w.ask(0, http.MethodPost, "/write/", "id-4", "X-Fill", "")
		assert.Equal(t, http.StatusServiceUnavailable, large.status)
	})
}

func TestRequestsAreUnavailableBeforeTheFirstConfiguration(t *testing.T) {
	inWorld(t, 0, func(w *world) {
		w.store.SetFault(standin.RowsFault{Busy: true})
		w.start()
		time.Sleep(time.Second)
		a := w.ask(0, http.MethodPost, "/none/", "id-1")
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		assert.NotEmpty(t, a.header.Get("Retry-After"))
		assert.False(t, w.ready(0))
	})
}

func TestAnUnsafeRequestRunsOnce(t *testing.T) {
	for name, f := range map[string]standin.RunnerFault{
		"cut": {CutAnswer: true}, "other id": {OtherID: true}, "failed": {Fail: true},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, func(w *world) {
				r1, r2 := w.runner(plain, "a", "i-1", 0), w.runner(plain, "b", "i-2", 0)
				r1.SetFault(f)
				r2.SetFault(f)
				a := w.ask(0, http.MethodPost, "/write/", "id-1")
				assert.Len(t, append(r1.Ran(), r2.Ran()...), 1)
				assert.GreaterOrEqual(t, a.status, 500)
				assert.NotEqual(t, http.StatusServiceUnavailable, a.status, "the request has run")
				assert.Equal(t, name == "failed", a.header.Get("Streambend-Server-Signature") != "")
			})
		})
	}
}

func TestARequestThatDidNotRunGoesElsewhere(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r1, r2 := w.runner(plain, "a", "i-1", 0), w.runner(plain, "b", "i-2", 0)
		r1.SetFault(standin.RunnerFault{NotRun: true})
		for i := range 10 {
			a := w.ask(0, http.MethodPost, "/write/", fmt.Sprint("id-", i))
			assert.Equal(t, http.StatusOK, a.status)
		}
		assert.Empty(t, r1.Ran())
		assert.Len(t, r2.Ran(), 10)
		r2.SetFault(standin.RunnerFault{NotRun: true})
		a := w.ask(0, http.MethodPost, "/write/", "id-last")
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
	})
}

func TestASafeRequestIsRetried(t *testing.T) {
	for name, f := range map[string]standin.RunnerFault{
		"cut": {CutAnswer: true}, "other id": {OtherID: true}, "failed": {Fail: true},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, func(w *world) {
				r1, r2 := w.runner(plain, "a", "i-1", 0), w.runner(plain, "b", "i-2", 0)
				r1.SetFault(f)
				for i := range 4 {
					a := w.ask(0, http.MethodGet, "/read/", fmt.Sprint("id-", i))
					assert.Equal(t, http.StatusOK, a.status)
					assert.Equal(t, fmt.Sprint("answer to id-", i), a.body)
				}
				assert.Len(t, r2.Ran(), 4)
				r2.SetFault(f)
				before := len(r1.Ran()) + len(r2.Ran())
				a := w.ask(0, http.MethodGet, "/read/", "id-last")
				assert.GreaterOrEqual(t, a.status, 500)
				assert.Equal(t, 2, len(r1.Ran())+len(r2.Ran())-before, "two attempts and no more")
			})
		})
	}
}

func TestAnAnswerWithoutALengthIsWholeAtItsCleanEnd(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.runner(plain, "a", "i-1", 0).SetFault(standin.RunnerFault{NoLength: true})
		a := w.ask(0, http.MethodPost, "/write/", "id-1")
		require.NoError(t, a.err)
		assert.Equal(t, "answer to id-1", a.body)
	})
}

func TestAStreamIsPassedOnWhole(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.runner(engines, "a", "i-1", 12)
		a := w.ask(0, http.MethodPost, "/digest/", "id-1", "Streambend-Token-Counts", "500,60", "Streambend-Prompt-Prefix", "a1:300,b2:200")
		require.NoError(t, a.err)
		assert.Equal(t, events(12), a.body)
	})
}

func TestAResumableStreamResumesElsewhere(t *testing.T) {
	for name, f := range map[string]standin.RunnerFault{
		"between events": {CutAfter: 3}, "within an event": {CutAfter: 3, CutEvent: true}, "before the first": {NoResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, func(w *world) {
				w.runner(engines, "a", "i-1", 8).SetFault(f)
				a := w.ask(0, http.MethodPost, "/explain/", "id-0")
				assert.True(t, a.err != nil || a.status >= 500, "no other endpoint to resume at")
				w.runner(engines, "a", "i-2", 8)
				for i := range 6 {
					a := w.ask(0, http.MethodPost, "/explain/", fmt.Sprint("id-", i+1))
					require.NoError(t, a.err)
					assert.Equal(t, events(8), a.body)
				}
			})
		})
	}
}

func TestABrokenStreamEndsWithAnError(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r1, r2 := w.runner(engines, "a", "i-1", 8), w.runner(engines, "a", "i-2", 8)
		r1.SetFault(standin.RunnerFault{CutAfter: 3, CutEvent: true})
		r2.SetFault(standin.RunnerFault{CutAfter: 3, CutEvent: true})
		a := w.ask(0, http.MethodPost, "/digest/", "id-1")
		assert.Error(t, a.err)
		assert.Equal(t, events(3), a.body)
		assert.Len(t, append(r1.Ran(), r2.Ran()...), 1)
	})
}

func TestADisconnectedCallerIsCancelledAtTheEndpoint(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r := w.runner(engines, "a", "i-1", 1000)
		w.client.Timeout = 300 * time.Millisecond
		a := w.ask(0, http.MethodPost, "/digest/", "id-1")
		assert.Error(t, a.err)
		time.Sleep(200 * time.Millisecond)
		require.Len(t, r.Ran(), 1)
		assert.True(t, r.Ran()[0].Left)
	})
}

func TestTheRouteTimeoutApplies(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.routes[2]["timeout_ms"] = 700
		w.put()
		time.Sleep(time.Second)
		r := w.runner(plain, "a", "i-1", 0)
		r.SetFault(standin.RunnerFault{NoResponse: true})
		began := time.Now()
		a := w.ask(0, http.MethodPost, "/write/", "id-1")
		assert.GreaterOrEqual(t, a.status, 500)
		assert.NotEqual(t, http.StatusServiceUnavailable, a.status)
		assert.InDelta(t, 0.7, time.Since(began).Seconds(), 0.1)
		assert.LessOrEqual(t, r.Ran()[0].Header.Get("Streambend-Deadline-Milliseconds"), "700")
	})
}

func TestNoNewWorkGoesToALeavingEndpoint(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		r1 := w.runner(plain, "a", "i-1", 0)
		w.runner(plain, "a", "i-2", 0)
		w.store.Put(platform.RunnerTable, "", "i-1", r1.Entry(plain, "a", "draining"))
		time.Sleep(500 * time.Millisecond) // the change reaches the zone's reader, then the others
		for i := range 10 {
			assert.Equal(t, http.StatusOK, w.ask(i%2, http.MethodPost, "/write/", fmt.Sprint("id-", i)).status)
		}
		assert.Empty(t, r1.Ran())
	})
}

func TestTheModelErrorIsExported(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.runner(engines, "a", "i-1", 3)
		require.NoError(t, w.ask(0, http.MethodPost, "/digest/", "id-1", "Streambend-Prompt-Prefix", "a1:300,b2:50").err)
		resp, err := w.client.Get("http://10.0.0.0:82/metrics")
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Regexp(t, `answers.first_off_ms\n\s+count:\s+1\n`, string(text))
	})
}
