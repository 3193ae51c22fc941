// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/mechanism"
	"streambend.example/rollout"
)

// routeRetryInterval is the interval at which a request without an endpoint retries routing.
const routeRetryInterval = 50 * time.Millisecond

// resumeRouteWait is how long a request that has been started waits for an endpoint to continue at,
// instead of RouteWait. An endpoint is ejected for one second after failures and callers tolerate a
// pause of two; without this wait, 30 of 30 streams were lost whose endpoint ended while the others
// were ejected.
const resumeRouteWait = 1200 * time.Millisecond

// cacheKey returns the key by which engines group the KV cache blocks of a prefix.
func cacheKey(prefix uint64) string { return strconv.FormatUint(prefix, 36) }

// ParseCacheKey returns the prefix hash that a cache key encodes, or 0 if it is malformed.
func ParseCacheKey(k string) uint64 {
	p, err := strconv.ParseUint(k, 36, 64)
	if err != nil {
		return 0
	}
	return p
}

// relaySlotTime is the time for which a stream is assumed to hold its slot at an engine.
const relaySlotTime = 1500 * time.Millisecond

// attemptHash returns the hash from which the next attempt's random choices derive: of the
// request's id and the number of attempts so far.
func (r *run) attemptHash() uint64 {
	return mix(xxhash.Sum64String(r.req.ID), uint64(r.attempts+1))
}

// need returns the routing requirements of this request.
func (r *run) need(now time.Time) Need {
	n := Need{At: now, Plain: !r.req.IsModel(), Avoid: r.avoid, RecomputeWeight: r.req.Service.Weigh, Policy: r.opts.Route, PreferNonReclaimable: r.req.Unrepeatable, Draw: r.attemptHash(), Without: r.opts.Without}
	if n.Plain {
		n.Service = r.work.Times.Usual(r.req.Route.Name)
		return n
	}
	n.Prefix, n.Prompt = r.req.Prefix(), r.req.PromptTokens()
	if x := r.req.Relay; x != nil {
		n.Binding = x.Binding
		n.Trial = x.Binding.State == Bound && r.work.Pool.RoleOf(x.Binding.Version) == rollout.Trial
		n.PreferRendezvous = r.opts.PreferRendezvous != nil && r.opts.PreferRendezvous()
		n.Parts, n.Pause, n.Service = x.Parts, x.Pause, relaySlotTime
	}
	n.PrefillRate = r.work.Speed.Prefill()
	if n.Service == 0 {
		n.Service = r.ticket.Expect
	}
	return n
}

// route chooses an endpoint. While none is available it waits for one. It returns no endpoint if the path to them is
// lost.
func (r *run) route(ctx context.Context) (Choice, *code.Error) {
	until := r.req.Arrived.Add(r.opts.RouteWait)
	if r.life.MayHaveRun { // otherwise it can be refused at once as not run
		until = r.Now().Add(resumeRouteWait)
	}
	for {
		if r.pathLost() {
			return Choice{}, nil
		}
		if err := r.versionGone(); err != nil {
			return Choice{}, err
		}
		now := r.Now()
		if err := r.endsTooLate(now); err != nil {
			return Choice{}, err
		}
		current, listed := r.opts.listed(now) // read before the choice, so that it does not belong to a newer list
		c, ok := Choice{}, false
		if listed {
			c, ok = r.chooseEndpoint(now)
			c.SendBy, c.Unbound = current, current.IsZero() && r.opts.Listed != nil
		}
		if err := r.overloaded(c); ok && err != nil {
			return Choice{}, err
		}
		if ok && r.permit(ctx, &c) {
			r.logChoice(now, c)
			if c.Unbound {
				r.Count.Unbound.Add(1)
			}
			if !r.req.IsModel() {
				r.Count.countPlain(c.Why)
			}
			return c, nil
		}
		if ok {
			r.returnTrial(c)
			continue // routing skips the endpoint until its rate limit allows the next request
		}
		pause := routeRetryInterval
		if listed {
			var err *code.Error
			if pause, err = r.atLimits(now, r.need(now)); err != nil {
				return Choice{}, err
			}
		}
		late := !now.Add(r.ticket.Least).Before(r.req.Deadline) && r.attempts == 0
		waited := r.opts.RouteWait > 0 && !now.Before(until)
		if late || waited || !now.Before(r.giveUpAt()) {
			return Choice{}, r.noEndpoint(listed)
		}
		r.avoid = nil
		select {
		case <-ctx.Done():
			return Choice{}, code.New(code.NoEndpoint, "the caller disconnected")
		case <-time.After(max(pause, clock.LeastTimer)):
		}
	}
}

