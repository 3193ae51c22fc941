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

// named is the network as a daemon sees it. It adds the daemon's name to each call to the store.
type named struct {
	seam.Network
	ctx  context.Context
	name string
	w    *world
}

// hello is a connection that adds the daemon's name to the headers of each request.
type hello struct {
	net.Conn
	name string
}

// Write implements net.Conn.
func (c hello) Write(b []byte) (int, error) {
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
	cut func() bool
}

var errApart = errors.New("cut off from the other daemons")

// Read implements net.Conn.
func (c peerLink) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.cut() {
		c.Close()
		return 0, errApart
	}
	return n, err
}

// Write implements net.Conn.
func (c peerLink) Write(b []byte) (int, error) {
	if c.cut() {
		c.Close()
		return 0, errApart
	}
	return c.Conn.Write(b)
}

// dialPeer opens a link to another daemon.
func (n named) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	cut := func() bool {
		apart := n.w.apart.Load()
		if apart == nil {
			return false
		}
		host, _ := strings.CutPrefix(*apart, "daemon-")
		return n.name == *apart || address == "10.0.0."+host+linkPort
	}
	if cut() {
		return nil, errApart
	}
	c, err := n.Network.Dial(ctx, network, address)
	return peerLink{c, cut}, err
}

// Dial implements seam.Network. It fails once the daemon's context has ended.
func (n named) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.ctx.Err() != nil {
		return nil, n.ctx.Err()
	}
	if strings.HasPrefix(address, runnerHost) {
		time.Sleep(time.Duration(n.w.connect.Load()))
	}
	if strings.HasSuffix(address, linkPort) {
		return n.dialPeer(ctx, network, address)
	}
	c, err := n.Network.Dial(ctx, network, address)
	if err != nil || address != storeAddress {
		return c, err
	}
	return hello{c, n.name}, nil
}
