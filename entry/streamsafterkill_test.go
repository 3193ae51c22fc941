// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// restartAll kills all daemons at once and starts them again after a pause.
func (w *world) restartAll(pause time.Duration) {
	for i := range w.daemons {
		w.kill(i)
	}
	time.Sleep(pause)
	for i := range w.daemons {
		w.daemons[i] = w.startNamed(w.daemons[i].Self.Name, i)
	}
}

// dropVersion takes the entries of a version's engines away; the engines serve on.
func (w *world) dropVersion(version string) {
	for _, r := range w.runners {
		if r.Version == version {
			w.store.Drop(platform.RunnerTable, "", r.Instance)
		}
	}
}

// spread returns the header after a pause of up to two seconds, so that attempts come to daemons that have just started and to
// such that run for a while.
func spread(header func(string) []string) func(string) []string {
	return func(first string) []string {
		time.Sleep(rand.N(2 * time.Second))
		return header(first)
	}
}

// nameless returns the header of callers that name no stream.
func nameless(string) []string { return nil }

// Guards against streams that daemons which know nothing of them go on with at another version, whatever becomes of the
// versions as all daemons are killed at once.
func TestStreamsAreNotMixedAfterAllDaemonsWereKilled(t *testing.T) {
	const events = 120 // 2.4 s
	secondAt := func(w *world) { w.engineVersions("v2", 6, events) }
	noStore := func(w *world) {
		w.store.SetFault(standin.RowsFault{RejectedDaemons: allDaemons(w), RejectStatus: http.StatusServiceUnavailable})
	}
	for name, c := range map[string]struct {
		both   bool // both versions serve from the beginning
		resume func(string) []string
		before func(w *world) // some time before the kill
		gap    time.Duration  // from then until the kill
		down   func(w *world) // while the daemons are down
		after  func(w *world) // some time after they have started again
	}{
		"both serve":                              {both: true},
		"the second version has just come":        {before: secondAt, gap: 50 * time.Millisecond},
		"the second version settles":              {before: secondAt, gap: 700 * time.Millisecond},
		"the second version has just settled":     {before: secondAt, gap: 1250 * time.Millisecond},
		"the second version comes meanwhile":      {down: secondAt},
		"the first version has just left":         {both: true, before: func(w *world) { w.dropVersion("v1") }, gap: 50 * time.Millisecond},
		"the first version leaves meanwhile":      {both: true, down: func(w *world) { w.dropVersion("v1") }},
		"the first version leaves soon after":     {both: true, after: func(w *world) { w.dropVersion("v1") }},
		"one version replaces the other":          {down: func(w *world) { w.dropVersion("v1"); secondAt(w) }},
		"callers name no stream":                  {both: true, resume: nameless},
		"they name none, and v1 has left":         {both: true, resume: nameless, down: func(w *world) { w.dropVersion("v1") }},
		"the store fails":                         {both: true, before: noStore, gap: 300 * time.Millisecond, after: func(w *world) { w.store.SetFault(standin.RowsFault{}) }},
		"the store fails and v1 leaves":           {both: true, before: noStore, down: func(w *world) { w.dropVersion("v1") }, after: func(w *world) { w.store.SetFault(standin.RowsFault{}) }},
		"the settings still say bootstrap":        {both: true, down: func(w *world) { w.bootstrap = true }},
		"they say so, and the first version left": {both: true, down: func(w *world) { w.bootstrap = true; w.dropVersion("v1") }},
		"they say so, and it is replaced":         {down: func(w *world) { w.bootstrap = true; w.dropVersion("v1"); secondAt(w) }},
	} {
		t.Run(name, func(t *testing.T) {
			inWorldOf(t, 6, func(w *world) {
				w.zones = []string{"a", "b", "c"}
				w.engineVersions("v1", 6, events)
				if c.both {
					w.engineVersions("v2", 6, events)
				}
			}, func(w *world) {
				if c.resume == nil {
					c.resume = named
				}
				do := func(f func(w *world)) {
					if f != nil {
						f(w)
					}
				}
				time.Sleep(18 * time.Second) // longer than a stream can be taken up
				wait := w.streams("s", 80, events, c.gap+time.Second, spread(c.resume))
				time.Sleep(600 * time.Millisecond)
				do(c.before)
				time.Sleep(c.gap)
				go func() {
					time.Sleep(100 * time.Millisecond)
					do(c.down)
				}()
				w.restartAll(600 * time.Millisecond)
				time.Sleep(300 * time.Millisecond)
				do(c.after)
				results := wait()
				n := countTakeUps(results)
				why := make(map[string]int)
				for _, s := range results {
					if s.refusal != "" {
						why[s.refusal[:min(len(s.refusal), 60)]]++
					}
				}
				t.Logf("%+v %v", n, why)
				assert.Zero(t, n.mixed)
				assert.Positive(t, n.taken)
			})
		})
	}
}

