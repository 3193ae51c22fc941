// SPDX-License-Identifier: MIT

package crash

import (
	"slices"
	"time"
)

const (
	// verdictTTL is how long a verdict holds. The endpoints may run other software by then; a
	// request that still crashes them costs three endpoints an hour.
	verdictTTL = time.Hour
	// maxVerdicts bounds the verdicts and so the traffic to exchange them, at 40 bytes each.
	maxVerdicts = 64
	// simultaneousWindow is the time within which crashes of several endpoints may have a common
	// cause, such as a power failure, so that all requests in flight there may be innocent.
	simultaneousWindow = time.Second
	// A request is tried again after uncertainRetryDelay if the crashes were simultaneous, by which
	// time such endpoints are back, and after certainRetryDelay if endpoints crashed one after the
	// other.
	uncertainRetryDelay = 10 * time.Second
	certainRetryDelay   = 10 * time.Minute
	// maxTrials is how often a request that is held back is tried again, each time once over all
	// daemons. A trial may cost an endpoint and all requests in flight there.
	maxTrials = 2
)

// Verdict is the state of a request that is held back.
type Verdict struct {
	Print     Fingerprint
	Crashes   int           // endpoint crashes that it was in flight for
	Trials    int           // times that it was tried again since
	NextTrial time.Time     // earliest time of the next trial
	Until     time.Time     // expiry of the verdict
	With      []Fingerprint // parts of a prompt that a request must have as well to be held back

	issued time.Time // when it came into force here
}

// names reports whether a prompt has all the parts that the verdict names beside its own.
func (v Verdict) names(parts []Fingerprint) bool {
	for _, p := range v.With {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// newVerdict returns the verdict on a request after some crashes within span.
func newVerdict(now time.Time, p Fingerprint, ends int, span time.Duration) Verdict {
	pause := certainRetryDelay
	if span < simultaneousWindow {
		pause = uncertainRetryDelay
	}
	return Verdict{Print: p, Crashes: ends, NextTrial: now.Add(pause), Until: now.Add(verdictTTL), issued: now}
}

// began returns when the verdict was made.
func (v Verdict) began() time.Time { return v.Until.Add(-verdictTTL) }

// Due reports whether the request may be tried again now.
func (v Verdict) Due(now time.Time) bool { return v.Trials < maxTrials && !now.Before(v.NextTrial) }

// Tried returns the verdict after a trial has begun. Unless the trial is answered, the request is
// certain to be the cause.
func (v Verdict) Tried(now time.Time) Verdict {
	v.Trials++
	v.NextTrial = now.Add(certainRetryDelay)
	return v
}

// RetryAt returns when a caller may retry the request.
func (v Verdict) RetryAt() time.Time {
	if v.Trials < maxTrials && v.NextTrial.Before(v.Until) {
		return v.NextTrial
	}
	return v.Until
}

// bounded limits the verdict to the values that a daemon creates, since table rows may have been
// written by others.
func (v Verdict) bounded(now time.Time) Verdict {
	v.Trials = max(v.Trials, 0)
	v.With = v.With[:min(len(v.With), maxWith)]
	if latest := now.Add(verdictTTL); v.Until.After(latest) {
		v.Until = latest
	}
	return v
}

// merge combines two verdicts on one request.
func (v Verdict) merge(x Verdict) Verdict {
	if v.Trials > x.Trials || v.Trials == x.Trials && v.NextTrial.After(x.NextTrial) {
		x.Trials, x.NextTrial = v.Trials, v.NextTrial
	}
	if v.Until.After(x.Until) {
		x.Until = v.Until
	}
	if v.Print == x.Print && len(v.With) < len(x.With) {
		x.With = v.With // the wider one
	}
	x.Crashes, x.issued = max(x.Crashes, v.Crashes), v.issued
	return x
}
