// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/reach"
	"streambend.example/request"
)

const (
	// forwardPath is the HTTP path at which a daemon takes requests over from others.
	forwardPath = "/forward"
	// forwardBoundPath is the same for a stream that only one version of the service may continue, which daemons that
	// know no versions must not take over.
	forwardBoundPath = "/forward-bound"
	// probeTimeout is the timeout of a probe connection to an endpoint.
	probeTimeout = dialTimeout
	// maxReadmitProbes bounds the ejected endpoints that are probed when a path is back.
	maxReadmitProbes = 64
)

// Headers between daemons. An answer with headForwardedBy and without headForwardCode is that of an endpoint.
const (
	headForward      = "Streambend-Forward"       // a forwardedRequest
	headSigned       = "Streambend-Sign"          // its signature
	headForwardedBy  = "Streambend-Forwarded-By"  // the daemon that answers
	headForwardLoad  = "Streambend-Forward-Load"  // its running requests
	headForwardCode  = "Streambend-Forward-Code"  // code of its own result
	headForwardAfter = "Streambend-Forward-After" // Retry-After of its own result, in nanoseconds
	headForwardTo    = "Streambend-Forward-To"    // a daemon that it knows to reach the service
	headForwardBound = "Streambend-Forward-Bound" // version that began the stream, escaped as in a query
)

// forwarder implements request.Forwarder: it tracks the paths to endpoints and sends requests through other daemons
// while one is lost.
type forwarder struct {
	d      *Daemon
	paths  reach.Paths
	peers  reach.Peers
	client *conn.Client

	witness   pathWitness
	takenOver atomic.Int64 // requests that other daemons have sent through this one
}

func newForwarder(d *Daemon) *forwarder {
	return &forwarder{d: d, client: conn.NewClient(d.network, 0)}
}

// Opened implements request.Forwarder.
func (f *forwarder) Opened(now time.Time, t *request.Target) {
	listed, others := 0, false // used while the path is lost
	if f.paths.Lost(t.Service) {
		listed, others = len(f.endpoints(t.Service)), f.peers.Proven(now, t.Service) != ""
	}
	if !f.paths.Opened(now, t.Service, t.ID, listed, others) || f.d.ctx.Err() != nil {
		return
	}
	f.log(t.Service).Info("path to the endpoints regained")
	f.d.run(func() { f.readmit(t.Service) })
}

// Failed implements request.Forwarder.
func (f *forwarder) Failed(now time.Time, t *request.Target) {
	f.paths.Failed(now, t.Service, t.ID, len(f.endpoints(t.Service)))
}

// logLost logs the loss of a service; confirmed is whether another daemon reaches it.
func (f *forwarder) logLost(service string, confirmed bool) {
	f.log(service).WithField("confirmed", confirmed).Warn("path to the endpoints lost: requests go through other daemons")
}

// Suspect implements request.Forwarder.
func (f *forwarder) Suspect(now time.Time, t *request.Target) { f.paths.Suspect(now, t.Service) }

// PathLost implements request.Forwarder.
func (f *forwarder) PathLost(service string) bool { return f.paths.Lost(service) }

// Next implements request.Forwarder.
func (f *forwarder) Next(now time.Time, service string, draw uint64, tried []string) (string, bool) {
	return f.peers.Choose(now, service, f.d.Self.Zone, f.d.roster().peers, draw, tried)
}

func (f *forwarder) log(service string) *logrus.Entry {
	return f.d.log.WithFields(logrus.Fields{"part": "reach", "service": service})
}

// endpoints returns the endpoints of a service that neither leave nor are known to have ended, from a random one on.
func (f *forwarder) endpoints(service string) (out []*request.Target) {
	w := f.d.Server.Works.ByKey(service)
	if w == nil {
		return nil
	}
	all := w.Pool.Targets()
	if len(all) == 0 {
		return nil
	}
	start := rand.IntN(len(all))
	for i := range all {
		t := all[(start+i)%len(all)]
		if _, leaving := t.Leaving(); !leaving && !t.Ended() {
			out = append(out, t)
		}
	}
	return out
}

