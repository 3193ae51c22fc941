// SPDX-License-Identifier: MIT

// Package entry implements the daemon that runs on an entry box of the users' platform. It accepts
// callers' requests in the platform's format and passes them to a request.Server, as the project's
// own interface does.
//
// The package holds the state that lives as long as the process: the catalog and its freshness, the
// endpoints known from the store, the tallies that daemons exchange, the limits of teams, and the
// duties that one daemon at a time performs under a lease.
//
//	d, err := entry.New(site, entry.Network(), log, 0)
//	<-ctx.Done()
//	d.Stop(context.Background())
//
// The decision logic (Quota, Tallies, capacity.Plan) takes the present time as an argument
// and does no input or output.
package entry
