// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"sync"
	"time"
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
