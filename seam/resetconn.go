// SPDX-License-Identifier: MIT

package seam

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// tcpClosed is the state of a socket that was reset, as opposed to one whose peer has ended its sending side.
	tcpClosed = 7
	// writeEndWait is how long a read waits for a write that is in progress to end, where the state of the socket is not known.
	writeEndWait = 20 * time.Millisecond
	// writeEndPause is the interval at which it looks.
	writeEndPause = time.Millisecond
)

// resetConn is a TCP connection whose reset is reported to its reader. The system hands the error of a socket to one call only. If a
// write gets it, reads see an end without an error, which would make an answer without a length complete.
type resetConn struct {
	net.Conn
	raw syscall.RawConn

	mu       sync.Mutex // held while a write is in progress
	writeErr error      // of the first write that failed
}

// reportResets returns the connection with its resets reported, if it has a socket.
func reportResets(c net.Conn) net.Conn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c
	}
	return &resetConn{Conn: c, raw: raw}
}

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// wasReset reports whether a write has got, or is about to get, the error of a reset. After an end in order writes fail otherwise.
func (c *resetConn) wasReset() bool {
	if !c.mu.TryLock() {
		state, ok := c.state()
		switch {
		case !ok:
			if !c.awaitWrite() {
				return false
			}
		case state != tcpClosed:
			return false
		default:
			c.mu.Lock() // the write ends, as the socket is closed
		}
	}
	defer c.mu.Unlock()
	return errors.Is(c.writeErr, syscall.ECONNRESET)
}

// awaitWrite waits until no write is in progress and locks mu, or returns false if that takes too long.
func (c *resetConn) awaitWrite() bool {
	for began := time.Now(); time.Since(began) < writeEndWait; time.Sleep(writeEndPause) {
		if c.mu.TryLock() {
			return true
		}
	}
	return false
}

// state returns the state of the socket; ok is false if the system does not tell.
func (c *resetConn) state() (state uint8, ok bool) {
	var info *unix.TCPInfo
	var err error
	if c.raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }) != nil || err != nil {
		return 0, false
	}
	return info.State, true
}
