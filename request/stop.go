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
	started chan struct{}
}

// end returns when the server stops; ok is false unless it does.
func (p *plannedStop) end() (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at, !p.at.IsZero()
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

// begin sets when the server stops.
func (p *plannedStop) begin(at time.Time) {
	p.began()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		close(p.started)
	}
	p.at = at
}

// EndBy records that the server stops at a moment: from now on it refuses each request that it has not sent anywhere yet and
// that would probably not have ended by then, and repeats no attempt that would not.
func (s *Server) EndBy(at time.Time) { s.stop.begin(at) }

// EndsTooLate returns an error if the server stops before a request that has been sent nowhere can be expected to have ended.
func (s *Server) EndsTooLate(now time.Time, r *Request) *code.Error { return s.endsTooLate(now, r, 0) }

// endsTooLate is EndsTooLate for a request whose answer has been passed on for some time.
func (s *Server) endsTooLate(now time.Time, r *Request, done time.Duration) *code.Error {
	at, ok := s.stop.end()
	if !ok {
		return nil
	}
	need := s.timeNeeded(now, r) - done
	if left := at.Sub(now); need > left {
		return code.New(code.Draining, "the daemon stops in %s, and the request may take %s", max(left, 0).Round(time.Millisecond), need.Round(time.Millisecond))
	}
	return nil
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
	var done time.Duration
	if x := r.req.Relay; x != nil && x.Started() {
		done = now.Sub(r.firstSent)
	}
	return r.Server.endsTooLate(now, r.req, done)
}

// nextCheck returns after what time a waiting request may have become one that cannot be served in time.
func (r *run) nextCheck(now time.Time) time.Duration {
	next := r.req.Deadline.Sub(now) - r.ticket.Least
	if at, ok := r.stop.end(); ok {
		next = min(next, max(at.Sub(now)-r.timeNeeded(now, r.req), routeRetryInterval))
	}
	return max(next, clock.LeastTimer)
}
