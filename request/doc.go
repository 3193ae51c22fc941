// SPDX-License-Identifier: MIT

// Package request runs callers' requests: admission, the choice of an endpoint,
// the attempts, the claim of an unrepeatable request and the answer as it is
// streamed.
//
// A Life is the state machine of one request. It passes through the states
// received, queued, accepted, claimed, sent, streaming and moving, and ends
// complete, late, refused or unknown. Server runs a Life:
//
//	ans, err := server.Begin(ctx, now, req) // err: refused, not run
//	changed, stop := ans.Follow()           // receives whenever ans has grown
//	events, done, err := ans.Events(0, nil) // all events so far
//
// The decisions (Pool.Route, Queue.Enter, PlanMoves, Classify) take the current
// time as an argument and do no I/O.
package request
