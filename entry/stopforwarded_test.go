// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A planned stop cut the requests that the daemon had taken over from others.
func TestAPlannedStopEndsWhatItHasTakenOver(t *testing.T) {
	inZones(t, 3, []string{"a", "b", "c"}, func(w *world) {
		w.runner(engines, "a", "e-0", 200) // 4 s a stream
		w.runner(plain, "a", "p-0", 0)
		time.Sleep(time.Second)
		w.cutEndpoints(cutReset, map[int]bool{0: true})
		w.demand([]int{0}, 20, time.Second, w.askPlain) // until the path is known to be lost
		got := make(chan answer, 1)
		go func() {
			got <- w.ask(0, http.MethodPost, "/digest/", "long", "Streambend-Token-Counts", "110,10", "Streambend-Prompt-Prefix", fmt.Sprintf("%x:50,%x:60", 7919, 104729))
		}()
		time.Sleep(time.Second)
		stopped := 0
		for _, d := range w.daemons[1:] {
			if d.Server.Active() > 0 {
				stopped++
				go d.Stop(w.t.Context())
			}
		}
		require.Equal(t, 1, stopped, "one has taken the request over")
		a := <-got
		assert.Equal(t, http.StatusOK, a.status)
		assert.NoError(t, a.err)
		assert.Equal(t, 200, strings.Count(a.body, "id: "))
		time.Sleep(5 * time.Second)
	})
}
