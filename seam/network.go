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

// Network opens connections. Tests in virtual time use an in-memory implementation.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct {
	DialTimeout time.Duration // 0 for defaultDialTimeout
	// UnackedTimeout is how long sent bytes may stay unacknowledged, and how long an idle connection may leave
	// keep-alive probes unanswered; 0 for the system's defaults. With TCP_USER_TIMEOUT set, Linux ends both by it,
	// whatever the number of probes.
	UnackedTimeout time.Duration
}

// defaultDialTimeout is the time limit to open a connection, which takes a few milliseconds within a
// partner's zones.
const defaultDialTimeout = 2 * time.Second

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: defaultDialTimeout}
	if t.DialTimeout > 0 {
		d.Timeout = t.DialTimeout
	}
	if t.UnackedTimeout > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: t.UnackedTimeout / 2, Interval: t.UnackedTimeout / 4, Count: 2}
		d.Control = func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, t.UnackedTimeout) }
	}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return reportResets(c), nil
}

// setUserTimeout limits the time that sent bytes may stay unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "seam: access socket")
	}
	return errors.Wrap(optErr, "seam: set TCP_USER_TIMEOUT")
}

// MaxAnswerHead bounds the head of an HTTP answer, in bytes. net/http would read 10 MB, and hold nearly twice as much for it.
const MaxAnswerHead = 64 << 10

// HTTPClient returns an HTTP client over a Network. Its calls end after the timeout, 0 for none.
func HTTPClient(n Network, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: CheckHeads(&http.Transport{
		DialContext: n.Dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: MaxAnswerHead,
	})}
}
