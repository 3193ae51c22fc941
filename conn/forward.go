// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ForwardRequest is a caller's request, forwarded to an endpoint without being parsed.
type ForwardRequest struct {
	Address string // host:port of the endpoint
	Method  string
	Target  string // path and query, byte for byte as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	Fresh   bool // use a new connection, so that net/http does not retry a request that may run only once

	Connected  func(reused bool) // called once connected, before any byte is sent; may be nil
	FirstWrite func() error      // called right before the first byte is written, which an error prevents; may be nil
}

// unrepeatableBody is a request body that net/http must not resend on its own: without
// GetBody, it does not retry unrepeatableBody a byte of the body has been written.
type unrepeatableBody struct{ *bytes.Reader }

func (unrepeatableBody) Close() error { return nil }

// Forward sends a request to an endpoint and returns the response with its body unread. The
// error is a Failure, which records whether the request may have reached the endpoint.
func (c *Client) Forward(ctx context.Context, p ForwardRequest) (*http.Response, error) {
	var sent, withheld atomic.Bool
	firstWrite := func() error {
		err := p.FirstWrite()
		withheld.Store(err != nil)
		return err
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		sent.Store(true)
		if p.Connected != nil {
			p.Connected(i.Reused)
		}
		if g, ok := i.Conn.(*writeGate); ok && p.FirstWrite != nil {
			g.first.Store(&firstWrite)
		}
	}}
	req := &http.Request{
		Method: p.Method, URL: targetURL(p.Address, p.Target), Host: p.Host, Header: p.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: unrepeatableBody{bytes.NewReader(p.Body)}, ContentLength: int64(len(p.Body)),
	}
	if len(p.Body) == 0 && p.Method == http.MethodPost {
		req.Body = http.NoBody // otherwise net/http uses chunked encoding
	}
	if _, named := p.Header["User-Agent"]; !named {
		p.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
	hc := c.pooled
	if p.Fresh {
		hc = c.single
	}
	resp, err := hc.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, &Failure{Sent: sent.Load() && !withheld.Load(), Err: headError(err)}
	}
	return resp, nil
}

// targetURL returns a URL for which net/http writes target unchanged in the request line.
func targetURL(address, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	path, query, has := strings.Cut(target, "?")
	u.RawQuery, u.ForceQuery = query, has && query == ""
	if strings.HasPrefix(path, "//") {
		u.Path, u.RawPath = path, path
		return u
	}
	u.Opaque = path
	return u
}

// Event is one server-sent event, or a comment, with its raw bytes.
type Event struct {
	ID      int64 // increases within a stream; -1 if the event has none
	Comment bool  // no event: comment lines, or blank lines alone at the end of the stream
	Raw     []byte
}

// Events reads server-sent events without parsing their data.
type Events struct {
	Grow func(n int) bool // reserves memory for a large event, and reports whether there is enough; may be nil

	r        *bufio.Reader
	buf      []byte
	reserved int // bytes of buf that are accounted for
}

const (
	// unreservedEvent is the size of an event for which no memory is reserved; nearly all are smaller.
	unreservedEvent = 16 << 10
	// eventGrowth is how much more is reserved at once.
	eventGrowth = 16 << 10
)

// ErrNoMemory means that there is no memory for an event.
var ErrNoMemory = errors.New("conn: no memory for a large event")

// NewEvents returns a reader of the events in body.
func NewEvents(body io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(body, 2048), reserved: unreservedEvent}
}

var (
	eventEnd = []byte("\n")
	crlf     = []byte("\r\n")
	idField  = []byte("id:")
)

// Next returns the next event; its bytes are valid until the next call. It returns
// io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the stream ends within
// an event.
func (e *Events) Next() (Event, error) {
	e.buf = e.buf[:0]
	ev, blanks := Event{ID: -1, Comment: true}, true
	for {
		from := len(e.buf)
		line, err := e.line()
		if err == io.EOF && blanks && 0 < from && from == len(e.buf) {
			ev.Raw = e.buf
			return ev, nil
		}
		if err == io.EOF && len(e.buf) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		blank := bytes.Equal(line, eventEnd) || bytes.Equal(line, crlf)
		blanks = blanks && blank
		ev.Comment = ev.Comment && (blank || line[0] == ':')
		if v, ok := bytes.CutPrefix(line, idField); ok {
			if ev.ID, err = strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err != nil {
				return Event{}, errors.Wrap(ErrMalformed, "event id")
			}
		}
		if blank && len(e.buf) > len(line) {
			ev.Raw = e.buf
			return ev, nil
		}
	}
}

// line appends the next line to the event buffer and returns it.
func (e *Events) line() ([]byte, error) {
	from := len(e.buf)
	for {
		part, err := e.r.ReadSlice('\n')
		for len(e.buf)+len(part) > e.reserved && e.Grow != nil {
			if !e.Grow(eventGrowth) {
				return nil, ErrNoMemory
			}
			e.reserved += eventGrowth
		}
		e.buf = append(e.buf, part...)
		if len(e.buf) > maxEvent {
			return nil, errors.Wrap(ErrTooLong, "an event")
		}
		if err == nil {
			return e.buf[from:], nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}
