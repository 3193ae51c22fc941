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

// fleet plays daemons that ask a limiter for one endpoint as callers come to them.
type fleet struct {
	limiter pace.Limiter
	shut    []time.Time
	asks    int
	granted []time.Time
}

// play has each daemon's callers come at a rate of its own, for a time.
func (f *fleet) play(rates []float64, limit float64, span time.Duration) {
	f.shut = make([]time.Time, len(rates))
	due := make([]float64, len(rates))
	for now := start; now.Before(start.Add(span)); now = now.Add(step) {
		for i, rate := range rates {
			due[i] += rate * step.Seconds()
			if due[i] < 1 {
				continue
			}
			due[i] = math.Mod(due[i], 1)
			if now.Before(f.shut[i]) {
				continue
			}
			f.asks++
			g := f.limiter.Allow(now, 7, limit, fmt.Sprint("daemon-", i))
			if g.OK {
				f.granted = append(f.granted, now)
				continue
			}
			f.shut[i] = now.Add(g.Wait)
		}
	}
}

func most(at []time.Time) (n int) {
	first := 0
	for i, t := range at {
		for t.Sub(at[first]) > window {
			first++
		}
		n = max(n, i+1-first)
	}
	return n
}

// Load: 3 to 380 daemons with callers for many times what the endpoint takes, or all callers at one
// of them. It gets its limit, and hardly more in any window.
func TestALimiterGrantsTheLimitWhoeverAsks(t *testing.T) {
	for _, daemons := range []int{3, 9, 78, 380} {
		for _, limit := range []float64{0.3, 1.2, 5, 40} {
			for _, at := range []int{1, daemons} {
				rates := make([]float64, daemons)
				for i := range at {
					rates[i] = max(4*limit/float64(at), 3)
				}
				f := &fleet{}
				f.play(rates, limit, time.Minute)
				name := fmt.Sprintf("%d daemons, %d with callers, %g a second", daemons, at, limit)
				assert.LessOrEqual(t, float64(most(f.granted)), 1.5*limit*window.Seconds()+5, name)
				assert.GreaterOrEqual(t, float64(len(f.granted)), 0.8*limit*60, name)
				// Each daemon one in three seconds, of many 40 a second together, and those for what is granted.
				perSecond := 3*limit + 1.3*min(float64(at)/3, 40)
				assert.LessOrEqual(t, float64(f.asks), 60*perSecond+2*float64(at), "%s: questions", name)
			}
		}
	}
}

// With a limiter of their own each, daemons that all begin at once send no more than the limit.
func TestSharesOfManyDaemonsKeepTheLimit(t *testing.T) {
	for _, daemons := range []int{3, 9, 78, 380} {
		const limit = 2.0
		limiters := make([]pace.Limiter, daemons)
		var granted []time.Time
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
			for i := range limiters {
				if limiters[i].AllowShare(now, 7, limit, pace.Draw(7, fmt.Sprint("daemon-", i)), daemons).OK {
					granted = append(granted, now)
				}
			}
		}
		assert.LessOrEqual(t, float64(most(granted)), 1.5*limit*window.Seconds()+5, "%d daemons", daemons)
		assert.GreaterOrEqual(t, float64(len(granted)), 0.7*limit*60, "%d daemons", daemons)
	}
}

// Whatever is asked when, no window of time gets more than the limit and the burst.
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

func TestALimitIsTheLastThatWasSaid(t *testing.T) {
	var a, b pace.Limit
	a, tell := a.Say(2)
	assert.True(t, tell)
	_, tell = a.Say(2.1)
	assert.False(t, tell, "nearly the same")
	assert.True(t, a.Over(b))
	b = a
	b, tell = b.Say(0)
	assert.True(t, tell)
	assert.False(t, b.Named())
	assert.True(t, b.Over(a), "it says so no more")
	c, _ := a.Say(5)
	assert.True(t, c.Over(b), "of two at once the one with a limit")
	assert.False(t, b.Over(c))
}

func TestWhatIsNoLimitIsNotBelieved(t *testing.T) {
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		_, ok := pace.Believable(bad)
		assert.False(t, ok, "%g", bad)
	}
	least, ok := pace.Believable(0)
	assert.True(t, ok)
	assert.Positive(t, least, "its answers must tell that it takes more again")
	none, ok := pace.Believable(1e300)
	assert.True(t, ok)
	assert.Zero(t, none, "more than could be sent")
}

func TestALimitHasOneOwner(t *testing.T) {
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

// What an endpoint gets: more than its limit as whoever grants is lost a second time. Each of many daemons
// has used its share once, and since then has saved up a whole request, so that all send at once. Cause: a share
// went on filling while it was not used. Evidence: each of 60 daemons sent one in the 4 s after the second loss.
func TestSharesThatWereUsedBeforeKeepTheLimit(t *testing.T) {
	const limit, daemons = 2.0, 60
	limiters := make([]pace.Limiter, daemons)
	var granted []time.Time
	for _, lost := range []time.Duration{0, time.Minute} {
		for now := start.Add(lost); now.Before(start.Add(lost + window)); now = now.Add(step) {
			for i := range limiters {
				if limiters[i].AllowShare(now, 7, limit, pace.Draw(7, fmt.Sprint("daemon-", i)), daemons).OK {
					granted = append(granted, now)
				}
			}
		}
	}
	assert.LessOrEqual(t, float64(most(granted)), 1.5*limit*window.Seconds()+5)
}
