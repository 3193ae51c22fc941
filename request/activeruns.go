// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"sync"
	"time"

	"streambend.example/estimate"
)

// activeRuns holds the cancel functions of the running requests, for when a box resumes from suspension.
// The requests' timers do not advance while it is suspended.
type activeRuns struct {
	mu      sync.Mutex
	cancels map[*run]context.CancelFunc
}

// add registers a request and returns a function that removes it.
func (s *activeRuns) add(r *run, end context.CancelFunc) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels == nil {
		s.cancels = make(map[*run]context.CancelFunc)
	}
	s.cancels[r] = end
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, r)
	}
}

// Active returns the number of running requests whose answers are forwarded.
func (s *Server) Active() int {
	s.active.mu.Lock()
	defer s.active.mu.Unlock()
	return len(s.active.cancels)
}

// progress is how far the current attempt of a request has got.
type progress struct {
	mu                sync.Mutex
	sent, first, last time.Time // of the attempt, its first event and its last one
	events            int
}

func (p *progress) begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent, p.first, p.last, p.events = now, time.Time{}, time.Time{}, 0
}

func (p *progress) add(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events++; p.events == 1 {
		p.first = now
	}
	p.last = now
}

// minProjectedEvents is the number of events from which on the pace of a stream tells when it ends.
const minProjectedEvents = 4

// total returns how long the attempt takes in all, at least: for as long as it has been running, or at its pace until it has
// the given number of events.
func (p *progress) total(now time.Time, events float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent.IsZero() {
		return 0
	}
	running := now.Sub(p.sent)
	if p.events < minProjectedEvents {
		return running
	}
	pace := float64(p.last.Sub(p.first)) / float64(p.events-1)
	return max(running, p.first.Sub(p.sent)+time.Duration(pace*(events-1)))
}

// pace returns the time until the first event of the attempt, or without one so far, and the mean time from event to event, 0 if
// it is not known yet.
func (p *progress) pace(now time.Time) (first, pace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.sent.IsZero():
		return 0, 0
	case p.events == 0:
		return now.Sub(p.sent), 0
	case p.events >= minProjectedEvents:
		pace = max(p.last.Sub(p.first)/time.Duration(p.events-1), now.Sub(p.first)/time.Duration(p.events))
	}
	return p.first.Sub(p.sent), pace
}

// streams returns the progress of the streams of a service, by its key.
func (s *activeRuns) streams(now time.Time, service string) (all estimate.Running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.cancels {
		if x := r.req.Relay; x != nil && x.Streaming && r.req.Service.Key() == service {
			first, pace := r.progress.pace(now)
			all.First, all.Pace = max(all.First, first), max(all.Pace, pace)
		}
	}
	return all
}

// longest returns how long the longest of the running requests of a route takes in all, at least, of those of known size that are no
// larger than r, or of unknown size if that of r is not known.
func (s *activeRuns) longest(now time.Time, r *Request) (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.cancels {
		size := x.req.size()
		if x.req != r && x.req.Route.Name == r.Route.Name && size <= r.size() && (size == 0) == (r.size() == 0) {
			longest = max(longest, x.progress.total(now, x.work.Times.Events(x.req.Route.Name, size)))
		}
	}
	return longest
}

// CancelOverdue cancels the requests whose time expired while the box was suspended, and returns their number.
func (s *Server) CancelOverdue(now time.Time) (ended int) {
	s.active.mu.Lock()
	defer s.active.mu.Unlock()
	for r, end := range s.active.cancels {
		if !now.Before(r.giveUpAt()) {
			end()
			ended++
		}
	}
	return ended
}
