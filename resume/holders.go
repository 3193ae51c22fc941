// SPDX-License-Identifier: MIT

package resume

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxHolding is the number of daemons of a larger fleet that hold records, as each daemon needs links to all of them.
const maxHolding = 128

// Holders chooses the daemons that hold the record of a stream, by rendezvous hashing: if some daemons end, those of the
// holders that live are still among the first. It is not changed once it is made.
type Holders struct{ daemons []holder }

type holder struct {
	name string
	hash uint64
}

// NewHolders returns the choice among some daemons.
func NewHolders(daemons []string) *Holders {
	h := &Holders{make([]holder, len(daemons))}
	for i, name := range daemons {
		h.daemons[i] = holder{name, xxhash.Sum64String(name)}
	}
	slices.SortFunc(h.daemons, func(a, b holder) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	h.daemons = h.daemons[:min(maxHolding, len(h.daemons))]
	return h
}

// Of returns the n daemons that hold a stream's record, or all if there are fewer, the first choice first.
func (h *Holders) Of(k Key, n int) []string {
	seed := binary.BigEndian.Uint64(k[:8])
	ranked := slices.Clone(h.daemons)
	for i := range ranked {
		ranked[i].hash = mix(ranked[i].hash ^ seed)
	}
	slices.SortFunc(ranked, func(a, b holder) int { return cmp.Compare(b.hash, a.hash) })
	names := make([]string, min(n, len(ranked)))
	for i := range names {
		names[i] = ranked[i].name
	}
	return names
}

// mix is the finalizer of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