// tick starts the probes and questions that are due.
func (f *forwarder) tick(now time.Time) {
	listed := make(map[string]*request.Target)
	s := f.paths.Next(now, func(service string) (ids []string) {
		for _, t := range f.endpoints(service) {
			ids = append(ids, t.ID)
			listed[t.ID] = t
		}
		return ids
	})
	for _, service := range s.Lost {
		f.logLost(service, false)
	}
	for _, p := range s.Probes {
		f.d.run(func() { f.probe(listed[p.Endpoint]) })
	}
	for _, q := range s.Questions {
		f.d.run(func() { f.confirm(q) })
	}
}

// confirm asks other daemons whether they reach an endpoint to which connections fail here.
func (f *forwarder) confirm(q reach.Question) {
	if reached, _ := f.askReach(f.d.ctx, q.Probe, q.Daemons); reached && f.paths.Confirmed(clock.Now(), q.Service) {
		f.logLost(q.Service, true)
	}
}

// probe opens a connection to an endpoint to learn whether there is a path.
func (f *forwarder) probe(t *request.Target) {
	switch opened := f.opens(t); {
	case f.d.ctx.Err() != nil: // the daemon has ended
	case opened:
		f.Opened(clock.Now(), t)
	default:
		f.Failed(clock.Now(), t)
	}
}

// opens opens a connection to an endpoint, closes it again, and reports whether it was opened.
func (f *forwarder) opens(t *request.Target) bool {
	ctx, cancel := context.WithTimeout(f.d.ctx, probeTimeout)
	defer cancel()
	return f.d.Server.Client.Reach(ctx, t.Address) == nil
}

// readmit ends the ejections of endpoints that can be reached again.
func (f *forwarder) readmit(service string) {
	left := maxReadmitProbes
	for _, t := range f.endpoints(service) {
		switch {
		case !t.Ejected():
			t.EndRamp()
		case left > 0:
			left--
			f.d.run(func() {
				if f.opens(t) {
					t.Readmit(clock.Now())
				}
			})
		}
	}
}

// forgetLeft drops what is known of daemons that are not members any more.
func (f *forwarder) forgetLeft() {
	f.peers.Retain(func(name string) bool {
		_, ok := f.d.Hub.Mesh.Member(name)
		return ok
	})
}

// forwardedRequest is a request as one daemon sends it through another. The body follows as the body of the HTTP request.
type forwardedRequest struct {
	To      string `codec:"to"` // process to which it is sent
	From    string `codec:"fr"`
	ID      string `codec:"i"`
	Team    string `codec:"t"`
	Service string `codec:"s"`
	Route   string `codec:"r"`

	Method       string              `codec:"m"`
	Path         string              `codec:"p"`
	Host         string              `codec:"h"`
	Header       map[string][]string `codec:"hd"` // of the caller, as forwarded to endpoints
	Unrepeatable bool                `codec:"u"`
	Streaming    bool                `codec:"st"`
	Priority     int                 `codec:"pr"`
	Urgency      int                 `codec:"ur"`
	Target       time.Duration       `codec:"tg"`
	Pause        time.Duration       `codec:"pa"`
	WaitLimit    time.Duration       `codec:"w"`
	Left         time.Duration       `codec:"l"`
	Attempts     int                 `codec:"a"`
	ResumeAfter  int64               `codec:"ra"`           // id of the last event that the caller has
	Resumes      bool                `codec:"rk,omitempty"` // it has one, also if its id is 0
	Prefix       uint64              `codec:"px"`
	Parts        []request.Part      `codec:"ps"`
	PromptTokens int                 `codec:"pt"`
	OutTokens    int                 `codec:"ot"`
	MostTokens   int                 `codec:"mt,omitempty"`
	Estimate     int                 `codec:"e"`
	Stream       string              `codec:"sr,omitempty"` // id of the request that began the stream
	Bound        bool                `codec:"b,omitempty"`  // Version has begun the stream
	Version      string              `codec:"v,omitempty"`
}

