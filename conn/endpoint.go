// SPDX-License-Identifier: MIT

package conn

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"streambend.example/seam"
)

// Failure describes why a call to an endpoint failed.
type Failure struct {
	Sent   bool // the request may have reached the endpoint
	Status int  // HTTP status of an error response, 0 if there was no response
	Err    error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Status != 0 {
		return fmt.Sprintf("endpoint answered %d", f.Status)
	}
	return f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// EndpointClosed reports whether a call ended because the endpoint closed or reset the
// connection after the call was sent, as it does when its process ends.
func EndpointClosed(err error) bool {
	var f *Failure
	if !errors.As(err, &f) || !f.Sent || f.Status != 0 {
		return false
	}
	for _, end := range [...]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(f.Err, end) {
			return true
		}
	}
	return false
}

// Refused reports whether the connection was refused because nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Reach checks that an endpoint accepts a connection, and closes it again.
func (c *Client) Reach(ctx context.Context, address string) error {
	x, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "conn: reach")
	}
	return x.Close()
}

// DialCounts counts the connections that a Client has tried to open.
type DialCounts struct {
	Opened, Failed atomic.Int64
}

// dialError is the error of a connection that could not be opened.
type dialError struct{ error }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

// DialFailed reports whether a call failed because no connection could be opened.
func DialFailed(err error) bool {
	var d dialError
	return errors.As(err, &d)
}

// dial wraps a dial function so that its results are counted. A dial that is no longer wanted counts as neither.
func (c *DialCounts) dial(next dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := next(ctx, network, address)
		switch {
		case err == nil:
			c.Opened.Add(1)
		case ctx.Err() == nil:
			c.Failed.Add(1)
			err = dialError{err}
		}
		return nc, err
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	Dials DialCounts

	pooled *http.Client
	single *http.Client
	limit  int64
	dial   dialFunc
}

// NewClient returns a client that reads response bodies of at most limit bytes.
func NewClient(n seam.Network, limit int64) *Client {
	c := &Client{limit: limit}
	c.dial = c.Dials.dial(n.Dial)
	pooled := &http.Transport{
		DialContext: gated(c.dial), MaxIdleConns: 4096, MaxIdleConnsPerHost: 256, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: seam.MaxAnswerHead,
	}
	// net/http retries a request on its own when a reused connection turns out
	// to be closed, but never on a new connection. Calls that must not be
	// repeated therefore each use a new connection.
	single := &http.Transport{
		DialContext: gated(c.dial), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: seam.MaxAnswerHead,
	}
	c.pooled, c.single = &http.Client{Transport: seam.CheckHeads(pooled)}, &http.Client{Transport: seam.CheckHeads(single)}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Call is an HTTP request to an endpoint.
type Call struct {
	Address      string // host:port
	Method       string
	Path         string // including the query
	Header       http.Header
	Body         []byte
	Unrepeatable bool // use a new connection, so that net/http does not retry
}

// send sends the request and returns the response with its body unread.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &Failure{Err: err}
	}
	if call.Header != nil {
		req.Header = call.Header
	}
	hc := c.pooled
	if call.Unrepeatable {
		hc = c.single
		req.GetBody = nil
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, &Failure{Sent: sent.Load(), Err: headError(err)}
	}
	return resp, nil
}

// ErrBadHead reports an answer whose head breaks the protocol. It is ErrMalformed.
var ErrBadHead = errors.Wrap(ErrMalformed, "head of an answer")

// badHeads are parts of the errors of net/http for heads that it refuses, which have no type to compare with.
var badHeads = [...]string{"malformed", "Content-Length", "transfer encoding"}

// headError returns ErrTooLong for an answer whose head is too long, and ErrBadHead for one that breaks the protocol.
func headError(err error) error {
	text := err.Error()
	if strings.Contains(text, "server response headers exceeded") {
		return errors.Wrap(ErrTooLong, text)
	}
	bad := errors.Is(err, seam.ErrBadHead)
	for _, part := range badHeads {
		bad = bad || strings.Contains(text, part)
	}
	if bad {
		return errors.Wrap(ErrBadHead, text)
	}
	return err
}

// Answer is a complete, non-streamed response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and returns the complete response, whatever its status.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	resp, err := c.send(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.limit+1))
	if err != nil {
		return Answer{}, &Failure{Sent: true, Err: err}
	}
	if int64(len(b)) > c.limit {
		return Answer{}, &Failure{Sent: true, Err: errors.Wrapf(ErrTooLong, "over %d bytes", c.limit)}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
}

// JSON sends in as JSON, if not nil, and decodes the response into out, if not nil. A status
// other than 200 is a Failure.
func (c *Client) JSON(ctx context.Context, method, address, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "conn: encode")
		}
	}
	a, err := c.Do(ctx, Call{Address: address, Method: method, Path: path, Body: body})
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return &Failure{Sent: true, Status: a.Status}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(a.Body, out), "conn: decode")
}

// Load is the load that an endpoint reports about itself.
type Load struct {
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Batch   int          `json:"batch"`
	Leaving bool         `json:"leaving"`
	Events  []CacheEvent `json:"events"`
}

// CacheEvent reports that blocks of a cache key were evicted. Events may be
// delayed or lost.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Removed string `json:"removed"`
}

// Load fetches an endpoint's load and the cache events with a sequence number above since.
func (c *Client) Load(ctx context.Context, address string, since int64) (Load, error) {
	var l Load
	err := c.JSON(ctx, http.MethodGet, address, fmt.Sprintf("/load?since=%d", since), nil, &l)
	return l, err
}

// importRequest requests that an engine pull the KV cache of a context from another engine.
type importRequest struct {
	From   string `json:"from"`
	Key    string `json:"key"`
	Tokens []int  `json:"tokens"`
}

// ImportKV makes the engine at address to pull the KV cache of tokens from the
// engine at address from.
func (c *Client) ImportKV(ctx context.Context, to, from, key string, tokens []int) error {
	return c.JSON(ctx, http.MethodPost, to, "/kv/import", importRequest{From: from, Key: key, Tokens: tokens}, nil)
}

// roleOrder is a command to an engine; its epoch is the fencing token.
type roleOrder struct {
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Role  string `json:"role"`
}

// Order makes an engine load a model. An engine that checks fencing tokens
// rejects an epoch older than the newest it has seen.
func (c *Client) Order(ctx context.Context, address string, epoch int64, model, role string) error {
	return c.JSON(ctx, http.MethodPost, address, "/order", roleOrder{Epoch: epoch, Model: model, Role: role}, nil)
}
