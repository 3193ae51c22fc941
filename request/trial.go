// SPDX-License-Identifier: MIT

package request

import (
	"time"

	"github.com/pkg/errors"

	"streambend.example/conn"
	"streambend.example/rollout"
)

// Trials decides which requests go to a version that is rolled out, and is told what came of
// them and of those beside them.
type Trials interface {
	// Take counts a request and reports whether it goes to the version on trial.
	Take(now time.Time, a TrialAsk) bool
	// Return takes back what Take has given, as no endpoint could take it.
	Return(a TrialAsk)
	// Unsent takes a request back that Take has counted, as it was sent nowhere.
	Unsent(a TrialAsk)
	// Still reports whether a request may go to the version on trial now.
	Still(now time.Time, service string) bool
	// Note takes in what came of an attempt.
	Note(now time.Time, a TrialAnswer)
}

// TrialAsk is a request before it is sent for the first time.
type TrialAsk struct {
	Service string // name
	rollout.Ask
}

// TrialAnswer is what came of an attempt, as far as it may tell of the endpoint's version.
type TrialAnswer struct {
	Service  string
	Route    string
	Endpoint string
	Version  string
	Failed   bool          // the endpoint's own answer is a failure
	Silent   bool          // it was given up for its silence
	Took     time.Duration // until the end
	First    time.Duration // until the first event of a stream
	Expected time.Duration // of First, by the model of the engines; 0 if not known
	Events   int           // of a stream
}

// errBarred ends an attempt whose endpoint's version may get no requests any more.
var errBarred = errors.New("request: the endpoint's version may get no requests")

// Rule brings the roles of all endpoints in line with a service's versions. Of those on trial only
// the first so many take requests, in an order that all daemons share, so that each of
// them has as much to do as one of the old version; 0 for all.
func (p *Pool) Rule(s rollout.Standing, most int) {
	p.mu.Lock()
	p.standing = s
	p.mu.Unlock()
	used := make(map[*Target]bool)
	all := p.view().all
	for n := 0; most > 0 && n < most; n++ {
		var next *Target
		for _, t := range all {
			if s.RoleOf(t.Version) != rollout.Trial || used[t] || t.out.Load() {
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

// Versions counts the endpoints of each version that have not been told to leave.
func (p *Pool) Versions() map[string]int {
	out := make(map[string]int)
	for _, t := range p.Targets() {
		if _, leaving := t.Leaving(); !leaving {
			out[t.Version]++
		}
	}
	return out
}

// Ready counts the endpoints of a role that take requests.
func (p *Pool) Ready(r rollout.Role) (n int) {
	for _, t := range p.Targets() {
		if t.Role() == r && !t.out.Load() {
			n++
		}
	}
	return n
}

// InFlightAt returns how many requests of this daemon are at endpoints of a role.
func (p *Pool) InFlightAt(r rollout.Role) (n int) {
	for _, t := range p.Targets() {
		if t.Role() == r {
			n += int(t.mine.Load())
		}
	}
	return n
}

// Role returns what the endpoint's version may get.
func (t *Target) Role() rollout.Role { return rollout.Role(t.role.Load()) }

// takes reports whether the endpoint's version takes requests of a need.
func (t *Target) takes(trial bool) bool {
	switch t.Role() {
	case rollout.Own:
		return !trial
	case rollout.Trial:
		return trial && !t.resting.Load()
	}
	return false
}

// trialAsk is this request as the share of a version on trial looks at it.
func (r *run) trialAsk() TrialAsk {
	a := TrialAsk{Service: r.r.Service.Name, Ask: rollout.Ask{Route: r.r.Route.Name}}
	if r.r.IsModel() {
		a.Expect = r.work.Pool.holds.of(r.r.expectOut())
	} else {
		a.Expect = r.work.Speed.Pace(true)
	}
	return a
}

// chooseTrial chooses an endpoint of a version on trial, if the request is to go there. What is
// tried again, or would wait there too long, goes to the service's own version.
func (r *run) chooseTrial(now time.Time, n Need) (c Choice, ok bool) {
	if r.opts.Trials == nil || r.drawn || r.attempts > 0 {
		return c, false
	}
	r.drawn = true
	ask := r.trialAsk()
	if !r.opts.Trials.Take(now, ask) {
		return c, false
	}
	n.Trial = true
	c, ok = r.work.Pool.route(now, n)
	if ok && r.overloaded(c) == nil {
		return c, true
	}
	r.opts.Trials.Return(ask)
	return c, false
}

// giveBackTrial takes back that a request goes to the version on trial, whose endpoint may not be sent
// it: it goes to the service's own.
func (r *run) giveBackTrial(c Choice) {
	if r.opts.Trials != nil && c.Target.Role() == rollout.Trial {
		r.opts.Trials.Return(r.trialAsk())
	}
}

// unsent tells that a request which was counted is refused without having been sent.
func (r *run) unsent() {
	if r.drawn && r.attempts == 0 {
		r.opts.Trials.Unsent(r.trialAsk())
	}
}

// barred reports whether the chosen endpoint's version may not get this request any more.
func (r *run) barred(now time.Time, t *Target) bool {
	switch t.Role() {
	case rollout.Own:
		return false
	case rollout.Trial:
		return r.opts.Trials == nil || !r.opts.Trials.Still(now, r.r.Service.Name)
	}
	return true
}

// noteTrial tells what came of an attempt. A connection that was cut or refused, and an answer
// that is not whole or not the endpoint's own, tell nothing of its version.
func (r *run) noteTrial(now time.Time, t *Target, e Ending, failure error) {
	if r.opts.Trials == nil || r.r.Relay == nil || r.started.Before(t.SlowUntil) {
		return
	}
	a := TrialAnswer{
		Service: r.r.Service.Name, Route: r.r.Route.Name, Endpoint: t.ID, Version: t.Version,
		Took: now.Sub(r.started), First: r.first, Expected: r.expected, Events: r.events,
	}
	var f *conn.Failure
	switch {
	case e == EndedWhole:
		a.Failed = !r.well
	case errors.Is(failure, errSilent):
		a.Silent = true
	case errors.As(failure, &f) && r.ownFailure:
		a.Failed = true
	default:
		return
	}
	r.opts.Trials.Note(now, a)
}
