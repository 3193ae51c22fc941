// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Net is an in-memory network, so that tests can run in virtual time.
type Net struct {
	mu    sync.Mutex
	last  int
	ports map[string]*pipeListener
}

// NewNet returns a network without listeners.
func NewNet() *Net { return &Net{ports: make(map[string]*pipeListener)} }

// pipeListener accepts one end of each pipe that Dial creates.
type pipeListener struct {
	net   *Net
	addr  pipeAddr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

type pipeAddr string

func (pipeAddr) Network() string  { return "tcp" }
func (a pipeAddr) String() string { return string(a) }

// Listen implements seam.Network. Port 0 selects an unused port.
func (n *Net) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, port, err := net.SplitHostPort(address); err != nil || port == "0" {
		n.last++
		address = fmt.Sprintf("127.0.0.1:%d", 1024+n.last)
	}
	if n.ports[address] != nil {
		return nil, errors.Errorf("standin: address %s already in use", address)
	}
	l := &pipeListener{net: n, addr: pipeAddr(address), conns: make(chan net.Conn), done: make(chan struct{})}
	n.ports[string(l.addr)] = l
	return l, nil
}

// Dial implements seam.Network.
func (n *Net) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.ports[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "standin: dial %s", address)
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.done:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "standin: dial %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.ports, string(l.addr))
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return l.addr }
