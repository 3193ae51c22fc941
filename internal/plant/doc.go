// SPDX-License-Identifier: MIT

// Package plant names faults that tests plant in the code, to show that each
// property of the fuzzer can fail. Nothing outside tests sets one:
//
//	opts.Plant = plant.RerunUnrepeatable
//
// docs/PROOF.md lists which property finds which.
package plant

// Fault is a planted fault. The zero value is none.
type Fault int

// The planted faults, in the order of the promises that they break.
const (
	None              Fault = iota
	DropMoved               // P1: a stream cut for a reclaim is given up
	RepeatToken             // P2: a resumed stream repeats its last token
	RefuseAfterSend         // P3: a broken attempt is refused as not run
	RerunUnrepeatable       // P4: a broken unrepeatable attempt is sent again
	RouteToLeaving          // P5: a notice does not take an endpoint out
	CutOnStop               // P6: a planned stop waits for nothing
	RevertConfig            // P7: now and then an older version is in force
)

// String returns the fault's name.
func (f Fault) String() string {
	return [...]string{
		"none", "drop-moved", "repeat-token", "refuse-after-send", "rerun-unrepeatable", "route-to-leaving",
		"cut-on-stop", "revert-config",
	}[f]
}
