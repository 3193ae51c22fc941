// SPDX-License-Identifier: MIT

package request

import (
	"io"
	"sync/atomic"
)

// Memory bounds the bytes of bodies and answers that requests hold at once. A nil Memory has no bound.
type Memory struct {
	size int64
	used atomic.Int64
	// Streamed counts answers that were passed on while they arrived, since they were too large to hold.
	Streamed atomic.Int64
}

// NewMemory returns a Memory of a size in bytes.
func NewMemory(size int64) *Memory { return &Memory{size: size} }

// Size returns the bound in bytes.
func (m *Memory) Size() int64 { return m.size }

// Used returns the bytes that are held.
func (m *Memory) Used() int64 { return m.used.Load() }

// reserve reserves bytes unless more than a share of the size would then be used, and reports whether it
// did.
func (m *Memory) reserve(n int64, share float64) bool {
	most := int64(share * float64(m.size))
	for {
		used := m.used.Load()
		if used+n > most {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Hold returns an empty reservation for one request.
func (m *Memory) Hold() *Held { return &Held{memory: m} }

// Held is what one request holds of a Memory. It is used by one goroutine. A nil Held has no bound.
type Held struct {
	memory *Memory
	bytes  int64
}

const (
	// answerShare is the share of a Memory that may be in use for a large answer to be held. The rest
	// accepts requests while many large answers wait for slow callers.
	answerShare = 0.5
	// openAnswerShare is that share for answers without a length, which may have no end.
	openAnswerShare = 0.25
	// BaseBytes is what a request holds at least: the buffers of its two connections, the stacks of its
	// goroutines, and copyBytes. 400 callers took 68 KB each on the heap, with their endpoint's side.
	BaseBytes = 64 << 10
	// copyBytes is the size of the buffer through which an answer is streamed, and of the answers that are
	// held whatever the use of the memory.
	copyBytes = 16 << 10
	// firstBytes is the initial size of a buffer that grows as its content arrives. A sender that announces
	// a large body and sends little takes little memory.
	firstBytes = 8 << 10
)

// Grow reserves more bytes, and reports whether there is memory left for them.
func (h *Held) Grow(n int) bool { return h.grow(n, 1) }

// grow is Grow within a share of the memory.
func (h *Held) grow(n int, share float64) bool {
	if h == nil || h.memory == nil {
		return true
	}
	if n > 0 && !h.memory.reserve(int64(n), share) {
		return false
	}
	h.bytes += int64(n)
	return true
}

// size returns the reserved bytes.
func (h *Held) size() int64 {
	if h == nil {
		return 0
	}
	return h.bytes
}

// shrinkTo releases all bytes beyond a size.
func (h *Held) shrinkTo(size int64) {
	if h == nil || h.memory == nil {
		return
	}
	h.memory.used.Add(size - h.bytes)
	h.bytes = size
}

// Release releases all bytes.
func (h *Held) Release() { h.shrinkTo(0) }

// countStreamed counts an answer that is streamed since it is too large to hold.
func (h *Held) countStreamed() {
	if h != nil && h.memory != nil {
		h.memory.Streamed.Add(1)
	}
}

// Body reads a request's body of at most limit bytes into memory that it reserves as the content arrives. If
// the limit or the memory is reached, it returns what it has read with whole false.
func (h *Held) Body(r io.Reader, limit int) (b []byte, whole bool, err error) {
	return h.read(r, limit, 0, 1)
}

// answer is Body for a plain answer; open is true if its length is not known.
func (h *Held) answer(r io.Reader, open bool) (b []byte, whole bool, err error) {
	share := answerShare
	if open {
		share = openAnswerShare
	}
	return h.read(r, maxAnswerBytes, copyBytes, share)
}

// read is Body without a reservation for the covered bytes, within a share of the memory.
func (h *Held) read(r io.Reader, limit, covered int, share float64) (b []byte, whole bool, err error) {
	for {
		if len(b) == cap(b) {
			more := min(max(cap(b), firstBytes), limit-cap(b))
			cost := max(cap(b)+more-covered, 0) - max(cap(b)-covered, 0)
			if more <= 0 || !h.grow(cost, share) {
				return b, false, nil
			}
			b = append(make([]byte, 0, cap(b)+more), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, true, nil
		}
		if err != nil {
			return b, false, err
		}
	}
}
