// SPDX-License-Identifier: MIT

package entry_test

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"

	"streambend.example/seam"
)

// daemonNetwork is the network as a daemon sees it. It adds the daemon's name to each call to the store.
type daemonNetwork struct {
	seam.Network
	ctx  context.Context
	name string
	w    *world
}

// taggedConn is a connection that adds the daemon's name to the headers of each request.
type taggedConn struct {
	net.Conn
	name string
}

// Write implements net.Conn.
func (c taggedConn) Write(b []byte) (int, error) {
	line, rest, ok := strings.Cut(string(b), "\r\n")
	if !ok || !strings.HasSuffix(line, "HTTP/1.1") {
		return c.Conn.Write(b)
	}
	if _, err := c.Conn.Write([]byte(line + "\r\nX-Daemon: " + c.name + "\r\n" + rest)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// linkPort is the port on which daemons accept links from each other.
const linkPort = ":82"

// peerLink is a link between daemons that fails while one of them is cut off.
type peerLink struct {
	net.Conn
	isIsolated func() bool
}

var errIsolated = errors.New("cut off from the other daemons")

// Read implements net.Conn.
func (c peerLink) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isIsolated() {
		c.Close()
		return 0, errIsolated
	}
	return n, err
}

// Write implements net.Conn.
func (c peerLink) Write(b []byte) (int, error) {
	if c.isIsolated() {
		c.Close()
		return 0, errIsolated
	}
	return c.Conn.Write(b)
}

// daemonAt returns the name of the daemon with an address for links.
func daemonAt(address string) string {
	host, _ := strings.CutPrefix(strings.TrimSuffix(address, linkPort), "10.0.0.")
	return "daemon-" + host
}

// dialPeer opens a link to another daemon.
func (n daemonNetwork) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	isIsolated := func() bool {
		if p := n.w.partition.Load(); p != nil && (*p)[n.name] != (*p)[daemonAt(address)] {
			return true
		}
		isolated := n.w.isolated.Load()
		if isolated == nil {
			return false
		}
		return n.name == *isolated || daemonAt(address) == *isolated
	}
	if isIsolated() {
		return nil, errIsolated
	}
	c, err := n.Network.Dial(ctx, network, address)
	if err == nil && n.w.previous[address] {
		c = previousConn{c}
	}
	if err == nil {
		c = &lateConn{Conn: c, delay: func() time.Duration { return n.w.linkDelay(n.name, address) }}
	}
	return peerLink{c, isIsolated}, err
}

// Dial implements seam.Network. It fails once the daemon's context has ended.
func (n daemonNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.ctx.Err() != nil {
		return nil, n.ctx.Err()
	}
	if strings.HasPrefix(address, runnerHost) {
		n.w.dials.Add(1)
		time.Sleep(time.Duration(n.w.connectDelay.Load()))
		return n.w.endpointCuts.dial(ctx, n.name, func() (net.Conn, error) { return n.Network.Dial(ctx, network, address) })
	}
	if strings.HasSuffix(address, linkPort) {
		return n.dialPeer(ctx, network, address)
	}
	c, err := n.Network.Dial(ctx, network, address)
	if err != nil || address != storeAddress {
		return c, err
	}
	return taggedConn{c, n.name}, nil
}
