// SPDX-License-Identifier: MIT

// Package soak runs the daemons of the users' platform as processes of their own
// on loopback, and makes things fail from outside: proxies that delay, reset, cut
// one way and silence; processes that are paused, killed, stopped and started; a
// store that misbehaves; a configuration that changes. It checks the promises by
// what callers and endpoints see.
//
//	r, err := soak.Run(ctx, soak.Options{Seed: 1, Span: 10 * time.Second, Daemons: 4, Program: os.Args[0], Dir: dir})
//	// r.Broken names each promise that did not hold
//
// The same seed draws the same faults at the same times; what the processes make
// of them depends on the machine.
package soak
