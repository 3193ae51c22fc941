// SPDX-License-Identifier: MIT

package request

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/conn"
)

// Errors for a chunk that is not a valid continuation of the answer.
var (
	errOtherRequest = errors.New("request: chunk of another request")
	errNoTokens     = errors.New("request: text without token ids")
	errTooLong      = errors.New("request: more tokens than requested")
	errShort        = errors.New("request: end marker before the end of the answer")
)

// Answer collects the answer to one request as it is generated. Events are numbered
// from 1 in the order in which engines sent them, across all attempts; readers may
// start at any event.
type Answer struct {
	ID  string
	Max int // maximum tokens requested; 0 for no limit

	mu      sync.Mutex
	attempt string // request id of the current attempt
	sent    int    // answer tokens sent to the attempt after the prompt
	skip    int    // tokens that a restarted attempt has yet to repeat
	snap    Snapshot
	finish  string // finish reason, until the end marker confirms it
	first   time.Time
	last    time.Time
	err     *code.Error
	readers []chan struct{}
}

// Snapshot is the content of an Answer. A peer continues an answer from it, and
// it is stored for unrepeatable requests.
type Snapshot struct {
	Prompt []int        `json:"prompt,omitempty" codec:"p,omitempty"` // token ids, once the engine has reported them
	Tokens []int        `json:"tokens,omitempty" codec:"t,omitempty"`
	Text   []byte       `json:"text,omitempty" codec:"x,omitempty"`
	Ends   []int        `json:"ends,omitempty" codec:"e,omitempty"`  // end offset in Text of each event
	Marks  []int        `json:"marks,omitempty" codec:"m,omitempty"` // end offset in Tokens of each event
	Finish string       `json:"finish,omitempty" codec:"f,omitempty"`
	Cached int          `json:"cached,omitempty" codec:"c,omitempty"`
	Done   bool         `json:"done,omitempty" codec:"d,omitempty"`
	Plain  *conn.Answer `json:"plain,omitempty" codec:"a,omitempty"`
}

// NewAnswer returns an answer with the content of a snapshot, which may be empty.
func NewAnswer(id string, maxTokens int, from Snapshot) *Answer {
	return &Answer{ID: id, Max: maxTokens, snap: from}
}

// begin starts an attempt and returns the token ids of the prompt and the answer to resume from;
// none if the attempt starts from the original body.
func (a *Answer) begin(attempt string, restart bool) (prompt, emitted []int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt, a.finish, a.sent, a.skip = attempt, "", 0, 0
	if restart || len(a.snap.Prompt) == 0 {
		a.skip = len(a.snap.Tokens)
		return nil, nil
	}
	a.sent = len(a.snap.Tokens)
	return a.snap.Prompt, slices.Clone(a.snap.Tokens)
}

// accept appends a chunk of the attempt, or returns an error if the chunk does not
// continue the answer after its last token.
func (a *Answer) accept(now time.Time, c conn.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Done {
		return a.end()
	}
	if !strings.HasSuffix(c.ID, a.attempt) {
		return errOtherRequest
	}
	if err := a.setPrompt(c.Prompt); err != nil {
		return err
	}
	if c.Usage != nil && a.snap.Cached == 0 {
		a.snap.Cached = c.Usage.Details.CachedTokens
	}
	if c.Text != "" && len(c.Tokens) == 0 {
		return errNoTokens
	}
	if c.Finish != "" {
		a.finish = c.Finish
	}
	if len(c.Tokens) == 0 {
		return nil
	}
	if a.skip > 0 {
		a.skip -= len(c.Tokens)
		return nil
	}
	return a.append(now, c)
}

// setPrompt stores the prompt's token ids, or checks that their number matches the
// tokens that were sent.
func (a *Answer) setPrompt(prompt []int) error {
	if len(prompt) == 0 {
		return nil
	}
	if len(a.snap.Prompt) == 0 {
		a.snap.Prompt = slices.Clone(prompt)
		return nil
	}
	if len(prompt) != len(a.snap.Prompt)+a.sent {
		return errOtherRequest
	}
	return nil
}

