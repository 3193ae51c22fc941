// SPDX-License-Identifier: MIT

package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/quota"
)

// grant asks for the units of a new request that can't wait.
func grant(q *quota.Buckets, now time.Time, l quota.Limit, units float64) quota.Grant {
	return q.Grant(now, l, quota.Query{Units: units, Key: rand.Uint64()}, 1)
}

func TestABucketKeepsTheRateAndRepaysDebt(t *testing.T) {
	q := quota.New(true)
	team := quota.Limit{Team: "x", Rate: 100, Burst: 50}
	admitted := 0.0
	for i := range 100 {
		if grant(q, start.Add(time.Duration(i)*100*time.Millisecond), team, 20).OK {
			admitted += 20
		}
	}
	assert.InDelta(t, 50+990, admitted, 20)
	now := start.Add(10 * time.Second)
	for range 100 { // the owner stays the owner, and the demand is forgotten
		now = now.Add(200 * time.Millisecond)
		grant(q, now, team, 0)
	}
	q.ChargeRemote(now, "", team, 150, 1)
	g := q.Grant(now, team, quota.Query{Units: 20, Key: 5, Wait: 2 * time.Second}, 1)
	assert.False(t, g.OK)
	assert.InDelta(t, 1.2, g.Wait.Seconds(), 0.01)
	q.Return(team, 500)
	assert.True(t, grant(q, now, team, 50).OK)
	assert.False(t, grant(q, now, team, 1).OK, "what is returned does not exceed the burst")
}

func TestARestartDoesNotFillTheBucket(t *testing.T) {
	q := quota.New(false)
	team := quota.Limit{Team: "x", Rate: 100, Burst: 50}
	assert.False(t, grant(q, start, team, 30).OK, "what the previous process admitted is unknown")
	assert.True(t, grant(q, start, team, 20).OK)
}

// A team below its limit is never refused, even if its requests come in bursts.
func TestATeamBelowItsLimitIsNotRefused(t *testing.T) {
	q, now := quota.New(true), start
	team := quota.Limit{Team: "team", Rate: 1000, Burst: 1000}
	for range 200 {
		for range 9 { // nine tenths of the limit, once a second
			assert.True(t, grant(q, now, team, 100).OK)
		}
		now = now.Add(time.Second)
	}
}

// Guards against refusals by an owner that has just started, of a team far below its limit whose requests coincide.
func TestUnitsKeptForUnreportedAdmissionsMakeNoRefusal(t *testing.T) {
	q, now := quota.New(false), start
	team := quota.Limit{Team: "team", Rate: 20000, Burst: 20000}
	q.Levels(now, []quota.Limit{team}, 1.0/60)
	now = now.Add(280 * time.Millisecond)
	for key := range uint64(6) {
		g := q.Grant(now, team, quota.Query{Units: 200, Key: key, Wait: 500 * time.Millisecond}, 1)
		assert.True(t, g.OK || g.Booked, "request %d", key)
	}
}
