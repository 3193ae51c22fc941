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

// Changed settings must not change the limits of a running daemon. A restarted daemon uses only its own
// share of each limit until it knows the number of daemons, unless its settings say that the whole system
// starts. If that is read from the current settings instead of those at the start, a reload without it
// makes daemons that never read the other daemons' rows, because they had links by then, fall back to their
// own share: a quarter of all requests was refused as over the limit, with a Retry-After of minutes.
func TestAReloadKeepsLimits(t *testing.T) {
	inWorldOf(t, 24, func(w *world) {
		w.bootstrap = true
		w.store.SetFault(standin.RowsFault{ResponseDelay: slowStoreAnswers})
	}, func(w *world) {
		w.store.SetFault(standin.RowsFault{})
		w.runner(plain, "a", "i-1", 0)
		w.rate = 8000 // 40 plain requests a second
		w.put()
		time.Sleep(2 * time.Second)
		w.bootstrap = false
		for i, d := range w.daemons {
			d.Reload(w.site(d.Self.Name, i))
		}
		w.checkServedBelowLimit(120)
	})
}

// slowStoreAnswers holds daemons to which the store answers late while many daemons query it, so that by
// then the others have read their rows and have links to them.
var slowStoreAnswers = map[string]time.Duration{"daemon-3": time.Second, "daemon-4": time.Second, "daemon-5": time.Second}

// The same for daemons that restart beside others, and have links before the store answers them.
func TestARestartedDaemonUsesWholeLimits(t *testing.T) {
	inWorldOf(t, 24, func(w *world) { w.bootstrap = true }, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		w.rate = 8000
		w.put()
		w.bootstrap = false
		w.store.SetFault(standin.RowsFault{ResponseDelay: slowStoreAnswers})
		for i, d := range w.daemons[:12] {
			d.Kill()
			w.daemons[i] = w.startNamed(d.Self.Name, i)
			time.Sleep(500 * time.Millisecond)
		}
		w.store.SetFault(standin.RowsFault{})
		time.Sleep(4 * time.Second)
		w.checkServedBelowLimit(120)
	})
}

// checkServedBelowLimit sends requests at half of the team's limit to all daemons in turn, and checks that
// all are served.
func (w *world) checkServedBelowLimit(requests int) {
	for n := range requests {
		a := w.ask(n%len(w.daemons), http.MethodPost, "/write/", fmt.Sprint("id-", n))
		assert.Equal(w.t, http.StatusOK, a.status, "daemon %d: %s", n%len(w.daemons), a.body)
		time.Sleep(50 * time.Millisecond)
	}
}
