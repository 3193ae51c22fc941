// SPDX-License-Identifier: MIT

// Package budget decides whether a daemon may repeat a request at another endpoint, so that all daemons together keep a
// bound on the repeats of a service in any window.
//
// Load: all endpoints of a service refuse, or break streams off, for seconds. Meanwhile daemons end and start again, all of
// them or in turn, and callers move from one daemon to another.
//
// A daemon allows itself repeats by its own requests and an even share of the slack, and stops as well when the daemons
// together have reached the bound: callers that have moved within the window earn repeats at one daemon only. Each
// daemon reports its counts while it has made repeats in the window. Others keep the reports of a daemon that has ended,
// and a daemon that has started again makes no repeats until it has them, or until a window has passed.
package budget
