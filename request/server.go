// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/crash"
)

// Server runs requests.
type Server struct {
	Works  *ServiceStates
	Client *conn.Client
	Claims *Claims
	Peers  Peers
	Count  Counters
	Holds  *Holds

	ends    endDetector
	stop    plannedStop
	active  activeRuns
	opts    Options
	log     *logrus.Entry
	kept    answerCache
	wg      sync.WaitGroup
	baseCtx context.Context
	kill    context.CancelFunc
}

// NewServer returns a server. Kill cancels all its requests.
func NewServer(o Options, client *conn.Client, claims *Claims, peers Peers, log *logrus.Logger) *Server {
	s := &Server{Works: newWorks(o), Client: client, Claims: claims, Peers: peers, opts: o, log: log.WithField("part", "request")}
	s.baseCtx, s.kill = context.WithCancel(context.Background())
	s.kept.init(o)
	s.Holds = newHolds(s.baseCtx, &s.opts, log.WithField("part", "crash"))
	s.Holds.onEnd = s.endpointEnded
	s.ends = endDetector{client: client, now: s.Now, log: s.Holds.log, report: s.Holds.reportEnd, works: s.Works, paths: o.Forwarder}
	return s
}

// Kill cancels all requests.
func (s *Server) Kill() { s.kill() }

// Now returns the current time, against which ages and deadlines are checked.
func (s *Server) Now() time.Time { return s.opts.now() }

// Wait blocks until no request is running or ctx ends.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Begin starts a request, or joins the running one with the same idempotency key,
// and returns its answer. A request without a key ends with ctx; one with a key
// continues for a while so that its caller can reconnect.
func (s *Server) Begin(ctx context.Context, now time.Time, r *Request) (*Answer, error) {
	if r.Key == "" {
		a := NewAnswer(r.ID, r.Model.Max, Snapshot{})
		s.start(ctx, r, a, nil)
		return a, nil
	}
	name := r.ClaimName()
	a, fresh, err := s.kept.join(now, name, r)
	if err != nil || !fresh {
		return a, err
	}
	if !r.Unrepeatable && (r.After > 0 || s.Peers.RecentStop(now)) {
		if snap, ok := s.Peers.TakeOver(ctx, name); ok {
			s.log.Infof("resume: %s continues after %d tokens handed over", r.ID, len(snap.Tokens))
			a.mu.Lock()
			a.snap = snap
			a.snap.Done = false
			a.mu.Unlock()
		}
	}
	s.start(s.baseCtx, r, a, func() { s.kept.finish(s.Now(), name) })
	return a, nil
}

// Relay runs a request whose answer is forwarded as it arrives, and returns once
// it has ended; the error says why the answer is incomplete.
func (s *Server) Relay(ctx context.Context, r *Request) *code.Error {
	s.wg.Add(1)
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.baseCtx, cancel)()
	a := NewAnswer(r.ID, 0, Snapshot{})
	run := s.newRun(r, a)
	defer s.active.add(run, cancel)()
	run.serve(ctx)
	_, err := a.Ended()
	return err
}

// start runs a request in its own goroutine.
func (s *Server) start(ctx context.Context, r *Request, a *Answer, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.baseCtx, cancel)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer cancel()
		defer stop()
		run := s.newRun(r, a)
		if r.Key != "" {
			go s.watchReaders(ctx, cancel, r, a)
		}
		run.serve(ctx)
		if end != nil {
			end()
		}
	}()
}

// watchReaders cancels a keyed request whose answer has had no reader for
// Options.Detached. An unrepeatable one continues, since its answer must be stored.
func (s *Server) watchReaders(ctx context.Context, cancel context.CancelFunc, r *Request, a *Answer) {
	if r.Unrepeatable {
		return
	}
	tick := time.NewTicker(s.opts.Detached / 4)
	defer tick.Stop()
	left := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		left++
		if a.Readers() > 0 {
			left = 0
		}
		if left >= 4 {
			cancel()
			return
		}
	}
}

// run is the state of one running request.
type run struct {
	*Server
	req    *Request
	answer *Answer
	life   *Life
	work   *ServiceState

	print      crash.Fingerprint
	partPrints []crash.Fingerprint // of the parts of its prompt; nil before they are needed
	survived   bool                // the last attempt's endpoint has survived the beginning of its answer
	holdTrial  bool                // the request is held back, and this is its trial
	succeeded  bool                // the last attempt returned a complete and successful answer

	signedFailure   bool // the last attempt returned a failure signed by the endpoint
	secondRun       bool // the call runs again after an endpoint's own error
	claim           Claim
	claimed         bool
	ticket          Ticket
	probe           bool      // only its expected time would have refused it
	continues       bool      // its caller takes up a stream, of which only the rest is answered
	firstSent       time.Time // when the first attempt was sent
	progress        progress
	started         time.Time     // when the last attempt was sent
	expected        time.Duration // time to its first event, as predicted; 0 if not known
	expectedWait    time.Duration // the part of it before its prefill
	first           time.Duration // time to its first event, as measured; 0 before it
	events          int           // events of its stream so far
	callerTime      time.Duration // for which writing its answer to the caller took
	trialDecided    bool          // it is decided whether the request goes to a version on trial
	retryCharged    atomic.Bool   // the next retry has already been charged to the budget
	attempts        int
	startedAttempts int      // attempts that an endpoint may have started
	refusedAttempts int      // attempts that an endpoint refused to start
	unsentAttempts  int      // attempts that reached none
	forwardedTo     []string // daemons that were asked to take the request over
	told            Binding  // of the stream, by the daemon that sends its events
	prefer, avoid   *Target
	restart         bool
}

