// SPDX-License-Identifier: MIT

package request

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"streambend.example/conn"
	"streambend.example/rollout"
)

// Trials decides which requests go to a version that is being rolled out, and records the outcomes
// of these and of the other requests.
type Trials interface {
	// Assign counts a request and reports whether it goes to the version on trial.
	Assign(now time.Time, a TrialRequest) bool
	// Unassign reverts a true result of Take for which no endpoint was available.
	Unassign(a TrialRequest)
	// Uncount reverts the count of a request that was not sent.
	Uncount(a TrialRequest)
	// Allows reports whether a request may still go to the version on trial.
	Allows(now time.Time, service string) bool
	// RecordOutcome records the outcome of an attempt.
	RecordOutcome(now time.Time, a TrialOutcome)
}

// TrialRequest describes a request before its first attempt.
type TrialRequest struct {
	Service string // name of the service
	rollout.Ask
}

// TrialOutcome is the outcome of an attempt, as evidence about the endpoint's version.
type TrialOutcome struct {
	Service  string
	Route    string
	Endpoint string
	Version  string
	Failed   bool          // the endpoint itself answered with an error
	Silent   bool          // it was cancelled because the endpoint sent no data
	Took     time.Duration // time to the end
	First    time.Duration // time to the first event of a stream
	Expected time.Duration // predicted value of First; 0 if not known
	Wait     time.Duration // the part of Expected before the prefill
	Events   int           // number of events of a stream
}

// errBarred is the error of an attempt whose endpoint's version may no longer get requests.
var errBarred = errors.New("request: version of the endpoint may not get requests")

// SetRoles sets the roles of all endpoints according to the standing of a service's versions. Of the
// endpoints on trial only the first most take requests (all if most is 0), in an order that is the
// same in all daemons, so that each of them gets as much load as one of the old version.
func (p *Pool) SetRoles(s rollout.VersionPolicy, most int) {
	p.mu.Lock()
	p.standing = s
	p.mu.Unlock()
	used := make(map[*Target]bool)
	all := p.snapshot().all
	for n := 0; most > 0 && n < most; n++ {
		var next *Target
		for _, t := range all {
			if s.RoleOf(t.Version) != rollout.Trial || used[t] || t.excluded.Load() {
				continue
			}
			if next == nil || mix(uint64(s.Number), t.hash) > mix(uint64(s.Number), next.hash) {
				next = t
			}
		}
		if next == nil {
			break
		}
		used[next] = true
	}
	for _, t := range all {
		t.resting.Store(most > 0 && !used[t])
		t.role.Store(int32(s.RoleOf(t.Version)))
	}
}

// Versions returns the number of endpoints per version, with those that are leaving: they were started as the others were.
func (p *Pool) Versions() map[string]int {
	out := make(map[string]int)
	for _, t := range p.Targets() {
		out[t.Version]++
	}
	return out
}

// ListedVersions returns the versions of all endpoints, sorted. The slice is shared and must not be changed.
func (p *Pool) ListedVersions() []string { return p.snapshot().versions }

// RoleOf returns the role of a version.
func (p *Pool) RoleOf(version string) rollout.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.standing.RoleOf(version)
}

// Serves reports whether an endpoint of a version may get requests now or once its ejection is over.
func (p *Pool) Serves(version string) bool {
	l := p.snapshot()
	if _, ok := slices.BinarySearch(l.versions, version); !ok {
		return false
	}
	return slices.ContainsFunc(l.all, func(t *Target) bool {
		_, leaving := t.Leaving()
		return t.Version == version && !leaving && !t.Ended() && t.Role() != rollout.Barred
	})
}

// Ready returns the number of endpoints of a role that are neither leaving nor ejected.
func (p *Pool) Ready(r rollout.Role) (n int) {
	for _, t := range p.Targets() {
		if t.Role() == r && !t.excluded.Load() {
			n++
		}
	}
	return n
}

