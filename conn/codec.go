// SPDX-License-Identifier: MIT

package conn

import (
	"math/rand/v2"

	"github.com/pkg/errors"
	"github.com/ugorji/go/codec"
)

// handle is the CBOR codec for all messages between daemons. It ignores unknown fields.
var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.MaxInitLen = 4096 // bounds the allocation made for a length that a frame claims
	return h
}

// Marshal encodes v as CBOR.
func Marshal(v any) []byte {
	var b []byte
	codec.NewEncoderBytes(&b, handle).MustEncode(v)
	return b
}

// Unmarshal decodes CBOR received from another daemon into v.
func Unmarshal(b []byte, v any) error {
	return errors.Wrap(codec.NewDecoderBytes(b, handle).Decode(v), "conn: cbor")
}

func encode(m message) []byte { return Marshal(m) }

func decode(b []byte, m *message) error { return Unmarshal(b, m) }

// jitter returns a random factor in [0, 1), so that daemons do not act in lockstep.
func jitter() float64 { return rand.Float64() }
