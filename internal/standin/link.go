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

// linkChunkSize is the chunk size in bytes in which connections share a link.
const linkChunkSize = 16 << 10

// cutDialTimeout is the timeout of a dial over a cut link.
const cutDialTimeout = 400 * time.Millisecond

// Link simulates the network link of a box. It limits the rate of each direction, and the
// connections of the box take turns chunk by chunk.
type Link struct {
	out, in linkDirection

	mu  sync.Mutex
	cut []string
}

// NewLink returns a link with a rate in bytes per second for each direction.
func NewLink(rate float64) *Link {
	return &Link{out: linkDirection{rate: rate}, in: linkDirection{rate: rate}}
}

// Cut drops all traffic to and from addresses with one of these suffixes. Connections that are
// open stay open but carry no more data.
func (l *Link) Cut(endings ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = append(l.cut, endings...)
}

func (l *Link) isCut(address string) bool {
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
func (l *Link) Over(n seam.Network) seam.Network { return linkedNetwork{n, l} }

// linkDirection is one direction of a link.
type linkDirection struct {
	rate float64

	mu     sync.Mutex
	freeAt time.Time // when the bytes accepted so far will have been sent
}

// transmit waits until n bytes have been sent or their connection is closed.
func (l *linkDirection) transmit(n int, closed chan struct{}) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	wait := l.freeAt.Sub(now)
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

type linkedNetwork struct {
	seam.Network
	link *Link
}

// Listen implements seam.Network.
func (n linkedNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	return linkedListener{l, n.link, address}, err
}

// Dial implements seam.Network.
func (n linkedNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.link.isCut(address) {
		ctx, cancel := context.WithTimeout(ctx, cutDialTimeout)
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
		piece := b[done:min(done+linkChunkSize, len(b))]
		c.link.out.transmit(len(piece), c.closed)
		if c.link.isCut(c.address) {
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
	n, err := c.Conn.Read(b[:min(linkChunkSize, len(b))])
	if c.link.isCut(c.address) {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.link.in.transmit(n, c.closed)
	return n, err
}
