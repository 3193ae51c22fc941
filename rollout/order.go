// SPDX-License-Identifier: MIT

package rollout

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// Order asks that a service's requests move to the endpoints of a version.
type Order struct {
	Service string        `codec:"s"`
	Target  string        `codec:"v"` // version of the software
	For     time.Duration `codec:"f"` // from the order to its deadline
	Number  int64         `codec:"n"` // names the order; a later one of a service has a higher number
}

// Stage is how far an order has come. A higher one stands for good where both are heard of: what
// is completed is so because the table says so, and the old endpoints are gone.
type Stage int

// The stages of an order.
const (
	Unknown    Stage = iota // an order, of which nothing else is known here yet
	Watching                // the new version gets a small share and is compared
	Shifting                // it is trusted: it gets what the cap allows, and all after the deadline
	RolledBack              // it gets nothing any more
	Completed               // it is the service's version
)

// String returns the stage's name.
func (s Stage) String() string {
	return [...]string{"unknown", "watching", "shifting", "rolled back", "completed"}[s]
}

// Ended reports whether nothing follows any more.
func (s Stage) Ended() bool { return s == RolledBack || s == Completed }

// The events of a Life.
const (
	eventSee      = "see"
	eventTrust    = "trust"
	eventRollBack = "roll back"
	eventComplete = "complete"
)

// lifeEvents hold the rule that matters most: there is one end, and none follows from the other.
var lifeEvents = fsm.Events{
	{Name: eventSee, Src: []string{Unknown.String()}, Dst: Watching.String()},
	{Name: eventTrust, Src: []string{Watching.String()}, Dst: Shifting.String()},
	{Name: eventRollBack, Src: []string{Unknown.String(), Watching.String(), Shifting.String()}, Dst: RolledBack.String()},
	// From the beginning for a version that the service has already.
	{Name: eventComplete, Src: []string{Unknown.String(), Shifting.String()}, Dst: Completed.String()},
}

// eventTo names the event that leads to a stage.
var eventTo = map[Stage]string{
	Watching: eventSee, Shifting: eventTrust, RolledBack: eventRollBack, Completed: eventComplete,
}

// Allowed reports whether an order may go from one stage to another.
func Allowed(from, to Stage) bool {
	f := fsm.NewFSM(from.String(), lifeEvents, nil)
	return f.Event(context.Background(), eventTo[to]) == nil
}

// Fact is what is known of an order: everywhere the same in the end, whoever hears what first.
type Fact struct {
	Number int64  `codec:"n"`
	Target string `codec:"v"`
	Stage  Stage  `codec:"t"`
	Why    string `codec:"w,omitempty"` // of a roll-back: the route and what was seen on it
}

// Merge returns what two words on a service's order say together.
func (f Fact) Merge(x Fact) Fact {
	if x.Number > f.Number || x.Number == f.Number && x.Stage > f.Stage {
		return x
	}
	return f
}
