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
	"streambend.example/internal/standin"
	"streambend.example/outage"
	"streambend.example/platform"
)

// storeCalls returns the number of reads and writes of the store.
func (w *world) storeCalls() int {
	n := 0
	for _, call := range []string{"feed", "get", "parts", "tx"} {
		n += w.store.Calls("/streambend/rows-" + call)
	}
	return n
}

func TestManyDaemonsDoNotOverloadAFailedStore(t *testing.T) {
	inZones(t, 24, []string{"a", "b", "c", "d"}, func(w *world) {
		w.runner(plain, "a", "i-1", 0)
		time.Sleep(3 * time.Second)
		before := w.storeCalls()
		w.store.SetFault(standin.RowsFault{Busy: true})
		time.Sleep(4500 * time.Millisecond)
		w.store.SetFault(standin.RowsFault{})
		assert.Less(t, w.storeCalls()-before, 450, "the readers retry, the others probe now and then")
		time.Sleep(1200 * time.Millisecond)
		for i := range w.daemons {
			assert.Equal(t, http.StatusOK, w.ask(i, http.MethodPost, "/write/", fmt.Sprint("id-", i)).status, "daemon %d has recovered", i)
		}
	})
}

func TestAllDaemonsKeepExpiredEntriesThroughAnOutage(t *testing.T) {
	inZones(t, 24, []string{"a", "b", "c", "d"}, func(w *world) {
		r := w.runner(plain, "a", "i-1", 0)
		time.Sleep(3 * time.Second)
		w.store.SetFault(standin.RowsFault{NoResponse: true})
		time.Sleep(4200 * time.Millisecond)
		w.store.Drop(platform.RunnerTable, "", "i-1")
		w.store.SetFault(standin.RowsFault{})
		time.Sleep(1500 * time.Millisecond)
		for i := range w.daemons {
			assert.Equal(t, http.StatusOK, w.ask(i, http.MethodPost, "/write/", fmt.Sprint("id-", i)).status, "daemon %d", i)
		}
		assert.Len(t, r.Ran(), len(w.daemons))
	})
}

func TestAnotherZonesReaderIsTheFallback(t *testing.T) {
	inZones(t, 24, []string{"a", "b", "c", "d"}, func(w *world) {
		time.Sleep(3 * time.Second)
		reader, _ := entry.Reader("a", w.daemons[0].Hub.Mesh.Members())
		w.store.SetFault(standin.RowsFault{RejectedDaemons: map[string]bool{reader.Name: true}})
		time.Sleep(time.Second)
		before := w.storeCalls()
		time.Sleep(5 * time.Second)
		// Two feeds of each of three zones' readers, and some attempts of the fourth.
		assert.Less(t, w.storeCalls()-before, 150, "the other daemons of its zone do not read the store")
		for i := range w.daemons {
			assert.True(t, w.ready(i), "daemon %d", i)
		}
	})
}

func TestReaderSelectorFailover(t *testing.T) {
	var selector entry.ReaderSelector
	assert.Equal(t, 0, selector.Next(3))
	assert.True(t, selector.Record(0, outage.Failing))
	assert.False(t, selector.Record(0, outage.Failing))
	assert.Equal(t, 1, selector.Failed(), "a repeated failure of one reader counts once")
	assert.Equal(t, 1, selector.Next(3))
	for range 9 {
		assert.False(t, selector.Record(1, outage.OK))
	}
	assert.Equal(t, 1, selector.Next(3), "it answers")
	assert.True(t, selector.Record(1, outage.OK))
	assert.Equal(t, 0, selector.Next(3), "the zone's own reader is tried again")
	assert.Zero(t, selector.Failed())
	selector.Record(0, outage.Failing)
	assert.Equal(t, 0, selector.Next(1), "the other readers are gone")
}

// Readers that are dead or cut off must not make the others confirm an outage: what was removed from the
// store meanwhile was kept and used for too long.
func TestIsolatedReadersDoNotDelayRemovals(t *testing.T) {
	inZones(t, 12, []string{"a", "b", "c", "d"}, func(w *world) {
		w.runner(plain, "a", "i-stays", 0)
		time.Sleep(3 * time.Second)
		members := w.daemons[0].Hub.Mesh.Members()
		away := make(map[string]bool)
		for _, zone := range []string{"a", "b", "c"} {
			reader, _ := entry.Reader(zone, members)
			away[reader.Name] = true
		}
		w.store.SetFault(standin.RowsFault{RejectedDaemons: away})
		time.Sleep(2 * time.Second)
		for k := range 6 {
			id := fmt.Sprint("i-", k)
			r := w.runner(plain, "a", id, 0)
			time.Sleep(700 * time.Millisecond)
			w.store.Drop(platform.RunnerTable, "", id)
			time.Sleep(1200 * time.Millisecond)
			before := len(r.Ran())
			for i, d := range w.daemons {
				for n := range 8 {
					if !away[d.Self.Name] {
						w.ask(i, http.MethodPost, "/write/", fmt.Sprint("id-", k, "-", i, "-", n))
					}
				}
			}
			assert.Len(t, r.Ran(), before, "%s is gone, and the store is reachable", id)
		}
	})
}

