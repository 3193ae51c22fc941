// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/internal/plant"
)

// routeWait is how often a request without an endpoint looks again.
const routeWait = 50 * time.Millisecond

const (
	retryStep  = 10 * time.Millisecond
	pauseLeast = 250 * time.Millisecond // between attempts once the budget is empty
)

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

// need is what this request asks of routing.
func (r *run) need() Need {
	n := Need{Plain: !r.r.IsModel(), Avoid: r.avoid, Weigh: r.r.Service.Weigh, Policy: r.opts.Route, Settled: r.r.Unrepeatable}
	if n.Plain {
		return n
	}
	n.Prefix, n.Prompt = r.r.Prefix(), r.r.PromptTokens()
	n.PrefillRate = r.work.Speed.Prefill()
	n.Service = r.ticket.Expect
	return n
}

// route chooses an endpoint, and waits for one while there is none.
func (r *run) route(ctx context.Context) (Choice, *code.Error) {
	for {
		now := time.Now()
		c, ok := r.choose(now)
		if ok {
			r.logChoice(c)
			return c, nil
		}
		late := !now.Add(r.ticket.Expect).Before(r.r.Deadline) && r.attempts == 0
		if late || !now.Before(r.giveUpAt()) {
			return Choice{}, code.New(code.NoEndpoint, "no endpoint of %s takes work", r.work.Pool.Service).After(time.Second)
		}
		r.avoid = nil
		select {
		case <-ctx.Done():
			return Choice{}, code.New(code.NoEndpoint, "the caller has gone")
		case <-time.After(routeWait):
		}
	}
}

func (r *run) choose(now time.Time) (Choice, bool) {
	n := r.need()
	if p := r.prefer; p != nil {
		r.prefer = nil
		if p.open(n) {
			return Choice{Target: p, Load: int(p.load.Load()), Hit: 1, Why: "holds the KV cache"}, true
		}
	}
	return r.work.Pool.Route(now, n)
}

