// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Endpoints that have ended stay listed until their entries expire, and refuse connections meanwhile. A
// request that meets several of them, one after the other, reached none, so that no limit of attempts
// applies. When such attempts counted, it was refused with 1104 although endpoints were alive.
func TestARequestPassesEndpointsThatRefuseConnections(t *testing.T) {
	for _, path := range []string{"/explain/", "/digest/", "/write/", "/read/"} {
		inWorld(t, 3, func(w *world) {
			for i := range 9 {
				w.runner(engines, "a", fmt.Sprint("e-", i), 2)
				w.runner(plain, "a", fmt.Sprint("p-", i), 0)
			}
			for _, r := range w.runners[:16] {
				r.Close()
			}
			for i := range 3 {
				a := w.ask(i, http.MethodPost, path, fmt.Sprint("id-", i))
				assert.Equal(t, http.StatusOK, a.status, "%s at daemon %d: %s", path, i, a.body)
			}
		})
	}
}

// While no endpoint can be reached, a request must not dial all of them, one after the other, until its deadline.
func TestARequestDialsFewEndpointsWhileAllRefuseConnections(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		for i := range 200 {
			w.runner(plain, "a", fmt.Sprint("p-", i), 0).Close()
		}
		w.dials.Store(0)
		began := time.Now()
		a := w.ask(0, http.MethodPost, "/write/", "id")
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		assert.Less(t, float64(w.dials.Load())/time.Since(began).Seconds(), 40.0, "dials a second")
	})
}
