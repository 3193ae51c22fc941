// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"time"

	"streambend.example/internal/plant"
	"streambend.example/version"
)

// Notice brings the streams off an endpoint that will be gone at the deadline.
// It reports whether the notice was news.
func (s *Server) Notice(now, deadline time.Time, box string) bool {
	w, t := s.Works.Find(box)
	if t == nil {
		return false
	}
	if s.opts.Plant == plant.RouteToLeaving {
		return true
	}
	flights, fresh := t.Leave(deadline)
	if !fresh {
		return false
	}
	stakes := make([]Stake, len(flights))
	for i, f := range flights {
		stakes[i] = f.Stake(now)
	}
	moves := Triage(now, deadline, stakes, MoveParams{Policy: s.opts.Move, Transfer: s.opts.Transfer})
	for i, m := range moves {
		s.log.Infof("move: %s off %s in %s: %s, context %d, left %d, at +%s",
			flights[i].answer.ID, box, deadline.Sub(now).Round(time.Millisecond), m.Kind, stakes[i].Context, stakes[i].Left, m.At.Sub(now))
		s.schedule(now, w, t, flights[i], m)
	}
	return true
}

// schedule cuts one stream when its time has come.
func (s *Server) schedule(now time.Time, w *Work, t *Target, f *Flight, m Move) {
	switch m.Kind {
	case StayAndFinish:
	case ExportKV:
		time.AfterFunc(m.At.Sub(now), func() { s.export(w, t, f) })
	default:
		time.AfterFunc(m.At.Sub(now), func() { f.Cut(nil, m.Kind == StartAgain) })
	}
}

// export has another engine pull the stream's KV cache and cuts the stream
// over to it; without one the stream is resumed from its tokens.
func (s *Server) export(w *Work, t *Target, f *Flight) {
	snap := f.answer.Snapshot()
	need := Need{Prefix: t.hash ^ uint64(len(snap.Tokens)) | 1, Avoid: t, Policy: RouteLeast, Weigh: version.WeighLatency}
	c, ok := w.Pool.Route(time.Now(), need)
	if !ok || len(snap.Prompt) == 0 {
		f.Cut(nil, false)
		return
	}
	deadline, _ := t.Leaving()
	ctx, cancel := context.WithDeadline(s.alive, deadline)
	defer cancel()
	err := s.Client.ImportKV(ctx, c.Target.Address, t.Address, "move", append(snap.Prompt, snap.Tokens...))
	if err != nil {
		s.log.Infof("move: %s without its KV cache: %v", f.answer.ID, err)
		f.Cut(nil, false)
		return
	}
	s.Count.Exports.Add(1)
	f.Cut(c.Target, false)
}
