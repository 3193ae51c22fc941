// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/conn"
)

// Forwarder sends requests through other daemons while this one has no network path to the endpoints of a service.
type Forwarder interface {
	// Opened records that a connection to an endpoint was opened.
	Opened(now time.Time, t *Target)
	// Failed records that a connection to an endpoint could not be opened.
	Failed(now time.Time, t *Target)
	// Suspect records that an endpoint gave no sign of life on an open connection.
	Suspect(now time.Time, t *Target)
	// PathLost reports whether this daemon has no path to a service's endpoints, by the key of the service.
	PathLost(service string) bool
	// Next returns the daemon to send a request of a service through, other than those tried; false if there is none.
	Next(now time.Time, service string, draw uint64, tried []string) (daemon string, ok bool)
	// OthersFail asks other daemons whether they reach an endpoint to which this one cannot open a connection, and
	// reports whether none of those that answer does; false if there are others and none answers.
	OthersFail(ctx context.Context, t *Target) bool
	// Forward sends a request through a daemon. An error is a conn.Failure.
	Forward(ctx context.Context, daemon string, r *Request, a ForwardAttempt) (ForwardResult, error)
}

// ForwardAttempt describes an attempt through another daemon.
type ForwardAttempt struct {
	Left     time.Duration // until the request's deadline
	Attempts int           // attempts that may still run
	Position Position      // of the stream, which goes on after it
}

// ForwardResult is the answer of a daemon to which a request was sent.
type ForwardResult struct {
	Refused  error          // the daemon does not take the request over, and has not run it
	Err      *code.Error    // the daemon's own result of the request
	Response *http.Response // of an endpoint, if the others are nil
	Binding  Binding        // of the stream in Response
}

// maxForwards is the number of daemons that are asked to take a request over.
const maxForwards = 3

const (
	// maxForwardedDials is the number of endpoints that a daemon tries in vain for a request of another daemon, which
	// may then ask a third one.
	maxForwardedDials = 3
	// forwardMargin is by how much sooner than its caller's daemon another daemon ends a request, so that its result
	// arrives in time.
	forwardMargin = 20 * time.Millisecond
)

// noPathRetryAfter is the Retry-After of a request that no daemon takes over: probes notice within a fraction of it that
// the path is back.
const noPathRetryAfter = 500 * time.Millisecond

// pathLost reports whether the request cannot go to endpoints directly.
func (r *run) pathLost() bool {
	f, service := r.opts.Forwarder, r.work.Pool.Service
	return f != nil && r.req.Relay != nil && f.PathLost(service)
}

// forward makes one attempt through another daemon, and reports whether the request has ended.
func (r *run) forward(ctx context.Context) (ended bool) {
	now, service := r.Now(), r.work.Pool.Service
	name, ok := "", false
	if !r.req.Relay.Forwarded && len(r.forwardedTo) < maxForwards {
		name, ok = r.opts.Forwarder.Next(now, service, mix(r.attemptHash(), uint64(len(r.forwardedTo))), r.forwardedTo)
	}
	if !ok {
		r.endNoPath(ctx)
		return true
	}
	r.forwardedTo = append(r.forwardedTo, name)
	r.logForward(now, name)
	r.Count.Forwarded.Add(1)
	r.life.apply(eventSend)
	r.started, r.expected, r.first, r.events, r.signedFailure, r.survived = now, 0, 0, 0, false, false
	ending, result, failure := r.forwardAttempt(ctx, name)
	if ctx.Err() != nil && ending != EndedComplete {
		ending = EndedCallerGone
	}
	if result != nil {
		return r.endForwarded(ctx, result)
	}
	return r.finishForward(ctx, name, ending, failure)
}

// forwardAttempt sends the request through a daemon and passes the answer on. It returns the daemon's own result instead
// if that is what the daemon answers.
func (r *run) forwardAttempt(ctx context.Context, name string) (Ending, *code.Error, error) {
	x := r.req.Relay
	left := r.req.Deadline.Sub(r.Now())
	if left <= 0 {
		return EndedUnsent, nil, errDeadline
	}
	r.callerTime = 0
	ctx, cancelLate := context.WithTimeoutCause(ctx, left, errDeadline)
	defer cancelLate()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The other daemon watches its endpoint for silence, so this one waits for longer.
	dog := r.startWatchdog(Choice{First: 2 * minStallTimeout}, cancel)
	defer dog.stop()
	result, err := r.opts.Forwarder.Forward(ctx, name, r.req, ForwardAttempt{
		Left: max(left-forwardMargin, time.Millisecond), Attempts: max(x.Attempts-r.startedAttempts, 1), Position: x.Position,
	})
	switch {
	case err != nil:
		return r.classifyError(err), nil, withCause(ctx, err)
	case result.Refused != nil:
		return EndedUnsent, nil, result.Refused
	case result.Err != nil:
		return EndedError, result.Err, nil
	}
	resp := result.Response
	defer resp.Body.Close()
	r.told = result.Binding
	head := x.Codec.Read(resp.StatusCode, resp.Header)
	switch {
	case !head.answers(r.req.ID):
		return EndedBroken, nil, errOtherAnswer
	case resp.StatusCode < http.StatusMultipleChoices && !head.Signed:
		return EndedBroken, nil, errUnsigned
	case x.Streaming && resp.StatusCode == http.StatusOK:
		ending, err := r.forwardEvents(ctx, Choice{}, Mark{}, resp, dog)
		return ending, nil, withCause(ctx, err)
	}
	ending, err := r.forwardAnswer(ctx, resp, head, dog, true)
	return ending, nil, err
}

