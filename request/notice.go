// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"time"

	"streambend.example/clock"
)

// Leave is the notice that a box will be gone at a deadline.
type Leave struct {
	Box      string
	Deadline time.Time
}

// departure is an endpoint newly marked as leaving, with its running attempts.
type departure struct {
	work     *ServiceState
	target   *Target
	deadline time.Time
	flights  []*Flight
}

// Notice moves the streams off leaving endpoints. All endpoints are marked before
// any stream moves, so that none moves to an endpoint that is also leaving.
func (s *Server) Notice(now time.Time, leaves []Leave) {
	var ds []departure
	for _, l := range leaves {
		w, t := s.Works.Find(l.Box)
		if t == nil {
			continue
		}
		if flights, fresh := t.Leave(l.Deadline); fresh {
			ds = append(ds, departure{w, t, l.Deadline, flights})
		}
	}
	for _, d := range ds {
		s.planMoves(now, d)
	}
}

// planMoves plans and schedules the moves of the streams of one endpoint.
func (s *Server) planMoves(now time.Time, d departure) {
	streams := make([]StreamState, len(d.flights))
	for i, f := range d.flights {
		streams[i] = f.StreamState(now)
	}
	moves := PlanMoves(now, d.deadline, streams, MoveParams{Policy: s.opts.Move, Transfer: s.opts.Transfer})
	for i, m := range moves {
		s.log.Infof("move: %s off %s in %s: %s, context %d, left %d, at +%s", d.flights[i].answer.ID, d.target.ID,
			d.deadline.Sub(now).Round(time.Millisecond), m.Kind, streams[i].Context, streams[i].Left, m.At.Sub(now))
		s.schedule(now, d.work, d.target, d.flights[i], m)
	}
}

// schedule starts the timer for the move of one stream.
func (s *Server) schedule(now time.Time, w *ServiceState, t *Target, f *Flight, m Move) {
	switch m.Kind {
	case StayAndFinish:
	case ExportKV:
		time.AfterFunc(max(m.At.Sub(now), clock.LeastTimer), func() { s.export(w, t, f) })
	default:
		time.AfterFunc(max(m.At.Sub(now), clock.LeastTimer), func() { f.Cut(nil, m.Kind == RestartFromPrompt) })
	}
}

// awaitPrompt returns the stream's content as soon as the engine has reported the
// token ids of the prompt, or after half of the notice period.
func (s *Server) awaitPrompt(f *Flight, now, deadline time.Time) Snapshot {
	ctx, cancel := context.WithTimeout(s.baseCtx, deadline.Sub(now)/2)
	defer cancel()
	changed, stop := f.answer.Follow()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return f.answer.Snapshot()
		case <-changed:
		}
		if snap := f.answer.Snapshot(); len(snap.Prompt) > 0 || snap.Done {
			return snap
		}
	}
}

// export makes another engine pull the stream's KV cache and moves the stream to it.
// If that is not possible, the stream is resumed elsewhere from its tokens.
func (s *Server) export(w *ServiceState, t *Target, f *Flight) {
	deadline, _ := t.Leaving()
	snap := s.awaitPrompt(f, s.Now(), deadline)
	// The engine that prefix routing chooses next may already cache a part of the prompt.
	need := Need{Prefix: f.prefix, Prompt: len(snap.Prompt), PrefillRate: w.Speed.Prefill(), Avoid: t}
	c, ok := w.Pool.Route(s.Now(), need)
	if !ok || len(snap.Prompt) == 0 {
		f.Cut(nil, false)
		return
	}
	ctx, cancel := context.WithTimeout(s.baseCtx, deadline.Sub(s.Now()))
	defer cancel()
	err := s.Client.ImportKV(ctx, c.Target.Address, t.Address, "move", append(snap.Prompt, snap.Tokens...))
	if err != nil {
		s.log.Infof("move: %s moves without its KV cache: %v", f.answer.ID, err)
		f.Cut(nil, false)
		return
	}
	s.Count.Exports.Add(1)
	f.Cut(c.Target, false)
}
