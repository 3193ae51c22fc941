// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"
)

const (
	// maxAdjustment is the largest difference between the box's time of day and the estimate that is adopted at
	// once: a disciplined clock moves by a few ms between two observations.
	maxAdjustment = 100 * time.Millisecond
	// minStepDuration is how long a step of the box's time of day must last until the estimate follows it. Steps
	// that are reverted within seconds moved requests to other usage windows: with steps of 3 s on half of the
	// boxes and then of 4 s on all, five and six usage reports of a day of eight boxes were wrong.
	minStepDuration = time.Minute
)

// Wall estimates the true time of day with the box's monotonic clock; it follows the box's own time of day
// except for its steps.
type Wall struct {
	mu    sync.Mutex
	at    time.Time     // by the monotonic clock
	day   time.Time     // the estimate at that moment
	step  time.Duration // difference of the box's time of day from the estimate
	since time.Time     // start of that difference; zero if there is none
}

// NewWall returns an estimate that starts with the box's time of day.
func NewWall(now, day time.Time) *Wall { return &Wall{at: now, day: day.Round(0)} }

// At returns the estimated time of day at a moment.
func (w *Wall) At(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.estimate(now)
}

func (w *Wall) estimate(now time.Time) time.Time { return w.day.Add(now.Sub(w.at)) }

// Observe takes the box's time of day, and reports a step that begins, or one that is adopted from now on.
func (w *Wall) Observe(now, day time.Time) (step time.Duration, begins, believed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	day = day.Round(0) // its monotonic reading would hide the step
	diff := day.Sub(w.estimate(now))
	switch {
	case diff.Abs() <= maxAdjustment:
		w.at, w.day, w.since = now, day, time.Time{}
	case w.since.IsZero() || (diff-w.step).Abs() > maxAdjustment:
		w.step, w.since = diff, now
		return diff, true, false
	case now.Sub(w.since) >= minStepDuration:
		w.at, w.day, w.since = now, day, time.Time{}
		return diff, false, true
	}
	return 0, false, false
}

// Set sets the time of day to that of a daemon that has run for longer.
func (w *Wall) Set(now, day time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at, w.day, w.since = now, day.Round(0), time.Time{}
}
