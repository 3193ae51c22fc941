// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"streambend.example/conn"
	"streambend.example/request"
)

// CountSecondRun counts a second run of a service's plain call.
func (t *Tallies) CountSecondRun(service string, succeeded bool) {
	one := conn.SecondRuns{Runs: 1}
	if succeeded {
		one.Succeeded = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Second[service] = t.self.Second[service].Add(one)
	t.second[service] = t.second[service].Add(one)
	t.recordChange(counter{service, secondRuns})
}

// SecondRuns returns the second runs of all daemons by service, as far as this one has received them.
func (t *Tallies) SecondRuns() map[string]conn.SecondRuns {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.second)
}

// addSecondRuns adds what a newer tally of a daemon, whole or partial, adds to the sums: a reader of a zone of 170
// daemons tells the sums 380 times per second. The caller holds the lock.
func (t *Tallies) addSecondRuns(old, next conn.Tally) {
	for service, n := range next.Second {
		t.second[service] = t.second[service].Add(n.Sub(old.Second[service]))
	}
}

// removeSecondRuns removes the counts of a daemon that has ended from the sums; the caller holds the lock.
func (t *Tallies) removeSecondRuns(x conn.Tally) {
	for service, n := range x.Second {
		t.second[service] = t.second[service].Sub(n)
	}
}

// secondRunLimits implements request.SecondRuns with the counts of all daemons.
type secondRunLimits struct {
	d     *Daemon
	limit request.SecondRunLimit

	run, succeeded, skipped metrics.Counter
}

func newSecondRunLimits(d *Daemon) *secondRunLimits {
	return &secondRunLimits{
		d:         d,
		run:       metrics.GetOrRegisterCounter("second_runs.run", d.meters.registry),
		succeeded: metrics.GetOrRegisterCounter("second_runs.succeeded", d.meters.registry),
		skipped:   metrics.GetOrRegisterCounter("second_runs.skipped", d.meters.registry),
	}
}

// Allow implements request.SecondRuns.
func (s *secondRunLimits) Allow(service string, draw uint64) bool {
	ok := s.limit.Allow(service, draw)
	if !ok {
		s.skipped.Inc(1)
	}
	return ok
}

// Count implements request.SecondRuns.
func (s *secondRunLimits) Count(service string, succeeded bool) {
	s.run.Inc(1)
	if succeeded {
		s.succeeded.Inc(1)
	}
	s.d.tallies.CountSecondRun(service, succeeded)
}

// updateOwn takes the sums of the tallies held here, unless a reader sends its sums: then those held here are only
// this daemon's own and some that it received before.
func (s *secondRunLimits) updateOwn(now time.Time) {
	if !s.d.largeFleet() || s.d.isReader() || s.d.contact.silent(now) > readerLossTTL {
		s.update(now, "", s.d.tallies.SecondRuns())
	}
}

// takeReport takes a reader's sums. A reader of the previous version sends none; its daemons go by their own.
func (s *secondRunLimits) takeReport(now time.Time, source string, sums map[string]conn.SecondRuns) {
	if sums == nil {
		source, sums = "", s.d.tallies.SecondRuns()
	}
	s.update(now, source, sums)
}

// update takes the sums of a source: a reader's process, or "" for the tallies held here.
func (s *secondRunLimits) update(now time.Time, source string, sums map[string]conn.SecondRuns) {
	for _, c := range s.limit.Update(now, source, sums) {
		s.d.log.WithFields(logrus.Fields{"part": "second runs", "service": c.Service, "limited": c.Limited, "runs": c.Runs, "succeeded": c.Succeeded}).
			Info("second runs after an endpoint's own error are limited to a sample or allowed again")
	}
}
