// SPDX-License-Identifier: MIT

package replica_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"streambend.example/replica"
)

// storeModel is a store with one table, whose rows have the version of their last change as value.
type storeModel struct {
	version   int64
	rows      map[string]int64
	events    []storeEvent
	forgotten int64 // changes up to this version are gone from the feed
}

type storeEvent struct {
	at      time.Time
	key     string
	version int64
	removed bool
}

func (s *storeModel) change(now time.Time, key string, remove bool) {
	if _, ok := s.rows[key]; !ok && remove {
		return
	}
	s.version++
	s.events = append(s.events, storeEvent{now, key, s.version, remove})
	if s.rows[key] = s.version; remove {
		delete(s.rows, key)
	}
}

// feed returns the last change of each row after a version.
func (s *storeModel) feed(after int64) (rows []replica.Row[int64]) {
	seen := make(map[string]bool)
	for _, e := range slices.Backward(s.events) {
		if e.version > after && !seen[e.key] {
			seen[e.key] = true
			rows = append(rows, replica.Row[int64]{Key: e.key, Value: e.version, Removed: e.removed})
		}
	}
	slices.Reverse(rows)
	return rows
}

// page returns the first rows from a key on.
func (s *storeModel) page(from string) (rows []replica.Row[int64], more bool) {
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if key < from {
			continue
		}
		if len(rows) == 3 {
			return rows, true
		}
		rows = append(rows, replica.Row[int64]{Key: key, Value: s.rows[key]})
	}
	return rows, false
}

// allows reports whether a copy that was current at a moment may hold a value of a row, 0 for none.
func (s *storeModel) allows(at time.Time, key string, held int64) bool {
	old := storeEvent{removed: true}
	gone := true // the row was absent at that moment, or has been since
	for _, e := range s.events {
		if e.key != key {
			continue
		}
		if e.at.Before(at) {
			old, gone = e, e.removed
		}
		gone = gone || e.removed
	}
	if held == 0 {
		return gone
	}
	return held > old.version || held == old.version && !old.removed
}

// daemonModel is a daemon that copies the table.
type daemonModel struct {
	copy *replica.Copy[int64]
	rows map[string]int64
	read *readModel
	at   int64 // version from which the feed goes on
	all  bool  // the history is gone, so that all rows are read
}

// readModel is a read of the store: of pages, or a wait for changes.
type readModel struct {
	sent, clock time.Time
	whole, done bool
	gone        bool
	version     int64
	rows        []replica.Row[int64]
	from        string
}

func (d *daemonModel) change(r replica.Row[int64]) bool {
	if d.rows[r.Key] = r.Value; r.Removed {
		delete(d.rows, r.Key)
	}
	return true
}

// exchange is a query to another daemon.
type exchange struct {
	asker, peer int
	process     *replica.Copy[int64] // of the asker
	sent        time.Time
	version     int64
	request     replica.Request
	answered    bool
	current     int64
	age         time.Duration
	piece       *replica.Piece[int64]
}

type copyModel struct {
	t         *rapid.T
	began     time.Time
	now       time.Time
	store     storeModel
	daemons   []*daemonModel
	exchanges []*exchange
	starts    int
}

// restart replaces a daemon by one that holds nothing.
func (m *copyModel) restart(i int) {
	m.starts++
	m.daemons[i] = &daemonModel{
		copy: replica.New(fmt.Sprint(i, "#", m.starts), time.Second, func(a, b int64) bool { return a == b }),
		rows: make(map[string]int64),
	}
}

// readStep takes the next step of a daemon's reads of the store.
func (m *copyModel) readStep(d *daemonModel) {
	r := d.read
	if v := d.copy.Version(); r == nil && v > d.at {
		d.at, d.all = v, false
	}
	switch {
	case r == nil:
		d.read = &readModel{sent: m.now, whole: d.all || d.at == 0}
	case !r.done && r.whole:
		if r.version == 0 {
			r.version, r.clock = m.store.version, m.now
		}
		rows, more := m.store.page(r.from)
		if r.rows, r.done = append(r.rows, rows...), !more; more {
			r.from = rows[len(rows)-1].Key + "\x00"
		}
	case !r.done:
		r.done, r.gone = true, d.at < m.store.forgotten
		r.version, r.clock, r.rows = m.store.version, m.now, m.store.feed(d.at)
	case r.gone:
		d.read, d.all = nil, true
	default:
		d.copy.Take(r.version, r.rows, r.whole, d.change)
		d.copy.Fresh.Store(r.sent, m.now, r.clock.Sub(m.began))
		d.read, d.at, d.all = nil, r.version, false
	}
}

