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

// MovePolicy names a way of bringing streams off a leaving endpoint.
type MovePolicy string

// The policies for moves: ours and the baselines it is measured against.
const (
	MoveOurs    MovePolicy = "ours"
	MoveRestart MovePolicy = "restart" // from the prompt, all tokens again
	MoveResume  MovePolicy = "resume"  // always from prompt plus emitted tokens
	MoveExport  MovePolicy = "export"  // always with the KV cache
)

// Stake is what one stream on a leaving endpoint stands to lose.
type Stake struct {
	Context int     // tokens of prompt and answer so far
	Left    int     // tokens still to come, at the most; 0 if not known
	Rate    float64 // tokens a second
	Pinned  bool    // may not begin a second time, so it can only finish
}

// MoveKind is what becomes of a stream on a leaving endpoint.
type MoveKind int

// The kinds of move.
const (
	StayAndFinish MoveKind = iota
	ExportKV
	ResumeTokens
	StartAgain
)

// String returns the kind's name.
func (k MoveKind) String() string {
	return [...]string{"finish", "export", "resume", "restart"}[k]
}

// Move is what to do with a stream, and when to cut it.
type Move struct {
	Kind MoveKind
	At   time.Time
}

// MoveParams are the measured speeds a triage rests on.
type MoveParams struct {
	Policy   MovePolicy
	Transfer float64 // tokens of KV an endpoint exports a second
}

const (
	// finishShare is the share of the notice by whose end a stream must be
	// expected to finish, if it is to stay.
	finishShare = 0.7
	// cutShare is the share of the notice within which all others are cut:
	// their prefill elsewhere shall not come all at once, and not too late.
	cutShare = 0.5
	// waveSettle is how long an export waits for further notices.
	waveSettle = 100 * time.Millisecond
	// exportMin is the context below which computing again costs less than
	// the calls of an export.
	exportMin = 128
)

// Triage decides for each stream on an endpoint that leaves at the deadline.
// The answer has one Move for each stake, in the same order.
func Triage(now, deadline time.Time, stakes []Stake, p MoveParams) []Move {
	notice := deadline.Sub(now)
	moves := make([]Move, len(stakes))
	var rest []int
	for i, s := range stakes {
		if s.Pinned || finishes(s, time.Duration(finishShare*float64(notice))) {
			moves[i] = Move{Kind: StayAndFinish}
			continue
		}
		rest = append(rest, i)
	}
	// The dearest first: they get the export's bandwidth.
	slices.SortStableFunc(rest, func(a, b int) int { return cmp.Compare(stakes[b].Context, stakes[a].Context) })
	window := time.Duration(cutShare * float64(notice))
	// The notices of a wave come one after the other; an export that waits a
	// moment does not go to the next box of the same wave.
	settle := min(waveSettle, notice/20)
	var exported time.Duration
	for n, i := range rest {
		moves[i] = Move{Kind: ResumeTokens, At: now.Add(settle + window*time.Duration(n)/time.Duration(len(rest)))}
		switch p.Policy {
		case MoveRestart:
			moves[i].Kind = StartAgain
			continue
		case MoveResume:
			continue
		}
		// A stream whose prompt is still being computed has no context yet;
		// the export waits for it, and computing it again would cost it all.
		known := stakes[i].Context > 0
		if p.Transfer <= 0 || (known && stakes[i].Context < exportMin && p.Policy != MoveExport) {
			continue
		}
		d := time.Duration(float64(stakes[i].Context) / p.Transfer * float64(time.Second))
		if exported+d > window && p.Policy != MoveExport {
			continue
		}
		moves[i] = Move{Kind: ExportKV, At: now.Add(settle + exported)}
		exported += d
	}
	return moves
}

func finishes(s Stake, within time.Duration) bool {
	return s.Left > 0 && s.Rate > 0 && time.Duration(float64(s.Left)/s.Rate*float64(time.Second)) <= within
}

// errCut is the cause of an attempt that was ended in order to move.
var errCut = errors.New("request: cut to move")

// Flight is one attempt that is under way at an endpoint.
type Flight struct {
	answer *Answer
	prefix uint64 // of the prompt, 0 for a plain call
	pinned bool
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	cut     bool
	restart bool
	prefer  *Target
}

// Stake returns what the flight stands to lose.
func (f *Flight) Stake(now time.Time) Stake {
	s := f.answer.stake(now)
	s.Pinned = f.pinned
	return s
}

// Cut ends the attempt so that it goes on elsewhere, at prefer if not nil.
func (f *Flight) Cut(prefer *Target, restart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut || f.pinned {
		return
	}
	f.cut, f.prefer, f.restart = true, prefer, restart
	f.cancel(errCut)
}

// wasCut reports whether the attempt was cut, and where it shall go on.
func (f *Flight) wasCut() (prefer *Target, restart, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.prefer, f.restart, f.cut
}
