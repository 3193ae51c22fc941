// SPDX-License-Identifier: MIT

// Package capacity decides how many endpoints of each kind a service should
// have. Reclaimable endpoints are cheap, but a zone's go together at a notice
// that is shorter than the start of a replacement, and none may be had for a
// while after; those on demand are dear and stay.
//
// Demand follows what is asked of a service, and Enough tells how many endpoints
// serve that within its target, by queueing. Plan orders more reclaimable ones
// than that, the more the cheaper they are, fills up with others while too few are
// to be had, and gives one on demand up only once reclaimable ones serve in its
// place. Hold keeps plans from giving up what is soon wanted again.
//
// Nothing here keeps time or calls anything: the present time and all that is
// known come as arguments.
package capacity
