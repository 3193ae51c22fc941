// SPDX-License-Identifier: MIT

// Package conn implements the connections of a daemon: the HTTP client for
// endpoints, and the links and the overlay network between daemons.
//
// Each failure of an endpoint call records whether the request may have reached
// the endpoint, since that decides whether it may be retried:
//
//	s, err := client.Open(ctx, call)
//	var f *conn.Failure
//	if errors.As(err, &f) && !f.Sent { ... not executed, safe to retry ... }
//
// Mesh implements the overlay protocol and does no I/O; Hub carries its
// messages over WebSockets.
package conn