// dialedInVain reports whether a request of another daemon goes back to it, as no endpoint could be reached.
func (r *run) dialedInVain() bool {
	return r.req.Relay != nil && r.req.Relay.Forwarded && !r.life.MayHaveRun && r.unsentAttempts >= maxForwardedDials
}

// endNoPath ends the request as there is no path to its endpoints.
func (r *run) endNoPath(ctx context.Context) {
	r.end(ctx, code.New(code.NoPath, "no path to the endpoints of %s", r.work.Pool.Service).After(noPathRetryAfter))
}

// endForwarded ends the request with another daemon's own result.
func (r *run) endForwarded(ctx context.Context, result *code.Error) bool {
	if result.Code.Ran() == code.NotRun {
		r.life.apply(eventUndoSend)
	} else {
		r.life.MayHaveRun = true
	}
	r.end(ctx, result)
	return true
}

// finishForward processes the outcome of an attempt through another daemon, and reports whether the request has ended.
func (r *run) finishForward(ctx context.Context, name string, e Ending, failure error) bool {
	now := r.Now()
	if e == EndedUnsent && !errors.Is(failure, errDeadline) {
		r.logForwardEnd(now, name, e, Verdict{Action: Retry}, failure)
		r.life.apply(eventUndoSend)
		return false
	}
	r.life.MayHaveRun = r.life.MayHaveRun || e != EndedUnsent
	a := AttemptOutcome{
		Ending: e, Unrepeatable: r.req.Unrepeatable, MayHaveRun: r.life.MayHaveRun,
		Budget: r.opts.NoBudget || r.retryCharged.Load() || r.work.Budget.Left(now), GiveUpAt: r.giveUpAt(),
		Strict: r.opts.Retries != nil, AttemptsExhausted: e == EndedUnsent || r.attemptsExhausted(e),
	}
	v := r.opts.judge(now, &a)
	r.countDenied(a, v)
	if v.Action != Finish {
		r.logForwardEnd(now, name, e, v, failure)
	}
	return r.follow(ctx, now, e, v, nil, failure)
}

// logForward logs that the request is sent through another daemon.
func (r *run) logForward(now time.Time, name string) {
	if l := r.logEntry(now, logrus.InfoLevel); l != nil {
		l.WithField("daemon", name).Info("forwarded: this daemon has no path to the endpoints")
	}
}

// logForwardEnd logs an attempt through another daemon that did not complete the request.
func (r *run) logForwardEnd(now time.Time, name string, e Ending, v Verdict, failure error) {
	if l := r.logEntry(now, logrus.InfoLevel); l != nil {
		l.WithFields(logrus.Fields{"daemon": name, "ending": e.String(), "then": v.Action.String(), "may_have_run": r.life.MayHaveRun}).
			Infof("forward ended: %v", failure)
	}
}

// recordConnected reports that a connection to an endpoint, chosen at chosen, is ready, and to the Forwarder unless it
// was open before.
func (r *run) recordConnected(t *Target, chosen time.Time, reused bool) {
	if r.opts.OnConnected != nil {
		r.opts.OnConnected(r.Now().Sub(chosen))
	}
	if f := r.opts.Forwarder; f != nil && !reused {
		f.Opened(r.Now(), t)
	}
}

// recordPath reports to the Forwarder what an attempt tells of the path to its endpoint.
func (r *run) recordPath(now time.Time, t *Target, e Ending, failure error) {
	f := r.opts.Forwarder
	if f == nil || t.superseded.Load() || t.Ended() {
		return
	}
	if _, leaving := t.Leaving(); leaving {
		return
	}
	switch {
	case e == EndedUnsent && conn.DialFailed(failure):
		f.Failed(now, t)
	case errors.Is(failure, errSilent) || conn.EndpointClosed(failure):
		f.Suspect(now, t)
	}
}
