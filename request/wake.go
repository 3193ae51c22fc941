// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"sync"
	"time"
)

// sleepers holds the cancel functions of the running requests, for when a box resumes from suspension.
// The requests' timers do not advance while it is suspended.
type sleepers struct {
	mu  sync.Mutex
	end map[*run]context.CancelFunc
}

// add registers a request and returns a function that removes it.
func (s *sleepers) add(r *run, end context.CancelFunc) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		s.end = make(map[*run]context.CancelFunc)
	}
	s.end[r] = end
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.end, r)
	}
}

// Woke cancels the requests whose time expired while the box was suspended, and returns their number.
func (s *Server) Woke(now time.Time) (ended int) {
	s.asleep.mu.Lock()
	defer s.asleep.mu.Unlock()
	for r, end := range s.asleep.end {
		if !now.Before(r.giveUpAt()) {
			end()
			ended++
		}
	}
	return ended
}
