// SPDX-License-Identifier: MIT

package conn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
)

// oneConn is a listener that accepts a single connection.
type oneConn struct {
	net.Conn
	given chan struct{}
	done  chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case <-l.given:
		return l.Conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *oneConn) Close() error   { close(l.done); return nil }
func (l *oneConn) Addr() net.Addr { return l.Conn.LocalAddr() }

// serveOne serves one connection and returns the caller's end of it, and a channel
// that receives each state change.
func serveOne(t *testing.T, c *conn.Connections) (caller net.Conn, states chan http.ConnState) {
	near, far := net.Pipe()
	states = make(chan http.ConnState, 16)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })}
	s.ConnState = func(nc net.Conn, st http.ConnState) {
		c.State(nc, st)
		states <- st
	}
	l := &oneConn{far, make(chan struct{}, 1), make(chan struct{})}
	l.given <- struct{}{}
	go s.Serve(c.Listen(l))
	t.Cleanup(func() { s.Close() })
	return near, states
}

// waitForState waits for a connection state.
func waitForState(states chan http.ConnState, want http.ConnState) {
	for st := range states {
		if st == want {
			return
		}
	}
}

// finish sends the rest of a request and returns the response body.
func finish(t *testing.T, caller net.Conn, rest string) string {
	go io.WriteString(caller, rest)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(b)
}

func TestCloseIdleSparesPartlyReceivedRequest(t *testing.T) {
	var c conn.Connections
	caller, states := serveOne(t, &c)
	assert.Equal(t, "done", finish(t, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	waitForState(states, http.StateIdle)
	// A write to a pipe returns once it is read, so the server has part of the request header.
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHo")
	require.NoError(t, err)
	_, err = io.WriteString(caller, "st: a\r\n")
	require.NoError(t, err)
	assert.Equal(t, 1, c.CloseIdle(time.Now()))
	assert.Equal(t, "done", finish(t, caller, "\r\n"))
}

func TestCloseIdleClosesIdleConnections(t *testing.T) {
	var c conn.Connections
	caller, states := serveOne(t, &c)
	assert.Equal(t, "done", finish(t, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	waitForState(states, http.StateIdle)
	assert.Zero(t, c.CloseIdle(time.Now()))
	_, err := caller.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	waitForState(states, http.StateClosed)
	assert.Zero(t, c.CloseIdle(time.Now()))
}

func TestCloseIdleSparesNewConnections(t *testing.T) {
	var c conn.Connections
	caller, states := serveOne(t, &c)
	waitForState(states, http.StateNew)
	assert.Equal(t, 1, c.CloseIdle(time.Now()))
	assert.Equal(t, "done", finish(t, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	waitForState(states, http.StateIdle)

	_, states = serveOne(t, &c)
	waitForState(states, http.StateNew)
	assert.Zero(t, c.CloseIdle(time.Now().Add(time.Minute)))
}

func TestDrainClosesAfterCurrentRequest(t *testing.T) {
	var c conn.Connections
	caller, states := serveOne(t, &c)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n")
	require.NoError(t, err)
	c.Drain()
	assert.Equal(t, "done", finish(t, caller, "\r\n"))
	waitForState(states, http.StateIdle)
	waitForState(states, http.StateClosed)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\n")
	assert.Error(t, err)
}
