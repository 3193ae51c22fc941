// SPDX-License-Identifier: MIT

package conn

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// firstWait is how long a new connection is left open for its first request: a
// caller's opening and its request come within some milliseconds.
const firstWait = time.Second

// Connections follows the connections that an http.Server has accepted, so that
// idle ones can be closed without cutting a request off. The server itself takes
// a connection to be idle until it has read a request's head to the end: on a
// slow box it closed one whose request it had read 6 ms before, and then passed
// that request on. The zero value is ready.
type Connections struct {
	mu       sync.Mutex
	open     map[*tracked]struct{}
	draining atomic.Bool
}

// Listen returns a listener whose connections are followed.
func (c *Connections) Listen(l net.Listener) net.Listener { return trackingListener{l, c} }

// State is a server's ConnState hook.
func (c *Connections) State(nc net.Conn, s http.ConnState) {
	t, ok := nc.(*tracked)
	if !ok || s != http.StateIdle {
		return
	}
	t.rest()
	if c.draining.Load() {
		t.closeIdle(time.Now())
	}
}

// Drain makes each connection end with the request that is under way on it.
func (c *Connections) Drain() { c.draining.Store(true) }

// CloseIdle closes the connections on which no request is under way or arriving,
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
	t := &tracked{Conn: nc, all: c, began: time.Now()}
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

// tracked is a connection of which it is known whether it rests between two
// requests.
type tracked struct {
	net.Conn
	all   *Connections
	began time.Time

	mu     sync.Mutex
	used   bool // bytes have come
	busy   bool // bytes have come since it rested
	closed bool
}

// Read implements net.Conn. Bytes that come while the connection is being closed
// are dropped, so that no request is taken whose answer could not be sent.
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

// Close implements net.Conn.
func (t *tracked) Close() error {
	t.all.remove(t)
	return t.Conn.Close()
}

func (t *tracked) rest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
}

// closeIdle closes the connection if it rests, and reports whether it did.
func (t *tracked) closeIdle(now time.Time) bool {
	t.mu.Lock()
	if t.busy || !t.used && now.Sub(t.began) < firstWait {
		t.mu.Unlock()
		return false
	}
	t.closed = true
	t.mu.Unlock()
	t.Close() // the caller may have closed it as well
	return true
}
