// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/pkg/errors"

	"streambend.example/conn"
	"streambend.example/platform"
	"streambend.example/replica"
)

// Daemons copy the list of endpoints from each other as a log of changes (package replica), one piece per
// answer. The asker requests the next piece once it has the last one, so that each daemon has one piece on its
// link, and a copy that fails goes on where it was.

const (
	// listPieceSize is the size in bytes of the entries of a piece before compression. They shrink to about an
	// eighth: a link of 20 Mbit/s carries a piece in 4 ms, and one of a zone's reader 200 of them in 30 ms at
	// 500 Mbit/s.
	listPieceSize = 64 << 10
	// maxPieceSize is the maximum size in bytes of a decompressed piece. A single entry may exceed
	// listPieceSize.
	maxPieceSize = 4 << 20
	// maxUnpagedSize is the maximum size in bytes of the entries in one answer to a daemon that does not know
	// pieces. Beyond it that daemon reads the store.
	maxUnpagedSize = 2 << 20
	// packedSize is the size in bytes from which the entries of a piece are compressed.
	packedSize = 1 << 10
	// transferTTL is how long after its last piece a transfer is resumed. Another daemon is asked after that.
	transferTTL = 2 * peerTimeout
	// maxCachedPieces is the maximum number of compressed pieces that are kept for other daemons.
	maxCachedPieces = 256
)

// listQuery says which part of the list of endpoints the asker wants.
type listQuery struct {
	Skip   bool           `codec:"s,omitempty"` // none: it gets the list from another daemon
	Log    string         `codec:"l,omitempty"` // the process whose log Cursor belongs to; empty to start
	Cursor replica.Cursor `codec:"c"`
}

// listPiece is a piece of the list of endpoints.
type listPiece struct {
	Log    string         `codec:"l"` // the answering process
	Start  bool           `codec:"b,omitempty"`
	From   replica.Cursor `codec:"f"`
	Next   replica.Cursor `codec:"n"`
	More   bool           `codec:"m,omitempty"`
	Packed bool           `codec:"p,omitempty"` // Rows is compressed
	Rows   []byte         `codec:"r"`           // encoded entryRows
}

// listTransfer is the progress of a copy from another daemon.
type listTransfer struct {
	peer string // the daemon
	log  string // its process
	base int64  // store version of this daemon's list when it started
	next replica.Cursor
	at   time.Time // when the last piece arrived
	seen map[string]bool
}

// query returns what to request from a daemon: the next piece of the transfer in progress, nothing if that is
// with another daemon, or else the changes.
func (k *endpointTracker) query(now time.Time, peer string) *listQuery {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.transfer
	switch {
	case x == nil || x.base != k.version:
		return &listQuery{}
	case x.peer == peer:
		return &listQuery{Log: x.log, Cursor: x.next}
	}
	return &listQuery{Skip: now.Sub(x.at) < transferTTL}
}

// piece returns the piece that a daemon requests that is complete up to a version, or nil if it has all, and
// the version up to which it is complete with the last piece.
func (k *endpointTracker) piece(version int64, q *listQuery) (at int64, p *listPiece, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	resumes := q.Log == instanceOf(k.d.Self) && k.log.Valid(q.Cursor)
	if q.Skip || !resumes && k.changed <= version {
		return k.version, nil, nil
	}
	p = &listPiece{Log: instanceOf(k.d.Self), Start: !resumes, From: q.Cursor}
	if p.Start {
		p.From = k.log.Since(version)
	}
	if c, ok := k.packed.get(p.From); ok {
		p.Next, p.More, p.Packed, p.Rows = c.next, true, true, c.rows
		return k.version, p, nil
	}
	rows, next, more := k.log.Next(p.From, listPieceSize, rowSize)
	p.Next, p.More = next, more
	if p.Rows = encodeRows(rows); len(p.Rows) < packedSize {
		return k.version, p, nil
	}
	if p.Rows, err = compress(p.Rows); err != nil {
		return k.version, nil, err
	}
	p.Packed = true
	if more {
		k.packed.put(p.From, cachedPiece{next, p.Rows})
	}
	return k.version, p, nil
}

// unpaged returns the changes after a version for a daemon that does not know pieces; whole is true if they are
// the whole list, and ok is false if they are too many for one answer.
func (k *endpointTracker) unpaged(version int64) (at int64, rows []entryRow, whole, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed <= version {
		return k.version, nil, false, true
	}
	c := k.log.Since(version)
	changed, _, more := k.log.Next(c, maxUnpagedSize, rowSize)
	if more {
		return 0, nil, false, false
	}
	for _, r := range changed {
		if !c.Whole || !r.Removed {
			rows = append(rows, entryRow{r.Key, r.Value, r.Removed})
		}
	}
	return k.version, rows, c.Whole, true
}

// takePiece applies a piece of another daemon's list, which is complete up to version with the last piece. It
// reports whether to request the next one. A piece that does not continue the transfer in progress is dropped.
func (k *endpointTracker) takePiece(now time.Time, peer string, version int64, p *listPiece) (more bool, err error) {
	rows, err := decodeRows(p)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.transfer
	if x != nil && x.base != k.version {
		x = nil // this daemon has read the store meanwhile
	}
	switch {
	case version < k.version:
		return false, nil
	case p.Start && (x == nil || x.peer == peer || now.Sub(x.at) >= transferTTL):
		x = &listTransfer{peer: peer, log: p.Log, base: k.version, seen: make(map[string]bool)}
	case p.Start || x == nil || x.log != p.Log || x.next != p.From:
		return false, nil
	}
	k.logged = max(k.logged, version)
	k.changes.begin(k.d.log, len(rows))
	defer k.changes.end()
	for _, r := range rows {
		row := platform.Row{Table: platform.RunnerTable, Key: r.ID, Value: r.Value, Removed: r.Gone}
		if k.apply(now, row, p.From.Whole) {
			x.seen[r.ID] = true
		} else {
			delete(x.seen, r.ID)
		}
	}
	x.next, x.at = p.Next, now
	if k.transfer = x; p.More {
		return true, nil
	}
	if p.From.Whole {
		k.removeOthers(now, x.seen)
	}
	k.transfer, k.version, k.changed = nil, version, version
	return false, nil
}

func rowSize(r replica.Row[[]byte]) int { return len(r.Key) + len(r.Value) }

func encodeRows(rows []replica.Row[[]byte]) []byte {
	out := make([]entryRow, len(rows))
	for i, r := range rows {
		out[i] = entryRow{r.Key, r.Value, r.Removed}
	}
	return conn.Marshal(out)
}

func decodeRows(p *listPiece) (rows []entryRow, err error) {
	b := p.Rows
	if p.Packed {
		if b, err = decompress(b, maxPieceSize); err != nil {
			return nil, err
		}
	}
	return rows, errors.Wrap(conn.Unmarshal(b, &rows), "entry: piece of the list of endpoints")
}

// cachedPiece is a compressed piece. Entries in it that have changed since follow later in the log.
type cachedPiece struct {
	next replica.Cursor
	rows []byte
}

// pieceCache keeps the compressed pieces that daemons request one after the other, so that each is compressed
// once. The zero value is ready.
type pieceCache struct {
	from map[replica.Cursor]cachedPiece
}

func (c *pieceCache) get(from replica.Cursor) (cachedPiece, bool) {
	p, ok := c.from[from]
	return p, ok
}

func (c *pieceCache) put(from replica.Cursor, p cachedPiece) {
	if c.from == nil || len(c.from) >= maxCachedPieces {
		c.from = make(map[replica.Cursor]cachedPiece)
	}
	c.from[from] = p
}
