// SPDX-License-Identifier: MIT

package replica

import "time"

// Copy is a daemon's copy of a table of the store. It takes rows from the store or from the copies of other daemons, and
// records them in a log for others to copy. Only New returns one that is ready to use. It is not safe for concurrent use,
// but for Fresh.
type Copy[V any] struct {
	Fresh Freshness

	name     string // of its log, unlike that of any other copy
	ttl      time.Duration
	equal    func(a, b V) bool
	log      Log[V]
	complete bool
	version  int64 // of the store, up to which the copy is complete
	changed  int64 // of the store, at which a row last changed
	logged   int64 // version of the last entry in log, above version during a transfer
	transfer *transfer
}

// transfer is the progress of a transfer from another copy.
type transfer struct {
	peer string // the daemon
	log  string // its copy's log
	base int64  // version of this copy when it started
	next Cursor
	at   time.Time // when the last piece arrived
	seen map[string]bool
}

// Request says which rows a copy wants from another one.
type Request struct {
	Skip   bool   // none: it gets them from a third one
	Log    string // the log that Cursor belongs to; empty to start
	Cursor Cursor
}

// Piece is a piece of a transfer.
type Piece[V any] struct {
	Log   string // of the answering copy
	Start bool   // the transfer starts with it
	From  Cursor
	Next  Cursor
	More  bool
	Rows  []Row[V]
}

// New returns an empty copy whose log has a name. A transfer from another copy that has brought nothing for ttl may be
// replaced by one from a third. equal tells whether two values are the same.
func New[V any](name string, ttl time.Duration, equal func(a, b V) bool) *Copy[V] {
	return &Copy[V]{name: name, ttl: ttl, equal: equal}
}

// Change is called for each change of a row, and returns false to drop a row that cannot be used.
type Change[V any] func(Row[V]) bool

// Version returns the version of the store up to which the copy is complete.
func (c *Copy[V]) Version() int64 { return c.version }

// Complete reports whether the copy has ever held all rows.
func (c *Copy[V]) Complete() bool { return c.complete }

// Take applies rows that were read from the store at a version, or from another daemon's copy at once: all rows if whole
// is true, else those that changed since the copy's version. It has no effect if newer ones have arrived meanwhile.
func (c *Copy[V]) Take(version int64, rows []Row[V], whole bool, change Change[V]) {
	if version < c.version {
		return
	}
	c.version, c.logged = version, max(c.logged, version)
	if len(rows) > 0 || whole {
		c.changed = version
	}
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		if c.apply(r, whole, change) {
			present[r.Key] = true
		}
	}
	if whole {
		c.removeOthers(present, change)
	}
}

// apply applies one row, and reports whether the copy holds it afterwards. In a read of all rows an unchanged one is no
// change. A removal is logged also if the copy does not hold the row, as others may.
func (c *Copy[V]) apply(r Row[V], whole bool, change Change[V]) bool {
	old, held := c.log.Get(r.Key)
	if !r.Removed && held && c.equal(old, r.Value) {
		if !whole {
			c.log.Set(c.logged, r.Key, old) // it changed and changed back
		}
		return true
	}
	if change(r) && !r.Removed {
		c.log.Set(c.logged, r.Key, r.Value)
		return true
	}
	if held || !whole { // what all rows lack is dropped by other copies without the log
		c.log.Remove(c.logged, r.Key)
	}
	return false
}

// removeOthers removes the rows that are not among all present ones.
func (c *Copy[V]) removeOthers(present map[string]bool, change Change[V]) {
	for _, key := range c.log.Keys() {
		if !present[key] {
			change(Row[V]{Key: key, Removed: true})
			c.log.Remove(c.logged, key)
		}
	}
	c.complete = true
	c.log.Begin(c.logged)
}

// Request returns what to request from a daemon: the next piece of the transfer in progress, nothing if that is with
// another daemon, or else the changes.
func (c *Copy[V]) Request(now time.Time, peer string) Request {
	x := c.transfer
	switch {
	case x == nil || x.base != c.version:
		return Request{}
	case x.peer == peer:
		return Request{Log: x.log, Cursor: x.next}
	}
	return Request{Skip: now.Sub(x.at) < c.ttl}
}

// Serve returns where the piece begins that a copy which is complete up to a version requests; ok is false if it gets
// none, as it has all or asks for none.
func (c *Copy[V]) Serve(version int64, q Request) (from Cursor, start, ok bool) {
	resumes := q.Log == c.name && c.log.Valid(q.Cursor)
	switch {
	case q.Skip || !resumes && c.changed <= version:
		return Cursor{}, false, false
	case resumes:
		return q.Cursor, false, true
	}
	return c.log.Since(version), true, true
}

// Next returns the piece that begins at a cursor; see Log.Next.
func (c *Copy[V]) Next(from Cursor, start bool, size int, sizeOf func(Row[V]) int) Piece[V] {
	p := Piece[V]{Log: c.name, Start: start, From: from}
	p.Rows, p.Next, p.More = c.log.Next(from, size, sizeOf)
	return p
}

// TakePiece applies a piece of another daemon's copy, which is complete up to version with the last piece. It reports
// whether to request the next one. A piece that does not continue the transfer in progress is dropped.
func (c *Copy[V]) TakePiece(now time.Time, peer string, version int64, p Piece[V], change Change[V]) (more bool) {
	x := c.transfer
	if x != nil && x.base != c.version {
		x = nil // the store has been read meanwhile
	}
	switch {
	case version < c.version:
		return false
	case p.Start && (x == nil || x.peer == peer || now.Sub(x.at) >= c.ttl):
		x = &transfer{peer: peer, log: p.Log, base: c.version, seen: make(map[string]bool)}
	case p.Start || x == nil || x.log != p.Log || x.next != p.From:
		return false
	}
	c.logged = max(c.logged, version)
	for _, r := range p.Rows {
		if c.apply(r, p.From.Whole, change) {
			x.seen[r.Key] = true
		} else {
			delete(x.seen, r.Key)
		}
	}
	x.next, x.at = p.Next, now
	if c.transfer = x; p.More {
		return true
	}
	if p.From.Whole {
		c.removeOthers(x.seen, change)
	}
	c.transfer, c.version, c.changed = nil, version, version
	return false
}

// CurrentAt records that another daemon, queried at sent, answered that its copy at a version was current age before the
// answer.
func (c *Copy[V]) CurrentAt(sent time.Time, version int64, age time.Duration) {
	if c.version >= version {
		c.Fresh.Peer(sent, age)
	}
}
