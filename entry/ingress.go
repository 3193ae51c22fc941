// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/platform"
	"streambend.example/request"
	"streambend.example/version"
)

const (
	// freshMargin is subtracted from the bound on revoked keys, for the time from the check of a key
	// until the request reaches its endpoint.
	freshMargin = 250 * time.Millisecond
	// sendMargin is subtracted from the bound on leaving endpoints, for the time that a request's bytes
	// take once there is a connection. Over a saturated link of the box, a request took 0.36 s from
	// the caller to an endpoint, including all processing in the daemon.
	sendMargin = 300 * time.Millisecond
	// staleRoute is the catalog age from which a missing route may be a new one, not known here yet.
	staleRoute = 1500 * time.Millisecond
	// defaultRetryAfter is the default time after which a caller may retry.
	defaultRetryAfter = 300 * time.Millisecond
	// defaultTimeout is the timeout of a request whose route has none.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody is the maximum size of a body, in bytes, if the catalog has none.
	defaultMaxBody = 8 << 20
	// bodyTimeout is the timeout for reading a body, which is part of the request's time.
	bodyTimeout = 10 * time.Second
)

// ingress is the HTTP handler for callers.
type ingress struct{ d *Daemon }

// inboundRequest is the state of a caller's request while it is accepted and answered.
type inboundRequest struct {
	call   platform.Call
	held   *request.Held // memory that it may use
	route  *version.PathRoute
	tenant *version.Tenant // nil where no key is needed
	units  float64         // taken from the team's limit
	req    *request.Request

	decision teamDecision // under the team's limit
}

// ServeHTTP implements http.Handler.
func (s *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clock.Refresh()
	now := clock.Now()
	o := &inboundRequest{call: platform.ReadCall(r.Header), held: s.d.buffers.Hold()}
	defer o.held.Release()
	conn.LimitWrites(r.Context(), minStall, time.Now().Add(bodyTimeout+maxStall)) // of a refusal
	if s.d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := s.accept(now, w, r, o); err != nil {
		s.refuse(w, o, err)
		return
	}
	err := s.d.Server.Relay(r.Context(), o.req)
	if err != nil && err.Code.Ran() == code.NotRun && o.tenant != nil {
		s.d.quotas.Return(limitOf(o.tenant), o.units)
		s.d.tallies.Admit(o.tenant.Name, -int64(o.units))
	}
	s.d.finishAnswer(r, now, o.req, err, func(err *code.Error) { s.refuse(w, o, err) })
}

// finishAnswer ends the answer to a request that has been relayed with the given result, if it has not ended yet.
func (d *Daemon) finishAnswer(r *http.Request, now time.Time, req *request.Request, err *code.Error, refuse func(*code.Error)) {
	switch {
	case err == nil:
		d.meters.answered(clock.Since(now))
	case req.Relay.Started():
		d.meters.cut.Inc(1)
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	case r.Context().Err() != nil:
		d.meters.left.Inc(1)
		panic(http.ErrAbortHandler)
	case req.Relay.PassFailure():
		d.meters.failed.Inc(1)
	default:
		refuse(err)
	}
}

// resumable reports whether the request is for a stream that its caller may take up.
func (o *inboundRequest) resumable() bool {
	return o.route.Streaming && o.route.Repeat != version.RepeatNever
}

// takesUp reports whether the caller takes a stream up that an earlier request has begun.
func (o *inboundRequest) takesUp() bool {
	return o.resumable() && (o.call.After != "" || o.call.Resumes != "")
}

// position returns how far the caller has got in a stream that it takes up. An id that is no number is passed on with the
// other headers.
func (o *inboundRequest) position() request.Position {
	event, err := strconv.ParseInt(o.call.After, 10, 64)
	if err != nil || !o.resumable() {
		return request.Position{}
	}
	return request.PositionAfter(event)
}

