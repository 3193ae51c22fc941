// SPDX-License-Identifier: MIT

package process_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/code"
	"streambend.example/internal/standin"
	"streambend.example/seam"
	"streambend.example/version"
)

// ask sends one request to a daemon and returns status, headers and body.
func (w *bench) ask(t *testing.T, method, url, token string, head map[string]string, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for k, v := range head {
		req.Header.Set(k, v)
	}
	resp, err := w.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(b)
}

func newModelBench(t testing.TB) *bench {
	fast := standin.EngineConfig{Batch: 64, Prefill: 1e9, CacheBlocks: 100, Transfer: 1}
	svc := service(version.Model, "digest")
	svc.Routes = append(svc.Routes, version.Route{Name: "tag", Unrepeatable: true})
	return newBench(t, svc, standin.NewEngine(seam.TCP{}, "e", fast, standin.NewLedger()))
}

func TestInvalidRequestsGetErrorCode(t *testing.T) {
	w := newModelBench(t)
	ok := `{"model":"digest","prompt":"a","max_tokens":2}`
	for _, c := range []struct {
		name   string
		method string
		path   string
		token  string
		head   map[string]string
		body   string
		want   code.Code
	}{
		{"no token", "POST", "/v1/completions", "", nil, ok, code.UnknownToken},
		{"wrong token", "POST", "/v1/completions", "wrong", nil, ok, code.UnknownToken},
		{"no JSON", "POST", "/v1/completions", benchToken, nil, "{", code.BadBody},
		{"a list", "POST", "/v1/completions", benchToken, nil, "[]", code.BadBody},
		{"empty", "POST", "/v1/completions", benchToken, nil, "", code.BadBody},
		{"no model", "POST", "/v1/completions", benchToken, nil, `{"prompt":"a"}`, code.BadBody},
		{"no prompt", "POST", "/v1/completions", benchToken, nil, `{"model":"digest"}`, code.BadBody},
		{"no messages", "POST", "/v1/chat/completions", benchToken, nil, `{"model":"digest"}`, code.BadBody},
		{"several prompts", "POST", "/v1/completions", benchToken, nil, `{"model":"digest","prompt":["a","b"]}`, code.NotSupported},
		{"n of 2", "POST", "/v1/completions", benchToken, nil, `{"model":"digest","prompt":"a","n":2}`, code.NotSupported},
		{"negative", "POST", "/v1/completions", benchToken, nil, `{"model":"digest","prompt":"a","max_tokens":-1}`, code.BadBody},
		{"other model", "POST", "/v1/completions", benchToken, nil, `{"model":"other","prompt":"a"}`, code.NoSuchService},
		{"other path", "GET", "/nowhere/x", benchToken, nil, "", code.NoSuchService},
		{"large", "POST", "/v1/completions", benchToken, nil, strings.Repeat("x", 9<<20), code.BodyTooLarge},
		{"deadline", "POST", "/v1/completions", benchToken, map[string]string{"Streambend-Deadline": "soon"}, ok, code.BadHeader},
		{"past deadline", "POST", "/v1/completions", benchToken, map[string]string{"Streambend-Deadline": "-1s"}, ok, code.BadHeader},
		{"last event", "POST", "/v1/completions", benchToken, map[string]string{"Last-Event-ID": "x"}, ok, code.BadHeader},
		{"long key", "POST", "/v1/completions", benchToken, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, ok, code.BadHeader},
		{"id with a space", "POST", "/v1/completions", benchToken, map[string]string{"X-Request-Id": "a b"}, ok, code.BadHeader},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, body := w.ask(t, c.method, w.through+c.path, c.token, c.head, c.body)
			assert.Equal(t, fmt.Sprint(int(c.want)), resp.Header.Get("Streambend-Code"), body)
			assert.Equal(t, "not-run", resp.Header.Get("Streambend-Ran"))
			assert.Equal(t, c.want.Entry().Status, resp.StatusCode)
			assert.Contains(t, body, `"message"`)
		})
	}
	resp, body := w.ask(t, "POST", w.through+"/v1/completions", benchToken, nil, ok)
	assert.Equal(t, http.StatusOK, resp.StatusCode, body)
}

func TestOpenAIResponseFormats(t *testing.T) {
	w := newModelBench(t)
	_, body := w.ask(t, "POST", w.through+"/v1/chat/completions", benchToken, nil, `{"model":"digest","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`)
	var chat struct {
		Object  string
		Choices []struct {
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			Completion int `json:"completion_tokens"`
		}
	}
	require.NoError(t, json.Unmarshal([]byte(body), &chat), body)
	assert.Equal(t, "chat.completion", chat.Object)
	assert.Equal(t, "assistant", chat.Choices[0].Message.Role)
	assert.Equal(t, "length", chat.Choices[0].FinishReason)
	assert.Equal(t, 3, chat.Usage.Completion)
	resp, body := w.ask(t, "POST", w.through+"/v1/completions", benchToken, nil, `{"model":"digest","prompt":"hi","max_tokens":3,"stream":true,"stream_options":{"include_usage":true}}`)
	assert.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
	assert.True(t, strings.HasPrefix(body, "id: 1\ndata: {"), body)
	assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	assert.Contains(t, body, `"completion_tokens":3`)
	_, body = w.ask(t, "GET", w.through+"/v1/models", benchToken, nil, "")
	assert.Contains(t, body, `"id":"digest"`)
}

