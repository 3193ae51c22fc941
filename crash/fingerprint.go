// SPDX-License-Identifier: MIT

package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint identifies the content of a request. Requests with the same content have the same Fingerprint,
// whichever retry or daemon they come from.
type Fingerprint [16]byte

// domain separates this use of the hash from all others.
const domain = "streambend print 1"

// FingerprintOf returns the Fingerprint of a request's fields, in their order. Each field is preceded by its
// length, so that no field can be confused with the end of another.
//
// The hash is a cryptographic one, as a team could otherwise forge a collision to have another
// team's requests held back. It takes 2^64 tries to build two requests with the same Fingerprint, and
// 2^128 to build one that matches another team's.
func FingerprintOf(fields ...[]byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, f := range append([][]byte{[]byte(domain)}, fields...) {
		binary.LittleEndian.PutUint64(size[:], uint64(len(f)))
		h.Write(size[:])
		h.Write(f)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the hexadecimal form, as in logs and table rows.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (p Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(p) {
		return p, errors.Errorf("crash: invalid request print %q", s)
	}
	return Fingerprint(b), nil
}
