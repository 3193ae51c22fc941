// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/conn"
	"streambend.example/entry"
)

// readers returns the zones' readers.
func (w *world) readers() (out []*entry.Daemon) {
	for _, d := range w.daemons {
		if r, _ := entry.Reader(d.Self.Zone, d.Hub.Mesh.Members()); r.Name == d.Self.Name {
			out = append(out, d)
		}
	}
	return out
}

// sentBy returns the bytes that daemons have sent, by kind of frame.
func sentBy(daemons []*entry.Daemon) (out [conn.FrameKinds]int64) {
	for _, d := range daemons {
		for k, n := range d.Hub.Traffic().Sent {
			out[k] += n
		}
	}
	return out
}

// The traffic of tallies between readers must grow with what was counted since the last exchange, not with
// the number of daemons and teams.
func TestReadersSendOnlyChangedTallies(t *testing.T) {
	const daemons, teams, seconds = 60, 40, 10
	inWorldOf(t, daemons, func(w *world) {
		w.zones = []string{"a", "b", "c", "d", "e", "f"}
		for i := range teams {
			w.extraTeams = append(w.extraTeams, fmt.Sprint("team-", i))
		}
	}, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		ask := func(n int) {
			w.ask(n%daemons, http.MethodPost, "/write/", fmt.Sprint("id-", n), "Api-Key", "key of "+w.extraTeams[(n+n/daemons)%teams])
		}
		for n := range daemons * teams { // afterwards each daemon has counted for each team
			go ask(n)
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		readers := w.readers()
		before := sentBy(readers)
		for n := range daemons * seconds * 3 { // three per second and daemon
			go ask(n)
			time.Sleep(time.Second / (daemons * 3))
		}
		after := sentBy(readers)
		got := make(map[string]int64)
		for k := range after {
			got[conn.FrameKind(k).String()] = (after[k] - before[k]) / int64(len(readers)*seconds)
		}
		t.Logf("bytes per second and reader: %v", got)
		// Whole tallies took 162 KB. Most of the other traffic goes to the daemons of the reader's zone.
		assert.Less(t, got["question"]+got["answer"], int64(30e3))
	})
}
