// SPDX-License-Identifier: MIT

package replica

import (
	"cmp"
	"slices"
)

// Row is a row, or the removal of one.
type Row[V any] struct {
	Key     string
	Value   V
	Removed bool
}

// Log holds the current rows and the recent removals in the order of their last change. The zero value is
// empty. It is not safe for concurrent use.
type Log[V any] struct {
	entries []entry[V]     // in the order of pos, superseded ones included
	at      map[string]int // index in entries of the last change of each key
	pos     uint64         // position of the last entry
	rows    int
	removed int
	floor   int64 // removals up to this version are not known
}

type entry[V any] struct {
	Row[V]
	pos        uint64
	version    int64
	superseded bool
}

// minRemoved is the number of removals that are kept at least; beyond it there are at most as many as rows, so
// that they take no more memory than these.
const minRemoved = 512

// Len returns the number of rows.
func (l *Log[V]) Len() int { return l.rows }

// Get returns the value of a row; ok is false if there is none.
func (l *Log[V]) Get(key string) (v V, ok bool) {
	i, ok := l.at[key]
	if !ok || l.entries[i].Removed {
		return v, false
	}
	return l.entries[i].Value, true
}

// Keys returns the keys of all rows.
func (l *Log[V]) Keys() []string {
	keys := make([]string, 0, l.rows)
	for key, i := range l.at {
		if !l.entries[i].Removed {
			keys = append(keys, key)
		}
	}
	return keys
}

// Begin records that the rows are complete as of a version, and that earlier removals are not known.
func (l *Log[V]) Begin(version int64) { l.floor = max(l.floor, version) }

// Set records that a row has changed at a version, which must not be lower than that of earlier changes.
func (l *Log[V]) Set(version int64, key string, v V) {
	l.append(version, Row[V]{Key: key, Value: v})
	l.rows++
	l.compact()
}

// Remove records that a row was removed at a version, also if there is none: another copy may hold it.
func (l *Log[V]) Remove(version int64, key string) {
	l.append(version, Row[V]{Key: key, Removed: true})
	l.removed++
	l.compact()
}

// append adds an entry in place of the key's last one.
func (l *Log[V]) append(version int64, r Row[V]) {
	if l.at == nil {
		l.at = make(map[string]int)
	}
	if i, ok := l.at[r.Key]; ok {
		l.supersede(i)
	}
	l.pos++
	l.at[r.Key] = len(l.entries)
	l.entries = append(l.entries, entry[V]{Row: r, pos: l.pos, version: version})
}

func (l *Log[V]) supersede(i int) {
	if l.entries[i].Removed {
		l.removed--
	} else {
		l.rows--
	}
	key := l.entries[i].Key
	l.entries[i] = entry[V]{pos: l.entries[i].pos, version: l.entries[i].version, superseded: true}
	delete(l.at, key)
}

// compact drops the oldest removals beyond their limit, and the superseded entries once they are the majority.
func (l *Log[V]) compact() {
	limit := max(minRemoved, l.rows)
	if l.removed > limit {
		for i := 0; l.removed > limit/2; i++ {
			if l.entries[i].Removed {
				l.floor = max(l.floor, l.entries[i].version)
				l.supersede(i)
			}
		}
	}
	if len(l.entries) <= 2*len(l.at)+minRemoved {
		return
	}
	l.entries = slices.DeleteFunc(l.entries, func(e entry[V]) bool { return e.superseded })
	for i, e := range l.entries {
		l.at[e.Key] = i
	}
}

// Cursor is how far a copy has got in a log. It is valid for this log only, not for that of another daemon.
type Cursor struct {
	Pos   uint64 `codec:"p"`
	Floor int64  `codec:"f"` // of the log when the copy started
	Whole bool   `codec:"w"` // the copy gets all rows, and removes what it does not get
}

// Since returns where a copy starts that is complete up to a version.
func (l *Log[V]) Since(version int64) Cursor {
	c := Cursor{Floor: l.floor}
	if version < l.floor || version == 0 {
		c.Whole = true
		return c
	}
	i, _ := slices.BinarySearchFunc(l.entries, version+1, func(e entry[V], v int64) int { return cmp.Compare(e.version, v) })
	if c.Pos = l.pos; i < len(l.entries) {
		c.Pos = l.entries[i].pos - 1
	}
	return c
}

// Valid reports whether a copy may go on at a cursor. Once removals have been dropped, it could miss one of a
// row that it has got before, and has to start again.
func (l *Log[V]) Valid(c Cursor) bool { return c.Floor == l.floor && c.Pos <= l.pos }

// Next returns the rows after a cursor, up to about size bytes as measured by sizeOf but at least one, and the
// cursor after them. It reports whether more follow.
func (l *Log[V]) Next(c Cursor, size int, sizeOf func(Row[V]) int) (rows []Row[V], next Cursor, more bool) {
	i, _ := slices.BinarySearchFunc(l.entries, c.Pos+1, func(e entry[V], p uint64) int { return cmp.Compare(e.pos, p) })
	for _, e := range l.entries[i:] {
		if e.superseded {
			continue
		}
		if size -= sizeOf(e.Row); size < 0 && len(rows) > 0 {
			return rows, c, true
		}
		rows, c.Pos = append(rows, e.Row), e.pos
	}
	c.Pos = l.pos
	return rows, c, false
}
