// SPDX-License-Identifier: MIT

// Package replica copies keyed rows from one daemon to others as a log of changes. A copy that knows a version
// gets only the rows that changed after it; one that is too far behind gets all. Either way it gets them in
// pieces of bounded size, one at a time, so that neither the memory nor the link of either side has to hold the
// whole:
//
//	c := log.Since(version) // where the copy starts
//	rows, c, more := log.Next(c, maxBytes, sizeOf)
//
// Copy is the whole of it for one daemon: it takes rows from the store and from other copies in any order, and Freshness
// tells up to which moment it is known to hold all changes. The package does no input or output; callers pass the current
// time.
package replica
