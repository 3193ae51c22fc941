// SPDX-License-Identifier: MIT

package pace

import "github.com/cespare/xxhash/v2"

// Owner returns which of some daemons grants the requests to an endpoint, by rendezvous: all that
// know the same ones choose the same, and few change as one comes or goes. It is "" of none.
func Owner(endpoint uint64, daemons []string) (owner string) {
	var most uint64
	for _, name := range daemons {
		if h := weight(endpoint, xxhash.Sum64String(name)) | 1; h > most {
			most, owner = h, name
		}
	}
	return owner
}

// Draw returns a number below 1 that differs between daemons and endpoints.
func Draw(endpoint uint64, daemon string) float64 {
	const bits = 53
	return float64(weight(endpoint, xxhash.Sum64String(daemon))>>(64-bits)) / (1 << bits)
}

// weight mixes two hashes.
func weight(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
