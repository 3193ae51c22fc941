// SPDX-License-Identifier: MIT

// Package reach decides which services a daemon has a network path to, and which other daemon serves its callers
// meanwhile.
//
// Paths is told the outcome of each attempt to open a connection to an endpoint:
//
//	paths.Opened(now, service)
//	paths.Failed(now, service, endpoint, listed)
//	for _, e := range paths.Probes(now, service, endpoints) { ... } // open a connection, and tell the outcome
//	if paths.Lost(service) { ... }                                  // send requests through another daemon
//
// Peers holds what is known of the daemons to send requests through. The package does no input or output; callers pass
// the current time.
package reach