// InFlightAt returns the number of this daemon's requests at endpoints of a role.
func (p *Pool) InFlightAt(r rollout.Role) (n int) {
	for _, t := range p.Targets() {
		if t.Role() == r {
			n += int(t.ownLoad.Load())
		}
	}
	return n
}

// Role returns the role of the endpoint's version.
func (t *Target) Role() rollout.Role { return rollout.Role(t.role.Load()) }

// takes reports whether the endpoint's version accepts a request; trial is whether that is for
// the version on trial.
func (t *Target) takes(trial bool) bool {
	switch t.Role() {
	case rollout.Own:
		return !trial
	case rollout.Trial:
		return trial && !t.resting.Load()
	}
	return false
}

// trialAsk describes this request for Trials.
func (r *run) trialAsk() TrialRequest {
	a := TrialRequest{Service: r.req.Service.Name, Ask: rollout.Ask{Route: r.req.Route.Name}}
	if r.req.IsModel() {
		a.Expect = r.work.Pool.holds.predict(r.req.expectOut())
	} else {
		a.Expect = r.work.Times.Steady(r.req.Route.Name)
	}
	return a
}

// chooseTrial chooses an endpoint of the version on trial if Trials assigns the request to it. A
// retry, or a request that would wait too long there, goes to the service's own version.
func (r *run) chooseTrial(now time.Time, n Need) (c Choice, ok bool) {
	if r.opts.Trials == nil || r.trialDecided || r.attempts > 0 || n.Binding.State != Unbound {
		return c, false
	}
	r.trialDecided = true
	ask := r.trialAsk()
	if !r.opts.Trials.Assign(now, ask) {
		return c, false
	}
	n.Trial = true
	c, ok = r.work.Pool.route(now, n)
	if ok && r.overloaded(c) == nil {
		return c, true
	}
	r.opts.Trials.Unassign(ask)
	return c, false
}

// returnTrial reverts the assignment of a request to the version on trial when its endpoint may
// not be sent the request, which then goes to the service's own version.
func (r *run) returnTrial(c Choice) {
	if r.opts.Trials != nil && r.trialDecided && c.Target.Role() == rollout.Trial {
		r.opts.Trials.Unassign(r.trialAsk())
	}
}

// uncountTrial reverts the count of a request that is refused without having been sent.
func (r *run) uncountTrial() {
	if r.trialDecided && r.attempts == 0 {
		r.opts.Trials.Uncount(r.trialAsk())
	}
}

// barred reports whether the chosen endpoint's version may no longer get this request.
func (r *run) barred(now time.Time, t *Target) bool {
	switch t.Role() {
	case rollout.Own:
		return false
	case rollout.Trial:
		return r.opts.Trials == nil || !r.opts.Trials.Allows(now, r.req.Service.Name)
	}
	return true
}

// noteTrial reports the outcome of an attempt to Trials. A broken or refused connection, or an answer
// that is incomplete or not signed by the endpoint, is no evidence about its version.
func (r *run) noteTrial(now time.Time, t *Target, e Ending, failure error) {
	if r.opts.Trials == nil || r.req.Relay == nil || r.started.Before(t.SlowUntil) {
		return
	}
	a := TrialOutcome{
		Service: r.req.Service.Name, Route: r.req.Route.Name, Endpoint: t.ID, Version: t.Version,
		Took: now.Sub(r.started), First: r.first, Expected: r.expected, Wait: r.expectedWait, Events: r.events,
	}
	a.Took -= r.callerTime
	var f *conn.Failure
	switch {
	case e == EndedComplete:
		a.Failed = !r.succeeded
	case errors.Is(failure, errSilent):
		if r.pathLost() {
			return // nothing arrives from any endpoint
		}
		a.Silent = true
	case errors.As(failure, &f) && r.signedFailure:
		a.Failed = true
	default:
		return
	}
	r.opts.Trials.RecordOutcome(now, a)
}
