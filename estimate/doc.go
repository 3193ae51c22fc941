// SPDX-License-Identifier: MIT

// Package estimate estimates how long the requests of a service take, by route and size, and decides what may be refused
// for that alone.
//
// The load it answers: a service whose routes take from 10 ms to seconds, also within one route; routes that are added later
// or change their time; requests that say how many tokens they have. Each decision has an estimate of its own:
//
//   - Least, what a request takes surely, for refusing one that cannot end before its deadline. Only the fastest of the
//     recent requests says that; the mean would refuse those that are faster.
//   - Bound, what a request takes at most, for refusing one that would be cut at the end of a planned stop. It rests on requests
//     of the same size, as those of a route may differ by ten times.
//   - Expect, the mean, for the work that waits in a queue and for comparing endpoints.
//
// What is refused gives no sample, so that a wrong estimate would refuse for ever. Therefore nothing is refused without
// recent samples, and Probe lets some requests through that the estimate refuses.
//
//	if need := times.Least(now, route, size); now.Add(need).After(deadline) && !times.Probe(now, route) { ... }
//
// The package does no input or output; callers pass the current time.
package estimate
