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
	"github.com/pkg/errors"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/mechanism"
)

// routeWait is how often a request without an endpoint looks again.
const routeWait = 50 * time.Millisecond

// takeUpWait is how long a request that was under way waits for an endpoint to go on at, beyond
// RouteWait: an endpoint is kept out for a second after failures, callers bear a pause of two, and
// refused at once 30 of 30 streams were cut off whose endpoint ended while the others were out.
const takeUpWait = 1200 * time.Millisecond

// cacheKey is the name that engines group a prefix's blocks by.
func cacheKey(prefix uint64) string { return strconv.FormatUint(prefix, 36) }

// ParseCacheKey returns the prefix that a cache key names, or 0.
func ParseCacheKey(k string) uint64 {
	p, err := strconv.ParseUint(k, 36, 64)
	if err != nil {
		return 0
	}
	return p
}

// relayService is how long a stream is taken to hold its place at an engine.
const relayService = 1500 * time.Millisecond

// draw returns what chance decides by for the next attempt: the request's id and
// how often it was sent.
func (r *run) draw() uint64 {
	return mix(xxhash.Sum64String(r.r.ID), uint64(r.attempts+1))
}

// need is what this request asks of routing.
func (r *run) need(now time.Time) Need {
	n := Need{At: now, Plain: !r.r.IsModel(), Avoid: r.avoid, Weigh: r.r.Service.Weigh, Policy: r.opts.Route, Settled: r.r.Unrepeatable, Draw: r.draw(), Without: r.opts.Without}
	if n.Plain {
		return n
	}
	n.Prefix, n.Prompt = r.r.Prefix(), r.r.PromptTokens()
	if x := r.r.Relay; x != nil {
		n.Homes = r.opts.Homes != nil && r.opts.Homes()
		n.Parts, n.Pause, n.Service = x.Parts, x.Pause, relayService
	}
	n.PrefillRate = r.work.Speed.Prefill()
	if n.Service == 0 {
		n.Service = r.ticket.Expect
	}
	return n
}

// route chooses an endpoint, and waits for one while there is none.
func (r *run) route(ctx context.Context) (Choice, *code.Error) {
	until := r.r.Arrived.Add(r.opts.RouteWait)
	if r.life.Tainted { // else it can be refused at once as not run
		until = r.Now().Add(takeUpWait)
	}
	for {
		now := r.Now()
		current, listed := r.opts.listed(now) // before the choice, so that it is not of a newer list
		c, ok := Choice{}, false
		if listed {
			c, ok = r.choose(now)
			c.Until = current
		}
		if err := r.overloaded(c); ok && err != nil {
			return Choice{}, err
		}
		if ok && r.permit(ctx, &c) {
			r.logChoice(now, c)
			return c, nil
		}
		if ok {
			r.giveBackTrial(c)
			continue // the endpoint is passed over until its turn comes
		}
		pause := routeWait
		if listed {
			var err *code.Error
			if pause, err = r.atLimits(now, r.need(now)); err != nil {
				return Choice{}, err
			}
		}
		late := !now.Add(r.ticket.Expect).Before(r.r.Deadline) && r.attempts == 0
		waited := r.opts.RouteWait > 0 && !now.Before(until)
		if late || waited || !now.Before(r.giveUpAt()) {
			return Choice{}, r.noEndpoint(listed)
		}
		r.avoid = nil
		select {
		case <-ctx.Done():
			return Choice{}, code.New(code.NoEndpoint, "the caller has gone")
		case <-time.After(max(pause, clock.LeastTimer)):
		}
	}
}

// noEndpoint returns the error for a request that finds no endpoint; listed is false if the list of them is
// too old to choose by.
func (r *run) noEndpoint(listed bool) *code.Error {
	text := "no endpoint of %s takes work"
	if !listed {
		text = "the list of endpoints of %s is too old to choose by"
	}
	return code.New(code.NoEndpoint, text, r.work.Pool.Service).After(time.Second)
}

// leastAfter is the least time after which a caller that was refused for
// overload may come back.
const leastAfter = 400 * time.Millisecond

