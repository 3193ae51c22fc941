// SPDX-License-Identifier: MIT

// Package process implements the daemon: its settings, the HTTP servers for
// callers, operators and peers, the polling of endpoint load, and the capacity
// jobs that only the holder of a lease runs.
//
// A Daemon ties them together:
//
//	s, err := process.ReadSettings(file)
//	d, err := process.New(s, process.Adapters(s, platform.TCP{}), log)
//	defer d.Stop(ctx)
//
// callers.go and answer.go serve callers; operators.go and status.go serve
// operators; jobs.go and place.go hold the work done under leases; config.go keeps
// the active configuration; fleet.go tracks the boxes and their load; peers.go
// implements the requests between daemons; settings.go and defaults.go hold the settings.
package process
