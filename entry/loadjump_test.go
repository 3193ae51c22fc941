// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What a limit may admit within a window, as the platform counts: the rate and one burst, a tenth more, and
// 0.35 s of the rate (140,000 tokens for 400,000 per second).
const (
	limitWindow  = 8 * time.Second
	limitOverage = 1.1
	limitSlack   = 0.35
)

// jumpLoad has a team send at half of its limit and then at a multiple of it, and returns when its requests
// were admitted.
func jumpLoad(t *testing.T, daemons, perSecond int, times float64) (admitted []time.Time) {
	inWorldOf(t, daemons, func(w *world) {
		w.bootstrap = true
		w.zones = []string{"a", "b", "c", "d", "e", "f"}
		w.rate = 200 * float64(perSecond)
	}, func(w *world) {
		for i := range 6 {
			w.runner(plain, w.zones[i], fmt.Sprint("i-", i), 0)
		}
		time.Sleep(2 * time.Second)
		var mu sync.Mutex
		began := time.Now()
		for n := 0; time.Since(began) < 14*time.Second; n++ {
			rate := 0.5
			if time.Since(began) > 3*time.Second {
				rate = times
			}
			time.Sleep(time.Duration(float64(time.Second) / rate / float64(perSecond)))
			go func() {
				if w.ask((7*n)%daemons, http.MethodPost, "/write/", fmt.Sprint("id-", n)).status == http.StatusOK {
					mu.Lock()
					admitted = append(admitted, time.Now())
					mu.Unlock()
				}
			}()
		}
		time.Sleep(time.Second)
	})
	return admitted
}

// A team whose load jumps to a multiple of its limit is admitted by all daemons until they know of each
// other's admissions, and again when each takes the excess for paid back. With reports every 0.45 s and a
// debt capped at four seconds of the rate, a team got 4.23 million tokens in 8 s where 3.94 million are
// allowed.
func TestALoadJumpStaysWithinTheLimit(t *testing.T) {
	const perSecond = 100
	allowed := (limitWindow.Seconds()+1)*perSecond*limitOverage + limitSlack*perSecond
	for _, times := range []float64{3, 6, 9} {
		admitted := jumpLoad(t, 60, perSecond, times)
		most, from := 0, 0
		for i, at := range admitted {
			for at.Sub(admitted[from]) > limitWindow {
				from++
			}
			most = max(most, i+1-from)
		}
		t.Logf("%.0f times: at most %d in a window, %.0f allowed; %d in total", times, most, allowed, len(admitted))
		assert.LessOrEqual(t, float64(most), allowed, "%.0f times the limit", times)
		assert.GreaterOrEqual(t, len(admitted), 12*perSecond, "%.0f times the limit: the team gets its full limit", times)
	}
}