// target returns the path and query of a request as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// accept checks a request and prepares it to be relayed.
func (s *ingress) accept(now time.Time, w http.ResponseWriter, r *http.Request, o *inboundRequest) *code.Error {
	age, _ := s.d.catalog.fresh.Age(now) // before get, so that it is not the age of a newer catalog
	c := s.d.catalog.get()
	if c == nil {
		return code.New(code.Isolated, "this daemon has no configuration yet").After(defaultRetryAfter)
	}
	if !s.d.catalogCurrent(now, age) {
		return code.New(code.Isolated, "the configuration is %s old, and there may be a newer one", age.Round(time.Millisecond)).After(defaultRetryAfter)
	}
	if age > s.d.Site().Bounds.Configuration {
		s.d.meters.stale.Inc(1)
	}
	path, _, _ := strings.Cut(target(r), "?")
	if o.route = c.Match(r.Host, path); o.route == nil {
		if age > staleRoute {
			return code.New(code.Isolated, "no such route here, but the configuration is %s old", age.Round(time.Millisecond)).After(defaultRetryAfter)
		}
		return code.New(code.NoSuchService, "no route of host %q matches path %q", r.Host, path)
	}
	if err := s.identify(c, age, o); err != nil {
		return err
	}
	if o.call.ID == "" {
		return code.New(code.BadHeader, "the request has no id")
	}
	o.req = s.request(now, r, c, o)
	o.req.Relay.Out = w
	body, err := s.body(w, r, c, o)
	if err != nil {
		return err
	}
	o.req.Body = body
	stall := stallBound(o.req.Deadline.Sub(now))
	conn.LimitWrites(r.Context(), stall, time.Now().Add(o.req.Deadline.Sub(clock.Now())+stall))
	if o.resumable() {
		if err := s.d.streams.begin(r.Context(), o); err != nil {
			return err
		}
	}
	return s.limit(r.Context(), o)
}

// identify finds the team of a request. A key is valid only while the catalog is fresh, since it may
// have been revoked.
func (s *ingress) identify(c *version.Catalog, age time.Duration, o *inboundRequest) *code.Error {
	if o.route.Public || !c.Keyed() {
		return nil
	}
	if s.d.Site().Bounds.StrictRevocation && age > s.d.Site().Bounds.Revocation-freshMargin {
		return code.New(code.Isolated, "the configuration is %s old, too old to check keys", age.Round(time.Millisecond)).After(defaultRetryAfter)
	}
	if o.tenant = c.Tenant(o.call.Key); o.tenant == nil {
		return code.New(code.UnknownToken, "the key belongs to no team")
	}
	return nil
}

// body reads the whole body, unless the daemon stops before the request could end.
func (s *ingress) body(w http.ResponseWriter, r *http.Request, c *version.Catalog, o *inboundRequest) ([]byte, *code.Error) {
	if err := s.d.Server.EndsTooLate(clock.Now(), o.req); err != nil {
		answerUnread(w)
		return nil, err
	}
	if !o.held.Grow(request.BaseBytes) {
		return nil, errNoMemory()
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	most := c.Limits.BodyBytes
	if most <= 0 {
		most = defaultMaxBody
	}
	limit := most
	if r.ContentLength > 0 {
		limit = min(most, r.ContentLength)
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // always supported by net/http's server
	b, whole, err := o.held.Body(checkedReader{http.MaxBytesReader(w, r.Body, most), func() error {
		if err := s.d.Server.EndsTooLate(clock.Now(), o.req); err != nil {
			return err
		}
		return nil
	}}, int(limit)+1)
	rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	var refused *code.Error
	switch {
	case errors.As(err, &refused):
		answerUnread(w)
		return nil, refused
	case errors.As(err, &large):
		return nil, code.New(code.BodyTooLarge, "the body exceeds %d bytes", large.Limit)
	case err != nil:
		return nil, code.New(code.BadBody, "read body: %v", err)
	case !whole:
		return nil, errNoMemory()
	}
	return b, nil
}

// answerUnread makes net/http send the answer before it has read the rest of the body, and close the connection after that.
func answerUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).EnableFullDuplex() // always supported by HTTP/1
}

// checkedReader calls check before each read, and fails with its error.
type checkedReader struct {
	io.Reader
	check func() error
}

// Read implements io.Reader.
func (c checkedReader) Read(b []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Reader.Read(b)
}

// limit charges a request to its team's limit.
func (s *ingress) limit(ctx context.Context, o *inboundRequest) *code.Error {
	t := o.tenant
	if t == nil {
		return nil
	}
	o.units = 1
	if t.Tokens {
		o.units = float64(t.PlainTokens)
		if o.call.HasTokens {
			o.units = float64(o.call.In + o.call.MostOut)
		}
	}
	left := o.req.Deadline.Sub(clock.Now())
	o.decision = s.d.teams.admit(ctx, limitOf(t), o.units, requestKey(o.req.Print()), usefulWait(left, o.route.Target))
	switch {
	case o.decision.OK:
		s.d.tallies.Admit(t.Name, int64(o.units))
		return nil
	case o.decision.Booked:
		return code.New(code.TeamShare, "team %s has not enough of its limit left for %.0f units; a repeat after Retry-After is admitted", t.Name, o.units).After(o.decision.Wait)
	}
	return code.New(code.TeamShare, "team %s has not enough of its limit left for %.0f units; a repeat before Retry-After finds too few", t.Name, o.units).After(o.decision.Wait)
}

