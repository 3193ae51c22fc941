// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"streambend.example/conn"
)

// maxAnswerBytes is the maximum size in bytes of an answer that is read completely before it is forwarded.
const maxAnswerBytes = 4 << 20

// errOpenAnswer ends an answer without a length, which may have no end either, that is larger than what can be held.
var errOpenAnswer = errors.Wrap(conn.ErrTooLong, "an answer without a length")

// boundedReader fails with errOpenAnswer once more than a number of bytes has been read.
type boundedReader struct {
	io.Reader
	left int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.left -= n; b.left < 0 {
		return 0, errOpenAnswer
	}
	return n, err
}

// forwardAnswer forwards an answer that is not a stream. As long as it can be held it is read completely
// first, so that another endpoint may succeed if it is cut or a server error. A larger one whose length is known is
// streamed. final is set if another daemon has sent the request to its endpoints and passes on the last answer.
func (r *run) forwardAnswer(ctx context.Context, resp *http.Response, head AnswerHead, dog watchdog, final bool) (Ending, error) {
	x := r.req.Relay
	before := r.req.Held.size()
	body, whole, err := r.req.Held.answer(resp.Body, resp.ContentLength < 0)
	if err == nil && !whole && resp.ContentLength < 0 && len(body) >= maxAnswerBytes {
		err = errOpenAnswer
	}
	if err != nil {
		r.req.Held.shrinkTo(before)
		return EndedBroken, &conn.Failure{Sent: true, Err: err}
	}
	if x.headWritten {
		return EndedBroken, &conn.Failure{Sent: true, Status: resp.StatusCode} // in reply to a stream that should have been resumed
	}
	if !final {
		x.recordStart(r.started)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.failed = &failedAnswer{resp.StatusCode, resp.Header, body}
		r.signedFailure = head.Signed
		if !whole || !head.Signed || guaranteesNotRun(resp.StatusCode) {
			x.failed = nil
			r.req.Held.shrinkTo(before)
		}
		if r.req.Unrepeatable || final {
			return EndedError, &conn.Failure{Sent: true, Status: resp.StatusCode}
		}
		return EndedBroken, &conn.Failure{Sent: true, Status: resp.StatusCode}
	}
	if guaranteesNotRun(resp.StatusCode) {
		r.signedFailure = head.Signed
		r.req.Held.shrinkTo(before)
		return EndedError, &conn.Failure{Sent: true, Status: resp.StatusCode}
	}
	dog.pause()
	if !whole {
		return r.streamAnswer(ctx, resp, body, before)
	}
	r.succeeded = resp.StatusCode < http.StatusMultipleChoices
	r.toCaller(func() { x.write(resp.StatusCode, resp.Header, body) })
	return EndedComplete, nil
}

// streamAnswer forwards the part of an answer that has been read, and the rest as it arrives: the endpoint is
// read no faster than the caller reads. before is what the request held without the answer.
func (r *run) streamAnswer(ctx context.Context, resp *http.Response, body []byte, before int64) (Ending, error) {
	x := r.req.Relay
	x.streamed = true
	r.req.Held.countStreamed()
	r.toCaller(func() { x.write(resp.StatusCode, resp.Header, body) })
	r.req.Held.shrinkTo(before)
	// The plain io.Writer keeps io.CopyBuffer from the writer's own, larger buffer.
	rest := io.Reader(resp.Body)
	if resp.ContentLength < 0 {
		rest = &boundedReader{rest, maxAnswerBytes - len(body)}
	}
	if _, err := io.CopyBuffer(callerWriter{r}, rest, make([]byte, copyBytes)); err != nil {
		return r.endingOfCut(ctx), &conn.Failure{Sent: true, Err: err}
	}
	r.succeeded = resp.StatusCode < http.StatusMultipleChoices
	return EndedComplete, nil
}

// callerWriter writes to the caller of a relayed request.
type callerWriter struct{ r *run }

// Write implements io.Writer.
func (w callerWriter) Write(b []byte) (n int, err error) {
	w.r.toCaller(func() { n, err = w.r.req.Relay.Out.Write(b) })
	return n, err
}

// toCaller calls a function that writes to the caller, and counts its time as the caller's: the endpoint is
// not slow because the caller is.
func (r *run) toCaller(write func()) {
	before := r.Now()
	write()
	r.callerTime += r.Now().Sub(before)
}

// endpointTime returns the time since the last attempt was sent, without that for which the caller had to be
// waited for.
func (r *run) endpointTime(now time.Time) time.Duration { return now.Sub(r.started) - r.callerTime }

// endingOfCut returns the ending of an attempt whose answer was cut. At the deadline it is not the endpoint's
// failure if most of the time was the caller's.
func (r *run) endingOfCut(ctx context.Context) Ending {
	now := r.Now()
	if errors.Is(context.Cause(ctx), errDeadline) && r.callerTime > r.endpointTime(now) {
		return EndedCallerGone
	}
	return EndedBroken
}