func (r *run) logChoice(c Choice) {
	var scores []byte
	for _, o := range c.Others {
		if o.Target != nil {
			scores = fmt.Appendf(scores, " %s=%.3fs", o.Target.ID, o.Score)
		}
	}
	r.log.Infof("route: %s %s/%s to %s (%s) load %d bound %d hit %.2f: %s;%s",
		r.r.ID, r.r.Partner, r.r.Route.Name, c.Target.ID, c.Target.Zone, c.Load, c.Bound, c.Hit, c.Why, scores)
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
	if _, leaving := c.Target.Leaving(); leaving {
		// The notice came between the choice and the entry: it has not seen
		// this flight, and no new work goes to a leaving endpoint.
		return EndedUnsent, errors.New("request: endpoint began to leave")
	}
	r.life.on(eventSend)
	r.started = time.Now()
	var ending Ending
	var err error
	if r.r.IsModel() {
		ending, err = r.attemptModel(ctx, c)
	} else {
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
		return time.AfterFunc(time.Until(r.r.Deadline), func() { cancel(errSilent) })
	}
	var dog *time.Timer
	var mu sync.Mutex // dog is set before it can fire and be read
	mu.Lock()
	defer mu.Unlock()
	dog = time.AfterFunc(r.opts.FirstWait, func() {
		mu.Lock()
		defer mu.Unlock()
		if t.saysFull(time.Now()) && time.Now().Before(r.giveUpAt()) {
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
	if r.opts.Plant == plant.RepeatToken && len(emitted) > 0 {
		emitted = emitted[:len(emitted)-1]
		r.a.sent--
	}
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
				return EndedWhole, nil
			}
			return EndedBroken, err
		}
		now := time.Now()
		if err := r.a.accept(now, ch); err != nil {
			return EndedBroken, err
		}
		if ch.Done {
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
		r.work.Queue.Limit.Sample(time.Now(), time.Since(r.started), running)
	}
	r.a.takePlain(ans)
	return EndedWhole, nil
}

// settle follows an attempt's ending up and reports whether the request ends.
func (r *run) settle(ctx context.Context, t *Target, e Ending, failure error) bool {
	now := time.Now()
	if ctx.Err() != nil && e != EndedWhole {
		e = EndedGone
	}
	if e != EndedUnsent && e != EndedRefused {
		r.life.Tainted = true
	}
	r.note(now, t, e)
	v := Classify(now, Aftermath{
		Ending: e, Unrepeatable: r.r.Unrepeatable, Tainted: r.life.Tainted,
		Budget: r.opts.NoBudget || r.work.Budget.Left(), GiveUpAt: r.giveUpAt(),
	})
	v = r.planted(v, e)
	if v.Action == Again && r.a.full() {
		v = Verdict{Action: Finish}
	}
	if v.Action != Finish {
		r.log.Infof("attempt: %s at %s ended %s (%v), tokens %d", r.r.ID, t.ID, e, failure, r.a.emitted())
	}
	switch v.Action {
	case Finish:
		r.complete(now)
	case Refuse:
		r.life.on(eventUnsend)
		r.refuse(code.New(v.Code, "%v", failure).After(time.Second))
	case GiveUp:
		r.giveUp(ctx, v.Code, failure)
	case Again:
		r.again(ctx, e, v, t)
		return false
	}
	return true
}

// planted spoils a verdict where a test has planted a fault.
func (r *run) planted(v Verdict, e Ending) Verdict {
	switch {
	case r.opts.Plant == plant.DropMoved && e == EndedMoved:
		return Verdict{Action: GiveUp, Code: code.NotWhole}
	case r.opts.Plant == plant.RefuseAfterSend && e == EndedBroken:
		r.life.Tainted = false
		return Verdict{Action: Refuse, Code: code.NoEndpoint}
	case r.opts.Plant == plant.RerunUnrepeatable && e == EndedBroken:
		return Verdict{Action: Again}
	}
	return v
}

// note lets the pool and the limit learn from an ending.
func (r *run) note(now time.Time, t *Target, e Ending) {
	switch e {
	case EndedWhole:
		// Not at the first token: an endpoint that begins every answer and
		// ends none would never be ejected.
		t.Succeed()
		if pace, ok := r.pace(now); ok && t.Paced(now, pace, r.work.Speed.Pace(!r.r.IsModel())) {
			r.log.Warnf("eject: %s of %s is slow, %s where %s is usual", t.ID, r.work.Pool.Service, pace, r.work.Speed.Pace(!r.r.IsModel()))
		}
	case EndedUnsent, EndedBroken:
		if _, leaving := t.Leaving(); !leaving && t.Fail(now, e == EndedUnsent) {
			r.log.Warnf("eject: %s of %s after %s", t.ID, r.work.Pool.Service, e)
		}
	case EndedRefused:
		t.Fail(now, false)
		r.work.Queue.Limit.Overload(now)
	}
}

// pace returns how long the endpoint took for a token, or for a plain call;
// false for an answer that came from several endpoints or is too short.
func (r *run) pace(now time.Time) (time.Duration, bool) {
	if !r.r.IsModel() {
		return now.Sub(r.started), true
	}
	n := r.a.emitted()
	if r.attempts > 1 || n < 4 {
		return 0, false
	}
	return now.Sub(r.a.firstAt()) / time.Duration(n-1), true
}

// again prepares the next attempt.
func (r *run) again(ctx context.Context, e Ending, v Verdict, t *Target) {
	switch e {
	case EndedUnsent, EndedRefused:
		r.life.on(eventUnsend)
	default:
		r.life.on(eventMove)
	}
	r.avoid = t
	if !v.Spend {
		r.Count.Moves.Add(1)
		return
	}
	r.Count.Retries.Add(1)
	r.work.Budget.Spend()
	backoff := time.Duration(min(r.attempts, 6)) * retryStep
	if v.Pause {
		backoff = pauseLeast + time.Duration(min(r.attempts, 6))*pauseLeast
	}
	select {
	case <-ctx.Done():
	case <-time.After(backoff/2 + time.Duration(rand.Int64N(int64(backoff)/2+1))):
	}
}

func (r *run) giveUp(ctx context.Context, c code.Code, failure error) {
	var f *conn.Failure
	if c == code.EndpointAnswer && errors.As(failure, &f) {
		r.end(ctx, code.New(c, "the endpoint answered %d", f.Status))
		return
	}
	r.end(ctx, code.New(c, "%v", failure))
}

// complete ends the request with its whole answer.
func (r *run) complete(now time.Time) {
	r.work.Budget.Earn()
	event := eventComplete
	if now.After(r.r.Deadline) {
		event = eventLate
		r.Count.Late.Add(1)
	} else {
		r.Count.Complete.Add(1)
	}
	r.life.on(event)
	u := r.a.Usage()
	first := r.a.firstAt().Sub(r.started)
	if r.attempts == 1 {
		r.work.Speed.Answered(first, now.Sub(r.started), u.CompletionTokens, u.PromptTokens-u.Details.CachedTokens)
	}
	r.a.settle(nil)
	if r.claimed {
		r.store()
	}
}

// storeTries is how often an answer is offered to the table, with a growing
// pause between.
const storeTries = 8

// store keeps the answer with its claim. The caller has it already; until it
// is stored, repeats of the call are told that it still runs.
func (r *run) store() {
	snap := r.a.Snapshot()
	for try := range storeTries {
		ctx, cancel := context.WithTimeout(r.alive, 5*time.Second)
		err := r.Claims.Store(ctx, r.claim, snap)
		cancel()
		if err == nil || r.alive.Err() != nil {
			return
		}
		r.log.Warnf("claim: %s not stored yet: %v", r.r.ID, err)
		select {
		case <-r.alive.Done():
			return
		case <-time.After(time.Duration(1<<try) * 100 * time.Millisecond):
		}
	}
}
