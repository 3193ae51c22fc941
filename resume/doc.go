// SPDX-License-Identifier: MIT

// Package resume decides at which version of a service's software a stream goes on when its caller takes it up again
// at another daemon. Several versions may serve side by side, and what two of them write does not fit together.
//
// Load: a third to two thirds of the daemons end at one moment, and their callers come to the others within some
// milliseconds, 12,000 streams a second over 1,000 daemons.
//
// A version is known from a record that some daemons hold for each stream (Records, Holders), or because no other
// version can have begun the stream (Versions). It is never guessed.
package resume
