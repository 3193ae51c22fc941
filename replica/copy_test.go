// SPDX-License-Identifier: MIT

package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/replica"
)

// held is a copy and the rows that its holder was told of.
type held struct {
	*replica.Copy[int]
	rows map[string]int
}

func newHeld(name string) held {
	return held{replica.New(name, time.Second, func(a, b int) bool { return a == b }), make(map[string]int)}
}

func (h held) change(r replica.Row[int]) bool {
	if h.rows[r.Key] = r.Value; r.Removed {
		delete(h.rows, r.Key)
	}
	return true
}

// read takes rows from the store.
func (h held) read(version int64, whole bool, rows ...replica.Row[int]) {
	h.Take(version, rows, whole, h.change)
}

// copyFrom takes all that another copy has.
func (h held) copyFrom(from held) {
	now := time.Unix(1, 0)
	for more := true; more; {
		q := h.Request(now, "from")
		at, start, ok := from.Serve(h.Version(), q)
		if !ok {
			h.Take(from.Version(), nil, false, h.change)
			return
		}
		more = h.TakePiece(now, "from", from.Version(), from.Next(at, start, 10, size), h.change)
	}
}

func row(key string, value int) replica.Row[int] { return replica.Row[int]{Key: key, Value: value} }

func gone(key string) replica.Row[int] { return replica.Row[int]{Key: key, Removed: true} }

// A row that came and went between two whole reads stayed in the copies of other daemons.
func TestACopyDropsWhatWasRemovedBetweenTwoWholeReadsOfItsSource(t *testing.T) {
	source, c := newHeld("source"), newHeld("c")
	source.read(10, true, row("a", 1))
	c.read(10, true, row("a", 1))
	c.read(20, false, row("b", 2))
	source.read(30, true, row("a", 1))
	c.copyFrom(source)
	assert.Equal(t, map[string]int{"a": 1}, c.rows)
	assert.EqualValues(t, 30, c.Version())
}

// A row whose removal came through a daemon that had never held it stayed in the copies of other daemons.
func TestACopyDropsWhatItsSourceNeverHeld(t *testing.T) {
	source, c := newHeld("source"), newHeld("c")
	source.read(10, true, row("a", 1))
	c.read(10, true, row("a", 1))
	c.read(20, false, row("b", 2))
	source.read(30, false, gone("b"))
	c.copyFrom(source)
	assert.Equal(t, map[string]int{"a": 1}, c.rows)
	assert.EqualValues(t, 30, c.Version())
}
