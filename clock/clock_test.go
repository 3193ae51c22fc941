// SPDX-License-Identifier: MIT

package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/clock"
)

func TestNowWithoutASuspension(t *testing.T) {
	before := clock.Refresh()
	assert.Less(t, (clock.Refresh() - before).Abs(), 10*time.Millisecond, "not suspended meanwhile")
	assert.InDelta(t, clock.Suspended().Seconds(), time.Until(clock.Now()).Seconds(), 0.1)
}

// Simulates a suspension, in which one of the two clocks stops.
func TestSuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		old := clock.Suspended
		clock.Suspended = func() time.Duration { return suspended }
		defer func() {
			clock.Suspended = old
			clock.Refresh()
		}()
		clock.Refresh()
		read := clock.Now()
		deadline := read.Add(5 * time.Second)
		time.Sleep(time.Second)
		assert.Equal(t, time.Second, clock.Since(read))
		suspended = 10 * time.Second
		assert.Equal(t, 10*time.Second, clock.Refresh())
		assert.Equal(t, 11*time.Second, clock.Since(read))
		assert.Equal(t, -6*time.Second, clock.Until(deadline))
	})
}
