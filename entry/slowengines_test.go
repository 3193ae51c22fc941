// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
)

// All engines take longer to the first event than a request's target, as they do while a zone has been
// reclaimed. A resend then helps nobody and uses up the retry budget, so a request whose retry is denied
// must wait where it is.
func TestSlowEnginesDoNotExhaustRetries(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		for i := range 4 {
			w.runner(engines, "a", fmt.Sprint("i-", i), 2).SetFault(standin.RunnerFault{Slower: 40})
		}
		const count = 120
		for i, a := range all(count, func(i int) answer {
			return w.ask(i%2, http.MethodPost, "/explain/", fmt.Sprint("id-", i))
		}) {
			assert.Equal(t, http.StatusOK, a.status, "request %d", i)
			assert.NoError(t, a.err)
		}
		assert.Less(t, w.ran(), count+count/4, "requests with resends")
	})
}

// Half of the retry budget is reserved for streams that have begun, since those are lost without a retry
// when their endpoint ends.
func TestBegunStreamsHaveReservedRetries(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		r := w.runner(engines, "a", "i-0", 30)
		slow := []*standin.Runner{w.runner(engines, "a", "i-1", 2), w.runner(engines, "a", "i-2", 2)}
		for _, x := range slow {
			x.SetFault(standin.RunnerFault{Slower: 40})
		}
		for round := range 3 {
			all(60, func(i int) answer { return w.ask(0, http.MethodPost, "/explain/", fmt.Sprint("slow-", round, "-", i)) })
		}
		done := make(chan []answer)
		go func() {
			done <- all(30, func(i int) answer { return w.ask(0, http.MethodPost, "/explain/", fmt.Sprint("id-", i)) })
		}()
		time.Sleep(300 * time.Millisecond)
		for _, x := range slow {
			x.SetFault(standin.RunnerFault{})
		}
		w.store.Drop("servers", "", "i-0")
		r.Close()
		for i, a := range <-done {
			assert.NoError(t, a.err, "request %d", i)
		}
	})
}
