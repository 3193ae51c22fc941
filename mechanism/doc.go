// SPDX-License-Identifier: MIT

// Package mechanism defines switches for parts of the daemon's policies, so that the effect of each
// can be measured by a run with it and a run without it.
//
// A Set holds the mechanisms that are switched off; its zero value leaves all on. The package does
// not implement any of them: the code that does checks Set.On.
package mechanism
