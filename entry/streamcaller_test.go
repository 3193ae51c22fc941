// SPDX-License-Identifier: MIT

package entry_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
)

// streamResult is what the caller of a stream received, over all its attempts.
type streamResult struct {
	began    time.Time
	brokenAt time.Time // when the first attempt broke off, zero if it did not
	status   int       // of the last attempt; 0 if it had no answer
	events   int
	versions []string // that wrote the events, in order, without repeats
	attempts int      // that reached a daemon
	whole    bool
	refusal  string        // body of a refused attempt
	waited   time.Duration // of a refused attempt, until its answer
	mayRetry bool          // the refused attempt may be repeated
}

// mixed reports whether two versions wrote events of the stream.
func (s streamResult) mixed() bool { return len(s.versions) > 1 }

// takenUp reports whether the caller asked for the rest of a broken stream.
func (s streamResult) takenUp() bool { return !s.brokenAt.IsZero() && s.attempts > 1 }

// stream receives a stream of /explain/ and takes it up at another daemon when it breaks off.
func (w *world) stream(daemon int, id string, events int, resumes func(first string) []string) (s streamResult) {
	s.began = time.Now()
	first, dead := "", make(map[int]bool)
	for round := 0; time.Since(s.began) < 6*time.Second; round++ {
		if round%50 == 0 {
			clear(dead) // some may have started again
		}
		attempt := fmt.Sprintf("%s-%d", id, s.attempts)
		header := []string{}
		if s.events > 0 {
			header = append([]string{"Last-Event-Id", strconv.Itoa(s.events)}, resumes(first)...)
		}
		before := s.events
		reached := w.streamAttempt(&s, daemon, attempt, header)
		if !reached {
			dead[daemon] = true
		}
		if first == "" && s.events > before {
			first = attempt
		}
		if s.whole = s.events >= events; s.whole || reached && s.status != http.StatusOK && !s.mayRetry {
			return s
		}
		if s.events > 0 && s.brokenAt.IsZero() {
			s.brokenAt = time.Now()
		}
		time.Sleep(5 * time.Millisecond)
		for range 20 { // the balancer's choice; a daemon that refuses connections is left out
			if daemon = rand.IntN(len(w.daemons)); !dead[daemon] {
				break
			}
		}
	}
	return s
}

// streamAttempt makes one attempt, and reports whether it reached the daemon.
func (w *world) streamAttempt(s *streamResult, daemon int, id string, header []string) bool {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://10.0.0.%d:80/explain/", daemon), strings.NewReader("body"))
	require.NoError(w.t, err)
	req.Host = host
	for _, h := range [][2]string{{"Streambend-Request-Id", id}, {"Streambend-Deadline-Milliseconds", "7000"}, {"Api-Key", key}} {
		req.Header.Set(h[0], h[1])
	}
	for i := 0; i+1 < len(header); i += 2 {
		if header[i] == "Api-Key" {
			req.Header.Del("Api-Key")
		}
		req.Header.Add(header[i], header[i+1])
	}
	began := time.Now()
	s.status = 0
	resp, err := w.client.Do(req)
	if err != nil {
		return !strings.Contains(err.Error(), "refused")
	}
	defer resp.Body.Close()
	s.status, s.mayRetry = resp.StatusCode, resp.Header.Get("Retry-After") != ""
	s.attempts++
	for r := bufio.NewScanner(resp.Body); r.Scan(); {
		if resp.StatusCode != http.StatusOK {
			s.refusal, s.waited = r.Text(), time.Since(began)
			continue
		}
		text, ok := strings.CutPrefix(r.Text(), "data: event ")
		if !ok {
			continue
		}
		number, version, _ := strings.Cut(text, " of ")
		if number != strconv.Itoa(s.events+1) {
			w.t.Errorf("%s: event %s after event %d", id, number, s.events)
		}
		s.events++
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
	return true
}

// named returns the header with which callers name the request that began their stream.
func named(first string) []string { return []string{"Resumes", first} }

// streams starts n streams, spread over a time and over the daemons, and returns a function that waits for their results.
func (w *world) streams(prefix string, n, events int, over time.Duration, resumes func(string) []string) (wait func() []streamResult) {
	out := make([]streamResult, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(over * time.Duration(i) / time.Duration(n))
			out[i] = w.stream(rand.IntN(len(w.daemons)), fmt.Sprintf("%s-%d", prefix, i), events, resumes)
		}()
	}
	return func() []streamResult {
		wg.Wait()
		return out
	}
}

// engineVersions starts marked engines of a version.
func (w *world) engineVersions(version string, count, events int) (out []*standin.Runner) {
	out = w.versions(engines, version, count, events, standin.RunnerFault{})
	for _, r := range out {
		r.Marked = true
	}
	return out
}

// kill ends a daemon at once.
func (w *world) kill(i int) {
	w.mu.Lock()
	cancel := w.cancels[i]
	if w.kills == nil {
		w.kills = make(map[int]int)
	}
	w.kills[i]++
	w.mu.Unlock()
	cancel()
	w.daemons[i].Kill()
}

// killsOf returns how often a daemon was killed.
func (w *world) killsOf(i int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kills[i]
}

// takeUps counts the streams of some results.
type takeUps struct{ all, taken, wentOn, mixed, refused int }

func countTakeUps(results []streamResult) (c takeUps) {
	for _, s := range results {
		c.all++
		if s.mixed() {
			c.mixed++
		}
		if !s.takenUp() {
			continue
		}
		c.taken++
		switch {
		case s.whole:
			c.wentOn++
		case s.status == http.StatusServiceUnavailable:
			c.refused++
		}
	}
	return c
}
