// SPDX-License-Identifier: MIT

package request

import (
	"time"

	"streambend.example/code"
)

// EndBy records that the server stops at a moment: from now on it refuses each request that it has not sent anywhere yet and
// that would probably not have ended by then.
func (s *Server) EndBy(at time.Time) { s.stopAt.Store(&at) }

// endsTooLate returns an error if the server stops before a request that has been sent nowhere can be expected to have ended.
func (s *Server) endsTooLate(now time.Time, r *Request) *code.Error {
	at := s.stopAt.Load()
	if at == nil {
		return nil
	}
	need := s.timeNeeded(now, r)
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
	if r.life.MayHaveRun {
		return nil
	}
	return r.Server.endsTooLate(now, r.req)
}
