// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxEvent is the maximum size of a server-sent event in bytes.
const maxEvent = 1 << 20

// ErrMalformed reports an event that violates the protocol.
var ErrMalformed = errors.New("conn: garbled event")

// ErrTooLong reports a part of an answer that is longer than any may be, as endpoints send them without end. It is ErrMalformed.
var ErrTooLong = errors.Wrap(ErrMalformed, "too long")

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails holds the number of prompt tokens found in the engine's cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one decoded event of a streamed completion.
type Chunk struct {
	ID     string
	Text   string
	Tokens []int
	Prompt []int  // token ids of the prompt, in the first chunk only
	Finish string // finish reason, in the last chunk only
	Usage  *Usage
	Done   bool // the [DONE] marker
}

type wireChunk struct {
	ID             string       `json:"id"`
	PromptTokenIDs []int        `json:"prompt_token_ids"`
	Choices        []wireChoice `json:"choices"`
	Usage          *Usage       `json:"usage"`
	Error          *wireError   `json:"error"`
}

type wireError struct {
	Message string `json:"message"`
}

type wireChoice struct {
	Index          int       `json:"index"`
	Text           string    `json:"text"`
	Delta          wireDelta `json:"delta"`
	TokenIDs       []int     `json:"token_ids"`
	PromptTokenIDs []int     `json:"prompt_token_ids"`
	FinishReason   string    `json:"finish_reason"`
}

type wireDelta struct {
	Content string `json:"content"`
}

// Stream reads the events of a streamed completion.
type Stream struct {
	body io.ReadCloser
	r    *bufio.Reader
	line []byte
}

// Open sends a request for a streamed completion and returns once the engine has accepted it.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	resp, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
		resp.Body.Close()
		return nil, &Failure{Sent: true, Status: resp.StatusCode}
	}
	return NewStream(resp.Body), nil
}

// NewStream returns a reader of the server-sent events in body; Close closes body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, r: bufio.NewReaderSize(body, 4096)}
}

// Close closes the stream; an engine treats this as a cancellation.
func (s *Stream) Close() { s.body.Close() }

// Next returns the next chunk. It returns io.ErrUnexpectedEOF if the stream ends
// without the [DONE] marker.
func (s *Stream) Next() (Chunk, error) {
	for {
		data, err := s.data()
		if err != nil {
			return Chunk{}, err
		}
		if len(data) == 0 {
			continue
		}
		if string(data) == "[DONE]" {
			return Chunk{Done: true}, nil
		}
		return decodeChunk(data)
	}
}

// data reads the next line and returns its value if it is a data line, else nil.
func (s *Stream) data() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.r.ReadSlice('\n')
		s.line = append(s.line, part...)
		if len(s.line) > maxEvent {
			return nil, errors.Wrap(ErrTooLong, "an event")
		}
		if err == nil {
			break
		}
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
	rest, ok := bytes.CutPrefix(s.line, []byte("data:"))
	if !ok {
		return nil, nil
	}
	return bytes.TrimSpace(rest), nil
}

func decodeChunk(data []byte) (Chunk, error) {
	var w wireChunk
	if err := json.Unmarshal(data, &w); err != nil {
		return Chunk{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if w.Error != nil {
		return Chunk{}, errors.Wrap(ErrMalformed, "the engine reports an error within its answer")
	}
	c := Chunk{ID: w.ID, Prompt: w.PromptTokenIDs, Usage: w.Usage}
	if len(w.Choices) == 0 {
		return c, nil
	}
	ch := w.Choices[0]
	if len(w.Choices) > 1 || ch.Index != 0 {
		return Chunk{}, errors.Wrap(ErrMalformed, "more than one choice")
	}
	c.Text, c.Tokens, c.Finish = ch.Text+ch.Delta.Content, ch.TokenIDs, ch.FinishReason
	if len(ch.PromptTokenIDs) > 0 {
		c.Prompt = ch.PromptTokenIDs
	}
	return c, nil
}
