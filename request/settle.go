// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/estimate"
	"streambend.example/mechanism"
)

const (
	backoffStep     = 10 * time.Millisecond
	longBackoffStep = 250 * time.Millisecond // base of the backoff once the retry budget is empty
)

// maxStoreAttempts is the number of attempts to store an answer in the table, with
// exponential backoff between them.
const maxStoreAttempts = 8

// finishAttempt processes the outcome of an attempt and reports whether the request has ended.
func (r *run) finishAttempt(ctx context.Context, t *Target, e Ending, failure error) bool {
	now := r.Now()
	if ctx.Err() != nil && e != EndedComplete {
		e = EndedCallerGone
	}
	if e != EndedUnsent && e != EndedRefused {
		r.life.MayHaveRun = true
	}
	if conn.EndpointClosed(failure) || errors.Is(failure, errRestarted) && e == EndedBroken {
		r.Count.CutOff.Add(1)
		r.ends.connectionClosed(r.baseCtx, t, r.flight(now))
	}
	r.recordPath(now, t, e, failure)
	if !errors.Is(failure, errStaleList) && !errors.Is(failure, errBarred) && !errors.Is(failure, errNoTimeLeft) {
		r.recordOutcome(now, t, e, failure)
	}
	if errors.Is(failure, errDeadline) && e == EndedBroken && r.attempts == 1 && r.endpointTime(now) > r.callerTime {
		r.work.Times.RecordExceeded(now, r.req.Route.Name, r.req.size(), r.req.Deadline.Sub(r.started))
	}
	r.noteTrial(now, t, e, failure)
	a := AttemptOutcome{
		Ending: e, Unrepeatable: r.req.Unrepeatable, MayHaveRun: r.life.MayHaveRun,
		Budget: r.opts.NoBudget || r.retryCharged.Load() || r.work.Budget.Left(now), GiveUpAt: r.retryUntil(),
		Strict: r.opts.Retries != nil, AttemptsExhausted: r.attemptsExhausted(e),
	}
	v := r.judgeSecondRun(e, failure, r.opts.judge(now, &a))
	r.life.MayHaveRun = a.MayHaveRun
	r.countDenied(a, v)
	if v.Action == Retry && r.answer.hasAllTokens() {
		v = Verdict{Action: Finish}
	}
	if v.Action != Finish {
		r.logAttempt(now, t, e, v, a.Budget, failure)
	}
	return r.follow(ctx, now, e, v, t, failure)
}

// retryUntil returns the time from which on the request is not sent again: a further attempt would begin after the backoff,
// and would end after the deadline.
func (r *run) retryUntil() time.Time {
	until := r.giveUpAt()
	if r.req.Relay == nil {
		return until // it goes on past its deadline
	}
	until = until.Add(-r.retryBackoff())
	if r.answersWhole() {
		until = until.Add(-r.ticket.Least)
	}
	return until
}

// countDenied counts an attempt that may not be repeated for want of retry budget alone.
func (r *run) countDenied(a AttemptOutcome, v Verdict) {
	if !a.Budget && !a.AttemptsExhausted && v.Action != Finish && v.Action != Retry {
		r.Count.Denied.Add(1)
	}
}

// follow acts on the verdict on an attempt, and reports whether the request has ended. The endpoint is nil for an
// attempt through another daemon.
func (r *run) follow(ctx context.Context, now time.Time, e Ending, v Verdict, t *Target, failure error) bool {
	switch v.Action {
	case Finish:
		r.complete(now)
	case Refuse:
		r.life.apply(eventUndoSend)
		r.refuse(code.New(v.Code, "%v", failure).After(time.Second))
	case GiveUp:
		r.giveUp(ctx, v.Code, failure)
	case Retry:
		r.prepareRetry(ctx, e, v, t)
		if r.dialedInVain() {
			r.endNoPath(ctx)
			return true
		}
		return false
	}
	return true
}

