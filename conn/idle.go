// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// firstRequestTimeout is how long a new connection stays open without a request. Callers send
// their first request within some milliseconds of connecting.
const firstRequestTimeout = time.Second

// Connections tracks the connections that an http.Server has accepted, so that idle
// ones can be closed without cutting off a request. http.Server regards a connection as
// idle until it has read the complete request header: on a slow box it closes a connection
// whose request arrived 6 ms before, and still handles that request. The zero value is ready to use.
type Connections struct {
	mu       sync.Mutex
	open     map[*tracked]struct{}
	draining atomic.Bool
	stalled  atomic.Int64
}

// Stalled returns how many connections were given up since their caller had read nothing for too long.
func (c *Connections) Stalled() int64 { return c.stalled.Load() }

// Context is the http.Server.ConnContext hook, for LimitWrites.
func (c *Connections) Context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, trackedKey{}, nc)
}

type trackedKey struct{}

// writeLimit bounds the time that writing a response takes.
type writeLimit struct {
	stall time.Duration
	until time.Time
}

// LimitWrites bounds the time that the response to a request takes to be written: its connection is given up
// once the caller has read nothing for stall, or at a moment. A caller that reads slowly keeps it until then.
func LimitWrites(ctx context.Context, stall time.Duration, until time.Time) {
	if t, ok := ctx.Value(trackedKey{}).(*tracked); ok {
		t.limit.Store(&writeLimit{stall, until})
	}
}

// Listen wraps a listener so that its connections are tracked.
func (c *Connections) Listen(l net.Listener) net.Listener { return trackingListener{l, c} }

// State is the http.Server.ConnState hook.
func (c *Connections) State(nc net.Conn, s http.ConnState) {
	t, ok := nc.(*tracked)
	if !ok || s != http.StateIdle {
		return
	}
	t.markIdle()
	if c.draining.Load() {
		t.closeIdle(time.Now())
	}
}

// Drain makes each connection close after its current request.
func (c *Connections) Drain() { c.draining.Store(true) }

// CloseIdle closes the connections that have no request in progress or partly received,
// and returns how many stay open.
func (c *Connections) CloseIdle(now time.Time) (open int) {
	c.mu.Lock()
	all := make([]*tracked, 0, len(c.open))
	for t := range c.open {
		all = append(all, t)
	}
	c.mu.Unlock()
	for _, t := range all {
		if !t.closeIdle(now) {
			open++
		}
	}
	return open
}

func (c *Connections) add(nc net.Conn) *tracked {
	t := &tracked{Conn: nc, all: c, opened: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*tracked]struct{})
	}
	c.open[t] = struct{}{}
	return t
}

func (c *Connections) remove(t *tracked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, t)
}

type trackingListener struct {
	net.Listener
	all *Connections
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.all.add(nc), nil
}

// tracked is a connection that records whether it is idle between two requests.
type tracked struct {
	net.Conn
	all    *Connections
	opened time.Time
	limit  atomic.Pointer[writeLimit] // of the current response; nil for none

	mu     sync.Mutex
	used   bool // bytes have been received
	busy   bool // bytes have been received since it was last idle
	closed bool
}

// Read implements net.Conn. Bytes received while the connection is being closed are
// dropped, so that no request is accepted whose response could not be sent.
func (t *tracked) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, net.ErrClosed
	}
	t.used, t.busy = true, true
	return n, err
}

// Write implements net.Conn.
func (t *tracked) Write(b []byte) (n int, err error) {
	l := t.limit.Load()
	if l == nil {
		return t.Conn.Write(b)
	}
	for {
		until := time.Now().Add(l.stall)
		last := until.After(l.until)
		if last {
			until = l.until
		}
		t.Conn.SetWriteDeadline(until) // an error shows in Write
		m, err := t.Conn.Write(b[n:])
		n += m
		late := errors.Is(err, os.ErrDeadlineExceeded)
		if late && (m == 0 || last) {
			t.all.stalled.Add(1)
		}
		if n == len(b) || !late || m == 0 || last {
			return n, err
		}
	}
}

// Close implements net.Conn.
func (t *tracked) Close() error {
	t.all.remove(t)
	return t.Conn.Close()
}

func (t *tracked) markIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
	t.limit.Store(nil)
	t.Conn.SetWriteDeadline(time.Time{}) // of the last response; an error shows in Write
}

// closeIdle closes the connection if it is idle, and reports whether it did.
func (t *tracked) closeIdle(now time.Time) bool {
	t.mu.Lock()
	if t.busy || !t.used && now.Sub(t.opened) < firstRequestTimeout {
		t.mu.Unlock()
		return false
	}
	t.closed = true
	t.mu.Unlock()
	t.Close() // it may be closed already
	return true
}
