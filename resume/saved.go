// SPDX-License-Identifier: MIT

package resume

import (
	"sync"
	"time"
)

// Saved is the set of records that one daemon keeps outside of the daemons, for when all of them end at once: those of the
// streams that began or went on through it, until they are whole or can no longer be taken up. The zero value is empty and
// ready to use; all methods may be called concurrently.
type Saved struct {
	Most int // streams; 0 for none

	mu      sync.Mutex
	streams map[Key]savedStream
	grown   bool // since the last Take
}

type savedStream struct {
	version string
	until   time.Time
}

// Add adds the record of a stream, which is kept until a time. It is dropped if there are too many.
func (s *Saved) Add(now time.Time, k Key, version string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = make(map[Key]savedStream)
	}
	if _, ok := s.streams[k]; !ok && len(s.streams) >= s.Most {
		s.expire(now)
		if len(s.streams) >= s.Most {
			return
		}
	}
	s.streams[k] = savedStream{version, until}
	s.grown = true
}

// Remove drops the record of a stream that is whole.
func (s *Saved) Remove(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, k)
}

// SavedRecord is the record of a stream.
type SavedRecord struct {
	Key     Key
	Version string
	Left    time.Duration // for which the stream can be taken up
}

// Take returns the records; ok is false if none has been added since the last call.
func (s *Saved) Take(now time.Time) (records []SavedRecord, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.grown {
		return nil, false
	}
	s.grown = false
	s.expire(now)
	for k, x := range s.streams {
		records = append(records, SavedRecord{k, x.version, x.until.Sub(now)})
	}
	return records, true
}

// Retry makes the next Take return the records again, as those of the last one were not kept.
func (s *Saved) Retry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grown = true
}

// expire drops the streams that can no longer be taken up; the caller holds the lock.
func (s *Saved) expire(now time.Time) {
	for k, x := range s.streams {
		if !now.Before(x.until) {
			delete(s.streams, k)
		}
	}
}
