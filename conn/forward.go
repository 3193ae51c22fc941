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

// Passed is a caller's request as it goes on to an endpoint, unread.
type Passed struct {
	Address string // host:port of the endpoint
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	Fresh   bool // over a connection of its own, since it may run only once

	Connected func() // is told once there is a connection, before a byte is sent; nil for nobody
}

// once reads a body that net/http must not send a second time by itself: a
// body without GetBody is never repeated once a byte of it is written.
type once struct{ *bytes.Reader }

func (once) Close() error { return nil }

// Forward sends a request on and returns the head of its answer. The error is a
// Failure that tells whether the request can have reached the endpoint.
func (c *Client) Forward(ctx context.Context, p Passed) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		sent.Store(true)
		if p.Connected != nil {
			p.Connected()
		}
	}}
	req := &http.Request{
		Method: p.Method, URL: targetURL(p.Address, p.Target), Host: p.Host, Header: p.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: once{bytes.NewReader(p.Body)}, ContentLength: int64(len(p.Body)),
	}
	if len(p.Body) == 0 && p.Method == http.MethodPost {
		req.Body = http.NoBody // or net/http sends it in chunks
	}
	if _, named := p.Header["User-Agent"]; !named {
		p.Header["User-Agent"] = nil // or net/http adds its own
	}
	hc := c.pooled
	if p.Fresh {
		hc = c.single
	}
	resp, err := hc.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, &Failure{Sent: sent.Load(), Err: err}
	}
	return resp, nil
}

// targetURL returns the URL whose request line is target, to the letter.
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

// Event is one event of a stream, with the bytes that carried it.
type Event struct {
	ID  int64 // rises within a stream; -1 if the event has none
	Raw []byte
}

// Events reads a stream event by event without looking at what they hold.
type Events struct {
	r   *bufio.Reader
	buf []byte
}

// NewEvents reads the events of body.
func NewEvents(body io.Reader) *Events { return &Events{r: bufio.NewReaderSize(body, 2048)} }

var (
	eventEnd = []byte("\n")
	crlf     = []byte("\r\n")
	idField  = []byte("id:")
)

// Next returns the next event; its bytes are good until the call after. At a
// clean end of the stream it returns io.EOF. A stream that ends within an event
// returns io.ErrUnexpectedEOF.
func (e *Events) Next() (Event, error) {
	e.buf = e.buf[:0]
	ev := Event{ID: -1}
	for {
		line, err := e.line()
		if err == io.EOF && len(e.buf) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		blank := bytes.Equal(line, eventEnd) || bytes.Equal(line, crlf)
		if v, ok := bytes.CutPrefix(line, idField); ok {
			if ev.ID, err = strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err != nil {
				return Event{}, errors.Wrap(ErrGarbled, "event id")
			}
		}
		if blank && len(e.buf) > len(line) {
			ev.Raw = e.buf
			return ev, nil
		}
	}
}

// line appends the next line to the event and returns it.
func (e *Events) line() ([]byte, error) {
	from := len(e.buf)
	for {
		part, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, part...)
		if len(e.buf) > maxEvent {
			return nil, errors.Wrap(ErrGarbled, "event too long")
		}
		if err == nil {
			return e.buf[from:], nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}
