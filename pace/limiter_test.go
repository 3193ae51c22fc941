// SPDX-License-Identifier: MIT

package pace_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"streambend.example/pace"
)

const (
	window = 4 * time.Second
	step   = 10 * time.Millisecond
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates daemons that ask one limiter for one endpoint as requests arrive.
type fleet struct {
	limiter      pace.Limiter
	blockedUntil []time.Time
	calls        int
	granted      []time.Time
}

// run runs the simulation for span, with requests arriving at each daemon at its own rate.
func (f *fleet) run(rates []float64, limit float64, span time.Duration) {
	f.blockedUntil = make([]time.Time, len(rates))
	due := make([]float64, len(rates))
	for now := start; now.Before(start.Add(span)); now = now.Add(step) {
		for i, rate := range rates {
			due[i] += rate * step.Seconds()
			if due[i] < 1 {
				continue
			}
			due[i] = math.Mod(due[i], 1)
			if now.Before(f.blockedUntil[i]) {
				continue
			}
			f.calls++
			g := f.limiter.Allow(now, 7, limit, fmt.Sprint("daemon-", i))
			if g.OK {
				f.granted = append(f.granted, now)
				continue
			}
			f.blockedUntil[i] = now.Add(g.Wait)
		}
	}
}

func maxInWindow(at []time.Time) (n int) {
	first := 0
	for i, t := range at {
		for t.Sub(at[first]) > window {
			first++
		}
		n = max(n, i+1-first)
	}
	return n
}

// With 3 to 380 daemons and demand for several times the limit, at all daemons or at a single one,
// the endpoint gets its limit and hardly more in any window.
func TestLimiterGrantsTheLimitForAnyDemand(t *testing.T) {
	for _, daemons := range []int{3, 9, 78, 380} {
		for _, limit := range []float64{0.3, 1.2, 5, 40} {
			for _, at := range []int{1, daemons} {
				rates := make([]float64, daemons)
				for i := range at {
					rates[i] = max(4*limit/float64(at), 3)
				}
				f := &fleet{}
				f.run(rates, limit, time.Minute)
				name := fmt.Sprintf("%d daemons, %d with callers, %g a second", daemons, at, limit)
				assert.LessOrEqual(t, float64(maxInWindow(f.granted)), 1.5*limit*window.Seconds()+5, name)
				assert.GreaterOrEqual(t, float64(len(f.granted)), 0.8*limit*60, name)
				// Each daemon may ask once in three seconds, many daemons at most 40 times a second
				// in total, plus the granted requests.
				perSecond := 3*limit + 1.3*min(float64(at)/3, 40)
				assert.LessOrEqual(t, float64(f.calls), 60*perSecond+2*float64(at), "%s: Allow calls", name)
			}
		}
	}
}

// Daemons that start at the same moment and each use an even share stay within the limit.
func TestEvenSharesStayWithinTheLimit(t *testing.T) {
	for _, daemons := range []int{3, 9, 78, 380} {
		const limit = 2.0
		limiters := make([]pace.Limiter, daemons)
		var granted []time.Time
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
			for i := range limiters {
				if limiters[i].AllowShare(now, 7, limit, pace.HashFraction(7, fmt.Sprint("daemon-", i)), daemons).OK {
					granted = append(granted, now)
				}
			}
		}
		assert.LessOrEqual(t, float64(maxInWindow(granted)), 1.5*limit*window.Seconds()+5, "%d daemons", daemons)
		assert.GreaterOrEqual(t, float64(len(granted)), 0.7*limit*60, "%d daemons", daemons)
	}
}

// For any sequence of requests, no time window gets more than the limit plus the burst.
func TestNoWindowGetsMoreThanTheLimitAndTheBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 50).Draw(t, "limit")
		var l pace.Limiter
		var granted []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "pause")) * time.Millisecond)
			g := l.Allow(now, 1, limit, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "asker")))
			if g.OK {
				granted = append(granted, now)
			} else {
				assert.Positive(t, g.Wait)
			}
		}
		for i, from := range granted {
			for j := i; j < len(granted); j++ {
				span := max(granted[j].Sub(from), 0).Seconds() + 0.005*float64(len(granted))
				assert.LessOrEqual(t, float64(j-i+1), 3+limit*(span+0.25))
			}
		}
	})
}

func TestLastAnnouncedLimitWins(t *testing.T) {
	var a, b pace.Limit
	a, tell := a.Update(2, 0)
	assert.True(t, tell)
	_, tell = a.Update(2.1, 0)
	assert.False(t, tell, "nearly the same")
	assert.True(t, a.Supersedes(b))
	b = a
	b, tell = b.Update(0, 0)
	assert.True(t, tell)
	assert.False(t, b.Named())
	assert.True(t, b.Supersedes(a), "the limit was withdrawn")
	c, _ := a.Update(5, 0)
	assert.True(t, c.Supersedes(b), "of two concurrent changes the one with a limit")
	assert.False(t, b.Supersedes(c))
}

func TestInvalidLimitIsRejected(t *testing.T) {
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		_, ok := pace.ValidRate(bad)
		assert.False(t, ok, "%g", bad)
	}
	least, ok := pace.ValidRate(0)
	assert.True(t, ok)
	assert.Positive(t, least, "it must get requests to announce a higher limit")
	none, ok := pace.ValidRate(1e300)
	assert.True(t, ok)
	assert.Zero(t, none, "more than daemons could send")
}

func TestEndpointHasOneOwner(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	count := make(map[string]int)
	for e := range uint64(4000) {
		k := pace.Owner(e*0x9e3779b97f4a7c15, names)
		assert.Equal(t, k, pace.Owner(e*0x9e3779b97f4a7c15, []string{"d", "c", "b", "a"}))
		count[k]++
	}
	for _, n := range names {
		assert.InDelta(t, 1000, count[n], 150)
	}
	assert.Empty(t, pace.Owner(1, nil))
}

// Guards against daemons saving up tokens of an even share: when the owner is lost a second time,
// each of 60 daemons held a whole token since its first use, and all sent within 4 s.
func TestUnusedSharesExpire(t *testing.T) {
	const limit, daemons = 2.0, 60
	limiters := make([]pace.Limiter, daemons)
	var granted []time.Time
	for _, lost := range []time.Duration{0, time.Minute} {
		for now := start.Add(lost); now.Before(start.Add(lost + window)); now = now.Add(step) {
			for i := range limiters {
				if limiters[i].AllowShare(now, 7, limit, pace.HashFraction(7, fmt.Sprint("daemon-", i)), daemons).OK {
					granted = append(granted, now)
				}
			}
		}
	}
	assert.LessOrEqual(t, float64(maxInWindow(granted)), 1.5*limit*window.Seconds()+5)
}
