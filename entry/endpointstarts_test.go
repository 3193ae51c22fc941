// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// startStep is a change of an endpoint or its entry, and the time until the next one.
type startStep struct {
	event string
	wait  time.Duration
}

// propagationTime is the time until all daemons have seen a change of an entry: the hold time of a feed and
// two rounds of queries.
const propagationTime = 1200 * time.Millisecond

var startSteps = []string{"starts again", "is entered by an earlier start", "is gone", "cannot be read", "leaves"}

func drawSteps(t *rapid.T) (out []startStep) {
	for range rapid.IntRange(1, 7).Draw(t, "steps") {
		out = append(out, startStep{
			rapid.SampledFrom(startSteps).Draw(t, "what"), time.Duration(rapid.IntRange(0, 1800).Draw(t, "wait")) * time.Millisecond,
		})
	}
	return out
}

// applySteps takes one endpoint through some steps. It returns the start that requests must use, nil for
// none.
func (w *world) applySteps(steps []startStep) (used *standin.Runner) {
	var starts []*standin.Runner
	var began time.Time // when the newest start began
	put := func(r *standin.Runner, state string) {
		w.store.Put(platform.RunnerTable, "", "i-1", r.Entry(plain, "a", state))
	}
	begin := func() {
		r, err := standin.NewRunner(w.net, runnerHost+"0", "i-1", 0, 20*time.Millisecond)
		require.NoError(w.t, err)
		r.Born = time.Now().UnixMilli() + int64(len(starts)) // two starts may begin at the same virtual time
		w.runners, starts, used, began = append(w.runners, r), append(starts, r), r, time.Now()
		put(r, "ready")
	}
	begin()
	for _, s := range steps {
		switch s.event {
		case "starts again":
			begin()
		case "is entered by an earlier start":
			// Only once all daemons have seen the newer start. Before that, a daemon may know the earlier
			// start alone, and the store names just that one.
			if used != nil && time.Since(began) >= propagationTime {
				put(starts[0], "ready")
			}
		case "is gone":
			w.store.Drop(platform.RunnerTable, "", "i-1")
			used = nil
		case "cannot be read":
			w.store.Put(platform.RunnerTable, "", "i-1", []byte(`{"born":"now"}`))
			used = nil
		case "leaves":
			if used != nil {
				put(used, "draining")
				used = nil
			}
		}
		time.Sleep(s.wait)
	}
	return used
}

// Whatever happens to an endpoint and its entry, and however little of it a daemon sees between two reads,
// requests run at the newest start only, or nowhere.
func TestOnlyTheNewestStartOfAnEndpointIsUsed(t *testing.T) {
	for _, daemons := range []int{3, 60} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			checks := 0
			rapid.Check(t, func(rt *rapid.T) {
				steps := drawSteps(rt)
				if checks++; checks > 50 || daemons > 3 && checks > 8 {
					return // a world takes 0.2 s, or 0.5 s with 60 daemons
				}
				inZones(t, daemons, []string{"a", "b", "c"}, func(w *world) {
					used := w.applySteps(steps)
					time.Sleep(2 * time.Second)
					before := w.ran()
					for i := range 6 {
						a := w.ask(i*daemons/6, http.MethodPost, "/write/", fmt.Sprint("id-", i))
						if used != nil {
							assert.Equal(t, http.StatusOK, a.status, "%v", steps)
						}
					}
					if used == nil {
						assert.Equal(t, before, w.ran(), "%v", steps)
						return
					}
					assert.Len(t, used.Ran(), 6, "%v", steps)
				})
			})
		})
	}
}
