// SPDX-License-Identifier: MIT

// Package capacity decides how many endpoints of each kind a service should have. Reclaimable
// endpoints are cheap, but all of a zone are reclaimed together, at a notice shorter than the start
// of a replacement, and there may be none to order for a while afterwards. Endpoints on demand are
// expensive and stay.
//
// Demand estimates the load of a service, and RequiredEndpoints computes by queueing theory how many
// endpoints serve it within its target. Plan orders more reclaimable endpoints than that, the more the cheaper
// they are, and fills up with endpoints on demand while too few are available. It gives up an
// endpoint on demand only once reclaimable ones serve in its place. Stabilizer delays the release of
// endpoints, which may soon be needed again.
//
// The package does no input or output and reads no clock: callers pass the current time and all
// state.
package capacity