// append adds the text and tokens of a chunk as one event.
func (a *Answer) append(now time.Time, c conn.Chunk) error {
	if a.Max > 0 && len(a.snap.Tokens)+len(c.Tokens) > a.Max {
		return errTooLong
	}
	if a.first.IsZero() {
		a.first = now
	}
	a.last = now
	a.snap.Tokens = append(a.snap.Tokens, c.Tokens...)
	a.snap.Text = append(a.snap.Text, c.Text...)
	a.snap.Ends = append(a.snap.Ends, len(a.snap.Text))
	a.snap.Marks = append(a.snap.Marks, len(a.snap.Tokens))
	a.notifyReaders()
	return nil
}

// end processes the end marker and checks that the answer is complete.
func (a *Answer) end() error {
	short := a.finish == "length" && a.Max > 0 && len(a.snap.Tokens) < a.Max
	if a.finish == "" || short {
		return errShort
	}
	a.snap.Finish = a.finish
	return nil
}

// hasAllTokens reports whether the answer has all requested tokens, so that only the end
// marker can be missing. It then sets the finish reason.
func (a *Answer) hasAllTokens() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Max == 0 || len(a.snap.Tokens) < a.Max {
		return false
	}
	a.snap.Finish = "length"
	return true
}

// tokenCount returns the number of tokens received.
func (a *Answer) tokenCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.snap.Tokens)
}

// streamState returns the progress of the answer, from which its move is planned.
func (a *Answer) streamState(now time.Time) StreamState {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := StreamState{Context: len(a.snap.Prompt) + len(a.snap.Tokens)}
	if a.Max > 0 {
		s.Left = a.Max - len(a.snap.Tokens)
	}
	if n := len(a.snap.Tokens); n > 1 && a.last.After(a.first) {
		s.Rate = float64(n-1) / now.Sub(a.first).Seconds()
	}
	return s
}

// settle ends the answer, with an error unless err is nil. Later calls have no effect.
func (a *Answer) settle(err *code.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snap.Done {
		return
	}
	a.snap.Done, a.err = true, err
	a.notifyReaders()
}

// setPlain sets the complete answer of a plain call.
func (a *Answer) setPlain(p conn.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snap.Plain = &p
}

// notifyReaders notifies the readers. The caller holds mu.
func (a *Answer) notifyReaders() {
	for _, r := range a.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// Follow returns a channel that receives a value whenever the answer has grown or
// ended, and a function that unsubscribes.
func (a *Answer) Follow() (changed <-chan struct{}, stop func()) {
	ch := make(chan struct{}, 1)
	ch <- struct{}{}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers = append(a.readers, ch)
	return ch, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers = slices.DeleteFunc(a.readers, func(r chan struct{}) bool { return r == ch })
	}
}

// Readers returns the number of readers that follow the answer.
func (a *Answer) Readers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}

// Event is one event of an answer.
type Event struct {
	Number int // from 1
	Text   string
	Tokens int // cumulative tokens of the answer, including this event
}

// Events appends the events after the given number to buf. It also reports whether
// the answer has ended, and its error.
func (a *Answer) Events(after int, buf []Event) (events []Event, done bool, err *code.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := max(after, 0); i < len(a.snap.Ends); i++ {
		from := 0
		if i > 0 {
			from = a.snap.Ends[i-1]
		}
		buf = append(buf, Event{Number: i + 1, Text: string(a.snap.Text[from:a.snap.Ends[i]]), Tokens: a.snap.Marks[i]})
	}
	return buf, a.snap.Done, a.err
}

// Snapshot returns a deep copy of the content.
func (a *Answer) Snapshot() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.snap
	s.Prompt, s.Tokens = slices.Clone(s.Prompt), slices.Clone(s.Tokens)
	s.Text, s.Ends, s.Marks = slices.Clone(s.Text), slices.Clone(s.Ends), slices.Clone(s.Marks)
	return s
}

// Usage returns the token counts of the answer.
func (a *Answer) Usage() conn.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, c := len(a.snap.Prompt), len(a.snap.Tokens)
	return conn.Usage{PromptTokens: p, CompletionTokens: c, TotalTokens: p + c, Details: conn.UsageDetails{CachedTokens: a.snap.Cached}}
}

// Finish returns the finish reason that the engine gave.
func (a *Answer) Finish() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snap.Finish
}

// Ended reports whether the answer has ended, and its error.
func (a *Answer) Ended() (done bool, err *code.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snap.Done, a.err
}
