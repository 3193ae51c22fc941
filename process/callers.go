// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/request"
	"streambend.example/version"
)

// The headers between callers and the daemon.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-Id"
	headerDeadline       = "Streambend-Deadline" // how long the caller waits, such as 2.5s
	headerRequestID      = "X-Request-Id"
	headerErrorCode      = "Streambend-Code"
	headerRan            = "Streambend-Ran"
)

const (
	maxKeyLen = 256
	maxIDLen  = 128
)

// callers handles the HTTP API for callers.
type callers struct {
	d      *Daemon
	tokens map[string]Caller
}

// newCallers returns the HTTP handler for the callers' address.
func newCallers(d *Daemon) http.Handler {
	c := &callers{d: d, tokens: make(map[string]Caller)}
	for _, x := range d.Settings.Callers {
		c.tokens[strings.ToLower(x.TokenSHA256)] = x
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /v1/models", c.serveModels)
	mux.HandleFunc("POST "+request.CompletionPath, c.serveModel)
	mux.HandleFunc("POST "+request.ChatPath, c.serveModel)
	mux.HandleFunc("/", c.servePlain)
	return mux
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "unready\n")
		return
	}
	io.WriteString(w, "ready\n")
}

// HashToken returns the hex SHA-256 of a token, the form stored in the settings.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// bearerHash returns the hash of a request's bearer token, or "" if there is none.
func bearerHash(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return HashToken(token)
}

