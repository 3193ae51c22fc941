// SPDX-License-Identifier: MIT

// Package estimate estimates how long the requests of a service take, by route, and decides what may be refused for that
// alone.
//
// The load it answers: a service whose routes take from 10 ms to seconds, of which some are added later and some change
// their time; a request that its estimate says cannot end in time is refused at once. What is refused gives no sample, so
// that an estimate that is wrong would refuse for ever. Therefore a route has samples of its own, without
// which nothing is refused, and Probe lets some requests through that the estimate refuses.
//
//	if took := times.Expect(route); now.Add(took).After(deadline) && !times.Probe(now, route) { ... }
//
// The package does no input or output; callers pass the current time.
package estimate