// forwarded returns the message for a request.
func (f *forwarder) forwarded(to conn.Member, r *request.Request, a request.ForwardAttempt) forwardedRequest {
	x := r.Relay
	c := x.Codec.(*codec)
	m := forwardedRequest{
		To: instanceOf(to), From: f.d.Self.Name, ID: r.ID, Team: r.Team, Service: r.Service.Name, Route: r.Route.Name,
		Method: r.Method, Path: r.Path, Host: x.Host, Header: c.in, Unrepeatable: r.Unrepeatable, Streaming: x.Streaming,
		Priority: r.Route.Priority, Urgency: c.urgency, Target: r.Route.Target.Duration, Pause: x.Pause, WaitLimit: x.WaitLimit,
		Left: a.Left, Attempts: a.Attempts, Prefix: x.Prefix, Parts: x.Parts, PromptTokens: x.PromptTokens, OutTokens: x.OutTokens,
		MostTokens: x.MostTokens, Estimate: x.CallerEstimate,
	}
	m.Resumes, m.ResumeAfter = a.Position.Known, a.Position.Event
	m.Stream, m.Bound, m.Version = streamID(r), x.Binding.State == request.Bound, x.Binding.Version
	return m
}

var errNoMember = errors.New("entry: the daemon is not a member any more")

// Forward implements request.Forwarder.
func (f *forwarder) Forward(ctx context.Context, daemon string, r *request.Request, a request.ForwardAttempt) (request.ForwardResult, error) {
	service := r.Service.Key()
	to, ok := f.d.Hub.Mesh.Member(daemon)
	if !ok {
		return request.ForwardResult{Refused: errNoMember}, nil
	}
	text := base64.StdEncoding.EncodeToString(conn.Marshal(f.forwarded(to, r, a)))
	f.peers.Begin(daemon)
	method := http.MethodPost
	if r.Method == http.MethodHead {
		method = r.Method // its answer has no body
	}
	path := forwardPath
	if r.Relay.Binding.State != request.Unbound {
		path = forwardBoundPath
	}
	resp, err := f.client.Forward(ctx, conn.ForwardRequest{
		Address: to.Address, Method: method, Target: path, Host: to.Address, Body: r.Body, Fresh: r.Unrepeatable,
		Header: http.Header{headForward: {text}, headSigned: {f.d.Hub.Sign(text)}},
	})
	if err != nil {
		f.peers.End(daemon)
		if conn.DialFailed(err) {
			f.peers.Refused(clock.Now(), service, daemon, reach.RefusedNoPath, "")
			return request.ForwardResult{Refused: err}, nil
		}
		return request.ForwardResult{}, err
	}
	result := f.result(service, daemon, resp)
	if result.Response == nil {
		resp.Body.Close()
		f.peers.End(daemon)
	} else {
		resp.Body = endingBody{resp.Body, func() { f.peers.End(daemon) }}
	}
	return result, nil
}

// result reads the head of another daemon's answer.
func (f *forwarder) result(service, daemon string, resp *http.Response) request.ForwardResult {
	now, h := clock.Now(), resp.Header
	text := h.Get(headForwardCode)
	n, err := strconv.Atoi(text)
	switch {
	case h.Get(headForwardedBy) == "" || text != "" && err != nil:
		f.peers.Refused(now, service, daemon, reach.RefusedUnsupported, "")
		return request.ForwardResult{Refused: errors.Errorf("entry: %s takes no requests over: status %d", daemon, resp.StatusCode)}
	case refusesForward(code.Code(n)):
		f.peers.Refused(now, service, daemon, reach.RefusedNoPath, h.Get(headForwardTo))
		return request.ForwardResult{Refused: errors.Errorf("entry: %s does not take the request over: %s", daemon, code.Code(n))}
	}
	load, _ := strconv.Atoi(h.Get(headForwardLoad)) // 0 if it is not told
	f.peers.Answered(now, service, daemon, load)
	if text == "" {
		result := request.ForwardResult{Response: resp}
		if bound, ok := h[headForwardBound]; ok {
			if version, err := url.QueryUnescape(bound[0]); err == nil {
				result.Binding = request.BoundTo(version)
			}
		}
		for _, name := range []string{headForwardedBy, headForwardLoad, headForwardBound} {
			h.Del(name)
		}
		return result
	}
	after, _ := strconv.ParseInt(h.Get(headForwardAfter), 10, 64) // 0 for none
	return request.ForwardResult{Err: code.New(code.Code(n), "by way of %s: %s", daemon, readMessage(resp)).After(time.Duration(after))}
}

// refusesForward reports whether a daemon that answers with a code has not taken the request over, so that another may.
func refusesForward(c code.Code) bool {
	switch c {
	case code.NoPath, code.Draining, code.NoSuchService, code.Isolated, code.QueueFull:
		return true
	}
	return false
}
