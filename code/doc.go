// SPDX-License-Identifier: MIT

// Package code holds the numbered results that streambend answers with.
//
// Every refusal and failure that a caller, an operator or the command line
// can see carries one Code. The hundreds digit tells the part it comes from,
// and Ran tells whether the request may have run:
//
//	err := code.New(code.QueueFull, "queue of %s holds %d", service, n)
//	code.Of(err).Ran() // code.NotRun
//
// docs/ERRORS.md holds the table for users; a test compares it with Table.
package code