// noEndpoint returns the error for a request that finds no endpoint; listed is false if the list of
// endpoints is too old to choose from.
func (r *run) noEndpoint(listed bool) *code.Error {
	text := "no endpoint of %s accepts requests"
	if !listed {
		text = "the list of endpoints of %s is too old to choose from"
	}
	return code.New(code.NoEndpoint, text, r.work.Pool.Service).After(time.Second)
}

// minOverloadRetryAfter is the minimum Retry-After of a request refused for overload.
const minOverloadRetryAfter = 400 * time.Millisecond

// overloaded returns an error for a request that has not run anywhere if even the
// engine with the shortest prefill backlog would start it later than its wait limit.
// Refused at once, it can still be answered in time when the caller retries.
func (r *run) overloaded(c Choice) *code.Error {
	x := r.req.Relay
	if x == nil || x.WaitLimit == 0 || !r.opts.Without.On(mechanism.Admission) || r.attempts > 0 || !c.WaitsBeyond(x.WaitLimit) {
		return nil
	}
	return code.New(code.Overloaded, "expected wait of %s exceeds the limit of %s", max(c.Wait, c.Place).Round(time.Millisecond), x.WaitLimit).
		After(max(minOverloadRetryAfter, c.Wait))
}

func (r *run) chooseEndpoint(now time.Time) (Choice, bool) {
	n := r.need(now)
	if p := r.prefer; p != nil {
		r.prefer = nil
		if p.eligible(n) {
			return Choice{Target: p, Load: int(p.load.Load()), Hit: 1, Why: "holds the KV cache"}, true
		}
	}
	if c, ok := r.chooseTrial(now, n); ok {
		return c, true
	}
	c, ok := r.work.Pool.Route(now, n)
	if n.AllowBackedOff = true; ok && r.overloaded(c) != nil {
		// An endpoint that asked for a rest may have capacity for it.
		return r.work.Pool.Route(now, n)
	}
	return c, ok
}

// attempt sends the request to one endpoint and receives its answer.
func (r *run) attempt(ctx context.Context, c Choice) (Ending, error) {
	defer c.free()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := &Flight{answer: r.answer, pinned: r.req.Unrepeatable, cancel: cancel}
	if r.req.IsModel() {
		f.prefix = r.req.Prefix()
	}
	c.Target.Begin(f)
	defer c.Target.End(f)
	now := r.opts.look()
	if c.expired(now) {
		return EndedUnsent, errStaleList // the box was suspended after the choice
	}
	if r.barred(now, c.Target) {
		return EndedUnsent, errBarred
	}
	if c.Target.superseded.Load() {
		return EndedUnsent, errRestarted
	}
	if _, leaving := c.Target.Leaving(); leaving {
		// The notice arrived between the choice and Begin, so it did not cover
		// this attempt, and a leaving endpoint gets no new requests.
		return EndedUnsent, errors.New("request: endpoint is leaving")
	}
	r.life.apply(eventSend)
	r.started, r.expected, r.first, r.events, r.signedFailure, r.survived = r.Now(), c.First, 0, 0, false, false
	r.progress.begin(r.started)
	if r.firstSent.IsZero() {
		r.firstSent = r.started
	}
	r.expectedWait = c.First - c.Own - c.Start
	var ending Ending
	var err error
	switch {
	case r.req.Relay != nil:
		ending, err = r.attemptRelay(ctx, c)
	case r.req.IsModel():
		ending, err = r.attemptModel(ctx, c)
	default:
		ending, err = r.attemptPlain(ctx, c)
	}
	if ending == EndedComplete {
		return ending, nil
	}
	if prefer, restart, cut := f.wasCut(); cut {
		r.prefer, r.restart = prefer, restart
		return EndedMoved, nil
	}
	return ending, err
}

// classifyError returns the outcome of a call that returned err.
func (r *run) classifyError(err error) Ending {
	var f *conn.Failure
	if !errors.As(err, &f) {
		return EndedBroken
	}
	switch {
	case f.Status == 0 && !f.Sent:
		return EndedUnsent
	case slices.Contains(r.req.Service.NotRunStatuses, f.Status):
		return EndedRefused
	case f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError:
		return EndedError
	}
	return EndedBroken
}

var errSilent = errors.New("request: endpoint sent no data in time")

// startSilenceTimer returns a timer that cancels an attempt whose endpoint sends no data. An
// endpoint that reports itself as full gets more time: its queue is long, and a
// retry elsewhere would add load. An unrepeatable request cannot be retried and
// waits until its deadline.
func (r *run) startSilenceTimer(t *Target, cancel context.CancelCauseFunc) *time.Timer {
	if r.req.Unrepeatable {
		return time.AfterFunc(max(r.req.Deadline.Sub(r.Now()), clock.LeastTimer), func() { cancel(errSilent) })
	}
	var dog *time.Timer
	var mu sync.Mutex // dog is assigned before its callback reads it
	mu.Lock()
	defer mu.Unlock()
	dog = time.AfterFunc(r.opts.FirstWait, func() {
		mu.Lock()
		defer mu.Unlock()
		if t.reportedFull(r.Now()) && r.Now().Before(r.giveUpAt()) {
			dog.Reset(r.opts.FirstWait)
			return
		}
		cancel(errSilent)
	})
	return dog
}

