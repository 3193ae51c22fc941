// SPDX-License-Identifier: MIT

// Package pace enforces the rate limits that endpoints announce, over all daemons together.
//
// One daemon owns the limit of an endpoint; all daemons with the same member list choose the same
// owner. It grants each request that any daemon wants to send there:
//
//	var l pace.Limiter
//	g := l.Allow(now, endpoint, limit.PerSecond, asker)
//	if !g.OK {
//		// don't send; ask again after g.Wait
//	}
//
// An endpoint that must not reject any request limits its concurrent requests instead: the owner counts them in an
// Occupancy, with Enter and Leave.
//
// A daemon that cannot reach an owner uses an even share of the limit, with a Limiter of its own.
// Daemons exchange the limits that endpoints announce as a Limit. The package does no input or
// output; callers pass the current time.
package pace
