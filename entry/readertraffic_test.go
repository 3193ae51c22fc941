// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/entry"
)

// Readers exchange the tallies of their own zones' daemons. If each also forwarded what it received from
// other readers, every count would circulate up to five times among six readers.
func TestReadersForwardOnlyTheirOwnZonesTallies(t *testing.T) {
	const daemons, seconds = 60, 10
	zones := []string{"a", "b", "c", "d", "e", "f"}
	inWorldOf(t, daemons, func(w *world) { w.zones = zones }, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		time.Sleep(time.Second)
		sent := func() (n int64) {
			for _, zone := range zones {
				r, _ := entry.Reader(zone, w.daemons[0].Hub.Mesh.Members())
				for _, d := range w.daemons {
					if d.Self.Name == r.Name {
						n += d.Hub.Traffic().SentBytes
					}
				}
			}
			return n
		}
		before := sent()
		for n := range daemons * seconds * 3 { // three per second and daemon
			go w.ask(n%daemons, http.MethodPost, "/write/", fmt.Sprint("id-", n))
			time.Sleep(time.Second / (daemons * 3))
		}
		got := float64(sent()-before) / float64(len(zones)*seconds)
		t.Logf("%.0f bytes per second and reader", got)
		// 12 to 14 KB, and 36 KB if readers also forward what other readers sent.
		assert.Less(t, got, 20e3)
	})
}

// Two readers without a link to each other receive the tallies of each other's zones from the third.
func TestUnconnectedReadersKeepALimit(t *testing.T) {
	inWorldOf(t, 15, func(w *world) {
		withLinks(w)
		w.zones = []string{"a", "b", "c"}
		w.strongBoxes = 3
	}, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		a, b := w.daemons[0].Self, w.daemons[1].Self // the readers of two zones
		w.links[a.Name].Cut(b.Address)
		w.links[b.Name].Cut(a.Address)
		w.rate = 4000 // 20 plain requests a second
		w.put()
		time.Sleep(2 * time.Second)
		const span = 10 * time.Second
		ok := 0
		for n, began := 0, time.Now(); time.Since(began) < span; n++ {
			daemon := n % len(w.daemons)
			if w.zones[daemon%3] != "c" && w.ask(daemon, http.MethodPost, "/write/", fmt.Sprint("id-", n)).status == http.StatusOK {
				ok++
			}
			time.Sleep(5 * time.Millisecond)
		}
		allowed := 4000.0 * (span.Seconds() + 1) / 200
		t.Logf("%d served, %.0f allowed", ok, allowed)
		assert.InDelta(t, allowed, ok, 0.2*allowed)
	})
}
