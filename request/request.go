// SPDX-License-Identifier: MIT

package request

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/version"
)

// The paths of model requests.
const (
	CompletionPath = "/v1/completions"
	ChatPath       = "/v1/chat/completions"
)

// bytesPerToken is the assumed size of a token of text, until the engine has reported
// the token count.
const bytesPerToken = 4

// defaultAffinity is the default length in bytes of the prompt prefix that is hashed for routing.
const defaultAffinity = 2048

// Request is a caller's request.
type Request struct {
	ID           string
	Key          string // the caller's idempotency key, or ""
	Partner      string
	Team         string
	Weight       float64 // weight of the team in fair queuing
	Service      version.Service
	Route        version.Route
	Unrepeatable bool
	Arrived      time.Time
	Deadline     time.Time
	After        int // number of the last event that the caller has received

	Path   string // path; for a plain request with its query
	Method string
	Header http.Header
	Body   []byte
	Model  ModelBody // set for a model request
	Relay  *Relay    // set for a request whose answer is forwarded unparsed; else nil
	Held   *Held     // memory of the body and of a forwarded answer; nil for no bound
}

// ModelBody is the parsed part of the body of a completion or chat request.
type ModelBody struct {
	Max    int
	Stream bool
	Usage  bool // the caller requested usage at the end of the stream
	Head   []byte
	Length int // of the prompt, in bytes
	fields fields
}

// fields are the members of a JSON body. Unknown members are forwarded unchanged.
type fields map[string]json.RawMessage