// attemptModel streams an answer from an engine.
func (r *run) attemptModel(ctx context.Context, c Choice) (Ending, error) {
	attempt := r.nextAttemptID()
	prompt, emitted := r.answer.begin(attempt, r.restart)
	r.restart = false
	prefix := r.req.Prefix()
	path, body, err := r.req.attemptBody(prompt, emitted, cacheKey(prefix))
	if err != nil {
		return EndedError, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := r.startSilenceTimer(c.Target, cancel)
	defer dog.Stop()
	h := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {attempt}}
	st, err := r.Client.Open(ctx, conn.Call{
		Address: c.Target.Address, Method: http.MethodPost, Path: path, Header: h, Body: body, Unrepeatable: r.req.Unrepeatable,
	})
	if err != nil {
		return r.classifyError(err), err
	}
	defer st.Close()
	return r.read(c, st, dog, prefix, len(emitted))
}

// read receives an engine's chunks until the answer is complete or broken.
func (r *run) read(c Choice, st *conn.Stream, dog *time.Timer, prefix uint64, had int) (Ending, error) {
	first := true
	for {
		ch, err := st.Next()
		if err != nil {
			if r.answer.hasAllTokens() {
				r.succeeded = true
				return EndedComplete, nil
			}
			return EndedBroken, err
		}
		now := r.Now()
		if err := r.answer.accept(now, ch); err != nil {
			return EndedBroken, err
		}
		if ch.Done {
			r.succeeded = true
			return EndedComplete, nil
		}
		if !r.req.Unrepeatable && len(ch.Tokens) > 0 {
			dog.Reset(r.opts.Stall)
		}
		if ch.Usage != nil && ch.Usage.PromptTokens > 0 {
			r.work.Pool.Hit(c.Target, prefix, float64(ch.Usage.Details.CachedTokens)/float64(ch.Usage.PromptTokens))
		}
		if first && len(ch.Tokens) > 0 {
			first = false
			r.recordFirstToken(now, c, had)
		}
	}
}

// recordFirstToken records the time to the first token, less the expected prefill time, as
// a sample for the adaptive concurrency limit.
func (r *run) recordFirstToken(now time.Time, c Choice, had int) {
	r.life.apply(eventStream)
	if r.opts.NoLimit {
		return
	}
	took := now.Sub(r.started)
	if rate := r.work.Speed.Prefill(); rate > 0 {
		fresh := (1 - c.Hit) * float64(r.req.PromptTokens()+had)
		took -= time.Duration(fresh / rate * float64(time.Second))
	}
	running, _ := r.work.Queue.State()
	r.work.Queue.Limit.Sample(now, max(took, 0), running)
}

// attemptPlain calls a plain service and reads the complete answer.
func (r *run) attemptPlain(ctx context.Context, c Choice) (Ending, error) {
	attempt := r.nextAttemptID()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := r.startSilenceTimer(c.Target, cancel)
	defer dog.Stop()
	ans, err := r.Client.Do(ctx, conn.Call{
		Address: c.Target.Address, Method: r.req.Method, Path: r.req.Path, Header: r.req.forward(attempt),
		Body: r.req.Body, Unrepeatable: r.req.Unrepeatable,
	})
	if err != nil {
		return r.classifyError(err), err
	}
	if slices.Contains(r.req.Service.NotRunStatuses, ans.Status) {
		return EndedRefused, &conn.Failure{Sent: true, Status: ans.Status}
	}
	gateway := ans.Status == http.StatusBadGateway || ans.Status == http.StatusServiceUnavailable || ans.Status == http.StatusGatewayTimeout
	if gateway && !r.req.Unrepeatable && r.attempts == 1 {
		return EndedBroken, &conn.Failure{Sent: true, Status: ans.Status}
	}
	if !r.opts.NoLimit {
		running, _ := r.work.Queue.State()
		r.work.Queue.Limit.Sample(r.Now(), r.Now().Sub(r.started), running)
	}
	r.succeeded = ans.Status < http.StatusMultipleChoices
	r.answer.setPlain(ans)
	return EndedComplete, nil
}

// nextAttemptID counts an attempt and returns its request id.
func (r *run) nextAttemptID() string {
	r.attempts++
	return r.req.ID + "." + uuid.NewString()[:8]
}
