// SPDX-License-Identifier: MIT

package budget

import "time"

// steps is the number of steps of a sliding window.
const steps = 10

// Count counts requests for a service and repeats of their attempts.
type Count struct {
	Requests int `codec:"n,omitempty"`
	Repeats  int `codec:"r,omitempty"`
}

// add adds another count.
func (c *Count) add(x Count) {
	c.Requests += x.Requests
	c.Repeats += x.Repeats
}

// Counts are the counts of the last steps, the newest first: those of a window, and one that lies partly before it.
type Counts [steps + 1]Count

// sum returns the counts in the window before now if the newest step began at a time. Of the step that lies partly
// before the window the repeats count and the requests do not.
func (c *Counts) sum(now, began time.Time, window time.Duration) (sum Count) {
	step := window / steps
	for i, x := range c {
		age := now.Sub(began) + time.Duration(i)*step // of the step's first moment
		if age <= window {
			sum.Requests += x.Requests
		}
		if age-step < window {
			sum.Repeats += x.Repeats
		}
	}
	return sum
}

// counter counts by steps.
type counter struct {
	step   int64 // number of the newest step
	counts Counts
}

// at returns the count of a step, after dropping those that are too old.
func (c *counter) at(step int64) *Count {
	if gone := min(step-c.step, steps+1); gone > 0 {
		copy(c.counts[gone:], c.counts[:])
		clear(c.counts[:gone])
		c.step = step
	}
	return &c.counts[0]
}
