// SPDX-License-Identifier: MIT

package request

import "sync/atomic"

// Counters count requests by outcome, and their moves and retries.
type Counters struct {
	Accepted atomic.Int64
	Complete atomic.Int64
	Late     atomic.Int64
	Refused  atomic.Int64
	Unknown  atomic.Int64
	Moves    atomic.Int64
	Exports  atomic.Int64
	Retries  atomic.Int64 // attempts charged to the retry budget
	Denied   atomic.Int64 // attempts after which the retry budget allowed no retry
	CutOff   atomic.Int64 // attempts whose endpoint closed the connection

	Forwarded atomic.Int64 // attempts through other daemons
	Unbound   atomic.Int64 // endpoints chosen from a list beyond its bound

	PlainByReport atomic.Int64 // plain calls routed by a fresh load report
	PlainByMean   atomic.Int64 // plain calls routed by the mean load of endpoints
	PlainByCounts atomic.Int64 // plain calls routed by counts of requests
}

// countPlain counts a plain call by what its choice was based on.
func (c *Counters) countPlain(why string) {
	switch why {
	case whyFreshReport:
		c.PlainByReport.Add(1)
	case whyMeanLoad:
		c.PlainByMean.Add(1)
	default:
		c.PlainByCounts.Add(1)
	}
}
