// SPDX-License-Identifier: MIT

// Package trial runs daemons among the stand-ins, sends them the mixed load of
// both partners, makes things fail, and counts what the callers and the
// endpoints have seen. It serves "streambend try" and "streambend bench".
//
//	report, err := trial.Run(ctx, trial.Options{Seed: 1, Fault: "zone-reclaim"})
//	report.Broken() // the promises that did not hold
package trial
