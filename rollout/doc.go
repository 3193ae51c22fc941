// SPDX-License-Identifier: MIT

// Package rollout decides how a service moves to a new version of its software.
//
// An operator orders a target version and a deadline. Until the deadline the new version gets a
// bounded share of the service's requests, and its answers are compared with those of the old
// version at the same time on the same routes:
//
//	bucket.Take(now, rollout.Ask{...}) // does this request go to the new version?
//	test.Take(now, counts)             // canary analysis of the answers of all daemons
//	rollout.Next(now, state)           // the next stage, decided by the lease holder
//
// A VersionPolicy says which versions may run requests. Daemons exchange what they know of an order as an
// OrderState. Merging states only advances the stage: a message that arrives late cannot bring back a
// version that was rolled back.
//
// The package does no input or output; callers pass the current time.
package rollout
