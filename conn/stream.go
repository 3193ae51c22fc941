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

// maxEvent bounds one server-sent event.
const maxEvent = 1 << 20

// ErrGarbled says that an event is not what the protocol allows.
var ErrGarbled = errors.New("conn: garbled event")

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails tells how many prompt tokens the engine found in its cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of an engine's answer.
type Chunk struct {
	ID     string
	Text   string
	Tokens []int
	Prompt []int  // token ids of the prompt, in the first chunk only
	Finish string // reason, in the last chunk only
	Usage  *Usage
	Done   bool // the end marker
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

// Stream reads an engine's answer event by event.
type Stream struct {
	body io.ReadCloser
	r    *bufio.Reader
	line []byte
}

// Open sends a streamed completion and returns once the engine has taken it.
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

// NewStream reads server-sent events from body, which it closes at the end.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, r: bufio.NewReaderSize(body, 4096)}
}

// Close ends the stream; an engine takes it as a cancellation.
func (s *Stream) Close() { s.body.Close() }

// Next returns the next chunk. A stream that ends without its end marker
// returns io.ErrUnexpectedEOF.
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

// data returns the value of the next data line, empty for any other line.
func (s *Stream) data() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.r.ReadSlice('\n')
		s.line = append(s.line, part...)
		if len(s.line) > maxEvent {
			return nil, errors.Wrap(ErrGarbled, "event too long")
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
		return Chunk{}, errors.Wrap(ErrGarbled, err.Error())
	}
	if w.Error != nil {
		return Chunk{}, errors.Wrap(ErrGarbled, "the engine reports an error within its answer")
	}
	c := Chunk{ID: w.ID, Prompt: w.PromptTokenIDs, Usage: w.Usage}
	if len(w.Choices) == 0 {
		return c, nil
	}
	ch := w.Choices[0]
	if len(w.Choices) > 1 || ch.Index != 0 {
		return Chunk{}, errors.Wrap(ErrGarbled, "more than one choice")
	}
	c.Text, c.Tokens, c.Finish = ch.Text+ch.Delta.Content, ch.TokenIDs, ch.FinishReason
	if len(ch.PromptTokenIDs) > 0 {
		c.Prompt = ch.PromptTokenIDs
	}
	return c, nil
}
