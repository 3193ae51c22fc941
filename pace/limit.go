// SPDX-License-Identifier: MIT

package pace

import "math"

const (
	// minRate replaces lower limits, 0 included: an endpoint can only announce a higher limit in an
	// answer, so it must keep getting requests.
	minRate = 0.1
	// maxRate is the rate from which on a limit is ignored, since no daemon could exceed it.
	maxRate = 1e5
	// rateTolerance is the relative change of a limit that is not sent to other daemons.
	rateTolerance = 0.1
)

// Limit is what an endpoint accepts from all daemons together, as far as this
// daemon knows. The zero value is an endpoint without a limit.
type Limit struct {
	PerSecond float64 `codec:"r,omitempty"` // 0 for none
	Room      int     `codec:"c,omitempty"` // concurrent requests that it accepts without rejecting any; 0 for no limit
	Revision  uint64  `codec:"t,omitempty"` // number of changes, over all daemons that saw one
}

// Named reports whether the endpoint has a limit.
func (l Limit) Named() bool { return l.PerSecond > 0 || l.Room > 0 }

// ValidRate returns the rate to enforce for an announced one, or 0 for no limit; ok is false if the
// announced value is not a valid rate.
func ValidRate(perSecond float64) (float64, bool) {
	switch {
	case math.IsNaN(perSecond), math.IsInf(perSecond, 0), perSecond < 0:
		return 0, false
	case perSecond > maxRate:
		return 0, true
	}
	return max(perSecond, minRate), true
}

// Update returns the limit after an answer that announces a rate and a room, 0 for none, and whether to send it to
// other daemons. An endpoint's own answer takes precedence over what other daemons sent.
func (l Limit) Update(perSecond float64, room int) (next Limit, tell bool) {
	next = Limit{perSecond, room, l.Revision}
	if math.Abs(perSecond-l.PerSecond) <= rateTolerance*l.PerSecond && l.Named() == next.Named() && l.Room == room {
		return next, false
	}
	next.Revision++
	return next, true
}

// Supersedes reports whether l supersedes x, a limit of the same endpoint: the later change wins, and of
// two concurrent ones the stricter.
func (l Limit) Supersedes(x Limit) bool {
	if l.Revision != x.Revision {
		return l.Revision > x.Revision
	}
	return l.Named() && (!x.Named() || l.PerSecond < x.PerSecond || l.Room > 0 && (x.Room == 0 || l.Room < x.Room))
}