type wireModel struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      []wireMessage   `json:"messages"`
	MaxTokens     int             `json:"max_tokens"`
	MaxCompletion int             `json:"max_completion_tokens"`
	Stream        bool            `json:"stream"`
	N             int             `json:"n"`
	BestOf        int             `json:"best_of"`
	Echo          bool            `json:"echo"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseModel parses the body of a model request and also returns the model's name.
// Its errors have the code code.BadBody or code.NotSupported.
func ParseModel(path string, body []byte) (ModelBody, string, error) {
	var w wireModel
	m := ModelBody{}
	if err := json.Unmarshal(body, &w); err != nil {
		return m, "", code.New(code.BadBody, "%v", err)
	}
	if err := json.Unmarshal(body, &m.fields); err != nil {
		return m, "", code.New(code.BadBody, "%v", err)
	}
	if err := checkModel(path, &w); err != nil {
		return m, "", err
	}
	m.Max, m.Stream, m.Usage = max(w.MaxTokens, w.MaxCompletion), w.Stream, w.StreamOptions.IncludeUsage
	m.Head = promptBytes(&w)
	m.Length = len(m.Head)
	return m, w.Model, nil
}

// checkModel validates the body of a model request.
func checkModel(path string, w *wireModel) error {
	switch {
	case w.Model == "":
		return code.New(code.BadBody, "model is missing")
	case path == ChatPath && len(w.Messages) == 0:
		return code.New(code.BadBody, "messages are missing")
	case path == CompletionPath && len(w.Prompt) == 0:
		return code.New(code.BadBody, "prompt is missing")
	case w.MaxTokens < 0 || w.MaxCompletion < 0:
		return code.New(code.BadBody, "max_tokens is negative")
	case w.N > 1 || w.BestOf > 1:
		return code.New(code.NotSupported, "n and best_of must be 1")
	case w.Echo:
		return code.New(code.NotSupported, "echo")
	}
	if path == CompletionPath && !promptIsOne(w.Prompt) {
		return code.New(code.NotSupported, "prompt must be one string or one list of token ids")
	}
	return nil
}

// promptIsOne reports whether a prompt is one string or one list of token ids.
func promptIsOne(p json.RawMessage) bool {
	var text string
	var ids []int
	return json.Unmarshal(p, &text) == nil || json.Unmarshal(p, &ids) == nil
}

// promptBytes returns the bytes of the prompt, of which a prefix is hashed for routing.
func promptBytes(w *wireModel) []byte {
	if len(w.Messages) == 0 {
		return w.Prompt
	}
	var b []byte
	for _, m := range w.Messages {
		b = append(b, m.Role...)
		b = append(b, m.Content...)
	}
	return b
}

// Prefix returns the hash of the prompt's prefix, by which endpoints are ranked.
func (r *Request) Prefix() uint64 {
	if r.Relay != nil {
		return r.Relay.Prefix
	}
	n := r.Service.AffinityBytes
	if n == 0 {
		n = defaultAffinity
	}
	head := r.Model.Head
	return xxhash.Sum64(head[:min(n, len(head))]) | 1
}

// PromptTokens returns an estimate of the number of prompt tokens.
func (r *Request) PromptTokens() int {
	if r.Relay != nil {
		return r.Relay.PromptTokens
	}
	return r.Model.Length / bytesPerToken
}

// expectOut returns the expected number of answer tokens.
func (r *Request) expectOut() int {
	if r.Relay != nil {
		return r.Relay.OutTokens
	}
	return r.Model.Max
}

// promptTokensPerToken is how many tokens of a prompt an engine processes in the time of one token of the answer, at least.
const promptTokensPerToken = 64

// size returns the size by which the time of the request is estimated, in tokens of the answer; 0 if it is not known.
func (r *Request) size() int { return r.expectOut() + r.PromptTokens()/promptTokensPerToken }

// BodyHash returns a hash of the request's content, which distinguishes a repeat from
// a different request with the same key.
func (r *Request) BodyHash() uint64 {
	h := xxhash.New()
	h.WriteString(r.Method + " " + r.Path + "\n")
	h.Write(r.Body)
	return h.Sum64()
}

// ClaimName returns the name under which the request is claimed and its answer is stored.
func (r *Request) ClaimName() string {
	return r.Partner + "/" + r.Team + "/" + r.Route.Name + "/" + r.Key
}

// target returns the time by which the route's latency target is met, or zero if it has none.
func (r *Request) target() time.Time {
	if r.Route.Target.Duration == 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Route.Target.Duration)
}

// IsModel reports whether the request goes to a model engine.
func (r *Request) IsModel() bool { return r.Service.Kind == version.Model }

// raw encodes a value as JSON.
func raw(v any) json.RawMessage {
	b, _ := json.Marshal(v)
	return b
}

// attemptBody returns the path and the body of an attempt: the caller's own, or a
// continuation from the token ids of the prompt and the answer so far.
func (r *Request) attemptBody(prompt, emitted []int, cacheKey string) (path string, body []byte, err error) {
	f := make(fields, len(r.Model.fields)+6)
	for k, v := range r.Model.fields {
		f[k] = v
	}
	path = r.Path
	if len(prompt) > 0 {
		path = CompletionPath
		delete(f, "messages")
		delete(f, "max_completion_tokens")
		ids := make([]int, 0, len(prompt)+len(emitted))
		f["prompt"] = raw(append(append(ids, prompt...), emitted...))
		if r.Model.Max > 0 {
			f["max_tokens"] = raw(r.Model.Max - len(emitted))
		}
	}
	if r.Service.Model != "" {
		f["model"] = raw(r.Service.Model)
	}
	f["stream"] = raw(true)
	f["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	f["return_token_ids"] = raw(true)
	f["priority"] = raw(r.Route.Priority)
	f["prompt_cache_key"] = raw(cacheKey)
	body, err = json.Marshal(f)
	return path, body, errors.Wrap(err, "request: body")
}

// hopHeaders are the headers that are not forwarded to an endpoint.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", "Content-Length", "Accept-Encoding", "Last-Event-Id",
}

// forward returns the headers of a plain call that are sent to its endpoint.
func (r *Request) forward(attempt string) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set("X-Request-Id", attempt)
	return h
}
