// SPDX-License-Identifier: MIT

// Package crash decides which requests are held back because endpoints crash when they begin to run
// them.
//
// A Ledger is given the crashes of endpoints, with the requests that were in flight there, and the
// requests that were answered:
//
//	var l crash.Ledger
//	fresh, _ := l.AddCrash(now, crash.EndpointCrash{Endpoint: id, Flights: flights})
//	if v, held := l.Held(now, print); held {
//		// not sent before v.Until
//	}
//
// Requests that differ may crash endpoints by a part of their prompts that they share. A part is a cause if endpoints crash one
// after the other under requests with it, and none survives the beginning of an answer to one (Survived, Evaluate).
//
// The results are verdicts, which daemons exchange. The package does no input or output; callers
// pass the current time.
package crash
