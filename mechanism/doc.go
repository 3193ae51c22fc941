// SPDX-License-Identifier: MIT

// Package mechanism names the parts of the daemon's policies that can be
// switched off one by one, so that the worth of each is found by a run with it
// and a run without it rather than by a change of the code.
//
// A Set holds those that are off; its zero value leaves all on. The package
// knows nothing of what the mechanisms do: each is asked for where it decides,
// with Set.On.
package mechanism