func TestReadersForStartsWithTheOwnZone(t *testing.T) {
	var members []conn.Member
	for i := range 12 {
		members = append(members, conn.Member{Name: fmt.Sprint("daemon-", i), Zone: string(rune('a' + i%3))})
	}
	own, _ := entry.Reader("b", members)
	for _, m := range members {
		readers := entry.ReadersFor(m, members)
		if m.Zone == "b" && m.Name != own.Name {
			assert.Equal(t, own.Name, readers[0])
			assert.Len(t, readers, 3)
		}
		if m.Name == own.Name {
			assert.Len(t, readers, 2)
			assert.NotContains(t, readers, own.Name)
		}
	}
}

func TestManyDaemonsStartWithFewCalls(t *testing.T) {
	inZones(t, 24, []string{"a", "b", "c", "d"}, func(w *world) {
		for i := range 60 { // endpoints that register in the store meanwhile
			w.runner(plain, "a", fmt.Sprint("i-", i), 0)
		}
		time.Sleep(time.Second)
		// Four calls per daemon, and in 6 s the feeds of four readers, with at most ten changes a second.
		assert.Less(t, w.storeCalls(), 24*6+4*6*(10+2))
		for i := range w.daemons {
			assert.Equal(t, http.StatusOK, w.ask(i, http.MethodPost, "/write/", fmt.Sprint("id-", i)).status)
		}
	})
}

// An outage must be confirmed at every daemon by the reports of others before its data is too old to be
// used.
func TestAllDaemonsServeThroughAnOutage(t *testing.T) {
	for name, fault := range map[string]standin.RowsFault{"silent": {NoResponse: true}, "busy": {Busy: true}} {
		for _, daemons := range []int{3, 8, 24} {
			t.Run(fmt.Sprint(name, " ", daemons), func(t *testing.T) {
				inZones(t, daemons, []string{"a", "b", "c", "d"}, func(w *world) {
					w.runner(plain, "a", "i-1", 0)
					time.Sleep(3 * time.Second)
					w.store.SetFault(fault)
					began := time.Now()
					for n := 0; time.Since(began) < 4*time.Second; n++ {
						i := n % daemons // 20 ms between requests
						assert.Equal(t, http.StatusOK, w.ask(i, http.MethodPost, "/write/", fmt.Sprint("id-", n)).status, "daemon %d after %s", i, time.Since(began))
					}
					w.store.SetFault(standin.RowsFault{})
				})
			})
		}
	}
}

// Daemons that were killed at the start of an outage must not keep the others from confirming it.
func TestAnOutageIsServedThroughAsDaemonsAreKilled(t *testing.T) {
	for _, size := range []struct{ daemons, zones int }{{8, 4}, {12, 4}, {48, 6}, {9, 1}} {
		for _, kill := range []string{"readers", "a third"} {
			t.Run(fmt.Sprintf("%d daemons, %d zones, %s", size.daemons, size.zones, kill), func(t *testing.T) {
				inWorldOf(t, size.daemons, func(w *world) {
					w.zones = []string{"a", "b", "c", "d", "e", "f"}[:size.zones]
					w.routes[2]["public"] = true
				}, func(w *world) {
					w.runner(plain, "a", "i-1", 0)
					time.Sleep(3 * time.Second)
					killed := w.zoneReaders()
					if kill == "a third" {
						clear(killed)
						for i := 0; i < size.daemons; i += 3 {
							killed[w.daemons[i].Self.Name] = true
						}
					}
					w.store.SetFault(standin.RowsFault{NoResponse: true})
					for _, d := range w.daemons {
						if killed[d.Self.Name] {
							go d.Kill()
						}
					}
					served := 0
					answers := w.demand(w.except(killed), 60, 8*time.Second, w.askPlain)
					for _, a := range answers {
						if a.status == http.StatusOK {
							served++
						}
					}
					assert.GreaterOrEqual(t, float64(served), 0.89*float64(len(answers)), "%d of %d", served, len(answers))
				})
			})
		}
	}
}
