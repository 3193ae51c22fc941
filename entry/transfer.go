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

// A catalog passes between daemons packed and in pieces, each an answer of its own.
// What has come is kept whatever becomes of the next piece, and whoever is asked next
// goes on from there, so that load makes a transfer slower and never starts it anew;
// and news of endpoints and limits, which come with each answer, wait for a piece at
// the most.

const (
	// pieceSize is how much of a packed catalog one answer holds: 13 ms of a link of
	// 10 Mbit/s, and 0.3 s of one when 24 daemons ask at once, of the 0.7 s that an
	// answer may take.
	pieceSize = 16 << 10
	// unpackMost bounds what a packed catalog may hold.
	unpackMost = 64 << 20
)

// packed is a catalog as it passes between daemons.
type packed struct {
	version int64
	sum     uint64 // of data: two daemons may pack one version differently
	data    []byte
}

// pack packs a catalog: 965 KB of 5,000 routes become 49 KB in 4.3 ms.
func pack(version int64, value []byte) (*packed, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(value)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "entry: pack")
	}
	return &packed{version, xxhash.Sum64(b.Bytes()), b.Bytes()}, nil
}

func unpack(data []byte) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), unpackMost+1))
	if err == nil && len(b) > unpackMost {
		err = errors.Errorf("over %d bytes", unpackMost)
	}
	return b, errors.Wrap(err, "entry: unpack")
}

// progress is what a daemon has of a packed catalog.
type progress struct {
	Version int64  `codec:"v"`
	Sum     uint64 `codec:"s"`
	Have    int    `codec:"h"` // bytes from the beginning
}

// piece is a part of a packed catalog.
type piece struct {
	Version int64  `codec:"v"`
	Sum     uint64 `codec:"s"`
	Size    int    `codec:"n"` // of the whole
	At      int    `codec:"a"`
	Data    []byte `codec:"d"`
}

// shelf keeps the packed catalogs that other daemons fetch: the newest, and the one
// before it, which some may still be fetching. The zero value is ready.
type shelf struct {
	mu     sync.Mutex
	newest *packed
	before *packed
}

// next returns the piece that follows what a daemon has, of what it is fetching if
// that is still here, else of the newest catalog; nil if that is older.
func (s *shelf) next(f *inForce, got progress) (*piece, error) {
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

func (p *packed) from(at int) *piece {
	return &piece{p.version, p.sum, len(p.data), at, p.data[at:min(at+pieceSize, len(p.data))]}
}

// assembly collects the pieces of a packed catalog. The zero value is ready.
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

// add takes a piece in. It returns the catalog's value once that is whole, and whether
// more is to come.
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
		return nil, true, errors.Errorf("entry: pieces of version %d do not fit", p.Version)
	}
	value, err = unpack(data)
	return value, false, err
}
