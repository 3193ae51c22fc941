// SPDX-License-Identifier: MIT

package request

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/conn"
)

// SecondRuns decides whether a plain call runs a second time after an endpoint's own error, and counts the
// outcomes of second runs.
type SecondRuns interface {
	// Allow reports whether a call may run again. The draw is a random number.
	Allow(service string, draw uint64) bool
	// Count counts a second run that ended with an endpoint's own answer.
	Count(service string, succeeded bool)
}

const (
	// minSecondRuns is the number of second runs from which their share of successes is judged.
	minSecondRuns = 20
	// minSecondRunSuccess is the share of successes below which second runs are limited.
	minSecondRunSuccess = 0.1
	// secondRunSample is the number of failures of which one is still tried again while second runs are limited,
	// so that a change is noticed.
	secondRunSample = 10
	// secondRunTTL is how long a second run counts. At 0.7 failures per second the sample renews minSecondRuns
	// within it.
	secondRunTTL = 5 * time.Minute
	// secondRunSourceTTL is how long after its last sums a source is kept: two queries to a reader. While the store
	// fails, a daemon queries others besides its reader, and growth would be lost with each change of the source.
	secondRunSourceTTL = time.Second
)

// SecondRunLimit decides, for each service, from the recent second runs of all daemons whether calls that failed
// run again. The zero value is ready to use.
type SecondRunLimit struct {
	mu     sync.Mutex
	source string
	at     time.Time // of the source's last sums
	states map[string]*secondRunState
}

// secondRunState is the recent history of a service's second runs.
type secondRunState struct {
	seen    conn.SecondRuns // last sums
	recent  []secondRunStep // growths of the sums, the newest last
	limited bool
}

// secondRunStep is a growth of the sums.
type secondRunStep struct {
	at time.Time
	conn.SecondRuns
}

// SecondRunChange is a change of the decision for a service, with the second runs that it is based on.
type SecondRunChange struct {
	Service string
	Limited bool
	conn.SecondRuns
}

// Update takes the sums of all daemons' counters by service and returns the decisions that change. Sums of another
// source are ignored until the last one is silent, and have another origin: only their further growth counts, as
// with sums that fall because a daemon has ended.
func (l *SecondRunLimit) Update(now time.Time, source string, sums map[string]conn.SecondRuns) (changes []SecondRunChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = make(map[string]*secondRunState)
	}
	known := source == l.source
	if !known && now.Sub(l.at) < secondRunSourceTTL {
		return nil
	}
	l.source, l.at = source, now
	for service, sum := range sums {
		s := l.states[service]
		if s == nil {
			s = &secondRunState{}
			l.states[service] = s
		}
		step := secondRunStep{now, conn.SecondRuns{Runs: sum.Runs - s.seen.Runs, Succeeded: sum.Succeeded - s.seen.Succeeded}}
		if known && step.Runs > 0 && step.Succeeded >= 0 && step.Succeeded <= step.Runs {
			s.recent = append(s.recent, step)
		}
		s.seen = sum
	}
	for service, s := range l.states {
		judged, before := s.judge(now), s.limited
		if s.limited = limits(judged); s.limited != before {
			changes = append(changes, SecondRunChange{service, s.limited, judged})
		}
	}
	return changes
}

// judge drops the steps that are no longer needed, and returns the sum of the others: the newest minSecondRuns, of
// the oldest step in proportion.
func (s *secondRunState) judge(now time.Time) (sum conn.SecondRuns) {
	first := len(s.recent)
	for first > 0 && sum.Runs < minSecondRuns && now.Sub(s.recent[first-1].at) < secondRunTTL {
		first--
		step := s.recent[first].SecondRuns
		if most := minSecondRuns - sum.Runs; step.Runs > most {
			step.Runs, step.Succeeded = most, (step.Succeeded*most+step.Runs/2)/step.Runs
		}
		sum = sum.Add(step)
	}
	s.recent = append(s.recent[:0], s.recent[first:]...)
	return sum
}

// limits reports whether second runs with these outcomes are limited.
func limits(s conn.SecondRuns) bool {
	return s.Runs >= minSecondRuns && float64(s.Succeeded) < minSecondRunSuccess*float64(s.Runs)
}

// Allow reports whether a call of the service may run a second time.
func (l *SecondRunLimit) Allow(service string, draw uint64) bool {
	return !l.Limited(service) || pick(draw, secondRunSample) == 0
}

// Limited reports whether second runs of the service are limited.
func (l *SecondRunLimit) Limited(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[service]
	return s != nil && s.limited
}

// Services returns the number of services whose second runs are limited.
func (l *SecondRunLimit) Services() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.states {
		if s.limited {
			n++
		}
	}
	return n
}

// secondRunSalt derives the random number of the decision.
const secondRunSalt = 0x3c6ef372

// failedBySelf reports whether the last attempt of a plain call ended with its endpoint's own signed error.
func (r *run) failedBySelf(e Ending, failure error) bool {
	if e != EndedBroken || !r.signedFailure || r.req.Unrepeatable || r.req.IsModel() || r.req.Relay == nil || r.req.Relay.Streaming {
		return false
	}
	var f *conn.Failure
	return errors.As(failure, &f) && f.Status >= http.StatusInternalServerError
}

// judgeSecondRun counts the attempt if it was a second run, and returns the verdict on it: after an endpoint's own
// error, the retry that v orders may be replaced by passing that error on.
func (r *run) judgeSecondRun(e Ending, failure error, v Verdict) Verdict {
	if r.opts.SecondRuns == nil {
		return v
	}
	failed := r.failedBySelf(e, failure)
	if r.secondRun && (failed || e == EndedComplete) {
		r.secondRun = false
		r.opts.SecondRuns.Count(r.req.Service.Name, !failed)
	}
	if !failed || v.Action != Retry {
		return v
	}
	r.secondRun = r.opts.SecondRuns.Allow(r.req.Service.Name, mix(r.attemptHash(), secondRunSalt))
	if r.secondRun {
		return v
	}
	return Verdict{Action: GiveUp, Code: code.EndpointAnswer}
}
