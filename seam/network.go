// SPDX-License-Identifier: MIT

package seam

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Network opens connections. Tests in virtual time bring one in memory.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the ordinary Network.
type TCP struct {
	DialTimeout   time.Duration // 0 for dialLimit
	SilentTimeout time.Duration // how long sent bytes may stay unacknowledged; 0 for the system's own
}

// dialLimit bounds how long a connection may take to open: within a partner's
// zones it takes a few milliseconds.
const dialLimit = 2 * time.Second

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialLimit}
	if t.DialTimeout > 0 {
		d.Timeout = t.DialTimeout
	}
	if t.SilentTimeout > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: t.SilentTimeout / 2, Interval: t.SilentTimeout / 4, Count: 2}
		d.Control = func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, t.SilentTimeout) }
	}
	return d.DialContext(ctx, network, address)
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "seam: socket")
	}
	return errors.Wrap(failed, "seam: user timeout")
}

// HTTPClient returns a client over a Network. Its calls end after the timeout,
// zero for none.
func HTTPClient(n Network, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: n.Dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
	}}
}
