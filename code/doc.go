// SPDX-License-Identifier: MIT

// Package code defines the numbered result codes of streambend.
//
// Every refusal and failure that a caller, an operator or the command line can see carries one Code.
// The first two digits give the part it comes from, and Ran says whether the request may have run:
//
//	err := code.New(code.QueueFull, "queue of %s holds %d", service, n)
//	code.Of(err).Ran() // code.NotRun
//
// docs/ERRORS.md lists the codes for users; a test compares it with Table.
package code
