// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"streambend.example/seam"
)

// linkPiece is the chunk size in bytes in which connections share a link.
const linkPiece = 16 << 10

// linkPatience is the timeout of a dial over a cut link.
const linkPatience = 400 * time.Millisecond

// Link simulates the network link of a box. It limits the rate of each direction, and the
// connections of the box take turns chunk by chunk.
type Link struct {
	out, in lane

	mu  sync.Mutex
	cut []string
}

// NewLink returns a link with a rate in bytes per second for each direction.
func NewLink(rate float64) *Link { return &Link{out: lane{rate: rate}, in: lane{rate: rate}} }

// Cut drops all traffic to and from addresses with one of these suffixes. Connections that are
// open stay open but carry no more data.
func (l *Link) Cut(endings ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = append(l.cut, endings...)
}

func (l *Link) silent(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.cut {
		if strings.HasSuffix(address, e) {
			return true
		}
	}
	return false
}

// Over returns n as seen from behind the link.
func (l *Link) Over(n seam.Network) seam.Network { return linked{n, l} }

// lane is one direction of a link.
type lane struct {
	rate float64

	mu   sync.Mutex
	free time.Time // when the bytes accepted so far will have been sent
}

// pass waits until n bytes have been sent or their connection is closed.
func (l *lane) pass(n int, closed chan struct{}) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	if wait <= 0 {
		return
	}
	// time.AfterFunc, since the channel of a time.Timer crashes the race detector in virtual time
	// (go1.26.8, in runtime.(*timer).maybeRunChan).
	passed := make(chan struct{})
	t := time.AfterFunc(wait, func() { close(passed) })
	defer t.Stop()
	select {
	case <-passed:
	case <-closed:
	}
}

type linked struct {
	seam.Network
	link *Link
}

// Listen implements seam.Network.
func (n linked) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	return linkedListener{l, n.link, address}, err
}

// Dial implements seam.Network.
func (n linked) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.link.silent(address) {
		ctx, cancel := context.WithTimeout(ctx, linkPatience)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := n.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newLinkedConn(c, n.link, address), nil
}

type linkedListener struct {
	net.Listener
	link    *Link
	address string
}

// Accept implements net.Listener.
func (l linkedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newLinkedConn(c, l.link, l.address), nil
}

type linkedConn struct {
	net.Conn
	link    *Link
	address string
	closed  chan struct{}
	once    *sync.Once
}

func newLinkedConn(c net.Conn, l *Link, address string) linkedConn {
	return linkedConn{c, l, address, make(chan struct{}), new(sync.Once)}
}

// Close implements net.Conn.
func (c linkedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c linkedConn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		piece := b[done:min(done+linkPiece, len(b))]
		c.link.out.pass(len(piece), c.closed)
		if c.link.silent(c.address) {
			<-c.closed
			return done, net.ErrClosed
		}
		n, err := c.Conn.Write(piece)
		done += n
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// Read implements net.Conn.
func (c linkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(linkPiece, len(b))])
	if c.link.silent(c.address) {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.link.in.pass(n, c.closed)
	return n, err
}
