// SPDX-License-Identifier: MIT

package outage

import "time"

// Others is what a daemon knows of the existence of other daemons.
type Others struct {
	Alive   int       // that are alive or suspected
	Known   int       // that it has ever heard of, but for those that stopped as planned
	Silent  int       // that are dead by silence, and may be alive behind a cut
	Counted bool      // all daemons that are recorded in the store are known
	Since   time.Time // since when none was alive, as of the last look; zero while one was
}

// None reports whether there is no other daemon: there never was one, or all have ended and what is held was current after
// that, as current tells.
func (o Others) None(current func(since time.Time) bool) bool {
	switch {
	case o.Alive > 0:
		return false // Since may be older than the one that was just found
	case o.Known == 0:
		return o.Counted
	}
	return !o.Since.IsZero() && o.Silent == 0 && current(o.Since)
}
