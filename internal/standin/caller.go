// SPDX-License-Identifier: MIT

package standin

import (
	"net/http"
	"strconv"
	"time"
)

// CallerHeaders holds the request headers that clients of the users' platform send.
type CallerHeaders struct {
	ID     string
	Key    string
	Wait   time.Duration
	Tokens string // token counts: of the prompt, and the maximum of the answer
	Prompt string // prefix parts of the prompt
}

// Write sets the headers on h.
func (c CallerHeaders) Write(h http.Header) {
	h.Set("Streambend-Request-Id", c.ID)
	h.Set("Streambend-Deadline-Milliseconds", strconv.FormatInt(c.Wait.Milliseconds(), 10))
	h.Set("Streambend-Token-Counts", c.Tokens)
	h.Set("Streambend-Prompt-Prefix", c.Prompt)
	h.Set("Api-Key", c.Key)
}

// SignedBy returns the server signature of a response, or "" if it has none.
func SignedBy(h http.Header) string { return h.Get("Streambend-Server-Signature") }
