// SPDX-License-Identifier: MIT

package capacity

import (
	"math"
	"time"
)

const (
	// demandRise and demandFall are how fast the demand that is planned for
	// follows the demand that is seen, demandStep is the time over which it is
	// seen.
	demandRise = time.Second
	demandFall = 8 * time.Second
	demandStep = 500 * time.Millisecond
)

// Demand follows how many endpoints would be busy all the time, and how many
// requests run at them. Both follow what is seen only after a while: daemons that
// have all just started get at once what callers have kept back meanwhile. The
// zero value is ready.
type Demand struct {
	Busy    float64 // endpoints that would read all the time
	Running float64 // requests at the endpoints
	Seen    bool    // something was ever asked

	at      time.Time
	read    time.Duration
	counted time.Time // when Running was followed last
}

// Count takes in how many requests are at a service's endpoints, and how many places these have.
// Without any place nothing is learnt: the requests are not there because there is nowhere to be.
func (d *Demand) Count(now time.Time, running, places int) {
	if places <= 0 {
		return
	}
	if !d.counted.IsZero() {
		d.Running += (float64(running) - d.Running) * followed(now.Sub(d.counted), float64(running) > d.Running)
	}
	d.counted = now
}

// followed returns by which share of its distance a value is followed in a time.
func followed(dt time.Duration, rises bool) float64 {
	span := demandFall
	if rises {
		span = demandRise
	}
	return 1 - math.Exp(-dt.Seconds()/span.Seconds())
}

// Take takes in the time of reading ever asked of a service.
func (d *Demand) Take(now time.Time, read time.Duration) {
	if d.at.IsZero() {
		d.at, d.read = now, read
		return
	}
	dt := now.Sub(d.at)
	if dt < demandStep {
		return
	}
	rate := (read - d.read).Seconds() / dt.Seconds()
	d.Seen = d.Seen || rate > 0
	d.Busy += (rate - d.Busy) * followed(dt, rate > d.Busy)
	d.at, d.read = now, read
}