// extraSends is the number of sends beyond Relay.Attempts allowed to a request
// that no endpoint has started.
const extraSends = 2

// attemptsExhausted counts an attempt, and reports whether the route's limit of attempts is reached. An attempt
// that reached no endpoint does not count for it: it adds load nowhere, and its endpoint is ejected. The deadline
// and the backoff between them bound such attempts.
func (r *run) attemptsExhausted(e Ending) bool {
	x := r.req.Relay
	switch {
	case x == nil:
		return false
	case e == EndedUnsent:
		r.unsentAttempts++
		return false
	case e == EndedRefused:
		r.refusedAttempts++
		return r.startedAttempts+r.refusedAttempts >= x.Attempts+extraSends
	}
	r.startedAttempts++
	return r.startedAttempts >= x.Attempts || x.streamed
}

// recordOutcome reports the outcome of an attempt to the target and to the concurrency limit.
func (r *run) recordOutcome(now time.Time, t *Target, e Ending, failure error) {
	switch e {
	case EndedComplete:
		// Recorded at the end of the answer, not at its first token: an endpoint that
		// starts every answer and completes none would never be ejected.
		t.Succeed()
		if r.succeeded && !r.req.IsModel() && (r.req.Relay == nil || !r.req.Relay.Streaming) {
			t.RecordCall(now, now.Sub(r.started), r.work.Times.Usual(r.req.Route.Name))
		}
		if pace, ok := r.pace(now); ok && r.opts.Without.On(mechanism.SlowEjection) && t.RecordPace(now, pace, r.usualPace(), r.paceSpread()) {
			r.logEject(t, fmt.Sprintf("slow: pace %s, usual pace %s", pace, r.usualPace()), nil)
		}
	case EndedUnsent, EndedBroken:
		fail := t.Fail
		if errors.Is(failure, conn.ErrTooLong) || errors.Is(failure, conn.ErrBadHead) {
			fail = t.FailAtOnce
		}
		if _, leaving := t.Leaving(); !leaving && fail(now, e == EndedUnsent) {
			r.logEject(t, e.String(), failure)
		}
	case EndedRefused:
		t.RecordFull(now)
		if r.req.Relay != nil {
			return // the endpoint is full, which is not a failure
		}
		t.Fail(now, false)
		r.work.Queue.Limit.Overload(now)
	}
}

// pace returns the endpoint's time per token, or the duration of a plain call;
// false for a relayed stream, and for an answer that came from several endpoints or
// is too short.
func (r *run) pace(now time.Time) (time.Duration, bool) {
	if r.req.Relay != nil && r.req.Relay.Streaming {
		return 0, false
	}
	if !r.req.IsModel() {
		return r.endpointTime(now), true
	}
	n := r.answer.tokenCount()
	if r.attempts > 1 || n < 4 {
		return 0, false
	}
	return now.Sub(r.answer.firstTokenAt()) / time.Duration(n-1), true
}

// usualPace returns the service's usual time per token, or the usual duration of plain calls of the request's route; 0 if
// it is not known.
func (r *run) usualPace() time.Duration {
	if r.req.IsModel() {
		return r.work.Speed.Pace()
	}
	return r.work.Times.Steady(r.req.Route.Name)
}

// paceSpread returns how much the durations of plain calls of the request's route differ, as a share of the usual one.
func (r *run) paceSpread() float64 {
	if r.req.IsModel() {
		return 0
	}
	return r.work.Times.Spread(r.req.Route.Name)
}

// prepareRetry prepares the next attempt: it charges the retry budget and waits for the backoff.
func (r *run) prepareRetry(ctx context.Context, e Ending, v Verdict, t *Target) {
	switch e {
	case EndedUnsent, EndedRefused:
		r.life.apply(eventUndoSend)
	default:
		r.life.apply(eventMove)
	}
	r.avoid = t
	if !v.Spend {
		r.Count.Moves.Add(1)
		if r.unsentAttempts > extraSends { // otherwise a request would dial all endpoints while none can be reached
			r.backOff(ctx, time.Duration(min(r.unsentAttempts, 6))*backoffStep)
		}
		return
	}
	r.Count.Retries.Add(1)
	if !r.retryCharged.Swap(false) {
		r.work.Budget.Spend(r.Now())
	}
	if v.Pause {
		r.backOff(ctx, longBackoffStep+time.Duration(min(r.attempts, 6))*longBackoffStep)
		return
	}
	r.backOff(ctx, r.retryBackoff())
}