// exchangeStep answers a query, or delivers its answer.
func (m *copyModel) exchangeStep(x *exchange) {
	peer := m.daemons[x.peer].copy
	if !x.answered {
		x.answered = true
		age, _ := peer.Fresh.Age(m.now)
		if !peer.Complete() {
			m.drop(x)
			return
		}
		x.age, x.current = age, peer.Version()
		if from, start, ok := peer.Serve(x.version, x.request); ok {
			p := peer.Next(from, start, 4, func(replica.Row[int64]) int { return 1 })
			x.piece = &p
		}
		return
	}
	m.drop(x)
	d := m.daemons[x.asker]
	if d.copy != x.process {
		return // it has restarted
	}
	switch {
	case x.piece != nil:
		d.copy.TakePiece(m.now, fmt.Sprint(x.peer), x.current, *x.piece, d.change)
	case x.current > d.copy.Version() && !x.request.Skip:
		d.copy.Take(x.current, nil, false, d.change)
	}
	d.copy.CurrentAt(x.sent, x.current, x.age)
}

func (m *copyModel) drop(x *exchange) {
	m.exchanges = slices.DeleteFunc(m.exchanges, func(y *exchange) bool { return y == x })
}

// step takes one random step.
func (m *copyModel) step() {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 20, 300}).Draw(m.t, "ms")) * time.Millisecond)
	i := rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "daemon")
	d := m.daemons[i]
	switch rapid.SampledFrom([]string{"set", "set", "remove", "read", "read", "read", "query", "query", "exchange", "exchange", "exchange", "exchange", "lose", "restart", "forget"}).Draw(m.t, "step") {
	case "set":
		m.store.change(m.now, fmt.Sprint("k", rapid.IntRange(0, 9).Draw(m.t, "key")), false)
	case "remove":
		m.store.change(m.now, fmt.Sprint("k", rapid.IntRange(0, 9).Draw(m.t, "key")), true)
	case "read":
		m.readStep(d)
	case "query":
		peer := rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "peer")
		if peer != i {
			m.exchanges = append(m.exchanges, &exchange{
				asker: i, peer: peer, process: d.copy, sent: m.now, version: d.copy.Version(), request: d.copy.Request(m.now, fmt.Sprint(peer)),
			})
		}
	case "exchange", "lose":
		if len(m.exchanges) == 0 {
			return
		}
		x := m.exchanges[rapid.IntRange(0, len(m.exchanges)-1).Draw(m.t, "exchange")]
		if rapid.IntRange(0, 9).Draw(m.t, "lost") == 0 {
			m.drop(x)
			return
		}
		m.exchangeStep(x)
	case "restart":
		if rapid.IntRange(0, 3).Draw(m.t, "restarts") == 0 {
			m.restart(i)
		}
	case "forget":
		m.store.forgotten = m.store.version
	}
}

// check checks that each copy holds all changes that were made before the moment at which it says that it was current.
func (m *copyModel) check() {
	for i, d := range m.daemons {
		age, ok := d.copy.Fresh.Age(m.now)
		if !ok || !d.copy.Complete() {
			continue
		}
		for n := range 10 {
			key := fmt.Sprint("k", n)
			if !m.store.allows(m.now.Add(-age), key, d.rows[key]) {
				m.t.Fatalf("daemon %d at version %d, current %s ago, holds %s of version %d", i, d.copy.Version(), age, key, d.rows[key])
			}
		}
	}
}

// A copy that lacks a change from before its stated age lets requests reach endpoints that have left or are gone.
func TestACopyIsNeverOlderThanItSays(t *testing.T) {
	for n := range 40 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				began := time.Unix(1000, 0)
				m := &copyModel{t: t, began: began, now: began, store: storeModel{version: 1, rows: make(map[string]int64)}, daemons: make([]*daemonModel, 4)}
				for i := range m.daemons {
					m.restart(i)
				}
				for range rapid.IntRange(50, 400).Draw(t, "steps") {
					m.step()
					m.check()
				}
			})
		})
	}
}
