// SPDX-License-Identifier: MIT

package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"streambend.example/crash"
)

var start = time.Unix(1_000_000, 0)

func printOf(i int) crash.Fingerprint { return crash.FingerprintOf([]byte(fmt.Sprint("request ", i))) }

// end returns the crash of an endpoint with the requests of these numbers in flight.
func end(endpoint int, requests ...int) crash.EndpointCrash {
	e := crash.EndpointCrash{Endpoint: fmt.Sprint("i-", endpoint)}
	for _, i := range requests {
		e.Flights = append(e.Flights, crash.Flight{Print: printOf(i), For: time.Second})
	}
	return e
}

func held(l *crash.Ledger, now time.Time, i int) bool {
	_, ok := l.Held(now, printOf(i))
	return ok
}

func TestFieldBoundariesChangeThePrint(t *testing.T) {
	ab := crash.FingerprintOf([]byte("a"), []byte("b"))
	for _, other := range []crash.Fingerprint{
		crash.FingerprintOf([]byte("ab")), crash.FingerprintOf([]byte("ab"), nil), crash.FingerprintOf(nil, []byte("ab")), crash.FingerprintOf([]byte("a\x00b")),
	} {
		assert.NotEqual(t, ab, other)
	}
	back, err := crash.ParseFingerprint(ab.String())
	require.NoError(t, err)
	assert.Equal(t, ab, back)
	for _, bad := range []string{"", "ab", "zz", ab.String() + "00"} {
		_, err := crash.ParseFingerprint(bad)
		assert.Error(t, err, bad)
	}
}

// One request crashes three endpoints, one after the other.
func TestRequestIsHeldBackAfterThreeCrashes(t *testing.T) {
	var l crash.Ledger
	now := start
	for i := range 3 {
		assert.False(t, held(&l, now, 0), "after %d", i)
		now = now.Add(5 * time.Second)
		l.AddCrash(now, end(i, 0))
	}
	v, ok := l.Held(now, printOf(0))
	require.True(t, ok)
	assert.Equal(t, 3, v.Crashes)
	assert.False(t, held(&l, now, 1))
	assert.True(t, held(&l, now.Add(59*time.Minute), 0))
	assert.False(t, held(&l, now.Add(time.Hour), 0), "endpoints may run other software by then")
}

// Several daemons detect the same crash and report it to each other.
func TestReportsOfOneCrashAreDeduplicated(t *testing.T) {
	var l crash.Ledger
	for i := range 10 {
		l.AddCrash(start.Add(time.Duration(i)*50*time.Millisecond), end(1, 0))
	}
	assert.False(t, held(&l, start, 0))
	assert.Equal(t, 1, l.Suspected(printOf(0)))
}

// An endpoint that restarts under the same name and crashes again has crashed twice.
func TestAnEndpointThatCrashesAgainCountsAgain(t *testing.T) {
	var l crash.Ledger
	for i := range 3 {
		l.AddCrash(start.Add(time.Duration(i)*3*time.Second), end(1, 0))
	}
	assert.True(t, held(&l, start.Add(6*time.Second), 0))
}

// Ten requests run beside the cause, and are retried at the endpoint where it is retried next.
func TestRequestsBesideTheCauseAreNotHeldBack(t *testing.T) {
	var l crash.Ledger
	now := start
	beside := []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	for i := range 8 {
		now = now.Add(400 * time.Millisecond)
		e := end(i, beside...)
		// The cause crashes the endpoint as it begins, wherever it stands in the list.
		e.Flights = append(e.Flights, crash.Flight{Print: printOf(0), For: 60 * time.Millisecond})
		l.AddCrash(now, e)
	}
	assert.True(t, held(&l, now, 0))
	for _, i := range beside {
		assert.False(t, held(&l, now, i), "request %d", i)
		assert.Zero(t, l.Suspected(printOf(i)), "its crashes are explained")
	}
}

// A request that many callers send was in flight when several endpoints lost power.
func TestPopularRequestIsNotHeldBackForCrashesOfAnotherCause(t *testing.T) {
	var l crash.Ledger
	l.Answered(start, printOf(0))
	for i := range 10 {
		l.AddCrash(start.Add(2*time.Second), end(i, 0, i+1))
	}
	assert.False(t, held(&l, start.Add(2*time.Second), 0))
	assert.Zero(t, l.Suspected(printOf(0)))
}

// A request that was never answered before is cleared by its first answer, at the daemon that gets
// it and at those that are told.
func TestAnswerClearsAVerdict(t *testing.T) {
	var local, remote crash.Ledger
	for i := range 3 {
		local.AddCrash(start, end(i, 0))
	}
	v, ok := local.Held(start, printOf(0))
	require.True(t, ok)
	assert.False(t, remote.Merge(start, v))
	assert.True(t, held(&remote, start, 0))

	now := start.Add(time.Second)
	assert.True(t, remote.Answered(now, printOf(0)), "the request was still in flight")
	assert.False(t, held(&remote, now, 0))
	assert.True(t, remote.Merge(now, v), "the other still holds it back")
	local.Clear(now, printOf(0))
	assert.False(t, held(&local, now, 0))
	assert.False(t, local.Answered(now, printOf(5)), "not suspected")
}

