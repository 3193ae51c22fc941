// SPDX-License-Identifier: MIT

package request

import (
	"time"

	"streambend.example/code"
)

// EndBy records that the server stops at a moment: from now on it refuses each request that it has not sent anywhere yet and
// that would probably not have ended by then.
func (s *Server) EndBy(at time.Time) { s.stopAt.Store(&at) }

// endsTooLate returns an error if the server stops before the request can be expected to have ended. One of which nothing
// is known may take until its deadline.
func (r *run) endsTooLate(now time.Time) *code.Error {
	at := r.stopAt.Load()
	if at == nil || r.life.MayHaveRun {
		return nil
	}
	need := r.req.Deadline.Sub(now)
	if bound, ok := r.work.Times.Bound(r.req.Route.Name); ok {
		need = min(need, bound)
	}
	if left := at.Sub(now); need > left {
		return code.New(code.Draining, "the daemon stops in %s, and the request may take %s", max(left, 0).Round(time.Millisecond), need.Round(time.Millisecond))
	}
	return nil
}