// retryBackoff returns the longest backoff before the next attempt, while the retry budget allows one.
func (r *run) retryBackoff() time.Duration { return time.Duration(min(r.attempts, 6)) * backoffStep }

// backOff waits for between half of a time and all of it.
func (r *run) backOff(ctx context.Context, backoff time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(backoff/2 + time.Duration(pick(r.attemptHash(), int(backoff)/2+1))):
	}
}

// giveUp ends the request after a failure that is not retried.
func (r *run) giveUp(ctx context.Context, c code.Code, failure error) {
	var f *conn.Failure
	if c == code.EndpointAnswer && errors.As(failure, &f) {
		r.end(ctx, code.New(c, "the endpoint answered %d", f.Status))
		return
	}
	r.end(ctx, code.New(c, "%v", failure))
}

// complete ends the request with a complete answer.
func (r *run) complete(now time.Time) {
	r.work.Budget.Earn()
	if r.succeeded {
		r.Holds.recordSuccess(now, r.print)
		r.reportSurvival(now, r.started.Add(r.first))
	}
	event := eventComplete
	if now.After(r.req.Deadline) {
		event = eventLate
		r.Count.Late.Add(1)
	} else {
		r.Count.Complete.Add(1)
	}
	r.life.apply(event)
	r.logEnd(now, nil)
	if r.succeeded && (r.attempts == 1 && !r.continues || r.answersWhole()) {
		r.work.Times.Record(now, r.req.Route.Name, estimate.Sample{Size: r.req.size(), Took: r.endpointTime(now), Events: r.events, Probe: r.probe})
	}
	if x := r.req.Relay; r.succeeded && r.attempts == 1 && x != nil && x.Streaming {
		s := estimate.Stream{Prompt: x.PromptTokens, First: r.first, Took: r.endpointTime(now), Events: r.events}
		if !r.continues { // otherwise the caller's estimate is for more than these events
			s.Estimate = x.CallerEstimate
		}
		r.work.Streams.Record(now, s)
	}
	if r.req.Relay != nil && r.req.Relay.Streaming {
		r.answer.settle(nil)
		return
	}
	u := r.answer.Usage()
	first := r.answer.firstTokenAt().Sub(r.started)
	if r.attempts == 1 {
		r.work.Speed.Answered(first, r.endpointTime(now), u.CompletionTokens, u.PromptTokens-u.Details.CachedTokens)
	}
	r.answer.settle(nil)
	if r.claimed {
		r.storeAnswer()
	}
}

// answersWhole reports whether each attempt gets the whole answer, as opposed to the rest of a stream.
func (r *run) answersWhole() bool {
	return !r.req.IsModel() && (r.req.Relay == nil || !r.req.Relay.Streaming)
}

// storeAnswer stores the answer with its claim. The caller has the answer already; until
// it is stored, repeats of the call are answered as still running.
func (r *run) storeAnswer() {
	snap := r.answer.Snapshot()
	for try := range maxStoreAttempts {
		ctx, cancel := context.WithTimeout(r.baseCtx, 5*time.Second)
		err := r.Claims.Store(ctx, r.claim, snap)
		cancel()
		if err == nil || r.baseCtx.Err() != nil {
			return
		}
		r.log.Warnf("claim: storing the answer of %s failed: %v", r.req.ID, err)
		select {
		case <-r.baseCtx.Done():
			return
		case <-time.After(time.Duration(1<<try) * 100 * time.Millisecond):
		}
	}
}
