// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/mechanism"
	"streambend.example/pace"
)

// Codec translates between a Relay and the protocol of its endpoints.
type Codec interface {
	// Head returns the request headers of an attempt.
	Head(a Attempt) http.Header
	// Read decodes the status and headers of an answer.
	Read(status int, h http.Header) AnswerHead
	// Copy copies the headers of an answer that are forwarded to the caller.
	Copy(to, from http.Header)
}

// Attempt describes an attempt to its endpoint.
type Attempt struct {
	Endpoint string        // id of the only endpoint that may run the request
	Left     time.Duration // time left until the request's deadline
	Position Position      // of the stream, which goes on after it
}

// AnswerHead is the decoded head of an endpoint's answer.
type AnswerHead struct {
	ID      string // id of the request that it answers
	NotRun  bool   // the endpoint did not run it and never will
	Signed  bool   // the answer carries the endpoint's valid signature
	Load    int    // running and waiting requests at the endpoint
	Slots   int    // requests that the endpoint runs concurrently
	HasLoad bool

	Own  bool // it comes from the endpoint that the request was sent to
	Said pace.Feedback
}

// answers reports whether the answer is to the request with an id. Only one that says that the request was not run may lack the id;
// any other one may be a surplus answer to the request before.
func (h AnswerHead) answers(id string) bool { return h.ID == id || h.ID == "" && h.NotRun }

// Relay is a request whose answer is forwarded as it arrives, without parsing its
// content.
type Relay struct {
	Codec          Codec
	Out            http.ResponseWriter
	Host           string // Host header as the caller sent it
	Streaming      bool   // the answer is a stream of events
	Attempts       int    // maximum number of attempts that may run
	Prefix         uint64 // hash of the shared prefix of the prompt; 0 for none
	PromptTokens   int
	OutTokens      int                                 // expected tokens of the answer
	MostTokens     int                                 // the most tokens that the answer may have; 0 if not known
	CallerEstimate int                                 // the caller's estimate of OutTokens; 0 for none
	Pause          time.Duration                       // longest pause in a stream that counts as in time; 0 if not known
	Parts          []Part                              // parts of the prompt, in order
	WaitLimit      time.Duration                       // maximum wait until an engine starts its prefill; 0 for no limit
	Forwarded      bool                                // another daemon has sent the request through this one
	Position       Position                            // of the stream: first where the caller takes it up, then as events are passed on
	Resumes        string                              // id of the request that began the stream, if its caller takes it up
	Binding        Binding                             // to the version that began the stream
	OnBound        func(version string)                // called before the first event is written, by the daemon that sends to endpoints; may be nil
	OnWhole        func()                              // called once the whole stream has been written; may be nil
	OnStart        func(now time.Time)                 // called when an endpoint has started it; may be nil
	OnFirstEvent   func(first, expected time.Duration) // called with an attempt's time to its first event; may be nil

	headWritten   bool // the answer's head has been written to the caller
	streamed      bool // a part was passed on after which no other attempt can continue: of a plain answer, or an event without an id
	startRecorded bool
	failed        *failedAnswer
}

// failedAnswer is an error answer signed by an endpoint, kept in case that no other
// attempt succeeds.
type failedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Started reports whether a part of the answer has been written to the caller.
func (x *Relay) Started() bool { return x.headWritten }

// PassFailure writes the last error answer of an endpoint to the caller, if there
// is one and nothing has been written. It reports whether it did.
func (x *Relay) PassFailure() bool {
	if x.failed == nil || x.headWritten {
		return false
	}
	x.write(x.failed.status, x.failed.header, x.failed.body)
	return true
}

// recordStart records that an endpoint has started the request; only the first call invokes Begun.
func (x *Relay) recordStart(now time.Time) {
	if !x.startRecorded && x.OnStart != nil {
		x.OnStart(now)
	}
	x.startRecorded = true
}

var (
	errOtherAnswer = errors.New("request: answer belongs to another request")
	errUnsigned    = errors.New("request: answer is not signed by the endpoint")
	errEventOrder  = errors.New("request: stream event missing or duplicated")
	errNoEventID   = errors.New("request: event without an id in a stream whose events have ids")
	errStaleList   = errors.New("request: endpoint list became too old before the endpoint was reached")
	errDeadline    = errors.New("request: deadline exceeded")
	errNoTimeLeft  = errors.New("request: deadline exceeded before the attempt")
	errCallerWrite = errors.New("request: writing to the caller failed")
)

