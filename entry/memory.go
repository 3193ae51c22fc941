// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"streambend.example/code"
	"streambend.example/platform"
	"streambend.example/request"
)

const (
	// heldShare is the share of the box's memory that bodies and answers may occupy. The garbage collector
	// keeps the heap within half of the box.
	heldShare = 0.25
	// usualMemory is the memory of a box whose settings name none.
	usualMemory = 256 << 20
	// memoryRetryAfter is when a caller may come back that was refused for lack of memory. Answers to slow
	// callers occupy it, for seconds.
	memoryRetryAfter = time.Second
	// stallShare is the share of a request's time after which a caller that has read nothing is
	// disconnected, within minStall and maxStall.
	stallShare = 0.25
	minStall   = time.Second
	maxStall   = 5 * time.Second
)

func newBuffers(s platform.Site) *request.Memory {
	bytes := s.MemoryBytes
	if bytes <= 0 {
		bytes = usualMemory
	}
	return request.NewMemory(int64(heldShare * float64(bytes)))
}

// stallBound returns for how long a caller may read nothing that gives a request so much time.
func stallBound(wait time.Duration) time.Duration {
	return min(max(time.Duration(stallShare*float64(wait)), minStall), maxStall)
}

// errNoMemory refuses a request that has not been sent anywhere.
func errNoMemory() *code.Error {
	return code.New(code.Overloaded, "no memory left for the request").After(memoryRetryAfter)
}
