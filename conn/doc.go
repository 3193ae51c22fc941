// SPDX-License-Identifier: MIT

// Package conn holds what lives as long as a connection: the client of an
// endpoint, and the links and the overlay between daemons.
//
// An endpoint's client says of each failure whether the request can have
// reached the endpoint, since that decides what may be sent again:
//
//	s, err := client.Open(ctx, call)
//	var f *conn.Failure
//	if errors.As(err, &f) && !f.Sent { ... nothing has run ... }
//
// Mesh decides what goes over which link and does no input or output of its
// own; Hub moves its messages over WebSockets.
package conn
