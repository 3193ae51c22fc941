// SPDX-License-Identifier: MIT

package rollout

import "time"

// Cap bounds what an untried version may get.
type Cap struct {
	Share float64       // of the requests of its service between the order and its deadline
	Slack float64       // requests more, over all daemons
	Back  time.Duration // nothing later than this after its 50th bad answer
}

const (
	// watchShare is the part of the cap that is spent on watching a version; the rest is kept
	// for the last seconds before the deadline, in which long answers go to the new version
	// so that the old endpoints are idle when they are stopped.
	watchShare = 0.6
	// lateShare is the same once the deadline is over and no cap holds any more.
	lateShare = 2.0
	// deadlineSlack is how long after the deadline, as heard of here, the cap holds: the
	// true one is at most this much later than the word of an order takes to come.
	deadlineSlack = 500 * time.Millisecond
	// endTimes is how much longer than expected an answer is reckoned to take: callers guess
	// its length right at the median, and often far off.
	endTimes = 2.0
	// evenLead is how many requests a route may be ahead of an even part of what was given: at 0
	// the rarest would hold up all others, and with more it would be seen last.
	evenLead = 0.7
)

// Ask is a request as the share looks at it.
type Ask struct {
	Route  string
	Expect time.Duration // until its answer is whole
}

// Span is the time of an order at this daemon.
type Span struct {
	Stage    Stage
	Deadline time.Time // of the order, as heard of here
}

// Capped reports whether the cap holds.
func (s Span) Capped(now time.Time) bool { return now.Before(s.Deadline.Add(deadlineSlack)) }

// Share decides which requests of a service go to a version on trial. All daemons together must
// keep the cap though each knows only its own requests.
type Share interface {
	// Take counts a request, and reports whether it goes to the version on trial.
	Take(now time.Time, s Span, a Ask) bool
	// Return takes back what Take has given, as no endpoint of the version could take it.
	Return(a Ask)
	// Unsent takes a request back that Take has counted, as it was sent nowhere: the cap is a
	// share of what reaches the service.
	Unsent(a Ask)
}

// Bucket is a Share by what this daemon itself has seen: for each request the cap's share of one
// is added, and each that goes to the version takes one. What is not spent while the new endpoints
// start is spent later, and a daemon that has just started, or that is cut off, is within its own
// part of the cap whatever others do. No slack is used: it covers what is on its way as an order
// is heard of. Each route gets the same part, so that a rare one is seen as soon as the others.
type Bucket struct {
	Cap Cap
	// Lead is what the bucket holds at first, below 1 and another at each daemon, so that
	// daemons which see a few requests each do not all round down.
	Lead float64

	seen   float64 // requests
	given  float64 // to the version
	routes map[string]float64
}

// Take implements Share.
func (b *Bucket) Take(now time.Time, s Span, a Ask) bool {
	if b.routes == nil {
		b.routes = make(map[string]float64)
	}
	b.seen++
	b.routes[a.Route] += 0 // it is one of the routes
	if !b.due(now, s, a) {
		return false
	}
	b.given++
	b.routes[a.Route]++
	return true
}

// Return implements Share. What an earlier order's bucket has given is not this one's to take back.
func (b *Bucket) Return(a Ask) {
	if b.routes[a.Route] <= 0 {
		return
	}
	b.given--
	b.routes[a.Route]--
}

// Unsent implements Share.
func (b *Bucket) Unsent(Ask) { b.seen-- }

// due reports whether a request is to go to the version.
func (b *Bucket) due(now time.Time, s Span, a Ask) bool {
	switch {
	case s.Stage == Shifting && !s.Capped(now):
		return true
	case s.Stage == Shifting && b.late(now, s, a):
		return b.room(1)
	case s.Stage == Shifting, s.Stage == Watching && s.Capped(now):
		return b.room(watchShare) && b.even(a)
	case s.Stage == Watching:
		// No cap holds any more, but a version that is not trusted yet gets no more than
		// it takes to learn.
		return b.room(lateShare) && b.even(a)
	}
	return false
}

// late reports whether an answer may not be whole by the time at which the old endpoints are to be
// idle.
func (b *Bucket) late(now time.Time, s Span, a Ask) bool {
	return now.Add(time.Duration(endTimes * float64(a.Expect))).After(s.Deadline.Add(-endEarly - idleFor))
}

// room reports whether one more is within a part of the cap.
func (b *Bucket) room(part float64) bool { return b.given+1-b.Lead <= part*b.Cap.Share*b.seen }

// even reports whether a route has had no more than its even part of what was given.
func (b *Bucket) even(a Ask) bool {
	return b.routes[a.Route] <= b.given/float64(len(b.routes))+evenLead
}
