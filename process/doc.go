// SPDX-License-Identifier: MIT

// Package process holds what lives as long as the process: the settings, the
// servers for callers, operators and peers, the watch over endpoints, and the
// jobs that one daemon at a time does under a lease.
//
// A Daemon is all of it:
//
//	s, err := process.ReadSettings(file)
//	d, err := process.New(s, process.Adapters(s, platform.TCP{}), log)
//	defer d.Stop(ctx)
//
// callers.go and answer.go serve callers, operators.go and status.go operators;
// jobs.go and place.go hold what one daemon at a time does, config.go the
// configuration in force, fleet.go the boxes and their load, asks.go what daemons
// ask each other, settings.go and defaults.go the settings.
package process
