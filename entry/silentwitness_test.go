// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A daemon that lost the path to all endpoints, and gets no answer from the others in time, took these endpoints for
// ended and told all daemons so.
func TestSilentDaemonsDoNotAttestThatEndpointsEnded(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		for i := range 3 {
			w.runner(engines, "a", fmt.Sprint("i-", i), 100)
		}
		time.Sleep(time.Second)
		go w.demand([]int{0}, 60, 200*time.Millisecond, w.askStream)
		time.Sleep(300 * time.Millisecond)
		cut := w.daemons[0]
		w.lateLinks.Store(&map[string]bool{cut.Self.Name: true})
		w.endpointCuts.set(cut.Self.Name, cutReset)
		time.Sleep(2 * time.Second)
		assert.Zero(t, cut.Server.Holds.Ended.Load())
	})
}