func (s *Server) newRun(r *Request, a *Answer) *run {
	continues := r.Relay != nil && (r.Relay.Position.Known || r.Relay.Resumes != "")
	return &run{Server: s, req: r, answer: a, life: NewLife(), work: s.Works.Get(&r.Service), print: r.Print(), continues: continues}
}

// serve runs a request from admission to its end.
func (r *run) serve(ctx context.Context) {
	if err := r.admit(ctx); err != nil {
		r.refuse(err)
		return
	}
	defer func() { r.work.Queue.Leave(r.Now(), &r.ticket) }()
	r.life.apply(eventAccept)
	r.Count.Accepted.Add(1)
	if !r.pathLost() { // otherwise the daemon that the request is sent through counts it
		r.work.Budget.First(r.Now())
	}
	if done := r.takeClaim(ctx); done {
		return
	}
	if r.answer.hasAllTokens() {
		r.complete(r.Now()) // the handed-over answer is already complete
		return
	}
	for {
		if r.pathLost() {
			if err := r.endsTooLate(r.Now()); err != nil {
				r.end(ctx, err)
				return
			}
			if r.forward(ctx) {
				return
			}
			continue
		}
		choice, err := r.route(ctx)
		if err == nil && choice.Target == nil {
			continue // the path was lost meanwhile
		}
		if err == nil {
			// The request may have been held back meanwhile, by another attempt or daemon.
			err = r.checkHold(ctx)
		}
		if err != nil {
			choice.free()
			r.end(ctx, err)
			return
		}
		ending, failure := r.attempt(ctx, choice)
		if r.finishAttempt(ctx, choice.Target, ending, failure) {
			return
		}
	}
}

// takeClaim claims an unrepeatable request that has a key, and reports whether
// the request has ended with that.
func (r *run) takeClaim(ctx context.Context) bool {
	if !r.req.Unrepeatable || r.req.Key == "" {
		return false
	}
	name, body := r.req.ClaimName(), r.req.BodyHash()
	c := r.Claims.Take(ctx, r.Now(), name, body)
	if c.State == ClaimHeld && c.Row.Body == body {
		state := HolderReleased
		if c.Row.Holder != r.Claims.Self {
			state = r.Peers.AskClaim(ctx, c.Row.Holder, name)
		} else if !r.Claims.Released(name) {
			state = HolderUnknown
		}
		r.log.Infof("claim: %s is held by %s in state %d", r.req.ID, c.Row.Holder, state)
		switch state {
		case HolderReleased:
			c = r.Claims.TakeOver(ctx, r.Now(), c)
		case HolderRunning:
			r.refuse(code.New(code.StillRunning, "another daemon is running it").After(time.Second))
			return true
		default:
			r.end(ctx, code.New(code.UnknownOutcome, "the daemon that claimed it cannot tell whether it ran"))
			return true
		}
	}
	return r.resolveClaim(ctx, c, body)
}

// resolveClaim acts on the outcome of a claim and reports whether the request has ended.
func (r *run) resolveClaim(ctx context.Context, c Claim, body uint64) bool {
	switch {
	case c.State == ClaimDown && (r.Claims.mayHaveSent(c.key.Sort) || r.Peers.AnyRan(ctx, c.key.Sort)):
		r.end(ctx, code.New(code.UnknownOutcome, "it was sent before, and the table is unavailable").After(2*time.Second))
	case c.State == ClaimDown:
		r.refuse(code.New(code.ClaimStore, "the table is unavailable").After(2 * time.Second))
	case c.State == ClaimTaken:
		r.claim, r.claimed = c, true
		r.life.apply(eventClaim)
		return false
	case c.Row.Body != body:
		r.refuse(code.New(code.KeyReused, "the key was used before with another body"))
	case c.State == ClaimAnswered && c.Row.Answer != nil:
		r.answer.restore(*c.Row.Answer)
		r.Count.Complete.Add(1)
		r.log.Infof("claim: %s answered from the stored answer", r.req.ID)
	case c.State == ClaimAnswered:
		r.end(ctx, code.New(code.UnknownOutcome, "it has run; its answer was too large to store"))
	default:
		r.end(ctx, code.New(code.UnknownOutcome, "a concurrent call has claimed it"))
	}
	return true
}

// refuse ends the request as not run.
func (r *run) refuse(err *code.Error) {
	refused := !r.life.MayHaveRun && r.life.apply(eventRefuse)
	if refused {
		r.uncountTrial()
		r.Count.Refused.Add(1)
	} else {
		// Something has been sent, so "not run" would be wrong.
		err = code.New(code.UnknownOutcome, "%s", err.Message)
		r.life.apply(eventLoseOutcome)
		r.Count.Unknown.Add(1)
	}
	r.logEnd(r.Now(), err)
	r.answer.settle(err)
	if refused && r.claimed {
		r.Claims.Release(context.WithoutCancel(r.baseCtx), r.claim)
	}
}

// end ends the request with an error; as not run only if that is certain.
func (r *run) end(ctx context.Context, err *code.Error) {
	if err.Code.Ran() == code.NotRun && !r.life.MayHaveRun {
		r.refuse(err)
		return
	}
	if err.Code.Ran() == code.NotRun {
		err = code.New(code.NotWhole, "%s", err.Message)
	}
	if r.baseCtx.Err() != nil {
		err = code.New(code.HandedOver, "the daemon is shutting down; send the request again").After(time.Second)
	}
	if r.req.Unrepeatable && err.Code != code.EndpointAnswer {
		err = code.New(code.UnknownOutcome, "%s", err.Message)
	}
	r.life.apply(eventLoseOutcome)
	r.Count.Unknown.Add(1)
	r.logEnd(r.Now(), err)
	r.answer.settle(err)
}

// giveUpAt returns the time at which a request is ended even if it is still running.
func (r *run) giveUpAt() time.Time { return r.req.Deadline.Add(r.opts.Grace) }
