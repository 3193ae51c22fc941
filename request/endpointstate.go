// SPDX-License-Identifier: MIT

package request

import (
	"time"

	"streambend.example/pace"
)

// EndpointState is the advertised state of an endpoint instance, as exchanged between daemons.
type EndpointState struct {
	Endpoint uint64     `codec:"e"` // Endpoint.Hash
	Limit    pace.Limit `codec:"l,omitempty"`
	Leaves   bool       `codec:"v,omitempty"`

	Rest time.Duration `codec:"r,omitempty"` // remaining time for which it asked some daemon to back off
}

// With merges two states; the result has the Endpoint of x.
func (w EndpointState) With(x EndpointState) EndpointState {
	w.Endpoint = x.Endpoint
	if x.Limit.Supersedes(w.Limit) {
		w.Limit = x.Limit
	}
	w.Leaves = w.Leaves || x.Leaves
	w.Rest = max(w.Rest, x.Rest)
	return w
}

// State returns the known advertised state of the endpoint.
func (t *Target) State(now time.Time) EndpointState {
	s := t.readAdvertised()
	s.mu.Lock()
	defer s.mu.Unlock()
	rest := max(s.backoff.left(now), s.othersBackoff.left(now))
	return EndpointState{Endpoint: t.hash, Limit: s.limit, Leaves: s.leaves, Rest: rest}
}

// MergeState merges the state announced by another daemon. An endpoint that leaves ends after left.
func (t *Target) MergeState(now time.Time, w EndpointState, left time.Duration) {
	t.MergeLimit(w.Limit)
	if w.Rest > 0 {
		t.ensureAdvertised().othersBackoff.extend(now.Add(w.Rest))
	}
	if w.Leaves {
		t.RecordLeaving(now, left)
	}
}

// RecordLeaving records that the endpoint itself advertises that it leaves, and reports whether that is
// new. It overrides the registry entry of this instance.
func (t *Target) RecordLeaving(now time.Time, left time.Duration) (fresh bool) {
	s := t.ensureAdvertised()
	s.mu.Lock()
	fresh = !s.leaves
	s.leaves = true
	s.mu.Unlock()
	t.Leave(now.Add(left))
	return fresh
}

// backoffSlack is added to the time for which an endpoint asks a daemon to back off. The endpoint measures that
// time by its own clock, and requests that wait for its end are all sent at once when it is over: a daemon whose
// clock is ahead by less than a microsecond would send them within it.
const backoffSlack = 20 * time.Millisecond

// RecordBackoff records that the endpoint asked this daemon to back off for d. It reports whether to
// announce it to other daemons, which is not needed while a back-off is already known.
func (t *Target) RecordBackoff(now time.Time, d time.Duration) (tell bool) {
	s := t.ensureAdvertised()
	tell = s.backoff.left(now) == 0 && s.othersBackoff.left(now) == 0
	s.backoff.extend(now.Add(d + backoffSlack))
	return tell
}
