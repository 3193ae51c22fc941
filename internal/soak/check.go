// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"streambend.example/internal/standin"
)

// kind is a kind of request and its guarantees.
type kind struct {
	path   string
	method string
	once   bool // runs at most once
	events int  // number of events in its stream; 0 for a plain response
	takeUp bool // callers take its stream up when it breaks off
}

// sentRequest records a request that was sent, to check its outcome.
type sentRequest struct {
	kind    kind
	after   int  // events of its stream that the caller had before
	revoked bool // its API key had been revoked for longer than revocationBound
	refused bool // the response stated that it has not run
}

// checker checks the guarantees against what callers and endpoints observe.
type checker struct {
	mu         sync.Mutex
	requests   map[string]*sentRequest
	violations []string
	answers    map[string]int // number of responses by status or error
	faultsEnd  time.Time      // when the last fault ends
}

func newChecker() *checker {
	return &checker{requests: make(map[string]*sentRequest), answers: make(map[string]int)}
}

// maxViolations is the maximum number of violations that are reported.
const maxViolations = 20

func (c *checker) failf(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// recordRequest records a request before it is sent.
func (c *checker) recordRequest(id string, k kind, after int, dead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &sentRequest{kind: k, after: after, revoked: dead}
}

// checkVersions checks that one version has written all events of a stream.
func (c *checker) checkVersions(id string, versions []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(versions) > 1 {
		c.failf("stream %s holds events of versions %v", id, versions)
	}
}

// countTakeUp counts a stream that is taken up, by whether it went on.
func (c *checker) countTakeUp(wentOn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := "stream taken up, not gone on"
	if wentOn {
		name = "stream taken up, gone on"
	}
	c.answers[name]++
}

// extendFault records that a fault is in effect until a time.
func (c *checker) extendFault(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.faultsEnd) {
		c.faultsEnd = until
	}
}

// wholeStream returns the body of a complete stream of n events after some, as the stand-in writes it without the version.
func wholeStream(after, n int) string {
	var b strings.Builder
	for i := after + 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// settleTime is how long after a fault a connection may still break because of it.
const settleTime = 3 * time.Second

// checkResponse checks and records the outcome of a request.
func (c *checker) checkResponse(id string, d *daemon, began time.Time, status int, body, signature string, err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requests[id]
	if err != nil {
		c.answers["broken off"]++
		planned := d.lastStop()
		if planned.After(began.Add(-time.Second)) && now.Sub(planned) < gracePeriod && now.After(c.faultsEnd.Add(settleTime)) && began.After(c.faultsEnd.Add(settleTime)) {
			c.failf("a planned stop of %s cut %s off: %v", d.name, id, err)
		}
		return
	}
	c.answers[fmt.Sprint(status)]++
	switch {
	case status >= 200 && status < 300:
		want := "answer to " + id
		if a.kind.events > 0 {
			want = wholeStream(a.after, a.kind.events)
		}
		if body != want || signature == "" {
			c.failf("%s got as whole what is not: %d bytes of %d, signed %q", id, len(body), len(want), signature)
		}
	case status == 429 || status == 503 || status == 408 || status == 421:
		a.refused = true
		if signature != "" {
			c.failf("%s got a refusal %d with an endpoint's signature", id, status)
		}
	}
}

// checkRuns checks the requests that the endpoints ran against the guarantees, and counts them.
func (c *checker) checkRuns(runners []*standin.Runner) (ran int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := make(map[string]int)
	for _, r := range runners {
		for _, x := range r.Ran() {
			count[x.ID]++
			ran++
			if a := c.requests[x.ID]; a == nil || x.Method != a.kind.method || !strings.HasPrefix(x.Target, a.kind.path) {
				c.failf("%s ran and nobody asked for it so", x.ID)
			}
		}
	}
	for id, a := range c.requests {
		n := count[id]
		switch {
		case a.kind.once && n > 1:
			c.failf("%s may run once and ran %d times", id, n)
		case a.refused && n > 0:
			c.failf("%s was refused as not run and ran", id)
		case a.revoked && n > 0:
			c.failf("%s ran with a key that was taken away long before", id)
		}
	}
	return ran
}

// checkDuties checks that calls of the cloud API are consistent: a fencing token has one holder and never
// decreases, and a usage window is reported once or with equal content.
func (c *checker) checkDuties(calls []standin.DutyCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := make(map[string]string)
	holders := make(map[int64]string)
	newest := int64(0)
	for _, x := range calls {
		if h, ok := holders[x.Fence]; ok && h != x.Holder {
			c.failf("fence %d was used by %s and %s", x.Fence, h, x.Holder)
		}
		holders[x.Fence] = x.Holder
		if x.Fence < newest {
			c.failf("%s acted under fence %d after %d", x.Holder, x.Fence, newest)
		}
		newest = max(newest, x.Fence)
		if x.Path != "/usage" {
			continue
		}
		window, _, _ := strings.Cut(x.Body, ",")
		if before, ok := reports[window]; ok && before != x.Body {
			c.failf("two reports of one window differ: %s and %s", before, x.Body)
		}
		reports[window] = x.Body
	}
}