// Guards against streams that end with all daemons, though the version that began them is still there. Those that began less
// than a write of the records before may be lost.
func TestStreamsGoOnAfterAllDaemonsWereKilled(t *testing.T) {
	for _, c := range []struct {
		daemons  int
		settled  time.Duration // since the last stream began
		outage   bool          // of the store, as the daemons start
		refusals float64       // most
	}{{3, 600 * time.Millisecond, false, 0.1}, {9, 600 * time.Millisecond, false, 0.1}, {40, 1100 * time.Millisecond, false, 0.1}, {9, 600 * time.Millisecond, true, 1}} {
		t.Run(fmt.Sprintf("%d daemons, outage %t", c.daemons, c.outage), func(t *testing.T) {
			inVersions(t, c.daemons, 150, func(w *world) {
				wait := w.streams("s", 90, 150, time.Second, spread(named))
				time.Sleep(time.Second + c.settled)
				for i := range w.daemons {
					w.kill(i)
				}
				time.Sleep(600 * time.Millisecond)
				before := w.store.Calls("/streambend/rows-get streambend-streams")
				if c.outage {
					w.store.SetFault(standin.RowsFault{Busy: true})
				}
				for i := range w.daemons {
					w.daemons[i] = w.startNamed(w.daemons[i].Self.Name, i)
				}
				if c.outage {
					time.Sleep(time.Second)
					w.store.SetFault(standin.RowsFault{})
				}
				n := countTakeUps(wait())
				t.Logf("%+v, %d reads, %d rows written", n, w.store.Calls("/streambend/rows-get streambend-streams")-before, w.counterSum("streams.rows_written"))
				assert.Zero(t, n.mixed)
				assert.Positive(t, n.wentOn)
				assert.LessOrEqual(t, float64(n.refused), c.refusals*float64(n.taken))
			})
		})
	}
}

// allDaemons returns the names of all daemons.
func allDaemons(w *world) map[string]bool {
	names := make(map[string]bool)
	for _, d := range w.daemons {
		names[d.Self.Name] = true
	}
	return names
}

// Guards against a daemon that was cut off while all others were killed, and goes on with streams by its old list.
func TestADaemonWithAnOldListMixesNoStreamAfterTheOthersWereKilled(t *testing.T) {
	for _, healAfter := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
		inWorldOf(t, 6, func(w *world) {
			w.zones = []string{"a", "b", "c"}
			w.engineVersions("v1", 6, 120)
		}, func(w *world) {
			time.Sleep(18 * time.Second)
			alone := map[string]bool{w.daemons[5].Self.Name: true}
			w.partition.Store(&alone)
			w.store.SetFault(standin.RowsFault{RejectedDaemons: alone, RejectStatus: http.StatusServiceUnavailable})
			w.dropVersion("v1")
			w.engineVersions("v2", 6, 120)
			time.Sleep(1500 * time.Millisecond)
			wait := w.streams("s", 80, 120, time.Second, spread(named))
			time.Sleep(time.Second)
			for i := range 5 {
				w.kill(i)
			}
			time.Sleep(healAfter)
			w.partition.Store(nil)
			w.store.SetFault(standin.RowsFault{})
			for i := range 5 {
				w.daemons[i] = w.startNamed(w.daemons[i].Self.Name, i)
			}
			n := countTakeUps(wait())
			t.Logf("healed after %s: %+v", healAfter, n)
			assert.Zero(t, n.mixed)
			assert.Positive(t, n.taken)
		})
	}
}
