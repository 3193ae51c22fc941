// SPDX-License-Identifier: MIT

// Package version implements the versioned configuration: the operator's catalog,
// intents and their plans, the configuration log, leases and the placement policy.
//
// The configuration is one ordered log for both partners. Each version is a
// separate item, written only if the item is absent, so that each number has
// exactly one entry and entries are immutable:
//
//	cfg, err := log.Load(ctx)
//	plan, err := version.MakePlan(now, cfg, intent, market)
//	cfg, err = log.Confirm(ctx, now, cfg, plan)
//
// Decisions are pure functions of the state and the current time.
package version
