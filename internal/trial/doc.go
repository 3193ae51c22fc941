// SPDX-License-Identifier: MIT

// Package trial is a system test: it runs daemons against the stand-ins, sends
// them the mixed load of both partners, injects faults, and compares what the
// callers and the endpoints observe. "streambend try" and "streambend bench" use it.
//
//	report, err := trial.Run(ctx, trial.Options{Seed: 1, Fault: "zone-reclaim"})
//	report.Broken() // the guarantees that did not hold
package trial