// overloaded refuses a request that has run nowhere if even the engine that
// reads it soonest has more to read before it than the request can wait for.
// Refused at once it can still be answered in time when it comes back.
func (r *run) overloaded(c Choice) *code.Error {
	x := r.r.Relay
	if x == nil || x.WaitLimit == 0 || !r.opts.Without.On(mechanism.Admission) || r.attempts > 0 || !c.WaitsBeyond(x.WaitLimit) {
		return nil
	}
	return code.New(code.Overloaded, "%s until it is begun, %s at the most", max(c.Wait, c.Place).Round(time.Millisecond), x.WaitLimit).
		After(max(leastAfter, c.Wait))
}

func (r *run) choose(now time.Time) (Choice, bool) {
	n := r.need(now)
	if p := r.prefer; p != nil {
		r.prefer = nil
		if p.open(n) {
			return Choice{Target: p, Load: int(p.load.Load()), Hit: 1, Why: "holds the KV cache"}, true
		}
	}
	if c, ok := r.chooseTrial(now, n); ok {
		return c, true
	}
	c, ok := r.work.Pool.Route(now, n)
	if n.Rested = true; ok && r.overloaded(c) != nil {
		// What has asked only others for rest may have room for it.
		return r.work.Pool.Route(now, n)
	}
	return c, ok
}

// attempt sends the request to one endpoint and takes its answer in.
func (r *run) attempt(ctx context.Context, c Choice) (Ending, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := &Flight{answer: r.a, pinned: r.r.Unrepeatable, cancel: cancel}
	if r.r.IsModel() {
		f.prefix = r.r.Prefix()
	}
	c.Target.Begin(f)
	defer c.Target.End(f)
	now := r.opts.look()
	if !c.Until.IsZero() && !now.Before(c.Until) {
		return EndedUnsent, errOldList // the box has slept since the choice
	}
	if r.barred(now, c.Target) {
		return EndedUnsent, errBarred
	}
	if c.Target.over.Load() {
		return EndedUnsent, errNewStart
	}
	if _, leaving := c.Target.Leaving(); leaving {
		// The notice came between the choice and the entry: it has not seen
		// this flight, and no new work goes to a leaving endpoint.
		return EndedUnsent, errors.New("request: endpoint began to leave")
	}
	r.life.on(eventSend)
	r.started, r.expected, r.first, r.events, r.ownFailure = r.Now(), c.First, 0, 0, false
	var ending Ending
	var err error
	switch {
	case r.r.Relay != nil:
		ending, err = r.attemptRelay(ctx, c)
	case r.r.IsModel():
		ending, err = r.attemptModel(ctx, c)
	default:
		ending, err = r.attemptPlain(ctx, c)
	}
	if ending == EndedWhole {
		return ending, nil
	}
	if prefer, restart, cut := f.wasCut(); cut {
		r.prefer, r.restart = prefer, restart
		return EndedMoved, nil
	}
	return ending, err
}

// endingOf tells how a call that returned err ended.
func (r *run) endingOf(err error) Ending {
	var f *conn.Failure
	if !errors.As(err, &f) {
		return EndedBroken
	}
	switch {
	case f.Status == 0 && !f.Sent:
		return EndedUnsent
	case slices.Contains(r.r.Service.NotRunStatuses, f.Status):
		return EndedRefused
	case f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError:
		return EndedError
	}
	return EndedBroken
}

var errSilent = errors.New("request: the endpoint is silent")

// watch ends an attempt whose endpoint is silent. An endpoint that says itself
// that it is full is given more time: its queue is long, and to send the
// request elsewhere as well would make that worse. An unrepeatable request has
// nowhere else to go and waits until its deadline.
func (r *run) watch(t *Target, cancel context.CancelCauseFunc) *time.Timer {
	if r.r.Unrepeatable {
		return time.AfterFunc(max(r.r.Deadline.Sub(r.Now()), clock.LeastTimer), func() { cancel(errSilent) })
	}
	var dog *time.Timer
	var mu sync.Mutex // dog is set before it can fire and be read
	mu.Lock()
	defer mu.Unlock()
	dog = time.AfterFunc(r.opts.FirstWait, func() {
		mu.Lock()
		defer mu.Unlock()
		if t.saysFull(r.Now()) && r.Now().Before(r.giveUpAt()) {
			dog.Reset(r.opts.FirstWait)
			return
		}
		cancel(errSilent)
	})
	return dog
}

