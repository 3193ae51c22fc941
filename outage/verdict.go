// SPDX-License-Identifier: MIT

package outage

// Reason says why an outage is not confirmed.
type Reason int

// Reasons; a confirmed outage has none.
const (
	NoReason      Reason = iota
	HeldYoung            // a daemon holds younger data
	StoreLimits          // the store limits the rate of a daemon's reads
	ReaderServed         // a reader is served by the store
	ReadersSilent        // too few of the readers answer
	FewAnswers           // too few daemons answer
	NoneFails            // no daemon reports a failure
)

// String returns the reason for a log line.
func (r Reason) String() string {
	return [...]string{"", "younger data held", "store limits reads", "a reader is served", "readers silent", "few answers", "no failure reported"}[r]
}

// Verdict is a decision whether the store fails for all daemons.
type Verdict struct {
	Confirmed bool
	Reason    Reason
	By        string // the daemon whose report, or silence, decided it; empty if not a single one
}
