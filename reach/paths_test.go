// SPDX-License-Identifier: MIT

package reach_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/reach"
)

const service = "/engines"

var start = time.Unix(1000, 0)

// simulate runs a daemon's steps for a time, each 100 ms. A request each 100 ms and each probe open a connection to an
// endpoint that is alive, of n in turn, and fail at the others after the given time; the others reach is what another
// daemon answers. It returns after how long the service was lost, negative if it was not, and the probes and questions.
func simulate(p *reach.Paths, from time.Time, span time.Duration, n int, timeout time.Duration, alive func(endpoint string) bool, others bool) (lost time.Duration, probes, questions int) {
	lost = -1
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("i-", i))
	}
	type dial struct {
		at                time.Time
		service, endpoint string
	}
	draw := 0
	listed := func(string) []string {
		draw += 7
		return append(slices.Clone(all[draw%n:]), all[:draw%n]...)
	}
	var dials []dial
	for now := from; now.Sub(from) < span; now = now.Add(100 * time.Millisecond) {
		at := int(now.Sub(from) / (100 * time.Millisecond))
		dials = append(dials, dial{now.Add(timeout), service, all[at%n]})
		s := p.Next(now, listed)
		for _, x := range s.Probes {
			probes++
			dials = append(dials, dial{now.Add(timeout), x.Service, x.Endpoint})
		}
		for _, x := range s.Questions {
			questions += x.Daemons
			if others {
				p.Confirmed(now, x.Service)
			}
		}
		dials = slices.DeleteFunc(dials, func(d dial) bool {
			if d.at.After(now) {
				return false
			}
			if alive(d.endpoint) {
				p.Opened(now, d.service, d.endpoint, n, others)
			} else {
				p.Failed(now, d.service, d.endpoint, n)
			}
			return true
		})
		if lost < 0 && p.Lost(service) {
			lost = now.Sub(from)
		}
	}
	return lost, probes, questions
}

func none(string) bool { return false }

// Guards against a loss that is noticed too late or not at all: connections that hang or are refused, few endpoints and
// many, and no other daemon that confirms it.
func TestALossIsNoticedWithinTwoSeconds(t *testing.T) {
	for _, n := range []int{1, 2, 4, 40} {
		for _, timeout := range []time.Duration{0, 400 * time.Millisecond} {
			for _, others := range []bool{true, false} {
				var p reach.Paths
				lost, probes, questions := simulate(&p, start, 3*time.Second, n, timeout, none, others)
				assert.GreaterOrEqual(t, lost, time.Duration(0), "%d endpoints, %s, confirmed %t", n, timeout, others)
				assert.LessOrEqual(t, lost, 2*time.Second, "%d endpoints, %s, confirmed %t", n, timeout, others)
				assert.LessOrEqual(t, probes, 20, "%d endpoints, %s, confirmed %t", n, timeout, others)
				assert.LessOrEqual(t, questions, 20, "%d endpoints, %s, confirmed %t", n, timeout, others)
			}
		}
	}
}

// Guards against a loss declared while an endpoint can be reached: most have ended, or one zone's are cut off.
func TestNoLossWhileAnEndpointIsReached(t *testing.T) {
	for alive, n := range map[string]int{"i-0": 9, "i-4": 5, "i-39": 40} {
		var p reach.Paths
		lost, _, _ := simulate(&p, start, 10*time.Second, n, 0, func(e string) bool { return e == alive || n == 40 && e > "i-3" }, false)
		assert.Less(t, lost, time.Duration(0), "%s of %d alive", alive, n)
	}
}

// Guards against a path that stays lost after it has come back, and against a service that stays lost without endpoints.
func TestALossEndsWithTheFirstConnection(t *testing.T) {
	var p reach.Paths
	simulate(&p, start, 3*time.Second, 4, 400*time.Millisecond, none, true)
	assert.Equal(t, 1, p.LostServices())
	assert.True(t, p.Opened(start.Add(3*time.Second), service, "i-0", 4, false))
	assert.False(t, p.Lost(service))
	assert.Zero(t, p.LostServices())

	simulate(&p, start.Add(4*time.Second), 3*time.Second, 4, 400*time.Millisecond, none, true)
	assert.True(t, p.Lost(service))
	p.Next(start.Add(8*time.Second), func(string) []string { return nil })
	assert.False(t, p.Lost(service))
	assert.Zero(t, p.LostServices())
}

// Guards against a daemon that sends all its requests to the few endpoints in its reach, or dials the others in vain,
// while daemons that reach all serve them; and against one that does not notice that the path is back.
func TestALossLastsWhileFewEndpointsAreReached(t *testing.T) {
	var p reach.Paths
	simulate(&p, start, 3*time.Second, 40, 400*time.Millisecond, none, true)
	assert.True(t, p.Lost(service))
	_, probes, _ := simulate(&p, start.Add(3*time.Second), 10*time.Second, 40, 400*time.Millisecond, func(e string) bool { return e == "i-7" }, true)
	assert.True(t, p.Lost(service))
	assert.LessOrEqual(t, probes, 5*10+7*20, "five a second, and a survey at most each half second")
	simulate(&p, start.Add(13*time.Second), time.Second, 40, 0, func(string) bool { return true }, true)
	assert.False(t, p.Lost(service))
}

// Guards against a service without requests that is found lost only by its next callers.
func TestALossHasOtherServicesProbed(t *testing.T) {
	var p reach.Paths
	const quiet = "/plain"
	p.Opened(start.Add(-time.Minute), quiet, "i-0", 4, true)
	simulate(&p, start, 3*time.Second, 4, 400*time.Millisecond, none, true)
	assert.True(t, p.Lost(quiet))
}
