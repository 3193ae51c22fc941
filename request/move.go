// SPDX-License-Identifier: MIT

package request

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// MovePolicy selects how streams are moved off a leaving endpoint.
type MovePolicy string

// The move policies: MoveOurs, and the baselines for comparison.
const (
	MoveOurs    MovePolicy = "ours"
	MoveRestart MovePolicy = "restart" // always from the prompt; all tokens are generated again
	MoveResume  MovePolicy = "resume"  // always from the prompt and the emitted tokens
	MoveExport  MovePolicy = "export"  // always with a transfer of the KV cache
)

// StreamState describes a stream on a leaving endpoint: what a move of it costs and how soon it finishes.
type StreamState struct {
	Context int     // tokens of the prompt and of the answer so far
	Left    int     // maximum number of remaining tokens; 0 if not known
	Rate    float64 // tokens per second
	Pinned  bool    // must not be started a second time, so it can only finish
}

// MoveKind is the way in which a stream on a leaving endpoint is handled.
type MoveKind int

// The kinds of move.
const (
	StayAndFinish MoveKind = iota
	ExportKV
	ResumeTokens
	RestartFromPrompt
)

// String returns the kind's name.
func (k MoveKind) String() string {
	return [...]string{"finish", "export", "resume", "restart"}[k]
}

// Move is the plan for a stream, and the time at which it is cancelled at its endpoint.
type Move struct {
	Kind MoveKind
	At   time.Time
}

// MoveParams are the parameters of PlanMoves.
type MoveParams struct {
	Policy   MovePolicy
	Transfer float64 // KV cache tokens that an endpoint exports per second
}

const (
	// finishShare is the share of the notice period within which a stream must be
	// expected to finish in order to stay.
	finishShare = 0.7
	// cutShare is the share of the notice period over which all other streams are
	// cancelled, so that their prefill elsewhere comes neither all at once nor too late.
	cutShare = 0.5
	// moveDelay is the maximum delay before the first move, to wait for further notices.
	moveDelay = 100 * time.Millisecond
	// minExportContext is the context in tokens below which recomputation costs less than the
	// calls of an export.
	minExportContext = 128
)

// PlanMoves plans a move for each stream on an endpoint that leaves at the deadline.
// The result has one Move for each stream, in the same order.
func PlanMoves(now, deadline time.Time, streams []StreamState, p MoveParams) []Move {
	notice := deadline.Sub(now)
	moves := make([]Move, len(streams))
	var rest []int
	for i, s := range streams {
		if s.Pinned || finishesWithin(s, time.Duration(finishShare*float64(notice))) {
			moves[i] = Move{Kind: StayAndFinish}
			continue
		}
		rest = append(rest, i)
	}
	// The largest contexts come first: they get the export bandwidth.
	slices.SortStableFunc(rest, func(a, b int) int { return cmp.Compare(streams[b].Context, streams[a].Context) })
	window := time.Duration(cutShare * float64(notice))
	// Notices of several boxes arrive one after the other. A short delay avoids an
	// export to a box that is about to get its own notice.
	settle := min(moveDelay, notice/20)
	var exported time.Duration
	for n, i := range rest {
		moves[i] = Move{Kind: ResumeTokens, At: now.Add(settle + window*time.Duration(n)/time.Duration(len(rest)))}
		switch p.Policy {
		case MoveRestart:
			moves[i].Kind = RestartFromPrompt
			continue
		case MoveResume:
			continue
		}
		// A context of 0 means that the prefill is still running. The export waits
		// for it, since recomputation would repeat all of it.
		known := streams[i].Context > 0
		if p.Transfer <= 0 || (known && streams[i].Context < minExportContext && p.Policy != MoveExport) {
			continue
		}
		d := time.Duration(float64(streams[i].Context) / p.Transfer * float64(time.Second))
		if exported+d > window && p.Policy != MoveExport {
			continue
		}
		moves[i] = Move{Kind: ExportKV, At: now.Add(settle + exported)}
		exported += d
	}
	return moves
}

// finishesWithin reports whether a stream is expected to finish in time.
func finishesWithin(s StreamState, within time.Duration) bool {
	return s.Left > 0 && s.Rate > 0 && time.Duration(float64(s.Left)/s.Rate*float64(time.Second)) <= within
}

// errCut is the cancellation cause of an attempt whose stream is moved.
var errCut = errors.New("request: attempt cancelled to move the stream")

// Flight is an attempt that is running at an endpoint.
type Flight struct {
	answer *Answer
	prefix uint64 // hash of the prompt prefix; 0 for a plain call
	pinned bool
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	cut     bool
	restart bool
	prefer  *Target
}

// StreamState returns the state of the attempt's stream for PlanMoves.
func (f *Flight) StreamState(now time.Time) StreamState {
	s := f.answer.streamState(now)
	s.Pinned = f.pinned
	return s
}

// Cut cancels the attempt so that its request continues elsewhere, at prefer if that is not nil.
// It does nothing for a pinned attempt.
func (f *Flight) Cut(prefer *Target, restart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut || f.pinned {
		return
	}
	f.cut, f.prefer, f.restart = true, prefer, restart
	f.cancel(errCut)
}

// wasCut reports whether the attempt was cancelled by Cut, and with which arguments.
func (f *Flight) wasCut() (prefer *Target, restart, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.prefer, f.restart, f.cut
}
