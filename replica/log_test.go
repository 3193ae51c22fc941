// SPDX-License-Identifier: MIT

package replica_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"streambend.example/replica"
)

func size(r replica.Row[int]) int { return len(r.Key) + 1 }

// Copies that follow a log at their own pace, each in pieces that other changes come between, must end with the
// same rows: a copy that misses a removal keeps an endpoint that is gone.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l replica.Log[int]
		want := make(map[string]int)
		type replicaCopy struct {
			rows    map[string]int
			seen    map[string]bool // keys of the transfer in progress
			version int64
			at      replica.Cursor
			active  bool
		}
		copies := make([]replicaCopy, 3)
		for i := range copies {
			copies[i].rows = make(map[string]int)
		}
		version := int64(1)
		step := func(c *replicaCopy) (more bool) {
			if !c.active || !l.Valid(c.at) {
				c.at, c.seen, c.active = l.Since(c.version), make(map[string]bool), true
			}
			rows, at, more := l.Next(c.at, 20, size)
			for _, r := range rows {
				if r.Removed {
					delete(c.rows, r.Key)
					delete(c.seen, r.Key)
					continue
				}
				c.rows[r.Key], c.seen[r.Key] = r.Value, true
			}
			if c.at = at; more {
				return true
			}
			if at.Whole {
				maps.DeleteFunc(c.rows, func(k string, _ int) bool { return !c.seen[k] })
			}
			c.version, c.active = version, false
			return false
		}
		for range rapid.IntRange(0, 4000).Draw(t, "steps") {
			key := fmt.Sprint("k", rapid.IntRange(0, 900).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				version++
				want[key] = int(version)
				l.Set(version, key, int(version))
			case 5, 6, 7:
				version++
				delete(want, key)
				l.Remove(version, key)
			default:
				step(&copies[rapid.IntRange(0, 2).Draw(t, "copy")])
			}
		}
		assert.Equal(t, len(want), l.Len())
		for i := range copies {
			for step(&copies[i]) {
			}
			assert.Equal(t, want, copies[i].rows)
		}
	})
}

// The memory of a log follows its rows, not the number of changes.
func TestLogIsBounded(t *testing.T) {
	var l replica.Log[int]
	for i := range 100_000 {
		key := fmt.Sprint(i)
		l.Set(int64(i+1), key, i)
		l.Remove(int64(i+1), key)
	}
	rows, _, more := l.Next(replica.Cursor{}, 1<<30, size)
	assert.False(t, more)
	assert.LessOrEqual(t, len(rows), 513)
	assert.Zero(t, l.Len())
}

func BenchmarkSinceAndNext(b *testing.B) {
	var l replica.Log[int]
	for i := range 10_000 {
		l.Set(int64(i+1), fmt.Sprint(i), i)
	}
	for b.Loop() {
		l.Next(l.Since(9_990), 1000, size)
	}
}

// A log that begins with a read of all rows does not know what was removed before. A copy from before that read
// must get all rows: otherwise it keeps rows that were removed in between, such as endpoints that have ended while
// the daemon that it copies from restarted.
func TestACopyFromBeforeTheLogGetsAllRows(t *testing.T) {
	var l replica.Log[int]
	l.Set(10, "a", 1)
	assert.False(t, l.Since(5).Whole, "no read of all rows yet")
	l.Begin(10)
	assert.True(t, l.Since(5).Whole)
	assert.False(t, l.Since(10).Whole)
}