// Simultaneous crashes may have a common cause, so the request is tried again soon. After crashes
// one after the other it is tried much later.
func TestVerdictOfSimultaneousCrashesIsTriedSoon(t *testing.T) {
	for name, tc := range map[string]struct {
		pause time.Duration // between the crashes
		due   time.Duration // of the trial
	}{"at one moment": {0, 10 * time.Second}, "one after the other": {2 * time.Second, 10 * time.Minute}} {
		t.Run(name, func(t *testing.T) {
			var l crash.Ledger
			now := start
			for i := range 3 {
				now = now.Add(tc.pause)
				l.AddCrash(now, end(i, 0))
			}
			v, _ := l.Held(now, printOf(0))
			assert.False(t, v.Due(now.Add(tc.due-time.Millisecond)))
			assert.True(t, v.Due(now.Add(tc.due)))
			assert.Equal(t, now.Add(tc.due), v.RetryAt())
			tried := v.Tried(now.Add(tc.due))
			assert.False(t, tried.Due(now.Add(tc.due+9*time.Minute)), "the cause is certain")
			again := tried.Tried(now.Add(30 * time.Minute))
			assert.False(t, again.Due(now.Add(59*time.Minute)))
			assert.Equal(t, v.Until, again.RetryAt())
		})
	}
}

// A message that arrives late must not undo the count of a trial, in whichever order messages
// arrive.
func TestStaleVerdictDoesNotUndoATrial(t *testing.T) {
	var l crash.Ledger
	for i := range 3 {
		l.AddCrash(start, end(i, 0))
	}
	v, _ := l.Held(start, printOf(0))
	now := start.Add(10 * time.Second)
	l.Merge(now, v.Tried(now))
	l.Merge(now, v)
	after, _ := l.Held(now, printOf(0))
	assert.Equal(t, 1, after.Trials)
	assert.False(t, after.Due(now.Add(time.Minute)))
}

// The number of verdicts is bounded, and the newest are kept.
func TestTheLedgerIsBounded(t *testing.T) {
	var l crash.Ledger
	for i := range 300 {
		for e := range 3 {
			l.AddCrash(start.Add(time.Duration(i)*time.Second), end(3*i+e, i))
		}
	}
	now := start.Add(300 * time.Second)
	assert.Len(t, l.Verdicts(now), 64)
	assert.True(t, held(&l, now, 299))
	assert.Empty(t, l.Verdicts(now.Add(2*time.Hour)))
}

// A verdict that another writer has put into the table expires no later than one made here, and
// repeated verdicts don't evict those in force.
func TestReceivedVerdictsAreBounded(t *testing.T) {
	var l crash.Ledger
	for i := range 64 {
		l.Merge(start, crash.Verdict{Print: printOf(i), Trials: -5, Until: start.Add(1000 * time.Hour)})
	}
	for i := range 64 {
		l.Merge(start, crash.Verdict{Print: printOf(i), Until: start.Add(time.Hour)})
	}
	assert.Len(t, l.Verdicts(start), 64)
	assert.Empty(t, l.Verdicts(start.Add(time.Hour)))
}

// Crashes further apart than suspectTTL don't add up.
func TestCrashesFarApartDoNotAddUp(t *testing.T) {
	var l crash.Ledger
	for i := range 6 {
		l.AddCrash(start.Add(time.Duration(i)*6*time.Minute), end(i, 0))
	}
	assert.False(t, held(&l, start.Add(30*time.Minute), 0))
}

// For any sequence of crashes and answers: no request is held back at the moment it is answered, or
// with fewer than three crashes since then, and one that is held back is also held back at a daemon
// that receives the verdict.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l, other crash.Ledger
		now := start
		ends := make(map[int]int)
		answered := make(map[int]time.Time)
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, 3).Draw(t, "request")
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				l.Answered(now, printOf(i))
				ends[i], answered[i] = 0, now
				continue
			}
			beside := rapid.IntRange(0, 3).Draw(t, "beside")
			l.AddCrash(now, end(step, i, beside))
			ends[i]++
			if beside != i {
				ends[beside]++
			}
		}
		for i := range 4 {
			if !held(&l, now, i) {
				continue
			}
			assert.GreaterOrEqual(t, ends[i], 3)
			assert.True(t, answered[i].IsZero() || now.Sub(answered[i]) > 0)
			v, _ := l.Held(now, printOf(i))
			other.Merge(now, v)
			assert.True(t, held(&other, now, i))
		}
	})
}

func TestRecentExpires(t *testing.T) {
	r := crash.Recent[int]{Period: time.Second, Most: 10}
	r.Add(start, 1)
	assert.True(t, r.Has(start.Add(999*time.Millisecond), 1))
	assert.False(t, r.Has(start.Add(2001*time.Millisecond), 1))
	for i := range 25 {
		r.Add(start.Add(3*time.Second), i)
	}
	assert.False(t, r.Has(start.Add(3*time.Second), 1), "the oldest go first")
	assert.True(t, r.Has(start.Add(3*time.Second), 24))
}