// request returns the request, without its body, in the form that request.Server takes.
func (s *ingress) request(now time.Time, r *http.Request, c *version.Catalog, o *inboundRequest) *request.Request {
	wait := o.route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if o.call.Wait > 0 {
		wait = min(wait, o.call.Wait)
	}
	team, urgency := "", o.route.Priority
	if o.tenant != nil {
		team = o.tenant.Name
		if o.tenant.HasPriority {
			urgency = o.tenant.Priority
		}
	}
	name := o.route.Pick(o.call.ID)
	if o.takesUp() && o.call.Resumes != "" {
		name = o.route.Pick(o.call.Resumes) // the service that began the stream
	}
	backend, ok := c.Backend[name]
	if !ok {
		backend.Name = name
	}
	if !backend.Engine {
		urgency = -1
	}
	req := &request.Request{
		Held: o.held,
		ID:   o.call.ID, Team: team, Weight: 1, Service: backend.Service(), Route: o.route.Route(),
		Unrepeatable: o.route.Repeat == version.RepeatNever, Arrived: now, Deadline: now.Add(wait),
		Path: target(r), Method: r.Method, Header: r.Header,
	}
	req.Relay = &request.Relay{
		Codec: &codec{in: platform.Forwarded(r.Header), team: team, urgency: urgency, unknown: &s.d.unknown},
		Host:  r.Host, Streaming: o.route.Streaming, Attempts: o.route.Attempts,
		Prefix: prefixID(o.call.Parts), PromptTokens: o.call.In, OutTokens: expectedTokens(o.call), MostTokens: o.call.MostOut, CallerEstimate: o.call.Hint,
		Pause: o.route.Pause, WaitLimit: c.WaitLimit(o.route, name), Parts: parts(o.call.Parts),
		Resumes:      o.call.Resumes,
		Position:     o.position(),
		OnStart:      func(at time.Time) { s.d.begun(team, at) },
		OnFirstEvent: s.d.meters.measured,
	}
	return req
}

// parts converts a prompt's parts for routing.
func parts(in []platform.Part) []request.Part {
	out := make([]request.Part, len(in))
	for i, p := range in {
		out[i] = request.Part(p)
	}
	return out
}

// prefixID returns an identifier of the prompt's longest prefix that other requests share.
func prefixID(parts []platform.Part) uint64 {
	if len(parts) == 0 {
		return 0
	}
	return parts[max(len(parts)-2, 0)].ID | 1
}

// expectedTokens returns the expected number of tokens in the answer.
func expectedTokens(c platform.Call) int {
	if c.Hint > 0 {
		return min(c.Hint, max(c.MostOut, 1))
	}
	return c.MostOut
}

// refuse answers with an error of the daemon, as opposed to one of an endpoint.
func (s *ingress) refuse(w http.ResponseWriter, o *inboundRequest, err *code.Error) {
	status := err.Code.Entry().Status
	fields := logrus.Fields{"part": "ingress", "request": o.call.ID, "code": int(err.Code), "status": status, "retry_after_ms": err.RetryAfter.Milliseconds()}
	if o.route != nil {
		fields["route"] = o.route.Name
	}
	if o.tenant != nil {
		fields["team"] = o.tenant.Name
	}
	if err.Code == code.TeamShare {
		fields["units"], fields["booked"], fields["owner"] = o.units, o.decision.Booked, o.decision.Owner
	}
	if c := s.d.catalog.get(); c != nil {
		age, _ := s.d.catalog.fresh.Age(clock.Now())
		fields["catalog_age_ms"] = age.Milliseconds()
		fields["version"] = c.Version
	}
	s.d.log.WithFields(fields).Infof("answered with an error: %s", err.Message)
	s.d.meters.refused(err.Code)
	platform.SetRefusalHeaders(w.Header(), o.call.ID, err.RetryAfter)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, err.Error())
}