func TestSameIdempotencyKeyResumesAnswer(t *testing.T) {
	w := newModelBench(t)
	body := `{"model":"digest","prompt":"hi","max_tokens":6,"stream":true}`
	key := map[string]string{"Idempotency-Key": "k1"}
	_, first := w.ask(t, "POST", w.through+"/v1/completions", benchToken, key, body)
	key["Last-Event-ID"] = "4"
	_, rest := w.ask(t, "POST", w.through+"/v1/completions", benchToken, key, body)
	assert.True(t, strings.HasPrefix(rest, "id: 5\n"), rest)
	assert.True(t, strings.HasSuffix(first[:strings.LastIndex(first, "id: 7")]+rest[strings.Index(rest, "id: 7"):], "[DONE]\n\n"))
	resp, _ := w.ask(t, "POST", w.through+"/v1/completions", benchToken, key, `{"model":"digest","prompt":"other","max_tokens":6}`)
	assert.Equal(t, "1007", resp.Header.Get("Streambend-Code"))
}

func operatorsOf(w *bench) string { return "http://" + w.daemon.Addresses().Operators }

func TestOperatorAccessControl(t *testing.T) {
	w := newModelBench(t)
	base := operatorsOf(w)
	intent := func(partner, name string) string {
		s := service(version.Plain, name)
		s.Partner, s.Name = partner, name
		b, err := json.Marshal(s)
		require.NoError(t, err)
		return string(b)
	}
	for _, c := range []struct {
		name, method, path, token, body string
		want                            code.Code
	}{
		{"no token", "GET", "/v1/status", "", "", code.UnknownToken},
		{"a caller's token", "GET", "/v1/status", benchToken, "", code.UnknownToken},
		{"reader changes", "POST", "/v1/intents", "reader", intent("office", "x"), code.NotYours},
		{"for the other partner", "POST", "/v1/intents", "officer", intent("podwave", "x"), code.NotYours},
		{"unknown field", "POST", "/v1/intents", "officer", `{"nam":"x"}`, code.BadIntent},
		{"no JSON", "POST", "/v1/intents", "officer", `{`, code.BadIntent},
		{"empty intent", "POST", "/v1/intents", "officer", `{}`, code.BadIntent},
		{"route of another service", "POST", "/v1/intents", "officer", strings.Replace(intent("office", "x"), `"routes":[{"name":"x"`, `"routes":[{"name":"digest"`, 1), code.BadIntent},
		{"no such intent", "GET", "/v1/intents/none", "officer", "", code.NoSuchIntent},
		{"withdraw none", "POST", "/v1/intents/none/withdraw", "officer", "", code.NoSuchIntent},
		{"no such plan", "POST", "/v1/plans/none/confirm", "officer", "", code.NoSuchPlan},
		{"the other's intent", "GET", "/v1/intents/svc", "producer", "", code.NoSuchIntent},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, body := w.ask(t, c.method, base+c.path, c.token, nil, c.body)
			assert.Equal(t, fmt.Sprint(int(c.want)), resp.Header.Get("Streambend-Code"), body)
		})
	}
	for _, path := range []string{"/v1/status", "/v1/intents", "/v1/intents/svc", "/metrics", "/readyz"} {
		resp, body := w.ask(t, "GET", base+path, "reader", nil, "")
		assert.Equal(t, http.StatusOK, resp.StatusCode, "%s %s", path, body)
	}
	_, other := w.ask(t, "GET", base+"/v1/status", "producer", nil, "")
	assert.NotContains(t, other, "office/svc")
}

func TestPlanConfirmConflict(t *testing.T) {
	w := newModelBench(t)
	base := operatorsOf(w)
	submit := func(boxes int) version.Plan {
		s := service(version.Model, "digest")
		s.MaxBoxes = boxes
		b, _ := json.Marshal(s)
		_, body := w.ask(t, "POST", base+"/v1/intents", "officer", nil, string(b))
		var p version.Plan
		require.NoError(t, json.Unmarshal([]byte(body), &p), body)
		return p
	}
	a, b := submit(9), submit(10)
	_, shown := w.ask(t, "GET", base+"/v1/intents/svc", "officer", nil, "")
	assert.Contains(t, shown, `"max_boxes":8`, "nothing changes before confirm")
	for range 2 {
		resp, body := w.ask(t, "POST", base+"/v1/plans/"+a.ID+"/confirm", "officer", nil, "")
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.Contains(t, body, `"accepted":2`, "confirm is idempotent")
	}
	resp, body := w.ask(t, "POST", base+"/v1/plans/"+b.ID+"/confirm", "officer", nil, "")
	assert.Equal(t, http.StatusConflict, resp.StatusCode)
	assert.Contains(t, body, `"code":"2006"`)
	var fresh struct{ Plan version.Plan }
	require.NoError(t, json.Unmarshal([]byte(body), &fresh))
	assert.NotEqual(t, b.ID, fresh.Plan.ID)
	resp, _ = w.ask(t, "POST", base+"/v1/plans/"+fresh.Plan.ID+"/confirm", "officer", nil, "")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	resp, _ = w.ask(t, "POST", base+"/v1/plans/"+a.ID+"/confirm", "producer", nil, "")
	assert.Equal(t, "2004", resp.Header.Get("Streambend-Code"))
}
