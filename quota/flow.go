// SPDX-License-Identifier: MIT

package quota

import (
	"sync"
	"time"
)

const (
	// assumeAfter is how long after a reader's last report the others are assumed to go on admitting at the
	// same rate: two query intervals and the latency of an answer.
	assumeAfter = time.Second
	// maxAssumed bounds that assumption; after it a daemon that reaches no other uses only its own share of
	// each limit.
	maxAssumed = 4 * time.Second
	// rateWeight is the weight of the newest report in the estimated rate.
	rateWeight = 0.5
)

// Admitted is what another daemon has admitted since its previous report.
type Admitted struct {
	Daemon string // empty for the sum of several
	Team   string
	Units  int64
}

// FlowEstimator tracks what other daemons admit from the reports of one reader at a time. Two reports of the
// same reader give exactly what was admitted between them. Until the next report, and when the reader changes,
// whose sums have another origin, it assumes the rate seen before. The zero value is ready to use.
type FlowEstimator struct {
	mu      sync.Mutex
	source  string // the reader's process
	seen    map[string]int64
	at      time.Time          // of the last report
	rate    map[string]float64 // units per second, by team
	assumed map[string]float64 // counted since the last report by assumption
}

// Take returns the units to charge on a reader's report, which holds what others have admitted, by team.
func (f *FlowEstimator) Take(now time.Time, source string, flow map[string]int64) []Admitted {
	f.mu.Lock()
	defer f.mu.Unlock()
	gap := now.Sub(f.at)
	known := f.source == source
	first := f.at.IsZero()
	if f.rate == nil {
		f.rate = make(map[string]float64)
	}
	var out []Admitted
	for team, n := range flow {
		add := f.rate[team] * min(gap, maxAssumed).Seconds()
		if known {
			add = float64(n - f.seen[team])
			f.rate[team] += rateWeight * (add/max(gap.Seconds(), 0.01) - f.rate[team])
		}
		if units := int64(add - f.assumed[team]); units != 0 && !first {
			out = append(out, Admitted{Team: team, Units: units})
		}
	}
	f.source, f.seen, f.at = source, flow, now
	f.assumed = nil
	return out
}

// Forget resets the state, for a daemon that now learns in another way what others admit.
func (f *FlowEstimator) Forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source, f.seen, f.at, f.assumed = "", nil, time.Time{}, nil
}

// Assume returns the units to charge because no report has arrived for a while.
func (f *FlowEstimator) Assume(now time.Time) []Admitted {
	f.mu.Lock()
	defer f.mu.Unlock()
	gap := now.Sub(f.at)
	if f.at.IsZero() || gap < assumeAfter {
		return nil
	}
	if f.assumed == nil {
		f.assumed = make(map[string]float64)
	}
	var out []Admitted
	for team, rate := range f.rate {
		units := int64(rate*min(gap, maxAssumed).Seconds() - f.assumed[team])
		if units > 0 {
			f.assumed[team] += float64(units)
			out = append(out, Admitted{Team: team, Units: units})
		}
	}
	return out
}
