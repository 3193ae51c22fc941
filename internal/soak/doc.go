// SPDX-License-Identifier: MIT

// Package soak is a soak test: it runs the daemons of the users' platform as
// separate processes on loopback and injects faults from outside. Proxies delay,
// reset or silence connections, in one or both directions; processes are paused,
// killed, stopped and restarted; the store fails; the configuration changes. It
// checks the guarantees against what callers and endpoints observe.
//
//	r, err := soak.Run(ctx, soak.Options{Seed: 1, Span: 10 * time.Second, Daemons: 4, Program: os.Args[0], Dir: dir})
//	// r.Broken lists the violated guarantees
//
// A seed determines the faults and their times; how the processes react also
// depends on the machine.
package soak
