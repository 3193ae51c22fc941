// SPDX-License-Identifier: MIT

package conn

import (
	"math/rand/v2"

	"github.com/pkg/errors"
	"github.com/ugorji/go/codec"
)

// handle is the CBOR codec of everything between daemons. It skips fields that
// it does not know.
var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.MaxInitLen = 4096 // a length in a frame is not believed beyond this
	return h
}

// Marshal returns v in CBOR.
func Marshal(v any) []byte {
	var b []byte
	codec.NewEncoderBytes(&b, handle).MustEncode(v)
	return b
}

// Unmarshal reads CBOR from another daemon.
func Unmarshal(b []byte, v any) error {
	return errors.Wrap(codec.NewDecoderBytes(b, handle).Decode(v), "conn: cbor")
}

func encode(m message) []byte { return Marshal(m) }

func decode(b []byte, m *message) error { return Unmarshal(b, m) }

// jitter returns a random share, so that daemons do not act in step.
func jitter() float64 { return rand.Float64() }
