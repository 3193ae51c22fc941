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
	eventQueue       = "queue"
	eventAccept      = "accept"
	eventClaim       = "claim"
	eventSend        = "send"
	eventUndoSend    = "unsend" // the endpoint was not reached or did not start the request
	eventStream      = "stream"
	eventMove        = "move"
	eventComplete    = "complete"
	eventLate        = "late"
	eventRefuse      = "refuse" // refused as not run
	eventLoseOutcome = "lose"   // the outcome is unknown
)

// lifeEvents are the transitions of a Life. A refusal as "not run" is possible
// only while nothing has been sent, or after an attempt that did not start was
// undone by eventUndoSend.
var lifeEvents = fsm.Events{
	{Name: eventQueue, Src: []string{StateReceived}, Dst: StateQueued},
	{Name: eventAccept, Src: []string{StateReceived, StateQueued}, Dst: StateAccepted},
	{Name: eventClaim, Src: []string{StateAccepted}, Dst: StateClaimed},
	{Name: eventSend, Src: []string{StateAccepted, StateClaimed, StateMoving}, Dst: StateSent},
	{Name: eventUndoSend, Src: []string{StateSent}, Dst: StateAccepted},
	{Name: eventStream, Src: []string{StateSent}, Dst: StateStreaming},
	{Name: eventMove, Src: []string{StateSent, StateStreaming}, Dst: StateMoving},
	{Name: eventComplete, Src: []string{StateSent, StateStreaming}, Dst: StateComplete},
	{Name: eventLate, Src: []string{StateSent, StateStreaming}, Dst: StateLate},
	{Name: eventRefuse, Src: []string{StateReceived, StateQueued, StateAccepted, StateClaimed}, Dst: StateRefused},
	{Name: eventLoseOutcome, Src: []string{StateAccepted, StateSent, StateStreaming, StateMoving}, Dst: StateUnknown},
}

// Life is the state machine of one request.
type Life struct {
	fsm        *fsm.FSM
	MayHaveRun bool // an endpoint may have started the request
}

// NewLife returns a Life in the state received.
func NewLife() *Life {
	return &Life{fsm: fsm.NewFSM(StateReceived, lifeEvents, nil)}
}

// State returns the current state.
func (l *Life) State() string { return l.fsm.Current() }

// apply applies an event and reports whether the current state allows it. An event
// that is not allowed is a bug of this package; the request then ends as unknown
// instead of with a wrong result.
func (l *Life) apply(event string) bool { return l.fsm.Event(context.Background(), event) == nil }

// Ending is the outcome of an attempt.
type Ending int

// The outcomes of an attempt.
const (
	EndedComplete   Ending = iota // the answer is complete
	EndedMoved                    // cancelled by this daemon, to continue at another endpoint
	EndedUnsent                   // no byte can have reached the endpoint
	EndedRefused                  // the endpoint reported that it did not start the request
	EndedBroken                   // cut off, stalled, truncated or malformed
	EndedError                    // the endpoint answered with an error
	EndedCallerGone               // the caller disconnected, or read too slowly
)

// String returns the name of the outcome.
func (e Ending) String() string {
	return [...]string{"whole", "moved", "unsent", "refused", "broken", "error", "gone"}[e]
}

// Action is the next step after an attempt.
type Action int

// The actions after an attempt.
const (
	Finish Action = iota // the answer is complete
	Retry                // retry at another endpoint, from where the answer stopped
	Refuse               // report as not run
	GiveUp               // the outcome is unknown
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"finish", "again", "refuse", "give up"}[a] }

// Verdict is the decision after an attempt, and the code of a final answer.
type Verdict struct {
	Action Action
	Code   code.Code
	Spend  bool // the retry is charged to the retry budget
	Pause  bool // the retry budget is empty: use the long backoff
}

// AttemptOutcome is the input of Classify.
type AttemptOutcome struct {
	Ending            Ending
	Unrepeatable      bool
	MayHaveRun        bool // an endpoint may have started this or an earlier attempt
	Budget            bool // the retry budget allows one more retry
	GiveUpAt          time.Time
	Strict            bool // no retry beyond the retry budget
	AttemptsExhausted bool // the route's limit of attempts is reached
}

// Classify decides the next step after an attempt. No other code decides whether
// a request may run a second time.
func Classify(now time.Time, a AttemptOutcome) Verdict {
	late := !now.Before(a.GiveUpAt)
	switch a.Ending {
	case EndedComplete:
		return Verdict{Action: Finish, Code: code.OK}
	case EndedUnsent, EndedRefused:
		uncharged := a.Strict && a.Ending == EndedUnsent // nothing reached an endpoint
		if (a.Budget || uncharged) && !late && !a.AttemptsExhausted {
			return Verdict{Action: Retry, Spend: !uncharged}
		}
		if !a.MayHaveRun {
			return Verdict{Action: Refuse, Code: refusalCode(late)}
		}
	case EndedMoved:
		if !a.Unrepeatable && !late {
			return Verdict{Action: Retry}
		}
	case EndedBroken:
		// Unless the budget is strict, an accepted request is not given up when the
		// retry budget is empty. It only backs off for longer, so that many failures
		// at once do not multiply the load.
		denied := a.Strict && !a.Budget
		if !a.Unrepeatable && !late && !a.AttemptsExhausted && !denied {
			return Verdict{Action: Retry, Spend: true, Pause: !a.Budget}
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

func refusalCode(late bool) code.Code {
	if late {
		return code.DeadlineTooNear
	}
	return code.RetryBudget
}
