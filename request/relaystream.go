// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"streambend.example/conn"
	"streambend.example/crash"
)

// streamRelay passes the stream of one attempt on to the caller. The choice has no endpoint if another daemon has sent the
// request there, which then keeps the records of the endpoint.
type streamRelay struct {
	*run
	choice Choice
	mark   Mark
	resp   *http.Response
	dog    watchdog
	flush  *http.ResponseController

	prefilled time.Duration // the engine's prefill time at the first event
	lead      []byte        // comments before the first event
	comments  int           // bytes of comments since the last event
}

// maxComments is the maximum size in bytes of the comments before an event.
const maxComments = 16 << 10

const (
	// eventsPerToken is how many events a stream may have, at most, for each token that its caller names as the most. An engine
	// that goes far beyond these is sound.
	eventsPerToken = 16
	// extraEvents is how many events a stream may have besides.
	extraEvents = 1024
)

var (
	errComments = errors.Wrap(conn.ErrTooLong, "comments before an event")
	errEvents   = errors.Wrap(conn.ErrTooLong, "more events than tokens")
)

// forwardEvents forwards a stream event by event. The head is written with the first
// event, so that until then the request can be retried elsewhere.
func (r *run) forwardEvents(ctx context.Context, c Choice, mark Mark, resp *http.Response, dog watchdog) (Ending, error) {
	x := r.req.Relay
	s := streamRelay{run: r, choice: c, mark: mark, resp: resp, dog: dog, flush: http.NewResponseController(x.Out)}
	events := conn.NewEvents(resp.Body)
	events.Grow = r.req.Held.Grow
	defer r.req.Held.shrinkTo(r.req.Held.size()) // of large events
	for {
		ev, err := events.Next()
		if err == nil && ev.Comment {
			if s.comments += len(ev.Raw); s.comments > maxComments {
				return EndedBroken, errComments
			}
			if !x.headWritten {
				s.lead = append(s.lead, ev.Raw...)
				continue
			}
		} else {
			s.comments = 0
			dog.reset() // a comment does not end the wait for an event
		}
		switch {
		case err == io.EOF:
			s.end()
			return EndedComplete, nil
		case errors.Is(err, conn.ErrNoMemory):
			return EndedError, err // the endpoint is not at fault, and another would send the same event
		case err != nil:
			return r.endingOfCut(ctx), &conn.Failure{Sent: true, Err: err}
		}
		s.record(ev)
		switch {
		case x.MostTokens > 0 && s.events > eventsPerToken*x.MostTokens+extraEvents:
			return EndedBroken, errEvents
		case ev.ID >= 0 && x.Position.passed(ev.ID):
			return EndedBroken, errEventOrder
		case ev.ID < 0 && !ev.Comment && x.Position.Known:
			return EndedBroken, errNoEventID
		}
		if err := s.pass(ev); err != nil {
			return EndedBroken, errors.Wrap(errCallerWrite, err.Error())
		}
	}
}

// record records that the endpoint has sent an event or a comment.
func (s *streamRelay) record(ev conn.Event) {
	if !ev.Comment {
		s.events++
		s.progress.add(s.Now())
	}
	if !ev.Comment && s.events == 1 {
		now := s.Now()
		s.first = now.Sub(s.started)
		s.life.apply(eventStream)
		if s.choice.Target != nil {
			s.prefilled = s.recordFirstEvent(now, s.choice.Target, s.mark)
		}
	}
	if s.choice.Target == nil {
		return
	}
	s.choice.Target.recordData(s.opts.now)
	if now, begun := s.Now(), s.started.Add(s.first); s.events > 0 && now.Sub(begun) >= crash.SurvivalTime {
		s.reportSurvival(now, begun)
	}
}

// pass writes an event or a comment to the caller, the first one with the answer's head.
func (s *streamRelay) pass(ev conn.Event) (err error) {
	x := s.req.Relay
	if !x.headWritten {
		s.resp.Header.Del("Content-Length") // the parts of a stream may come from several endpoints
		x.bind(s.choice, s.told)
		s.writeHead()
	}
	resume := s.dog.pause()
	s.toCaller(func() {
		if _, err = x.Out.Write(ev.Raw); err == nil {
			err = s.flush.Flush()
		}
	})
	if err != nil {
		return err
	}
	if ev.Comment {
		resume()
		return nil
	}
	s.dog.reset()
	switch {
	case ev.ID >= 0:
		x.Position = PositionAfter(ev.ID)
	default:
		x.streamed = true
	}
	return nil
}

// writeHead writes the answer's head and the comments before the first event.
func (s *streamRelay) writeHead() {
	s.req.Relay.writeHead(s.resp.StatusCode, s.resp.Header)
	s.toCaller(func() { s.req.Relay.Out.Write(s.lead) }) // an error shows at the next write
	s.lead = nil
}

// end records that the stream is whole.
func (s *streamRelay) end() {
	x := s.req.Relay
	if !x.headWritten {
		s.writeHead()
	}
	s.succeeded = s.events > 0
	if x.OnWhole != nil {
		x.OnWhole()
	}
	if s.startedAttempts == 0 && s.choice.Target != nil {
		s.work.Pool.cost.LearnEvents(x.CallerEstimate, s.events)
		now := s.Now()
		s.work.Pool.RecordSlotTime(x.OutTokens, now.Sub(s.started)-s.first, s.choice.Target.PrefillDone(now)-s.prefilled)
	}
}

// recordFirstEvent records that an endpoint has begun a stream, and returns its prefill time so far.
func (r *run) recordFirstEvent(now time.Time, t *Target, mark Mark) time.Duration {
	x := r.req.Relay
	if x.OnFirstEvent != nil {
		x.OnFirstEvent(r.first, r.expected)
	}
	x.recordStart(now)
	t.Begun(now, mark)
	return t.PrefillDone(now)
}
