// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
)

// Bounds the traffic by which daemons share the pauses that endpoints request: 60 daemons with 24 engines
// that all refuse requests and ask for a pause of one second. Beyond the usual traffic this takes 1,630
// bytes a second and daemon by way of the zones' readers, and 37,550 if sent to all over all links. The
// bound is 2 KB a second.
func TestSharingPausesTakesLittleTraffic(t *testing.T) {
	const daemons, span = 60, 6 * time.Second
	sent := func(f standin.RunnerFault) (perSecond float64) {
		inZones(t, daemons, []string{"a", "b", "c"}, func(w *world) {
			for i := range 24 {
				w.runner(engines, w.zones[i%3], fmt.Sprint("i-", i), 2).SetFault(f)
			}
			time.Sleep(3 * time.Second)
			total := func() (n int64) {
				for _, d := range w.daemons {
					n += d.Hub.Traffic().SentBytes
				}
				return n
			}
			before := total()
			w.demand(upTo(daemons), 120, span, w.askStreamTagged)
			perSecond = float64(total()-before) / span.Seconds() / daemons
		})
		return perSecond
	}
	usual, resting := sent(standin.RunnerFault{}), sent(standin.RunnerFault{NotRun: true, Rest: "1"})
	t.Logf("%.0f bytes per second and daemon as usual, %.0f while all engines pause repeatedly", usual, resting)
	assert.Less(t, resting-usual, 2000.0)
}
