// SPDX-License-Identifier: MIT

// Package pace keeps endpoints that limit themselves to the requests a second that they take
// from all daemons together.
//
// One daemon, the owner of the limit, the same for all that know the same members, grants
// each request that any of them sends to such an endpoint:
//
//	var l pace.Limiter
//	g := l.Allow(now, endpoint, limit.PerSecond, asker)
//	if !g.OK {
//		// not sent there; worth asking again after g.Wait
//	}
//
// A daemon that hears nobody who grants uses an even share, by a Limiter of its own. What an
// endpoint names is a Limit, which daemons tell each other. The package does no input or
// output, and is given the present time.
package pace
