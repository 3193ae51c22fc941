// SPDX-License-Identifier: MIT

package pace

import "github.com/cespare/xxhash/v2"

// Owner returns the daemon that grants the requests to an endpoint, by rendezvous hashing: daemons
// with the same list choose the same owner, and few endpoints change owner when a daemon joins or
// leaves. It is "" for an empty list.
func Owner(endpoint uint64, daemons []string) (owner string) {
	var most uint64
	for _, name := range daemons {
		if h := mixHashes(endpoint, xxhash.Sum64String(name)) | 1; h > most {
			most, owner = h, name
		}
	}
	return owner
}

// HashFraction returns a number in [0, 1) derived from the hashes of an endpoint and a daemon.
func HashFraction(endpoint uint64, daemon string) float64 {
	const bits = 53
	return float64(mixHashes(endpoint, xxhash.Sum64String(daemon))>>(64-bits)) / (1 << bits)
}

// mixHashes combines two hashes into one.
func mixHashes(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
