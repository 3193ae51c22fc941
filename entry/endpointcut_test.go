// SPDX-License-Identifier: MIT

package entry_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// endpointCut is the way in which a daemon has lost the path to all endpoints.
type endpointCut int

const (
	noCut     endpointCut = iota
	cutHang               // nothing arrives, in either direction
	cutReset              // open connections are reset and new ones refused
	cutRefuse             // open connections live on and new ones are refused
)

func (c endpointCut) String() string { return [...]string{"none", "hang", "reset", "refuse"}[c] }

// cutDialTimeout is the dial timeout of a deployed daemon.
const cutDialTimeout = 400 * time.Millisecond

// endpointCuts holds the cuts between daemons and endpoints, and the connections between them.
type endpointCuts struct {
	mu    sync.Mutex
	modes map[string]endpointCut
	open  map[*endpointConn]struct{}
}

// set cuts a daemon off from all endpoints, or ends its cut.
func (c *endpointCuts) set(daemon string, mode endpointCut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.modes == nil {
		c.modes, c.open = make(map[string]endpointCut), make(map[*endpointConn]struct{})
	}
	c.modes[daemon] = mode
	for x := range c.open {
		if x.daemon == daemon && mode == cutReset {
			x.reset.Do(func() { close(x.wasReset) })
			x.Conn.Close()
		}
	}
}

func (c *endpointCuts) mode(daemon string) endpointCut {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.modes[daemon]
}

// dial opens a connection to an endpoint, unless the daemon is cut off.
func (c *endpointCuts) dial(ctx context.Context, daemon string, open func() (net.Conn, error)) (net.Conn, error) {
	switch c.mode(daemon) {
	case cutHang:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(cutDialTimeout):
			return nil, errors.Wrap(os.ErrDeadlineExceeded, "dial")
		}
	case cutReset, cutRefuse:
		return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	nc, err := open()
	if err != nil {
		return nil, err
	}
	x := &endpointConn{Conn: nc, cuts: c, daemon: daemon, wasReset: make(chan struct{}), closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.modes, c.open = make(map[string]endpointCut), make(map[*endpointConn]struct{})
	}
	c.open[x] = struct{}{}
	return x, nil
}

// endpointConn is a connection between a daemon and an endpoint.
type endpointConn struct {
	net.Conn
	cuts         *endpointCuts
	daemon       string
	reset, close sync.Once
	wasReset     chan struct{}
	closed       chan struct{}
}

// wait blocks while nothing arrives.
func (x *endpointConn) wait() error {
	for {
		select {
		case <-x.closed:
			return net.ErrClosed
		case <-x.wasReset:
			return syscall.ECONNRESET
		default:
		}
		if x.cuts.mode(x.daemon) != cutHang {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Read implements net.Conn.
func (x *endpointConn) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	if err2 := x.wait(); err2 != nil {
		return 0, err2
	}
	return n, err
}

// Write implements net.Conn.
func (x *endpointConn) Write(b []byte) (int, error) {
	if err := x.wait(); err != nil {
		return 0, err
	}
	return x.Conn.Write(b)
}

// Close implements net.Conn.
func (x *endpointConn) Close() error {
	x.close.Do(func() { close(x.closed) })
	x.cuts.mu.Lock()
	delete(x.cuts.open, x)
	x.cuts.mu.Unlock()
	return x.Conn.Close()
}
