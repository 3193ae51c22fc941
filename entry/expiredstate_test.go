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

// These tests guard against state that is checked at one step and used at a later one, or after it has
// expired.

// The holder of the lease stores a report before it sends it. A planned stop in between releases the lease,
// so that another daemon may act; the report must not be sent then.
func TestAStoppingHolderSendsNothingUnderAReleasedLease(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		time.Sleep(12 * time.Second)
		calls := w.api.Calls("/usage")
		holder := calls[len(calls)-1].Holder
		w.store.SetFault(standin.RowsFault{Delay: 600 * time.Millisecond})
		// A report is begun 1.8 to 2.05 s after its window, and then stored.
		const window = 5 * time.Second
		time.Sleep(time.Until(time.Now().Truncate(window).Add(window + 2200*time.Millisecond)))
		before := w.callsOf(holder)
		for _, d := range w.daemons {
			if d.Self.Name == holder {
				d.Stop(w.t.Context())
			}
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, before, w.callsOf(holder))
	})
}

// callsOf returns the number of cloud API calls of a daemon.
func (w *world) callsOf(daemon string) (n int) {
	for _, path := range []string{"/usage", "/scale"} {
		for _, c := range w.api.Calls(path) {
			if c.Holder == daemon {
				n++
			}
		}
	}
	return n
}

// Daemons share the retry budget of a service. A daemon that is cut off takes the others for dead, but they
// still use their shares, so it must not use more than its own.
func TestAnIsolatedDaemonKeepsToItsRetryShare(t *testing.T) {
	inWorldOf(t, 4, withLinks, func(w *world) {
		for n := range 40 { // enough that none is ejected for its failures
			w.runner(plain, "a", fmt.Sprint("i-", n), 0)
		}
		w.links["daemon-0"].Cut(peerPort)
		time.Sleep(8 * time.Second)
		for _, r := range w.runners {
			r.SetFault(standin.RunnerFault{Fail: true})
		}
		const asked = 40
		for n := range asked {
			a := w.ask(0, http.MethodGet, "/read/", fmt.Sprint("id-", n))
			assert.NotEqual(t, http.StatusOK, a.status)
		}
		ran := 0
		for _, r := range w.runners {
			ran += len(r.Ran())
		}
		assert.Positive(t, ran)
		// A fifth of the requests, plus a quarter of 0.6 of the slack of 56.
		assert.LessOrEqual(t, ran, asked+asked/5+9)
	})
}