// attemptModel streams an answer from an engine.
func (r *run) attemptModel(ctx context.Context, c Choice) (Ending, error) {
	attempt := r.newAttempt()
	prompt, emitted := r.a.begin(attempt, r.restart)
	r.restart = false
	prefix := r.r.Prefix()
	path, body, err := r.r.attemptBody(prompt, emitted, cacheKey(prefix))
	if err != nil {
		return EndedError, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := r.watch(c.Target, cancel)
	defer dog.Stop()
	h := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {attempt}}
	st, err := r.Client.Open(ctx, conn.Call{
		Address: c.Target.Address, Method: http.MethodPost, Path: path, Header: h, Body: body, Unrepeatable: r.r.Unrepeatable,
	})
	if err != nil {
		return r.endingOf(err), err
	}
	defer st.Close()
	return r.read(c, st, dog, prefix, len(emitted))
}

// read takes an engine's chunks in until the answer is whole or broken.
func (r *run) read(c Choice, st *conn.Stream, dog *time.Timer, prefix uint64, had int) (Ending, error) {
	first := true
	for {
		ch, err := st.Next()
		if err != nil {
			if r.a.full() {
				r.well = true
				return EndedWhole, nil
			}
			return EndedBroken, err
		}
		now := r.Now()
		if err := r.a.accept(now, ch); err != nil {
			return EndedBroken, err
		}
		if ch.Done {
			r.well = true
			return EndedWhole, nil
		}
		if !r.r.Unrepeatable {
			dog.Reset(r.opts.Stall)
		}
		if ch.Usage != nil && ch.Usage.PromptTokens > 0 {
			r.work.Pool.Hit(c.Target, prefix, float64(ch.Usage.Details.CachedTokens)/float64(ch.Usage.PromptTokens))
		}
		if first && len(ch.Tokens) > 0 {
			first = false
			r.firstToken(now, c, had)
		}
	}
}

// firstToken takes in how long the endpoint took to begin.
func (r *run) firstToken(now time.Time, c Choice, had int) {
	r.life.on(eventStream)
	if r.opts.NoLimit {
		return
	}
	took := now.Sub(r.started)
	if rate := r.work.Speed.Prefill(); rate > 0 {
		fresh := (1 - c.Hit) * float64(r.r.PromptTokens()+had)
		took -= time.Duration(fresh / rate * float64(time.Second))
	}
	running, _ := r.work.Queue.State()
	r.work.Queue.Limit.Sample(now, max(took, 0), running)
}

// attemptPlain calls a plain service and takes the whole answer.
func (r *run) attemptPlain(ctx context.Context, c Choice) (Ending, error) {
	attempt := r.newAttempt()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := r.watch(c.Target, cancel)
	defer dog.Stop()
	ans, err := r.Client.Do(ctx, conn.Call{
		Address: c.Target.Address, Method: r.r.Method, Path: r.r.Path, Header: r.r.forward(attempt),
		Body: r.r.Body, Unrepeatable: r.r.Unrepeatable,
	})
	if err != nil {
		return r.endingOf(err), err
	}
	if slices.Contains(r.r.Service.NotRunStatuses, ans.Status) {
		return EndedRefused, &conn.Failure{Sent: true, Status: ans.Status}
	}
	gateway := ans.Status == http.StatusBadGateway || ans.Status == http.StatusServiceUnavailable || ans.Status == http.StatusGatewayTimeout
	if gateway && !r.r.Unrepeatable && r.attempts == 1 {
		return EndedBroken, &conn.Failure{Sent: true, Status: ans.Status}
	}
	if !r.opts.NoLimit {
		running, _ := r.work.Queue.State()
		r.work.Queue.Limit.Sample(r.Now(), r.Now().Sub(r.started), running)
	}
	r.well = ans.Status < http.StatusMultipleChoices
	r.a.takePlain(ans)
	return EndedWhole, nil
}
