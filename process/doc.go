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
package process
