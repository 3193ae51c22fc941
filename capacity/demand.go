// SPDX-License-Identifier: MIT

package capacity

import (
	"math"
	"time"
)

const (
	// riseTime and fallTime are the time constants by which the estimate follows a rising and a
	// falling load; sampleInterval is the least time between two samples.
	riseTime       = time.Second
	fallTime       = 8 * time.Second
	sampleInterval = 500 * time.Millisecond
)

// Demand estimates the number of endpoints that would be busy all the time, and the number of
// requests running at endpoints. Both are smoothed: daemons that have all just started get at once
// the requests that callers held back. The zero value is ready.
type Demand struct {
	Busy    float64 // endpoints that would process prompts all the time
	Running float64 // requests running at endpoints
	Seen    bool    // there was ever any load

	sampledAt time.Time
	readTotal time.Duration
	countedAt time.Time // when Running was last updated
}

// SetRunning updates Running with the requests at a service's endpoints, given the number of slots that
// these have. With no slots it does nothing: no request can run then, whatever the load.
func (d *Demand) SetRunning(now time.Time, running, places int) {
	if places <= 0 {
		return
	}
	if !d.countedAt.IsZero() {
		d.Running += (float64(running) - d.Running) * smoothing(now.Sub(d.countedAt), float64(running) > d.Running)
	}
	d.countedAt = now
}

// smoothing returns the weight of a new sample after dt.
func smoothing(dt time.Duration, rises bool) float64 {
	timeConstant := fallTime
	if rises {
		timeConstant = riseTime
	}
	return 1 - math.Exp(-dt.Seconds()/timeConstant.Seconds())
}

// AddReadTime updates Busy with the total time of prompt processing requested of a service so far.
func (d *Demand) AddReadTime(now time.Time, read time.Duration) {
	if d.sampledAt.IsZero() {
		d.sampledAt, d.readTotal = now, read
		return
	}
	dt := now.Sub(d.sampledAt)
	if dt < sampleInterval {
		return
	}
	rate := (read - d.readTotal).Seconds() / dt.Seconds()
	d.Seen = d.Seen || rate > 0
	d.Busy += (rate - d.Busy) * smoothing(dt, rate > d.Busy)
	d.sampledAt, d.readTotal = now, read
}
