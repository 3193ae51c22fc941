// SPDX-License-Identifier: MIT

package rollout

import "time"

// Cap bounds the requests that a version on trial may get.
type Cap struct {
	Share        float64       // of the service's requests between the order and its deadline
	Slack        float64       // additional requests, over all daemons
	RollbackTime time.Duration // no requests later than this after its 50th bad answer
}

const (
	// watchShare is the part of the cap that is used to compare a version. The rest is for the last
	// seconds before the deadline, when long requests go to the new version so that the old
	// endpoints are idle when they are stopped.
	watchShare = 0.6
	// overdueShare is the same after the deadline, when no cap applies any more.
	overdueShare = 2.0
	// deadlineSlack is how long after the deadline, as this daemon knows it, the cap applies. The
	// true deadline is later by at most the time that the order takes to reach this daemon.
	deadlineSlack = 500 * time.Millisecond
	// durationMargin is the factor applied to the expected duration of an answer: callers' estimates
	// are right at the median but often far off.
	durationMargin = 2.0
	// routeLead is how many requests a route may be ahead of its even part. At 0 the rarest route
	// would hold up all others; with more it would be observed last.
	routeLead = 0.7
)

// Ask describes a request to a Share.
type Ask struct {
	Route  string
	Expect time.Duration // expected time until its answer is complete
}

// Span is the stage and deadline of an order at this daemon.
type Span struct {
	Stage    Stage
	Deadline time.Time // of the order, as this daemon knows it
}

// Capped reports whether the cap still applies.
func (s Span) Capped(now time.Time) bool { return now.Before(s.Deadline.Add(deadlineSlack)) }

// Share decides which requests of a service go to a version on trial. All daemons together must stay
// within the cap, though each knows only its own requests.
type Share interface {
	// Take counts a request and reports whether it goes to the version on trial.
	Take(now time.Time, s Span, a Ask) bool
	// Return undoes a Take that reported true, when no endpoint of the version could take the
	// request.
	Return(a Ask)
	// Unsent undoes the count of a request that was sent nowhere, as the cap is a share of the
	// requests that are sent.
	Unsent(a Ask)
}

// Bucket is a Share that works like a token bucket on this daemon's requests: each request adds the
// cap's share of a token, and each request to the new version takes one. Tokens left over while the
// new endpoints start are used later. A daemon that has just started or is partitioned stays within
// its own part of the cap, whatever the others do.
//
// Bucket doesn't use the cap's slack, which covers requests under way while the order spreads. Each
// route gets the same part, so that a rare route is observed as soon as the others.
type Bucket struct {
	Cap Cap
	// InitialCredit is the initial credit, below 1 and different at each daemon, so that daemons with few
	// requests don't all round down.
	InitialCredit float64

	requests float64 // requests
	taken    float64 // requests sent to the version on trial
	routes   map[string]float64
}

// Take implements Share.
func (b *Bucket) Take(now time.Time, s Span, a Ask) bool {
	if b.routes == nil {
		b.routes = make(map[string]float64)
	}
	b.requests++
	b.routes[a.Route] += 0 // creates the entry of the route
	if !b.admit(now, s, a) {
		return false
	}
	b.taken++
	b.routes[a.Route]++
	return true
}

// Return implements Share. It ignores requests that were taken from the bucket of an earlier order.
func (b *Bucket) Return(a Ask) {
	if b.routes[a.Route] <= 0 {
		return
	}
	b.taken--
	b.routes[a.Route]--
}

// Unsent implements Share.
func (b *Bucket) Unsent(Ask) { b.requests-- }

// admit reports whether a request goes to the version on trial.
func (b *Bucket) admit(now time.Time, s Span, a Ask) bool {
	switch {
	case s.Stage == Shifting && !s.Capped(now):
		return true
	case s.Stage == Shifting && b.endsLate(now, s, a):
		return b.withinCap(1)
	case s.Stage == Shifting, s.Stage == Watching && s.Capped(now):
		return b.withinCap(watchShare) && b.hasEvenPart(a)
	case s.Stage == Watching:
		// No cap applies any more, but a version that was not found good gets only as many requests
		// as the analysis needs.
		return b.withinCap(overdueShare) && b.hasEvenPart(a)
	}
	return false
}

// endsLate reports whether the answer may not be complete by the time at which the old endpoints
// must be idle.
func (b *Bucket) endsLate(now time.Time, s Span, a Ask) bool {
	return now.Add(time.Duration(durationMargin * float64(a.Expect))).After(s.Deadline.Add(-completionLead - minIdle))
}

// withinCap reports whether one more request is within a part of the cap.
func (b *Bucket) withinCap(part float64) bool {
	return b.taken+1-b.InitialCredit <= part*b.Cap.Share*b.requests
}

// hasEvenPart reports whether the route has had no more than its even part of the requests, plus
// routeLead.
func (b *Bucket) hasEvenPart(a Ask) bool {
	return b.routes[a.Route] <= b.taken/float64(len(b.routes))+routeLead
}
