// SPDX-License-Identifier: MIT

package rollout

import "time"

const (
	// idleFor is for how long the old endpoints must have had nothing to do before they are
	// stopped: what daemons tell of that is up to half a second old.
	idleFor = 700 * time.Millisecond
	// endEarly is how long before its deadline an order is completed at the earliest: from then on
	// all requests go to the new version, and the cap leaves less than a second of them.
	endEarly = 700 * time.Millisecond
	// lookFor is how long a version must have had all requests, once no cap holds any more, until
	// the old endpoints are stopped: the order is late by then anyway, and a version that fails
	// under its whole load is found in that time.
	lookFor = 3 * time.Second
	// doubtFor is how long after its deadline an order is given up whose version has not been
	// found to be good: it costs no more than to end it late.
	doubtFor = 15 * time.Second
	// emptyFor is the same without any endpoint of the version: they start within seconds.
	emptyFor = time.Minute
)

// State is what the holder of the duty knows of an order.
type State struct {
	Span
	Finding  Finding
	Ready    int       // endpoints of the new version that take requests
	Enough   int       // of those that the service needs
	Busy     int       // requests at the old endpoints, over all daemons
	IdleFrom time.Time // since when there are none; zero while there are some
	Since    time.Time // when the stage was reached
	Gone     bool      // the order was withdrawn, or another has taken its place
}

// Next returns the stage that follows, and why; the same stage while nothing does. A doubt costs a
// late end, and a wrong guess a bad version for all: when in doubt, nothing follows.
func Next(now time.Time, s State) (next Stage, why string) {
	switch {
	case s.Stage.Ended():
		return s.Stage, ""
	case s.Gone:
		return RolledBack, "withdrawn"
	case s.Finding.Opinion == Bad:
		return RolledBack, s.Finding.Reason()
	case s.Ready == 0 && now.After(s.Deadline.Add(emptyFor)):
		return RolledBack, "no endpoint of the version has come"
	case s.Ready > 0 && s.Finding.Opinion != Good && now.After(s.Deadline.Add(doubtFor)):
		return RolledBack, "not found to be good in time: " + s.Finding.Reason()
	case s.Stage == Watching && s.Finding.Opinion == Good && s.Ready >= s.Enough:
		return Shifting, "as good as the old version on each route"
	case s.Stage == Shifting && s.Finding.Opinion == Good && s.idle(now) && s.Ready >= s.Enough:
		return Completed, "all requests are at the new version"
	}
	return s.Stage, ""
}

// idle reports whether the old endpoints have had nothing to do for long enough, at a time from
// which on they may be stopped.
func (s State) idle(now time.Time) bool {
	if s.Busy > 0 || s.IdleFrom.IsZero() || now.Sub(s.IdleFrom) < idleFor {
		return false
	}
	inTime := !now.Before(s.Deadline.Add(-endEarly)) && now.Before(s.Deadline)
	return inTime || now.Sub(s.Deadline) >= deadlineSlack+lookFor && now.Sub(s.Since) >= lookFor
}
