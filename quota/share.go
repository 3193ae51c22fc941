// SPDX-License-Identifier: MIT

package quota

import "time"

// shareTTL is how long an unused share is kept. An older one is drawn anew, as a full one at each daemon would
// let all of them admit a request at the same moment.
const shareTTL = 2 * time.Second

// AdmitShare admits a request from this daemon's even share of a limit, while it reaches no owner. The share of
// a daemon that has not used it for a while starts at a level that draw, in [0, 1), determines: spread as evenly
// as the levels of daemons that have used theirs for long.
func (q *Buckets) AdmitShare(now time.Time, l Limit, units, draw float64, sharers int) (wait time.Duration, ok bool) {
	if l.Rate <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	n := float64(max(sharers, 1))
	rate, burst := l.Rate/n, l.Burst/n
	s := q.shares[l.Team]
	if s == nil || now.Sub(s.at) > shareTTL {
		s = &bucket{at: now, level: burst - (1-draw)*max(units, burst)}
		q.shares[l.Team] = s
	}
	s.level = min(s.level+now.Sub(s.at).Seconds()*rate, burst)
	s.at = now
	need := min(units, burst)
	if s.level < need {
		return max(seconds((need-s.level)/max(rate, 1e-3)), minRetryAfter), false
	}
	s.level -= units
	if b := q.buckets[l.Team]; b != nil {
		b.charge(units)
	}
	return 0, true
}
