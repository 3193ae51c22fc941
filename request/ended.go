// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"time"
)

// endedExclusion is how long an endpoint that is known to have ended is excluded: until its registry entry
// expires, after three heartbeats of 1.2 s.
const endedExclusion = 3600 * time.Millisecond

// Gone excludes an endpoint that is known to have ended, and reports whether it was not excluded before.
func (t *Target) Gone(now time.Time) (fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh = !t.excluded.Load()
	t.softEjected.Store(false)
	t.excludeUntil(now.Add(endedExclusion))
	t.failures = 0
	t.excluded.Store(true)
	t.goneAt.Store(now.UnixNano())
	return fresh
}

// Ended reports whether the endpoint is excluded as ended.
func (t *Target) Ended() bool { return t.goneAt.Load() != 0 }

// bufferedTime is how long after the end of an endpoint its data may still be read from buffers.
const bufferedTime = 250 * time.Millisecond

// recordData records that the endpoint has sent data. One that was excluded as ended is readmitted: the daemon that
// reported its end may have lost the path to it.
func (t *Target) recordData(now func() time.Time) {
	at := t.goneAt.Load()
	if at == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := now(); n.UnixNano()-at > bufferedTime.Nanoseconds() && t.goneAt.CompareAndSwap(at, 0) && t.class != Leaving && !t.superseded.Load() {
		t.ejectedUntil = n
		t.excluded.Store(false)
	}
}

// EndRamp ends the ramp of an endpoint that was ejected while this daemon had lost the path to it.
func (t *Target) EndRamp() { t.ramp.Store(math.Float32bits(1)) }

// Readmit ends the ejection of an endpoint to which this daemon has a path again, without a ramp.
func (t *Target) Readmit(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.class == Leaving || t.superseded.Load() {
		return
	}
	t.failures, t.ejectedUntil, t.ejectedFor = 0, now, 0
	t.goneAt.Store(0)
	t.softEjected.Store(false)
	t.excluded.Store(false)
	t.EndRamp()
}
