// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
)

// requestsDuringPauses returns the maximum number of requests of one daemon that reached a runner during one
// pause that an answer of it had requested from that daemon, from pauseGrace after the answer to the end of
// the pause.
func requestsDuringPauses(r *standin.Runner) (most int) {
	all := r.Arrivals()
	for i, asked := range all {
		rest, err := time.ParseDuration(asked.Rest + "s")
		if err != nil {
			continue
		}
		daemon, _, _ := strings.Cut(asked.ID, "-")
		n := 0
		for _, later := range all[i+1:] {
			d := later.At.Sub(asked.At)
			if strings.HasPrefix(later.ID, daemon+"-") && d > pauseGrace && d < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Endpoints ask for pauses that overlap: some ask for one, then all do for another, at a load that no other
// endpoint can take over. A daemon must send nothing during any of them.
func TestOverlappingPausesAreRespected(t *testing.T) {
	every := [][2]string{{"2.5", "3"}, {"0.6", "1"}, {"5", "0.6"}}
	for daemons, pauses := range map[int][][2]string{3: every, 4: every, 9: every, 60: every[:1]} {
		for _, rests := range pauses {
			inZones(t, daemons, []string{"a", "b", "c"}, func(w *world) {
				for i := range 12 {
					w.runner(engines, w.zones[i%3], fmt.Sprint("i-", i), 2)
				}
				time.Sleep(2 * time.Second)
				w.demand(upTo(daemons), 160, time.Second, w.askStreamTagged)
				for _, r := range w.runners[:4] {
					r.SetFault(standin.RunnerFault{NotRun: true, Rest: rests[0]})
				}
				w.demand(upTo(daemons), 160, 2*time.Second, w.askStreamTagged)
				for _, r := range w.runners {
					r.SetFault(standin.RunnerFault{NotRun: true, Rest: rests[1]})
				}
				w.demand(upTo(daemons), 160, 5*time.Second, w.askStreamTagged)
				for _, r := range w.runners {
					assert.Zero(t, requestsDuringPauses(r), "%d daemons, pauses of %v s, %s", daemons, rests, r.Instance)
				}
			})
		}
	}
}
