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

// bytesPerToken is what a token of text is taken for before the engine has
// counted.
const bytesPerToken = 4

// defaultAffinity is how many bytes of a prompt name its prefix.
const defaultAffinity = 2048

// Request is one request of a caller.
type Request struct {
	ID           string
	Key          string // the caller's idempotency key, or ""
	Partner      string
	Team         string
	Weight       float64 // share of the team
	Service      version.Service
	Route        version.Route
	Unrepeatable bool
	Arrived      time.Time
	Deadline     time.Time
	After        int // number of the last event that the caller has seen

	Path   string // of a model request, or of a plain one with its query
	Method string
	Header http.Header
	Body   []byte
	Model  ModelBody // of a model request
	Relay  *Relay    // of a request whose answer is passed on unread; nil for others
}

// ModelBody is what is read of a completion or chat request.
type ModelBody struct {
	Max    int
	Stream bool
	Usage  bool // the caller asked for usage at the end of a stream
	Head   []byte
	Length int // bytes of the prompt
	fields fields
}

// fields are the members of a JSON body; those we do not know pass unchanged.
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

// ParseModel reads the body of a model request and returns the name that it
// gives as its model. The errors are code.BadBody and code.NotSupported.
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

func promptIsOne(p json.RawMessage) bool {
	var text string
	var ids []int
	return json.Unmarshal(p, &text) == nil || json.Unmarshal(p, &ids) == nil
}

// promptBytes returns the bytes that name the prompt's prefix.
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

// Prefix returns the hash of the prompt's head, which orders the endpoints.
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

// PromptTokens returns about how many tokens the prompt has.
func (r *Request) PromptTokens() int {
	if r.Relay != nil {
		return r.Relay.PromptTokens
	}
	return r.Model.Length / bytesPerToken
}

// expectOut returns how many tokens the answer is expected to have.
func (r *Request) expectOut() int {
	if r.Relay != nil {
		return r.Relay.OutTokens
	}
	return r.Model.Max
}

// BodyHash names the request's content, to tell a repeat from another request
// under the same key.
func (r *Request) BodyHash() uint64 {
	h := xxhash.New()
	h.WriteString(r.Method + " " + r.Path + "\n")
	h.Write(r.Body)
	return h.Sum64()
}

// ClaimName names the request for its claim and for the answers kept.
func (r *Request) ClaimName() string {
	return r.Partner + "/" + r.Team + "/" + r.Route.Name + "/" + r.Key
}

// target returns when the answer is wanted.
func (r *Request) target() time.Time {
	if r.Route.Target.Duration == 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Route.Target.Duration)
}

// IsModel reports whether the request goes to a model engine.
func (r *Request) IsModel() bool { return r.Service.Kind == version.Model }

func raw(v any) json.RawMessage {
	b, _ := json.Marshal(v)
	return b
}

// attemptBody returns the path and the body of one attempt: the caller's own,
// or a continuation from the prompt's and the answer's token ids.
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

// hopHeaders are not passed on to an endpoint.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", "Content-Length", "Accept-Encoding", "Last-Event-Id",
}

// forward returns the headers of a plain call for its endpoint.
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
