// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Daemons send each other a catalog compressed and in pieces, one piece per answer. A failed request
// does not lose the earlier pieces, and any daemon can supply the next one: load slows a transfer down
// but does not restart it. News of endpoints and limits, which come with each answer, are delayed by
// at most one piece.

const (
	// pieceSize is the size of a piece in bytes. On a link of 10 Mbit/s a piece takes 13 ms, or 0.3 s
	// when 24 daemons ask at once, of the 0.7 s that an answer may take.
	pieceSize = 16 << 10
	// maxCatalogSize is the maximum size in bytes of a decompressed catalog.
	maxCatalogSize = 64 << 20
)

// packed is a compressed catalog.
type packed struct {
	version int64
	sum     uint64 // checksum of data, as daemons may compress one version differently
	data    []byte
}

// pack compresses a catalog. A catalog with 5,000 routes shrinks from 965 KB to 49 KB in 4.3 ms.
func pack(version int64, value []byte) (*packed, error) {
	b, err := compress(value)
	if err != nil {
		return nil, err
	}
	return &packed{version, xxhash.Sum64(b), b}, nil
}

// compress compresses data that is sent to other daemons.
func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	return b.Bytes(), errors.Wrap(err, "entry: compress")
}

// decompress reverses compress; data of more than limit bytes is an error.
func decompress(data []byte, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	if err == nil && int64(len(b)) > limit {
		err = errors.Errorf("size exceeds %d bytes", limit)
	}
	return b, errors.Wrap(err, "entry: decompress")
}

// progress is how much of a compressed catalog a daemon has.
type progress struct {
	Version int64  `codec:"v"`
	Sum     uint64 `codec:"s"`
	Have    int    `codec:"h"` // bytes received, from the beginning
}

// piece is a part of a compressed catalog.
type piece struct {
	Version int64  `codec:"v"`
	Sum     uint64 `codec:"s"`
	Size    int    `codec:"n"` // size of the whole
	At      int    `codec:"a"` // offset of Data
	Data    []byte `codec:"d"`
}

// packedCache caches the compressed catalogs that other daemons fetch: the newest, and the previous one,
// which some may still be fetching. The zero value is ready.
type packedCache struct {
	mu     sync.Mutex
	newest *packed
	before *packed
}

// next returns the next piece for a daemon: of the catalog it is fetching if that is still cached, or
// else the first piece of the newest one, or nil if that is older.
func (s *packedCache) next(f *inForce, got progress) (*piece, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest == nil || s.newest.version != f.catalog.Version {
		p, err := pack(f.catalog.Version, f.value)
		if err != nil {
			return nil, err
		}
		s.newest, s.before = p, s.newest
	}
	for _, p := range []*packed{s.newest, s.before} {
		if p != nil && p.version == got.Version && p.sum == got.Sum && got.Have < len(p.data) {
			return p.from(got.Have), nil
		}
	}
	if s.newest.version < got.Version {
		return nil, nil
	}
	return s.newest.from(0), nil
}

// from returns the piece at an offset.
func (p *packed) from(at int) *piece {
	return &piece{p.version, p.sum, len(p.data), at, p.data[at:min(at+pieceSize, len(p.data))]}
}

// assembly collects the pieces of a compressed catalog. The zero value is ready.
type assembly struct {
	mu      sync.Mutex
	version int64
	sum     uint64
	data    []byte
}

func (a *assembly) progress() progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return progress{a.version, a.sum, len(a.data)}
}

// add adds a piece. It returns the decompressed catalog once it is complete, and whether more pieces
// are needed.
func (a *assembly) add(p *piece) (value []byte, more bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Version < a.version {
		return nil, false, nil
	}
	if p.Version != a.version || p.Sum != a.sum {
		a.version, a.sum, a.data = p.Version, p.Sum, nil
	}
	if p.At == len(a.data) {
		a.data = append(a.data, p.Data...)
	}
	if len(a.data) < p.Size {
		return nil, true, nil
	}
	data := a.data
	a.version, a.sum, a.data = 0, 0, nil
	if xxhash.Sum64(data) != p.Sum {
		return nil, true, errors.Errorf("entry: checksum mismatch in the pieces of catalog version %d", p.Version)
	}
	value, err = decompress(data, maxCatalogSize)
	return value, false, err
}
