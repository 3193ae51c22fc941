// SPDX-License-Identifier: MIT

// Package clock provides a current time that includes the time a box was suspended. Go's monotonic
// clock stops during a suspension, so that a lease, a list or a key would look as fresh as before.
//
//	read := clock.Now()
//	// ... the box is suspended for ten seconds ...
//	clock.Refresh()
//	clock.Since(read) // at least ten seconds
//
// Compare times of this package with each other only. Times that leave the process or control the
// network (timers, connection deadlines) use package time.
package clock
