// SPDX-License-Identifier: MIT

package standin

import (
	"net/http"
	"strconv"
	"time"
)

// CallerHead is the head of a request as the users' platform's clients send it.
type CallerHead struct {
	ID     string
	Key    string
	Wait   time.Duration
	Tokens string // of the prompt and the most of the answer
	Prompt string // parts of the prompt
}

// Write writes the head.
func (c CallerHead) Write(h http.Header) {
	h.Set("Streambend-Request-Id", c.ID)
	h.Set("Streambend-Deadline-Milliseconds", strconv.FormatInt(c.Wait.Milliseconds(), 10))
	h.Set("Streambend-Token-Counts", c.Tokens)
	h.Set("Streambend-Prompt-Prefix", c.Prompt)
	h.Set("Api-Key", c.Key)
}

// SignedBy returns which endpoint has signed an answer, or "".
func SignedBy(h http.Header) string { return h.Get("Streambend-Server-Signature") }
