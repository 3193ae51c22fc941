// SPDX-License-Identifier: MIT

package estimate

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// minPaceEvents is the number of events from which on a stream tells the pace of its service.
	minPaceEvents = 4
	// ratioSamples is how many streams say how many tokens an event has.
	ratioSamples = 32
	// minRatios is the number of streams from which on they do.
	minRatios = 8
	// ratioMargin is by how much an event may have fewer tokens than the callers' estimates say at the median.
	ratioMargin = 2
)

// Streams holds the pace of the streams of one service. The zero value is ready to use; it is safe for concurrent use.
type Streams struct {
	mu     sync.Mutex
	pace   recent[float64] // longest time from event to event in the mean of a stream, in seconds
	first  recent[firstEvent]
	ratios []float64 // tokens by the callers' estimates for each event, of the last streams
	next   int       // index in ratios
}

// firstEvent is the longest time to the first event, in seconds, and the longest prompt.
type firstEvent struct {
	took   float64
	prompt int
}

func (f firstEvent) add(g firstEvent) firstEvent {
	return firstEvent{math.Max(f.took, g.took), max(f.prompt, g.prompt)}
}

// Stream is a stream that has ended well.
type Stream struct {
	Prompt   int           // tokens of its prompt
	Estimate int           // the caller's estimate of its tokens; 0 for none
	First    time.Duration // until its first event
	Took     time.Duration // until its last one
	Events   int
}

// Record records a stream.
func (s *Streams) Record(now time.Time, x Stream) {
	if x.Events == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.first.current = s.first.current.add(firstEvent{x.First.Seconds(), x.Prompt})
	if x.Events < minPaceEvents {
		return
	}
	s.pace.current = math.Max(s.pace.current, (x.Took-x.First).Seconds()/float64(x.Events-1))
	if x.Estimate <= 0 {
		return
	}
	ratio := float64(x.Estimate) / float64(x.Events)
	if len(s.ratios) < ratioSamples {
		s.ratios = append(s.ratios, ratio)
		return
	}
	s.ratios[s.next] = ratio
	s.next = (s.next + 1) % ratioSamples
}

// advance drops what is too old; the caller holds the lock.
func (s *Streams) advance(now time.Time) {
	s.pace.advance(now, peakSpan)
	s.first.advance(now, peakSpan)
}

// tokens returns how many tokens an event has at least; the caller holds the lock. Single estimates are far off, and without
// any an event may have a single token.
func (s *Streams) tokens() float64 {
	if len(s.ratios) < minRatios {
		return 1
	}
	sorted := slices.Sorted(slices.Values(s.ratios))
	return math.Max(1, sorted[len(sorted)/2]/ratioMargin)
}

// Running is the progress of the streams of a service that have not ended.
type Running struct {
	First time.Duration // longest time to a first event, or without one so far
	Pace  time.Duration // longest mean time from event to event of a stream
}

// Longest returns the time in which a stream of at most the given tokens ends even at the pace of the slowest recent streams;
// ok is false if that is not known.
func (s *Streams) Longest(now time.Time, prompt, most int, running Running) (longest time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	pace := math.Max(math.Max(s.pace.current, s.pace.previous), running.Pace.Seconds())
	first := s.first.current.add(s.first.previous)
	if most <= 0 || pace == 0 || first.took == 0 {
		return 0, false
	}
	wait := math.Max(first.took, running.First.Seconds()) * math.Max(1, float64(prompt)/float64(max(first.prompt, 1)))
	events := math.Ceil(float64(most) / s.tokens())
	return duration(wait + pace*(events-1)), true
}
