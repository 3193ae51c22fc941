// SPDX-License-Identifier: MIT

package seam_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/seam"
)

// uploadBytes is more than the buffers of both sockets hold.
const uploadBytes = 16 << 20

// upload sends an upload without an end to a server while it reads, and returns what it has read and how that ended.
func upload(t *testing.T, serve func(c *net.TCPConn)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			defer c.Close()
			serve(c.(*net.TCPConn))
		}
	}()
	c, err := seam.TCP{}.Dial(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.Write(make([]byte, uploadBytes)) // fails once the connection has ended
	}()
	b, err := io.ReadAll(c)
	c.Close()
	<-written
	return string(b), err
}

// A reset during an upload was read as the end of the answer, if the write got its error.
func TestAResetDuringAWriteIsNoEnd(t *testing.T) {
	for range 50 {
		b, err := upload(t, func(c *net.TCPConn) {
			io.CopyN(io.Discard, c, 4<<10)
			io.WriteString(c, "part")
			time.Sleep(10 * time.Millisecond)
			c.SetLinger(0)
		})
		assert.Error(t, err, "%q", b)
	}
}

// An endpoint may answer before it has read the whole upload, and close its sending side in order.
func TestAnEndInOrderDuringAWriteIsOne(t *testing.T) {
	for range 30 {
		began := time.Now()
		b, err := upload(t, func(c *net.TCPConn) {
			io.CopyN(io.Discard, c, 4<<10)
			io.WriteString(c, "whole")
			c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			io.Copy(io.Discard, c)
		})
		assert.NoError(t, err)
		assert.Equal(t, "whole", b)
		assert.Less(t, time.Since(began), 5*time.Second)
	}
}
