// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/pkg/errors"

	"streambend.example/conn"
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

// query returns what to request from a daemon.
func (k *endpointTracker) query(now time.Time, peer string) *listQuery {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := listQuery(k.list.Request(now, peer))
	return &q
}

// piece returns the piece that a daemon requests that is complete up to a version, or nil if it has all, and
// the version up to which it is complete with the last piece.
func (k *endpointTracker) piece(version int64, q *listQuery) (at int64, p *listPiece, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at = k.list.Version()
	from, start, ok := k.list.Serve(version, replica.Request(*q))
	if !ok {
		return at, nil, nil
	}
	if c, ok := k.packed.get(from); ok {
		return at, &listPiece{Log: instanceOf(k.d.Self), Start: start, From: from, Next: c.next, More: true, Packed: true, Rows: c.rows}, nil
	}
	next := k.list.Next(from, start, listPieceSize, rowSize)
	p = &listPiece{Log: next.Log, Start: start, From: from, Next: next.Next, More: next.More, Rows: encodeRows(next.Rows)}
	if len(p.Rows) < packedSize {
		return at, p, nil
	}
	if p.Rows, err = compress(p.Rows); err != nil {
		return at, nil, err
	}
	p.Packed = true
	if p.More {
		k.packed.put(from, cachedPiece{p.Next, p.Rows})
	}
	return at, p, nil
}

// unpaged returns the changes after a version for a daemon that does not know pieces; whole is true if they are
// the whole list, and ok is false if they are too many for one answer.
func (k *endpointTracker) unpaged(version int64) (at int64, rows []entryRow, whole, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	from, start, ok := k.list.Serve(version, replica.Request{})
	if !ok {
		return k.list.Version(), nil, false, true
	}
	p := k.list.Next(from, start, maxUnpagedSize, rowSize)
	if p.More {
		return 0, nil, false, false
	}
	for _, r := range p.Rows {
		if !from.Whole || !r.Removed {
			rows = append(rows, entryRow{r.Key, r.Value, r.Removed})
		}
	}
	return k.list.Version(), rows, from.Whole, true
}

// takePiece applies a piece of another daemon's list, which is complete up to version with the last piece. It
// reports whether to request the next one.
func (k *endpointTracker) takePiece(now time.Time, peer string, version int64, p *listPiece) (more bool, err error) {
	rows, err := decodeRows(p)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changes.begin(k.d.log, len(rows))
	defer k.changes.end()
	more = k.list.TakePiece(now, peer, version, replica.Piece[[]byte]{
		Log: p.Log, Start: p.Start, From: p.From, Next: p.Next, More: p.More, Rows: rows,
	}, k.changed(now, nil))
	k.noteComplete(now)
	return more, nil
}

func rowSize(r replica.Row[[]byte]) int { return len(r.Key) + len(r.Value) }

func encodeRows(rows []replica.Row[[]byte]) []byte {
	out := make([]entryRow, len(rows))
	for i, r := range rows {
		out[i] = entryRow{r.Key, r.Value, r.Removed}
	}
	return conn.Marshal(out)
}

func decodeRows(p *listPiece) ([]replica.Row[[]byte], error) {
	b, err := p.Rows, error(nil)
	if p.Packed {
		if b, err = decompress(b, maxPieceSize); err != nil {
			return nil, err
		}
	}
	var rows []entryRow
	if err := conn.Unmarshal(b, &rows); err != nil {
		return nil, errors.Wrap(err, "entry: piece of the list of endpoints")
	}
	out := make([]replica.Row[[]byte], len(rows))
	for i, r := range rows {
		out[i] = replica.Row[[]byte]{Key: r.ID, Value: r.Value, Removed: r.Gone}
	}
	return out, nil
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
