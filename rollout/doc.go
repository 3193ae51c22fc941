// SPDX-License-Identifier: MIT

// Package rollout decides how a service moves to a new version of its software.
//
// An operator orders a target version and a time. Until that time is over the new version gets
// a bounded share of the service's requests, whatever is known of it; its answers are compared
// with those that the old version gives at the same time on the same routes:
//
//	bucket.Take(now, rollout.Ask{...}) // does this request go to the new version?
//	judge.Take(now, counts)            // what the answers say so far, merged over daemons
//	rollout.Next(now, state)           // what the holder of the duty does about it
//
// A Standing says which versions may run requests. What daemons tell each other of an order is a
// Fact, which only moves on: once a version has been rolled back no older word brings it back.
//
// The package does no input or output, and is given the present time.
package rollout
