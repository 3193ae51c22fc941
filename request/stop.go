// SPDX-License-Identifier: MIT

package request

import (
	"sync"
	"time"

	"streambend.example/clock"
	"streambend.example/code"
)

// plannedStop is when the server stops as planned. The zero value is ready to use.
type plannedStop struct {
	mu      sync.Mutex
	at      time.Time // zero unless the server stops
	strict  time.Time // from then on requests that may be repeated have to end surely, too
	started chan struct{}
}

// end returns when the server stops, and from when on it is strict; ok is false unless it stops.
func (p *plannedStop) end() (strict, at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strict, p.at, !p.at.IsZero()
}

// began returns a channel that is closed once the server begins to stop.
func (p *plannedStop) began() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.started == nil {
		p.started = make(chan struct{})
	}
	return p.started
}

// begin sets when the server stops, and from when on it is strict.
func (p *plannedStop) begin(strict, at time.Time) {
	p.began()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		close(p.started)
	}
	p.strict, p.at = strict, at
}

// EndBy records that the server stops at a moment. From now on it refuses each request that it has not sent anywhere yet and
// that could not end by then: for one that may not be repeated by the most that it may take, as its answer would be lost, and for
// others by what such requests take, as they can go on elsewhere. From strict on the most counts for all. It repeats no attempt
// that would probably not end.
func (s *Server) EndBy(strict, at time.Time) { s.stop.begin(strict, at) }

// EndsTooLate returns an error if the server stops before a request that has been sent nowhere can be expected to have ended.
func (s *Server) EndsTooLate(now time.Time, r *Request) *code.Error {
	strict, at, ok := s.stop.end()
	if !ok {
		return nil
	}
	return tooLate(now, at, s.firstNeeded(now, strict, r))
}

// endsTooLateAgain is EndsTooLate for a request that has been sent to an endpoint, and whose answer has been passed on for some
// time.
func (s *Server) endsTooLateAgain(now time.Time, r *Request, done time.Duration) *code.Error {
	_, at, ok := s.stop.end()
	if !ok {
		return nil
	}
	return tooLate(now, at, s.timeNeeded(now, r)-done)
}

// tooLate returns an error if the server stops before a request that takes some time has ended.
func tooLate(now, at time.Time, need time.Duration) *code.Error {
	if left := at.Sub(now); need > left {
		return code.New(code.Draining, "the daemon stops in %s, and the request may take %s", max(left, 0).Round(time.Millisecond), need.Round(time.Millisecond))
	}
	return nil
}

// firstNeeded returns the time that the server has to have left for a request that has been sent nowhere.
func (s *Server) firstNeeded(now, strict time.Time, r *Request) time.Duration {
	if r.Unrepeatable || !now.Before(strict) {
		return max(s.timeNeeded(now, r), s.mostNeeded(now, r))
	}
	return s.timeNeeded(now, r)
}

// mostNeeded returns the time within which a request ends in any case: a stream that has the most tokens that its caller names, at
// the pace that the service has now; else its deadline.
func (s *Server) mostNeeded(now time.Time, r *Request) time.Duration {
	most := r.Deadline.Sub(now)
	x := r.Relay
	if x == nil || !x.Streaming {
		return most
	}
	longest, ok := s.Works.Get(&r.Service).Streams.Longest(now, x.PromptTokens, x.MostTokens, s.active.streams(now, r.Service.Key()))
	if !ok {
		return most
	}
	return min(most, longest)
}

// timeNeeded returns the time within which a request probably ends. One of which nothing is known may take until its
// deadline.
func (s *Server) timeNeeded(now time.Time, r *Request) time.Duration {
	most := r.Deadline.Sub(now)
	bound, ok := s.Works.Get(&r.Service).Times.Bound(now, r.Route.Name, r.size())
	if !ok {
		return most
	}
	return min(most, max(bound, s.active.longest(now, r)))
}

// endsTooLate returns an error if the server stops before the request can be expected to have ended.
func (r *run) endsTooLate(now time.Time) *code.Error {
	if r.attempts == 0 || r.req.Unrepeatable {
		return r.Server.EndsTooLate(now, r.req)
	}
	var done time.Duration
	if x := r.req.Relay; x != nil && x.Started() {
		done = now.Sub(r.firstSent)
	}
	return r.endsTooLateAgain(now, r.req, done)
}

// nextCheck returns after what time a waiting request may have become one that cannot be served in time.
func (r *run) nextCheck(now time.Time) time.Duration {
	next := r.req.Deadline.Sub(now) - r.ticket.Least
	if strict, at, ok := r.stop.end(); ok {
		next = min(next, max(at.Sub(now)-r.firstNeeded(now, strict, r.req), routeRetryInterval))
		if now.Before(strict) {
			next = min(next, strict.Sub(now))
		}
	}
	return max(next, clock.LeastTimer)
}
