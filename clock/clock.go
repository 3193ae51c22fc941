// SPDX-License-Identifier: MIT

package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns how long the box has been suspended since it booted. Tests replace it before they
// start the code under test.
var Suspended = measureSuspension

// measureSuspension compares the clock that includes suspensions with the one that Go's timers use.
// It returns 0 where the clocks cannot be read.
func measureSuspension() time.Duration {
	var before, boot, after unix.Timespec
	for range maxReadings {
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		if after.Nano()-before.Nano() < int64(maxReadTime) {
			return time.Duration(boot.Nano() - before.Nano())
		}
	}
	return time.Duration(boot.Nano() - after.Nano()) // delayed each time: a lower bound
}

const (
	// The clocks are read up to maxReadings times for one comparison, until a reading takes less
	// than maxReadTime: a delay of the process between two clocks would be taken for a suspension.
	maxReadings = 3
	maxReadTime = 5 * time.Millisecond
)

// suspendedTotal is the result of the last Refresh, in nanoseconds.
var suspendedTotal atomic.Int64

// Refresh updates the time that the box was suspended since it booted, and returns it. It takes three
// system calls, so Now does not call it: call it after a wait and before checking the age of
// something.
func Refresh() time.Duration {
	d := Suspended()
	suspendedTotal.Store(int64(d))
	return d
}

// Now returns the current time, including suspensions up to the last Refresh.
func Now() time.Time { return time.Now().Add(time.Duration(suspendedTotal.Load())) }

// Since returns the time since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a result of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
