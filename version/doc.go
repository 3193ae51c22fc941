// SPDX-License-Identifier: MIT

// Package version holds what lives as long as a version of the configuration:
// intents and their plans, the configuration log, leases and the placement
// policy.
//
// The configuration is one ordered log for both partners. Each version is an
// item of its own, written only if the item is absent, so that exactly one
// entry can have a number and none is ever changed:
//
//	cfg, err := log.Load(ctx)
//	plan, err := version.MakePlan(now, cfg, intent, market)
//	cfg, err = log.Confirm(ctx, now, cfg, plan)
//
// Everything that decides is pure: state and the present time go in, a
// decision comes out.
package version
