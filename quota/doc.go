// SPDX-License-Identifier: MIT

// Package quota enforces the limits of teams over all daemons.
//
// Buckets holds a token bucket for each team. One daemon, the owner, grants the units of a team's requests to all:
//
//	if !b.AdmitLocal(now, limit, units, share, sharers) {
//		g := b.Grant(now, limit, quota.Query{Asker: name, Units: units, Key: key, Wait: wait}, 1) // at the owner
//		// g.OK: admitted; g.Booked: a repeat after g.Wait is admitted
//	}
//
// The other daemons keep copies of the bucket, which are charged with what all report: AdmitLocal admits from a copy
// while a team is far from its limit, and a copy becomes the exact bucket when its daemon becomes the owner.
// AdmitShare admits from an even share of the limit while no owner is reached. FlowEstimator turns the reports of a
// reader into charges, and Fleet says which fraction of a limit a daemon may use by itself.
//
// The package does no input or output; callers pass the current time.
package quota
