// SPDX-License-Identifier: MIT

package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A daemon that stops read the whole body of a request before it refused it, though the header told that it could not end.
func TestAStoppingDaemonRefusesARequestWhoseBodyIsStillBeingSent(t *testing.T) {
	for _, begun := range []time.Duration{-time.Second, 600 * time.Millisecond} { // after the stop
		inWorldOf(t, 1, func(w *world) {
			w.routes = append(w.routes, w.route("/long/", "streaming", engines, map[string]any{"attempts": 1, "timeout_ms": 15000}))
		}, func(w *world) {
			w.runner(engines, "a", "e-0", 5)
			for i := range 30 {
				a := w.ask(0, http.MethodPost, "/long/", fmt.Sprint("before-", i), "Streambend-Token-Counts", "110,25")
				require.Equal(w.t, http.StatusOK, a.status)
			}
			// A connection that is open before the stop takes requests until the balancer has noticed it.
			c, err := w.net.Dial(w.t.Context(), "tcp", "10.0.0.0:80")
			require.NoError(w.t, err)
			defer c.Close()
			const size = 24
			send := func() {
				fmt.Fprintf(c, "POST /long/ HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nApi-Key: %s\r\nStreambend-Request-Id: long\r\n"+
					"Streambend-Token-Counts: 110,2000\r\nStreambend-Deadline-Milliseconds: 15000\r\n\r\n", host, size, key)
			}
			if begun < 0 {
				send()
				time.Sleep(-begun)
			}
			stopped := time.Now()
			go w.daemons[0].Stop(w.t.Context())
			time.Sleep(max(begun, 0))
			if begun > 0 {
				send()
			}
			go func() {
				for range size {
					time.Sleep(200 * time.Millisecond)
					fmt.Fprint(c, "x") // fails once it is refused
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(w.t, err)
			assert.Equal(w.t, http.StatusServiceUnavailable, resp.StatusCode)
			assert.Less(w.t, time.Since(stopped)-max(begun, 0), 500*time.Millisecond)
			time.Sleep(10 * time.Second)
		})
	}
}
