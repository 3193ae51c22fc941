// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// completionBody holds the fields of a completion or chat request that an engine reads.
type completionBody struct {
	Model          string
	Prompt         json.RawMessage
	Messages       []chatMessage
	MaxTokens      int    `json:"max_tokens"`
	User           string // the caller's request id
	Priority       int
	PromptCacheKey string `json:"prompt_cache_key"`
	Unrepeatable   bool   `json:"x_unrepeatable"` // set by the trial's callers; only the ledger uses it
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChunk struct {
	ID             string             `json:"id"`
	Object         string             `json:"object"`
	Created        int64              `json:"created"`
	Model          string             `json:"model"`
	PromptTokenIDs []int              `json:"prompt_token_ids,omitempty"`
	Choices        []completionChoice `json:"choices"`
	Usage          *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index          int          `json:"index"`
	Text           string       `json:"text,omitempty"`
	Delta          *chatMessage `json:"delta,omitempty"`
	TokenIDs       []int        `json:"token_ids,omitempty"`
	PromptTokenIDs []int        `json:"prompt_token_ids,omitempty"`
	FinishReason   *string      `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// promptTokens returns the token ids of a prompt given as text, token ids or messages.
func (b *completionBody) promptTokens() []int {
	if len(b.Messages) > 0 {
		return Tokens(chatText(b.Messages))
	}
	var ids []int
	if json.Unmarshal(b.Prompt, &ids) == nil {
		return ids
	}
	var text string
	json.Unmarshal(b.Prompt, &text)
	return Tokens(text)
}

// isTokenIDs reports whether the prompt is given as token ids.
func (b *completionBody) isTokenIDs() bool {
	var ids []int
	return json.Unmarshal(b.Prompt, &ids) == nil && len(ids) > 0
}

// ChatPrompt returns the prompt text of a chat with a single message.
func ChatPrompt(role, content string) string {
	return chatText([]chatMessage{{Role: role, Content: content}})
}

// chatText renders the messages of a chat as prompt text.
func chatText(ms []chatMessage) string {
	var sb strings.Builder
	for _, m := range ms {
		sb.WriteString("<" + m.Role + "> " + m.Content + " ")
	}
	return sb.String()
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	f, noticed := e.fault, e.noticedAt
	e.mu.Unlock()
	if f.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !noticed.IsZero() {
		e.ledger.countWhileLeaving(time.Since(noticed))
	}
	e.ledger.countBegin(e.name, body.User, body.Unrepeatable)
	if f.BlackHole {
		e.pause(r.Context(), time.Hour)
		return
	}
	if !e.acquireSlot(r.Context(), body.Priority) {
		return
	}
	defer e.releaseSlot()
	e.generate(r.Context(), w, r, &body, f)
}

// generate prefills the prompt and streams the response.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, r *http.Request, body *completionBody, f EngineFault) {
	tokens := body.promptTokens()
	state, cached, blocks, ok := e.prefill(ctx, body, tokens)
	if !ok {
		return
	}
	e.addBlockRefs(blocks, 1)
	defer func() { e.addBlockRefs(blocks, -1) }()
	out := newChunkWriter(w, r, body)
	if f.Garble {
		state = extendHash(state, 1)
		out.c.ID = "cmpl-of-another-request"
	}
	n, stop := body.MaxTokens, "length"
	if f.Short {
		n = n / 2
	}
	context := len(tokens)
	if f.Repeat && body.isTokenIDs() && n > 0 {
		out.token(tokens[len(tokens)-1], tokens)
		n--
	}
	for i := range n {
		if f.CutAfter > 0 && i == f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if f.StallAfter > 0 && i == f.StallAfter {
			e.pause(ctx, time.Hour)
			return
		}
		if !e.pause(ctx, e.tokenTime()) {
			return
		}
		t := nextToken(state)
		state = extendHash(state, t)
		context++
		if context%BlockTokens == 0 {
			e.ledger.countBlock(body.User, state)
			e.cacheBlock(state, body.PromptCacheKey)
			e.addBlockRefs([]uint64{state}, 1)
			blocks = append(blocks, state)
		}
		e.ledger.countTokens(1, 0, 0)
		var prompt []int
		if i == 0 {
			prompt = tokens
		}
		out.token(t, prompt)
	}
	out.finish(stop, usage{PromptTokens: len(tokens), CompletionTokens: n, Details: usageDetails{cached}})
}

// prefill computes the blocks that are not cached and returns the hash of the context.
func (e *Engine) prefill(ctx context.Context, body *completionBody, tokens []int) (state uint64, cached int, blocks []uint64, ok bool) {
	hit := true
	var fresh []uint64
	for i, t := range tokens {
		state = extendHash(state, t)
		if (i+1)%BlockTokens != 0 {
			continue
		}
		e.mu.Lock()
		hit = hit && e.hasBlock(state)
		e.mu.Unlock()
		if hit {
			cached += BlockTokens
		} else {
			fresh = append(fresh, state)
		}
		blocks = append(blocks, state)
	}
	select {
	case e.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return 0, 0, nil, false
	case <-e.done:
		return 0, 0, nil, false
	}
	ok = e.pause(ctx, time.Duration(float64(len(tokens)-cached)/e.cfg.Prefill*float64(time.Second)))
	<-e.prefillSlot
	if !ok {
		return 0, 0, nil, false
	}
	for _, h := range fresh {
		e.ledger.countBlock(body.User, h)
	}
	// Blocks are touched from the last to the first, so that the LRU cache evicts the prefix last.
	for _, h := range slices.Backward(blocks) {
		e.cacheBlock(h, body.PromptCacheKey)
	}
	e.ledger.countTokens(0, len(tokens)-cached, cached)
	return state, cached, blocks, true
}

// hasBlock reports whether a block is cached or used by a running request; the
// caller holds the lock.
func (e *Engine) hasBlock(h uint64) bool { return e.blockRefs[h] > 0 || e.cache.Contains(h) }

// addBlockRefs changes the reference counts of blocks that running requests use.
func (e *Engine) addBlockRefs(blocks []uint64, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range blocks {
		if e.blockRefs[h] += by; e.blockRefs[h] == 0 {
			delete(e.blockRefs, h)
		}
	}
}

// cacheBlock adds a block to the prefix cache.
func (e *Engine) cacheBlock(h uint64, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Add(h, key)
}

// publishEviction appends an eviction event for a cache key. It skips every seventh sequence
// number, as if that event were lost. The caller holds the lock.
func (e *Engine) publishEviction(key string) {
	n := int64(1)
	if len(e.events) > 0 {
		n = e.events[len(e.events)-1].Seq + 1
	}
	if n%7 == 0 {
		n++
	}
	e.events = append(e.events, cacheEvent{Seq: n, Removed: key})
	if len(e.events) > 256 {
		e.events = e.events[128:]
	}
}

// chunkWriter writes a response as server-sent events.
type chunkWriter struct {
	w    http.ResponseWriter
	fl   http.Flusher
	chat bool
	c    completionChunk
}

func newChunkWriter(w http.ResponseWriter, r *http.Request, body *completionBody) *chunkWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	o := &chunkWriter{w: w, chat: len(body.Messages) > 0}
	o.fl, _ = w.(http.Flusher)
	o.c = completionChunk{
		ID: "cmpl-" + r.Header.Get("X-Request-Id"), Object: "text_completion",
		Created: time.Now().Unix(), Model: body.Model,
	}
	if o.chat {
		o.c.Object = "chat.completion.chunk"
	}
	return o
}

func (o *chunkWriter) token(t int, prompt []int) {
	text := "w" + strconv.Itoa(t) + " "
	ch := completionChoice{Text: text, TokenIDs: []int{t}, PromptTokenIDs: prompt}
	o.c.PromptTokenIDs = nil
	if o.chat {
		ch.Text, ch.PromptTokenIDs = "", nil
		ch.Delta = &chatMessage{Content: text}
		o.c.PromptTokenIDs = prompt
	}
	o.c.Choices = []completionChoice{ch}
	o.send()
}

func (o *chunkWriter) finish(reason string, u usage) {
	ch := completionChoice{FinishReason: &reason}
	if o.chat {
		ch.Delta = &chatMessage{}
	}
	o.c.Choices = []completionChoice{ch}
	o.c.Usage = &u
	o.send()
	fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.fl.Flush()
}

func (o *chunkWriter) send() {
	b, _ := json.Marshal(o.c)
	fmt.Fprintf(o.w, "data: %s\n\n", b)
	o.fl.Flush()
}
