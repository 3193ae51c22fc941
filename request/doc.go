// SPDX-License-Identifier: MIT

// Package request holds what lives as long as a caller's request: admission,
// the choice of an endpoint, the attempts, the claim of an unrepeatable
// request and the answer as it grows.
//
// A Life moves through the states received, queued, accepted, claimed, sent,
// streaming and moving, and ends complete, late, refused or unknown. Server
// runs a Life:
//
//	ans, err := server.Begin(now, req) // err: refused, not run
//	view := ans.Next(0)                // grows until view.Done
//
// What decides (Pool.Route, Queue.Enter, Triage, Classify) is given the
// present time and does no input or output.
package request
