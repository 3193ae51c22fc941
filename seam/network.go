// SPDX-License-Identifier: MIT

package seam

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network opens connections. Tests in virtual time bring one in memory.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the ordinary Network.
type TCP struct{}

// dialLimit bounds how long a connection may take to open: within a partner's
// zones it takes a few milliseconds.
const dialLimit = 2 * time.Second

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialLimit}
	return d.DialContext(ctx, network, address)
}

// HTTPClient returns a client over a Network. Its calls end after the timeout,
// zero for none.
func HTTPClient(n Network, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: n.Dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
	}}
}