// attemptRelay sends the request to one endpoint and forwards its answer.
func (r *run) attemptRelay(ctx context.Context, c Choice) (Ending, error) {
	x := r.req.Relay
	r.attempts++
	r.callerTime = 0
	left := r.req.Deadline.Sub(r.Now())
	if left <= 0 {
		return EndedUnsent, errNoTimeLeft
	}
	ctx, cancelLate := context.WithTimeoutCause(ctx, left, errDeadline)
	defer cancelLate()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := r.startWatchdog(c, cancel)
	defer dog.stop()
	old := r.startListTimer(c, cancel)
	defer old.Stop()
	mark := r.recordPrompt(c)
	chosen := r.started
	resp, err := r.Client.Forward(ctx, conn.ForwardRequest{
		Address: c.Target.Address, Method: r.req.Method, Target: r.req.Path, Host: x.Host,
		Header: x.Codec.Head(Attempt{Endpoint: c.Target.ID, Left: left, Position: x.Position}),
		Body:   r.req.Body, Fresh: r.req.Unrepeatable, Connected: func(reused bool) {
			old.Stop()
			r.recordConnected(c.Target, chosen, reused)
		},
		FirstWrite: func() error { return r.checkFirstWrite(c, chosen) },
	})
	if err != nil {
		c.Target.Dropped(r.Now(), mark)
		return r.classifyError(err), withCause(ctx, err)
	}
	defer resp.Body.Close()
	head := x.Codec.Read(resp.StatusCode, resp.Header)
	if head.HasLoad {
		now := r.Now()
		c.Target.Report(now, head.Load, head.Slots)
		c.Target.places.Correct(now, head.Load-int(c.Target.ownLoad.Load()))
	}
	if head.Own && head.answers(r.req.ID) {
		r.recordAdvertised(c.Target, head) // an answer to another request may carry older values
	}
	switch {
	case !head.answers(r.req.ID):
		return EndedBroken, errOtherAnswer
	case head.NotRun:
		c.Target.Dropped(r.Now(), mark)
		return EndedRefused, &conn.Failure{Sent: true, Status: resp.StatusCode}
	case resp.StatusCode < http.StatusMultipleChoices && !head.Signed:
		return EndedBroken, errUnsigned
	case x.Streaming && resp.StatusCode == http.StatusOK:
		ending, err := r.forwardEvents(ctx, c, mark, resp, dog)
		return ending, withCause(ctx, err)
	default:
		return r.forwardAnswer(ctx, resp, head, dog, false)
	}
}

const (
	// minAnswerTime is the minimum time given to an endpoint to answer before a
	// repeatable request is retried elsewhere.
	minAnswerTime = 250 * time.Millisecond
	// stallFactor and minStallTimeout define the stall timeout of a stream: stallFactor times
	// the longest pause that counts as in time, at least minStallTimeout.
	stallFactor     = 2
	minStallTimeout = time.Second
)

// watchdog cancels an attempt when its endpoint stops sending data. Its zero value
// does nothing.
type watchdog struct {
	timer   *time.Timer
	until   *time.Time // when the timer fires, unless the caller is being written to
	stall   time.Duration
	stopped *atomic.Bool // the attempt has ended; checked by the timer, which may fire concurrently with stop
	paused  *atomic.Bool // the same while the caller is being written to
}

func (w watchdog) stop() {
	if w.timer != nil {
		w.stopped.Store(true)
		w.timer.Stop()
	}
}

// reset restarts the stall timeout when the endpoint has sent an event.
func (w watchdog) reset() {
	if w.timer != nil {
		*w.until = time.Now().Add(w.stall)
		w.paused.Store(false)
		w.timer.Reset(w.stall)
	}
}

// pause stops the stall timeout until the next reset or the returned function is called, while the caller is slow to read:
// the endpoint is not silent, it is not being read.
func (w watchdog) pause() (resume func()) {
	if w.timer == nil {
		return func() {}
	}
	began := time.Now()
	w.paused.Store(true)
	w.timer.Stop()
	return func() {
		now := time.Now()
		*w.until = w.until.Add(now.Sub(began))
		w.paused.Store(false)
		w.timer.Reset(max(w.until.Sub(now), clock.LeastTimer))
	}
}

