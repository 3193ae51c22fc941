// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
)

// What an endpoint that has announced a limit may get within a window, as the platform counts.
const (
	announcedWindow = 4 * time.Second
	announcedFactor = 1.5
	announcedSlack  = 5
	// announcedDelay is the time that daemons may take to learn of a limit.
	announcedDelay = 3 * time.Second
	// announcedMinUse is the minimum fraction of its limit that an endpoint gets while demand exceeds the
	// limit.
	announcedMinUse = 0.7
)

// maxAnnounced returns the maximum number of requests that an endpoint may get within a window.
func maxAnnounced(perSecond float64) int {
	return int(announcedFactor*perSecond*announcedWindow.Seconds() + announcedSlack)
}

// maxWithin returns the maximum number of moments, not before from, that lie within a span.
func maxWithin(at []time.Time, from time.Time, span time.Duration) (most int) {
	first := 0
	for i, t := range at {
		for at[first].Before(from) && first < i || t.Sub(at[first]) > span {
			first++
		}
		if !t.Before(from) {
			most = max(most, i+1-first)
		}
	}
	return most
}

// countFrom returns the number of moments that are not before from.
func countFrom(at []time.Time, from time.Time) (n int) {
	for _, t := range at {
		if !t.Before(from) {
			n++
		}
	}
	return n
}

// askStream requests a stream for a small unique prompt.
func (w *world) askStream(daemon, n int) answer {
	return w.ask(daemon, http.MethodPost, "/explain/", fmt.Sprint("id-", n),
		"Streambend-Token-Counts", "110,10", "Streambend-Prompt-Prefix", fmt.Sprintf("%x:50,%x:60", 7919, 104729*n+1))
}

// demand sends requests at a constant rate to daemons in turn, for a time, and returns the answers once all
// are in.
func (w *world) demand(daemons []int, perSecond int, span time.Duration, ask func(daemon, n int) answer) []answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []answer
	began := time.Now()
	for n := 0; time.Since(began) < span; n++ {
		at := n + int(time.Since(w.created).Milliseconds())*1000 // unique for each request
		wg.Go(func() {
			a := ask(daemons[n%len(daemons)], at)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return out
}

func upTo(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// An endpoint announces in its answers how many requests a second it takes from all daemons together.
// Together they must not exceed that. When no daemon read the announcement, and each selected endpoints by
// load and prefill time alone, an endpoint with a limit of 1.6 a second got 2 to 8 a second from nine
// daemons, none of which sent more than 3 a second.
func TestAnnouncedLimitIsRespectedAndUsed(t *testing.T) {
	for _, c := range []struct {
		daemons int
		limit   string
		rate    float64
	}{{3, "2", 2}, {9, "1.2", 1.2}, {60, "2.5", 2.5}} {
		t.Run(fmt.Sprintf("%d daemons, %s", c.daemons, c.limit), func(t *testing.T) {
			inZones(t, c.daemons, []string{"a", "b", "c"}, func(w *world) {
				limited := w.runner(engines, "a", "i-0", 2)
				for i := 1; i < 4; i++ {
					w.runner(engines, "b", fmt.Sprint("i-", i), 2)
				}
				time.Sleep(2 * time.Second)
				w.demand(upTo(c.daemons), 60, time.Second, w.askStream)
				limited.SetFault(standin.RunnerFault{Limit: c.limit})
				began := time.Now()
				for i, a := range w.demand(upTo(c.daemons), 60, 14*time.Second, w.askStream) {
					require.Equal(t, http.StatusOK, a.status, "request %d: other endpoints serve it", i)
				}
				known := began.Add(announcedDelay)
				assert.LessOrEqual(t, maxWithin(limited.ArrivalTimes(), known, announcedWindow), maxAnnounced(c.rate))
				used := float64(countFrom(limited.ArrivalTimes(), known)) / time.Since(known).Seconds()
				assert.GreaterOrEqual(t, used, announcedMinUse*c.rate, "its limit is used")

				limited.SetFault(standin.RunnerFault{})
				w.demand(upTo(c.daemons), 60, 2*time.Second, w.askStream)
				freed := time.Now()
				w.demand(upTo(c.daemons), 60, 2*time.Second, w.askStream)
				assert.GreaterOrEqual(t, countFrom(limited.ArrivalTimes(), freed), 20, "of 120, one of four endpoints")
			})
		})
	}
}

// retryAfter returns the Retry-After of a refused request, 0 if there is none.
func (a answer) retryAfter(t *testing.T) time.Duration {
	s, err := time.ParseDuration(a.header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return s
}

// maxRefusalTime is the maximum duration of a refusal that needs no new information.
const maxRefusalTime = 100 * time.Millisecond

func TestRetryAfterWhenAllEndpointsAreAtTheirLimits(t *testing.T) {
	inZones(t, 3, []string{"a", "b", "c"}, func(w *world) {
		for i := range 2 {
			w.runner(engines, "a", fmt.Sprint("i-", i), 2).SetFault(standin.RunnerFault{Limit: "2"})
		}
		time.Sleep(2 * time.Second)
		w.demand(upTo(3), 20, 4*time.Second, w.askStream) // until all daemons know the limits
		time.Sleep(2 * time.Second)
		var mu sync.Mutex
		refused, served := 0, 0
		w.demand(upTo(3), 20, time.Second, func(daemon, n int) answer {
			began := time.Now()
			a := w.askStream(daemon, n)
			if a.status == http.StatusOK {
				return a
			}
			assert.Equal(t, http.StatusServiceUnavailable, a.status)
			assert.Less(t, time.Since(began), maxRefusalTime, "refused without delay")
			wait := a.retryAfter(t)
			assert.Positive(t, wait)
			time.Sleep(wait)
			a = w.askStream((daemon+1)%3, n)
			mu.Lock()
			defer mu.Unlock()
			refused++
			if a.status == http.StatusOK {
				served++
			}
			return a
		})
		t.Logf("%d of 20 refused, %d of them served on their retry", refused, served)
		for _, r := range w.runners {
			assert.LessOrEqual(t, maxWithin(r.ArrivalTimes(), w.created.Add(9*time.Second), announcedWindow), maxAnnounced(2))
		}
		assert.Positive(t, refused)
		assert.GreaterOrEqual(t, float64(served), 0.7*float64(refused), "Retry-After is accurate")
	})
}

// Invalid limits are ignored.
func TestInvalidLimitIsIgnored(t *testing.T) {
	for _, bad := range []string{"-1", "NaN", "+Inf", "1e999", "two", "1,5", "0x1p-2", "1 2"} {
		inWorld(t, 2, func(w *world) {
			w.runner(engines, "a", "i-0", 2).SetFault(standin.RunnerFault{Limit: bad})
			time.Sleep(time.Second)
			for i, a := range w.demand(upTo(2), 40, 2*time.Second, w.askStream) {
				require.Equal(t, http.StatusOK, a.status, "request %d, limit %q", i, bad)
			}
		})
	}
}
