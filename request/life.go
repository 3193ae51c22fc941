// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"streambend.example/code"
)

// The states of a Life.
const (
	StateReceived  = "received"
	StateQueued    = "queued"
	StateAccepted  = "accepted"
	StateClaimed   = "claimed"
	StateSent      = "sent"
	StateStreaming = "streaming"
	StateMoving    = "moving"
	StateComplete  = "complete"
	StateLate      = "late"
	StateRefused   = "refused"
	StateUnknown   = "unknown"
)

// The events of a Life.
const (
	eventQueue    = "queue"
	eventAccept   = "accept"
	eventClaim    = "claim"
	eventSend     = "send"
	eventUnsend   = "unsend" // the endpoint was not reached or did not start
	eventStream   = "stream"
	eventMove     = "move"
	eventComplete = "complete"
	eventLate     = "late"
	eventRefuse   = "refuse" // as not run
	eventLose     = "lose"   // the outcome is unknown
)

// lifeEvents hold the rule that matters most: a refusal as "not run" is
// possible only while nothing has been sent, or after it was taken back.
var lifeEvents = fsm.Events{
	{Name: eventQueue, Src: []string{StateReceived}, Dst: StateQueued},
	{Name: eventAccept, Src: []string{StateReceived, StateQueued}, Dst: StateAccepted},
	{Name: eventClaim, Src: []string{StateAccepted}, Dst: StateClaimed},
	{Name: eventSend, Src: []string{StateAccepted, StateClaimed, StateMoving}, Dst: StateSent},
	{Name: eventUnsend, Src: []string{StateSent}, Dst: StateAccepted},
	{Name: eventStream, Src: []string{StateSent}, Dst: StateStreaming},
	{Name: eventMove, Src: []string{StateSent, StateStreaming}, Dst: StateMoving},
	{Name: eventComplete, Src: []string{StateSent, StateStreaming}, Dst: StateComplete},
	{Name: eventLate, Src: []string{StateSent, StateStreaming}, Dst: StateLate},
	{Name: eventRefuse, Src: []string{StateReceived, StateQueued, StateAccepted, StateClaimed}, Dst: StateRefused},
	{Name: eventLose, Src: []string{StateAccepted, StateSent, StateStreaming, StateMoving}, Dst: StateUnknown},
}

// Life is the state of one request.
type Life struct {
	fsm     *fsm.FSM
	Tainted bool // an endpoint may have begun the request
}

// NewLife returns a Life in the state received.
func NewLife() *Life {
	return &Life{fsm: fsm.NewFSM(StateReceived, lifeEvents, nil)}
}

// State returns the present state.
func (l *Life) State() string { return l.fsm.Current() }

// go moves on by an event; an event that the state does not allow is a fault
// of this package and ends the request as unknown rather than wrongly.
func (l *Life) on(event string) bool { return l.fsm.Event(context.Background(), event) == nil }

// Ending is how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	EndedWhole   Ending = iota // with a whole answer
	EndedMoved                 // cut by us, to go on elsewhere
	EndedUnsent                // no byte can have reached the endpoint
	EndedRefused               // the endpoint said that it did not start
	EndedBroken                // cut, stalled, short or garbled
	EndedError                 // the endpoint answered with an error
	EndedGone                  // the caller has gone
)

// String returns the ending's name.
func (e Ending) String() string {
	return [...]string{"whole", "moved", "unsent", "refused", "broken", "error", "gone"}[e]
}

// Action is what to do after an attempt.
type Action int

// The actions after an attempt.
const (
	Finish Action = iota // the answer is whole
	Again                // send to another endpoint, from where it stopped
	Refuse               // as not run
	GiveUp               // the outcome is unknown
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"finish", "again", "refuse", "give up"}[a] }

// Verdict is what to do after an attempt, and the code of a final answer.
type Verdict struct {
	Action Action
	Code   code.Code
	Spend  bool // takes one from the retry budget
	Pause  bool // the budget is empty: wait long before the next attempt
}

// Aftermath is what Classify rests on.
type Aftermath struct {
	Ending       Ending
	Unrepeatable bool
	Tainted      bool // an attempt, this one or an earlier, may have begun
	Budget       bool // the retry budget allows one more
	GiveUpAt     time.Time
	Strict       bool // nothing is sent again beyond the retry budget
	Spent        bool // the request was sent as often as its route allows
}

// Classify decides what follows an attempt. It is the one place where a
// second run is allowed or not.
func Classify(now time.Time, a Aftermath) Verdict {
	late := !now.Before(a.GiveUpAt)
	switch a.Ending {
	case EndedWhole:
		return Verdict{Action: Finish, Code: code.OK}
	case EndedUnsent, EndedRefused:
		free := a.Strict && a.Ending == EndedUnsent // nothing arrived anywhere
		if (a.Budget || free) && !late && !a.Spent {
			return Verdict{Action: Again, Spend: !free}
		}
		if !a.Tainted {
			return Verdict{Action: Refuse, Code: refusal(late)}
		}
	case EndedMoved:
		if !a.Unrepeatable && !late {
			return Verdict{Action: Again}
		}
	case EndedBroken:
		// An accepted request is not given up for want of budget; it only
		// waits, so that a wave of failures does not multiply the load.
		held := a.Strict && !a.Budget
		if !a.Unrepeatable && !late && !a.Spent && !held {
			return Verdict{Action: Again, Spend: true, Pause: !a.Budget}
		}
	case EndedError:
		return Verdict{Action: GiveUp, Code: code.EndpointAnswer}
	}
	switch {
	case a.Unrepeatable:
		return Verdict{Action: GiveUp, Code: code.UnknownOutcome}
	case late:
		return Verdict{Action: GiveUp, Code: code.CallerLate}
	default:
		return Verdict{Action: GiveUp, Code: code.NotWhole}
	}
}

func refusal(late bool) code.Code {
	if late {
		return code.DeadlineTooNear
	}
	return code.RetryBudget
}
