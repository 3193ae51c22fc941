// SPDX-License-Identifier: MIT

package entry

import (
	"encoding/base64"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/request"
	"streambend.example/version"
)

// maxForwardMessage bounds the text of another daemon's own result, in bytes.
const maxForwardMessage = 1 << 10

// endingBody is a body that calls end once it is closed.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b endingBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}

// readMessage reads the text of a daemon's own result.
func readMessage(resp *http.Response) string {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxForwardMessage)) // the code counts, also without its text
	return string(b)
}

// forwardCodec is a codec whose answers go to another daemon. An endpoint's own headers must not look like this daemon's.
type forwardCodec struct {
	codec
	by, load string
	relay    *request.Relay
}

// Copy implements request.Codec.
func (c *forwardCodec) Copy(to, from http.Header) {
	c.codec.Copy(to, from)
	for _, name := range []string{headForwardCode, headForwardAfter, headForwardTo, headForwardBound} {
		to.Del(name)
	}
	if b := c.relay.Binding; b.State == request.Bound {
		to.Set(headForwardBound, url.QueryEscape(b.Version))
	}
	to.Set(headForwardedBy, c.by)
	to.Set(headForwardLoad, c.load)
}

// ServeHTTP implements http.Handler: it takes a request over from another daemon.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clock.Refresh()
	now, d := clock.Now(), f.d
	held := d.buffers.Hold()
	defer held.Release()
	load := strconv.Itoa(d.Server.Active())
	w.Header().Set(headForwardedBy, d.Self.Name)
	w.Header().Set(headForwardLoad, load)
	m, body, err := f.read(r, held)
	var req *request.Request
	if err == nil {
		req, err = f.request(now, m, body, held, load)
	}
	if err != nil {
		f.refuse(w, m, err)
		return
	}
	req.Relay.Out = w
	f.takenOver.Add(1)
	if d.log.IsLevelEnabled(logrus.InfoLevel) {
		d.log.WithFields(logrus.Fields{"part": "reach", "request": m.ID, "service": m.Service, "route": m.Route, "team": m.Team, "from": m.From}).
			Info("taken over from another daemon")
	}
	d.finishAnswer(r, now, req, d.Server.Relay(r.Context(), req), func(err *code.Error) { f.refuse(w, m, err) })
}

var errNoRoom = code.New(code.QueueFull, "no memory left for the request")

var errUnsigned = errors.New("entry: not signed by a daemon of this deployment")

// read reads a request that another daemon sends. What it refuses has not been run, and may go to another daemon.
func (f *forwarder) read(r *http.Request, held *request.Held) (m forwardedRequest, body []byte, refusal *code.Error) {
	text := r.Header.Get(headForward)
	b, err := base64.StdEncoding.DecodeString(text)
	if err == nil && !f.d.Hub.Signed(text, r.Header.Get(headSigned)) {
		err = errUnsigned
	}
	if err == nil {
		err = conn.Unmarshal(b, &m)
	}
	switch {
	case err != nil:
		return m, nil, code.New(code.NoPath, "%v", err)
	case m.To != instanceOf(f.d.Self):
		return m, nil, code.New(code.NoPath, "the request is for %s", m.To)
	case f.d.stopping.Load():
		return m, nil, code.New(code.Draining, "the daemon stops")
	case r.ContentLength < 0 || !held.Grow(request.BaseBytes):
		return m, nil, errNoRoom
	}
	if r.ContentLength == 0 {
		return m, nil, nil
	}
	body, whole, err := held.Body(r.Body, int(r.ContentLength)+1)
	if err != nil || !whole {
		return m, nil, errNoRoom
	}
	return m, body, nil
}

// request returns the request in the form that request.Server takes. Key, route and team limit have been checked by the
// daemon that it comes from.
func (f *forwarder) request(now time.Time, m forwardedRequest, body []byte, held *request.Held, load string) (*request.Request, *code.Error) {
	c := f.d.catalog.get()
	if c == nil {
		return nil, code.New(code.Isolated, "this daemon has no configuration yet")
	}
	backend, ok := c.Backend[m.Service]
	if !ok {
		return nil, code.New(code.NoSuchService, "no service %q in the configuration", m.Service)
	}
	service := backend.Service()
	if f.paths.Lost(service.Key()) {
		return nil, code.New(code.NoPath, "no path to the endpoints of %s", service.Key())
	}
	req := &request.Request{
		Held: held, ID: m.ID, Team: m.Team, Weight: 1, Service: service, Unrepeatable: m.Unrepeatable, Arrived: now,
		Deadline: now.Add(m.Left), Path: m.Path, Method: m.Method, Header: m.Header, Body: body,
	}
	req.Route.Name, req.Route.Interactive, req.Route.Unrepeatable = m.Route, true, m.Unrepeatable
	req.Route.Priority, req.Route.Target.Duration = m.Priority, m.Target
	req.Relay = &request.Relay{
		Host: m.Host, Streaming: m.Streaming, Attempts: m.Attempts, Prefix: m.Prefix, PromptTokens: m.PromptTokens,
		OutTokens: m.OutTokens, MostTokens: m.MostTokens, CallerEstimate: m.Estimate, Pause: m.Pause, Parts: m.Parts, WaitLimit: m.WaitLimit,
		Forwarded: true, Position: request.Position{Known: m.Resumes || m.ResumeAfter > 0, Event: m.ResumeAfter},
		OnStart:      func(at time.Time) { f.d.begun(m.Team, at) },
		OnFirstEvent: f.d.meters.measured,
	}
	req.Relay.Codec = &forwardCodec{codec{in: m.Header, team: m.Team, urgency: m.Urgency, unknown: &f.d.unknown}, f.d.Self.Name, load, req.Relay}
	if m.Bound {
		req.Relay.Binding = request.BoundTo(m.Version)
	}
	if m.Streaming && !m.Unrepeatable && m.Stream != "" {
		f.d.streams.track(req, m.Stream)
	}
	return req, nil
}

// refuse answers with this daemon's own result of a request.
func (f *forwarder) refuse(w http.ResponseWriter, m forwardedRequest, err *code.Error) {
	h := w.Header()
	h.Set(headForwardCode, strconv.Itoa(int(err.Code)))
	if err.RetryAfter > 0 {
		h.Set(headForwardAfter, strconv.FormatInt(int64(err.RetryAfter), 10))
	}
	service := version.Service{Name: m.Service}
	if other := f.peers.Proven(clock.Now(), service.Key()); other != "" {
		h.Set(headForwardTo, other)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(err.Code.Entry().Status)
	io.WriteString(w, err.Message)
}
