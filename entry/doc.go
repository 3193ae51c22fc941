// SPDX-License-Identifier: MIT

// Package entry runs a daemon on an entry box of the users' platform. It takes
// callers' requests as the platform's clients send them, and hands them to the
// same request.Server that the project's own interface uses.
//
// What lives as long as the process is here: the catalog and how fresh it is,
// the endpoints known from the store, the tallies that daemons exchange, limits
// of teams, and the duties that one daemon at a time holds under a lease.
//
//	d, err := entry.New(site, entry.Network(), log, 0)
//	<-ctx.Done()
//	d.Stop(context.Background())
//
// What decides (Freshness, Quota, Tallies, capacity.Plan) is given the present time
// and does no input or output.
package entry
