// SPDX-License-Identifier: MIT

package rollout

import "time"

const (
	// minIdle is how long the old endpoints must have had no requests before they are stopped.
	// Reports of other daemons are up to half a second old.
	minIdle = 700 * time.Millisecond
	// completionLead is how long before its deadline an order may complete at the earliest. From
	// then on all requests go to the new version, which the cap allows for less than a second.
	completionLead = 700 * time.Millisecond
	// minFullLoad is how long a version must have had all requests after the cap has ended before
	// the old endpoints are stopped. The order is late by then anyway, and a version that fails
	// under the full load shows it in that time.
	minFullLoad = 3 * time.Second
	// undecidedTimeout is how long after its deadline an order is rolled back whose version was not
	// found good; that costs no more than completing late.
	undecidedTimeout = 15 * time.Second
	// noEndpointTimeout is the same for a version without any endpoint; endpoints start within
	// seconds.
	noEndpointTimeout = time.Minute
)

// State is what the lease holder knows of an order.
type State struct {
	Span
	Finding   Finding
	Ready     int       // endpoints of the new version that accept requests
	Enough    int       // how many of them the service needs
	Busy      int       // requests at the old endpoints, over all daemons
	IdleFrom  time.Time // when the last of them ended; zero while there are some
	Since     time.Time // when the stage was entered
	Withdrawn bool      // the order was withdrawn or replaced by another
}

// Next returns the next stage and the reason, or the current stage if nothing changes. It doesn't
// change the stage without clear evidence: waiting only delays completion, while a wrong decision
// sends all requests to a bad version.
func Next(now time.Time, s State) (next Stage, why string) {
	switch {
	case s.Stage.Ended():
		return s.Stage, ""
	case s.Withdrawn:
		return RolledBack, "withdrawn"
	case s.Finding.Opinion == Bad:
		return RolledBack, s.Finding.Reason()
	case s.Ready == 0 && now.After(s.Deadline.Add(noEndpointTimeout)):
		return RolledBack, "no endpoint of the version has come"
	case s.Ready > 0 && s.Finding.Opinion != Good && now.After(s.Deadline.Add(undecidedTimeout)):
		return RolledBack, "not found to be good in time: " + s.Finding.Reason()
	case s.Stage == Watching && s.Finding.Opinion == Good && s.Ready >= s.Enough:
		return Shifting, "as good as the old version on each route"
	case s.Stage == Shifting && s.Finding.Opinion == Good && s.oldIdle(now) && s.Ready >= s.Enough:
		return Completed, "all requests are at the new version"
	}
	return s.Stage, ""
}

// oldIdle reports whether the old endpoints have been idle for long enough and the order may
// complete now.
func (s State) oldIdle(now time.Time) bool {
	if s.Busy > 0 || s.IdleFrom.IsZero() || now.Sub(s.IdleFrom) < minIdle {
		return false
	}
	inTime := !now.Before(s.Deadline.Add(-completionLead)) && now.Before(s.Deadline)
	return inTime || now.Sub(s.Deadline) >= deadlineSlack+minFullLoad && now.Sub(s.Since) >= minFullLoad
}
