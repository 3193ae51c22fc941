// SPDX-License-Identifier: MIT

package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/entry"
)

// observeStep sets a box's wall clock off by a step for some time, and returns the largest error of the
// estimate.
func observeStep(w *entry.Wall, from, to, step time.Duration) (worst time.Duration) {
	for at := from; at < to; at += 100 * time.Millisecond {
		now := start.Add(at)
		w.Observe(now, now.Add(step))
		worst = max(worst, w.At(now).Sub(now).Abs())
	}
	return worst
}

func TestAShortWallClockStepIsIgnored(t *testing.T) {
	w := entry.NewWall(start, start)
	assert.Zero(t, observeStep(w, 0, 10*time.Second, 0))
	assert.Zero(t, observeStep(w, 10*time.Second, 18*time.Second, -3*time.Second), "back")
	assert.Zero(t, observeStep(w, 18*time.Second, 30*time.Second, 0), "and returned")
	assert.Zero(t, observeStep(w, 30*time.Second, 36*time.Second, 4*time.Second), "ahead")
	assert.Zero(t, observeStep(w, 36*time.Second, 50*time.Second, 0))
}

func TestALastingWallClockStepIsAdopted(t *testing.T) {
	w := entry.NewWall(start, start)
	observeStep(w, 0, 70*time.Second, 5*time.Second)
	now := start.Add(70 * time.Second)
	assert.Equal(t, now.Add(5*time.Second), w.At(now))
}

func TestWallClockDriftIsTracked(t *testing.T) {
	w := entry.NewWall(start, start)
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		now := start.Add(at)
		day := now.Add(at / 10000) // 100 ppm
		w.Observe(now, day)
		assert.InDelta(t, 0, w.At(now).Sub(day).Seconds(), 0.001)
	}
}

func TestADaemonStartedDuringAClockStepAdoptsPeerTime(t *testing.T) {
	w := entry.NewWall(start, start.Add(-3*time.Second))
	w.Set(start.Add(time.Second), start.Add(time.Second))
	assert.Zero(t, observeStep(w, 2*time.Second, 8*time.Second, -3*time.Second))
	assert.Zero(t, observeStep(w, 8*time.Second, 20*time.Second, 0))
}
