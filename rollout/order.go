// SPDX-License-Identifier: MIT

package rollout

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// Order is an operator's request to move a service to the endpoints of a version.
type Order struct {
	Service string        `codec:"s"`
	Target  string        `codec:"v"` // version to move to
	For     time.Duration `codec:"f"` // time from the order to its deadline
	Number  int64         `codec:"n"` // identifies the order; later orders of a service have higher numbers
}

// Stage is the progress of an order. Of two that are known for one order the higher one wins:
// Completed is only set once the table says so, and the old endpoints are gone by then.
type Stage int

// The stages of an order.
const (
	Unknown    Stage = iota // the order exists; its progress is not known here yet
	Watching                // the new version gets a small share and is compared
	Shifting                // found good: it gets what the cap allows, and all requests after the deadline
	RolledBack              // it gets no more requests
	Completed               // it is the version of the service
)

// String returns the stage's name.
func (s Stage) String() string {
	return [...]string{"unknown", "watching", "shifting", "rolled back", "completed"}[s]
}

// Ended reports whether the stage is final.
func (s Stage) Ended() bool { return s == RolledBack || s == Completed }

// The events of an order's state machine.
const (
	eventSee      = "see"
	eventTrust    = "trust"
	eventRollBack = "roll back"
	eventComplete = "complete"
)

// transitions are the state machine of an order. There are two final stages, and neither can follow
// from the other.
var transitions = fsm.Events{
	{Name: eventSee, Src: []string{Unknown.String()}, Dst: Watching.String()},
	{Name: eventTrust, Src: []string{Watching.String()}, Dst: Shifting.String()},
	{Name: eventRollBack, Src: []string{Unknown.String(), Watching.String(), Shifting.String()}, Dst: RolledBack.String()},
	// Also from Unknown, for a version that the service already runs.
	{Name: eventComplete, Src: []string{Unknown.String(), Shifting.String()}, Dst: Completed.String()},
}

// eventTo maps each stage to the event that leads to it.
var eventTo = map[Stage]string{
	Watching: eventSee, Shifting: eventTrust, RolledBack: eventRollBack, Completed: eventComplete,
}

// Allowed reports whether an order may go from one stage to another.
func Allowed(from, to Stage) bool {
	f := fsm.NewFSM(from.String(), transitions, nil)
	return f.Event(context.Background(), eventTo[to]) == nil
}

// OrderState is what a daemon knows of an order. States converge on all daemons, in whichever order they
// arrive.
type OrderState struct {
	Number int64  `codec:"n"`
	Target string `codec:"v"`
	Stage  Stage  `codec:"t"`
	Why    string `codec:"w,omitempty"` // reason of a roll-back: the route and the evidence on it
}

// Merge returns the newer of two states about a service's orders.
func (f OrderState) Merge(x OrderState) OrderState {
	if x.Number > f.Number || x.Number == f.Number && x.Stage > f.Stage {
		return x
	}
	return f
}