func (c *callers) authenticate(r *http.Request) (Caller, error) {
	x, ok := c.tokens[bearerHash(r)]
	if !ok {
		return x, code.New(code.UnknownToken, "send Authorization: Bearer with a team's token")
	}
	return x, nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the model names available to the caller.
func (c *callers) serveModels(w http.ResponseWriter, r *http.Request) {
	who, err := c.authenticate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, row := range c.d.Config().Rows {
		if row.Service.Partner != who.Partner || row.Service.Kind != version.Model {
			continue
		}
		for _, rt := range row.Service.Routes {
			list.Data = append(list.Data, modelItem{ID: rt.Name, Object: "model", OwnedBy: row.Service.Name})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// readRequest authenticates a request and reads its body and headers.
func (c *callers) readRequest(w http.ResponseWriter, r *http.Request) (*request.Request, error) {
	who, err := c.authenticate(r)
	if err != nil {
		return nil, err
	}
	if c.d.Settings.Isolated == "unready" && !c.d.ready.Load() && !c.d.draining.Load() {
		return nil, code.New(code.Isolated, "this daemon has no configuration it can trust").After(time.Second)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.d.Settings.Limits.BodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, code.New(code.BodyTooLarge, "over %d bytes", large.Limit)
	}
	if err != nil {
		return nil, code.New(code.BadBody, "%v", err)
	}
	req := &request.Request{
		ID: r.Header.Get(headerRequestID), Key: r.Header.Get(headerIdempotencyKey), Partner: who.Partner, Team: who.Team, Weight: who.Weight,
		Arrived: time.Now(), Path: r.URL.RequestURI(), Method: r.Method, Header: r.Header, Body: body,
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	return req, readHeaders(req, r)
}

// isVisibleASCII reports whether s can be copied unescaped into a header or a log line.
func isVisibleASCII(s string, most int) bool {
	return len(s) <= most && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' })
}

func readHeaders(req *request.Request, r *http.Request) error {
	if !isVisibleASCII(req.ID, maxIDLen) {
		return code.New(code.BadHeader, "%s must be at most %d visible ASCII characters", headerRequestID, maxIDLen)
	}
	if !isVisibleASCII(req.Key, maxKeyLen) {
		return code.New(code.BadHeader, "%s must be at most %d visible ASCII characters", headerIdempotencyKey, maxKeyLen)
	}
	if last := r.Header.Get(headerLastEventID); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			return code.New(code.BadHeader, "%s must be an event's number", headerLastEventID)
		}
		req.After = n
	}
	if wait := r.Header.Get(headerDeadline); wait != "" {
		d, err := time.ParseDuration(wait)
		if err != nil || d <= 0 {
			return code.New(code.BadHeader, "%s must be a time such as 2.5s", headerDeadline)
		}
		req.Deadline = req.Arrived.Add(d)
	}
	return nil
}

// resolveService resolves the service and route of a request and sets its default deadline.
func (c *callers) resolveService(req *request.Request, name string, kind version.Kind) error {
	svc, route, ok := c.d.Config().Lookup(req.Partner, name)
	if !ok || svc.Kind != kind {
		return code.New(code.NoSuchService, "no %s service answers to %q", kind, name)
	}
	req.Service, req.Route = svc, route
	req.Unrepeatable = route.Unrepeatable
	if req.Deadline.IsZero() {
		wait := route.Deadline.Duration
		if wait == 0 {
			wait = c.d.Settings.Timing.Deadline.Duration
		}
		req.Deadline = req.Arrived.Add(wait)
	}
	return nil
}

// serveModel answers a completion or chat request.
func (c *callers) serveModel(w http.ResponseWriter, r *http.Request) {
	req, err := c.readRequest(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(headerRequestID, req.ID)
	var name string
	if req.Model, name, err = request.ParseModel(r.URL.Path, req.Body); err == nil {
		req.Path = r.URL.Path
		err = c.resolveService(req, name, version.Model)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	a, err := c.d.Server.Begin(r.Context(), req.Arrived, req)
	if err != nil {
		writeError(w, err)
		return
	}
	o := newModelWriter(w, req, name)
	if req.Model.Stream {
		o.writeStream(r.Context(), a)
		return
	}
	o.writeWhole(r.Context(), a)
}

// servePlain answers a call to a plain service; the first path segment is the
// service's route name.
func (c *callers) servePlain(w http.ResponseWriter, r *http.Request) {
	req, err := c.readRequest(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(headerRequestID, req.ID)
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if err := c.resolveService(req, name, version.Plain); err != nil {
		writeError(w, err)
		return
	}
	req.Path = "/" + rest
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	writes := r.Method == http.MethodPost || r.Method == http.MethodPatch
	req.Unrepeatable = req.Unrepeatable && writes
	a, err := c.d.Server.Begin(r.Context(), req.Arrived, req)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := waitForEnd(r.Context(), a); err != nil {
		writeError(w, err)
		return
	}
	writePlain(w, a)
}

func writePlain(w http.ResponseWriter, a *request.Answer) {
	ans := a.Snapshot().Plain
	if ans == nil {
		writeError(w, code.New(code.NotWhole, "no answer"))
		return
	}
	for k, vs := range ans.Header {
		switch k {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length":
		default:
			w.Header()[k] = vs
		}
	}
	w.Header().Set(headerRan, code.RanWhole.String())
	w.WriteHeader(ans.Status)
	w.Write(ans.Body)
}

// waitForEnd blocks until the answer has ended and returns its error.
func waitForEnd(ctx context.Context, a *request.Answer) error {
	changed, stop := a.Follow()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return code.New(code.UnknownOutcome, "the caller has gone")
		case <-changed:
		}
		if done, err := a.Ended(); done {
			if err != nil {
				return err
			}
			return nil
		}
	}
}

type errorBody struct {
	Error errorText `json:"error"`
}

// errorText has the fields that OpenAI client libraries read, and Ran in addition.
type errorText struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Ran     string `json:"ran"`
}

func errorOf(err error) (errorBody, *code.Error) {
	e := code.From(err)
	entry := e.Code.Entry()
	return errorBody{errorText{
		Message: e.Error(), Type: entry.Name, Code: strconv.Itoa(int(e.Code)), Ran: entry.Ran.String(),
	}}, e
}

func writeError(w http.ResponseWriter, err error) {
	body, e := errorOf(err)
	w.Header().Set(headerErrorCode, body.Error.Code)
	w.Header().Set(headerRan, body.Error.Ran)
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, e.Code.Entry().Status, body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