// startWatchdog returns a watchdog for an attempt that may be retried elsewhere. Other
// attempts are not cancelled before the deadline: silence does not prove a failure.
// While the retry budget has no retry to spare, an attempt is not cancelled either, as
// the request would be lost.
func (r *run) startWatchdog(c Choice, cancel context.CancelCauseFunc) watchdog {
	x := r.req.Relay
	if r.req.Unrepeatable || r.startedAttempts+1 >= x.Attempts || !r.opts.Without.On(mechanism.SilenceWatch) {
		return watchdog{}
	}
	wait := max(r.req.Route.Target.Duration, minAnswerTime) + c.First
	if !x.Streaming { // a call of a kind that takes long is not silent, as long as there is time for another attempt
		now := r.Now()
		bound, _ := r.work.Times.Bound(now, r.req.Route.Name, r.req.size())
		wait = max(wait, min(bound, r.req.Deadline.Sub(now)/2))
	}
	until := time.Now().Add(wait)
	w := watchdog{until: &until, stall: max(stallFactor*x.Pause, minStallTimeout), stopped: new(atomic.Bool), paused: new(atomic.Bool)}
	var mu sync.Mutex // w.timer is assigned before its callback reads it
	mu.Lock()
	defer mu.Unlock()
	w.timer = time.AfterFunc(wait, func() {
		if w.stopped.Load() || w.paused.Load() {
			return
		}
		// Once a stopping server would not repeat the request, a slow answer is better than none.
		if r.endsTooLateAgain(r.Now(), r.req, 0) == nil && r.work.Budget.TakeSpare(r.Now()) {
			r.retryCharged.Store(true)
			cancel(errSilent)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		w.timer.Reset(minAnswerTime)
	})
	return w
}

// startListTimer cancels an attempt that is not yet connected when the list from which its
// endpoint was chosen becomes too old: the endpoint may have announced since that it leaves. From the connection on
// checkFirstWrite sees to it, which cannot withhold a request that is already on its way.
func (r *run) startListTimer(c Choice, cancel context.CancelCauseFunc) *time.Timer {
	until := c.SendBy
	if until.IsZero() {
		until = r.req.Deadline
	}
	return time.AfterFunc(max(until.Sub(r.Now()), clock.LeastTimer), func() { cancel(errStaleList) })
}

// checkFirstWrite is called right before the first byte is written to an endpoint chosen at chosen, and returns an error if
// the list that it was chosen from has become too old since.
func (r *run) checkFirstWrite(c Choice, chosen time.Time) error {
	now := r.opts.look()
	if r.opts.OnFirstWrite != nil {
		r.opts.OnFirstWrite(now.Sub(chosen))
	}
	if c.expired(now) {
		return errStaleList
	}
	return nil
}

// withCause returns the cause of the context's cancellation if an attempt failed for it, else the
// attempt's error.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// recordPrompt adds the prompt to the backlog of its engine, in this daemon and in the others.
func (r *run) recordPrompt(c Choice) Mark {
	x := r.req.Relay
	if len(x.Parts) == 0 {
		return Mark{}
	}
	mark, word := c.Target.Send(r.Now(), c.Fresh, x.Parts, x.OutTokens)
	if r.opts.OnSent != nil {
		r.opts.OnSent(word)
	}
	return mark
}

// guaranteesNotRun reports whether a status tells a caller that its request has not run and never will. An
// endpoint's answer with such a status, without the header that says the same, is not passed on: the
// endpoint may have run the request.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// write sends a complete answer to the caller.
func (x *Relay) write(status int, h http.Header, body []byte) {
	x.writeHead(status, h)
	x.Out.Write(body) // an error means that the caller disconnected and needs no action
}

// writeHead sends the status and headers to the caller.
func (x *Relay) writeHead(status int, h http.Header) {
	x.headWritten = true
	out := x.Out.Header()
	x.Codec.Copy(out, h)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil // otherwise net/http would add its own
		}
	}
	x.Out.WriteHeader(status)
}
