// SPDX-License-Identifier: MIT

// Package crash decides which requests are held back because endpoints crash when they begin to run
// them.
//
// A Ledger is given the crashes of endpoints, with the requests that were in flight there, and the
// requests that were answered:
//
//	var l crash.Ledger
//	fresh := l.AddCrash(now, crash.EndpointCrash{Endpoint: id, Flights: flights})
//	if v, held := l.Held(now, print); held {
//		// not sent before v.Until
//	}
//
// The results are verdicts, which daemons exchange. The package does no input or output; callers
// pass the current time.
package crash
