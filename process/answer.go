// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/request"
)

// modelAnswer is a completion, a chat completion, or a chunk of one.
type modelAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []modelChoice `json:"choices"`
	Usage   *conn.Usage   `json:"usage,omitempty"`
}

type modelChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Message      *chatContent `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// modelWriter writes a model's answer in the format that the caller requested.
type modelWriter struct {
	w        http.ResponseWriter
	r        *request.Request
	template modelAnswer
	chat     bool
	buf      []byte
}

func newModelWriter(w http.ResponseWriter, r *request.Request, model string) *modelWriter {
	o := &modelWriter{w: w, r: r, chat: r.Path == request.ChatPath}
	o.template = modelAnswer{ID: "cmpl-" + r.ID, Object: "text_completion", Created: r.Arrived.Unix(), Model: model}
	if o.chat {
		o.template.ID = "chatcmpl-" + r.ID
	}
	return o
}

// writeWhole writes the complete answer once it has ended.
func (o *modelWriter) writeWhole(ctx context.Context, a *request.Answer) {
	if err := waitForEnd(ctx, a); err != nil {
		writeError(o.w, err)
		return
	}
	snap, u, reason := a.Snapshot(), a.Usage(), a.Finish()
	ans, text := o.template, string(snap.Text)
	ch := modelChoice{FinishReason: &reason}
	if o.chat {
		ans.Object = "chat.completion"
		ch.Message = &chatContent{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	ans.Choices, ans.Usage = []modelChoice{ch}, &u
	o.w.Header().Set(headerRan, code.RanWhole.String())
	writeJSON(o.w, http.StatusOK, ans)
}

// writeStream writes the answer as server-sent events, starting after the last event
// that the caller has received. Nothing is written before the first token, so
// that a refusal can still set the HTTP status.
func (o *modelWriter) writeStream(ctx context.Context, a *request.Answer) {
	changed, stop := a.Follow()
	defer stop()
	if o.chat {
		o.template.Object = "chat.completion.chunk"
	}
	after, begun := o.r.After, false
	var events []request.Event
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		var done bool
		var err *code.Error
		events, done, err = a.Events(after, events[:0])
		if len(events) > 0 || done && err == nil {
			if !begun {
				begun = true
				o.writeHeader()
			}
			for _, e := range events {
				o.appendEvent(e)
				after = e.Number
			}
		}
		if done {
			o.writeEnd(a, begun, after, err)
			return
		}
		if begun {
			o.flush()
		}
	}
}

func (o *modelWriter) writeHeader() {
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

// appendEvent appends one event to the buffer.
func (o *modelWriter) appendEvent(e request.Event) {
	ch := modelChoice{}
	if o.chat {
		ch.Delta = &chatContent{Content: e.Text}
		if e.Number == 1 {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &e.Text
	}
	o.appendChunk(e.Number, ch, nil)
}

func (o *modelWriter) appendChunk(number int, ch modelChoice, u *conn.Usage) {
	ans := o.template
	ans.Choices, ans.Usage = []modelChoice{ch}, u
	b, err := json.Marshal(ans)
	if err != nil {
		return
	}
	o.buf = append(o.buf, "id: "...)
	o.buf = strconv.AppendInt(o.buf, int64(number), 10)
	o.buf = append(o.buf, "\ndata: "...)
	o.buf = append(o.buf, b...)
	o.buf = append(o.buf, "\n\n"...)
}

// writeEnd writes the final event. An incomplete answer gets an error event and no
// end marker.
func (o *modelWriter) writeEnd(a *request.Answer, begun bool, after int, err *code.Error) {
	if err != nil && !begun {
		writeError(o.w, err)
		return
	}
	if err != nil {
		body, _ := errorOf(err)
		b, _ := json.Marshal(body)
		o.buf = append(append(append(o.buf, "data: "...), b...), "\n\n"...)
		o.flush()
		return
	}
	reason := a.Finish()
	ch := modelChoice{FinishReason: &reason}
	if o.chat {
		ch.Delta = &chatContent{}
	} else {
		empty := ""
		ch.Text = &empty
	}
	var u *conn.Usage
	if o.r.Model.Usage {
		usage := a.Usage()
		u = &usage
	}
	o.appendChunk(after+1, ch, u)
	o.buf = append(o.buf, "data: [DONE]\n\n"...)
	o.flush()
}

// writeTimeout is the write timeout of one flush to a slow caller.
const writeTimeout = 30 * time.Second

func (o *modelWriter) flush() {
	rc := http.NewResponseController(o.w)
	rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	o.w.Write(o.buf)
	rc.Flush()
	o.buf = o.buf[:0]
}
