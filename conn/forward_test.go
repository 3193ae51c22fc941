// SPDX-License-Identifier: MIT

package conn_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
)

func TestEventsPreserveRawBytes(t *testing.T) {
	in := "id: 1\ndata: a\n\nversions: 2\nid: 2\ndata: b\ndata: c\n\n\nid: 10\r\ndata: d\r\n\r\n"
	e := conn.NewEvents(strings.NewReader(in))
	var out []byte
	var ids []int64
	for {
		ev, err := e.Next()
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		out = append(out, ev.Raw...)
		ids = append(ids, ev.ID)
	}
	assert.Equal(t, in, string(out))
	assert.Equal(t, []int64{1, 2, 10}, ids)
}

func TestTruncatedEventIsAnError(t *testing.T) {
	for _, in := range []string{"id: 1\nda", "id: 1\ndata: a\n", "id: x\n\n"} {
		_, err := conn.NewEvents(strings.NewReader(in)).Next()
		assert.Error(t, err, "%q", in)
		assert.NotEqual(t, io.EOF, err, "%q", in)
	}
}

// A comment was taken for an event without an id, and a blank line too many at the end for a cut stream.
func TestCommentsAndBlankLinesAreNoEvents(t *testing.T) {
	for in, comments := range map[string][]bool{
		": waiting\n\nid: 1\ndata: a\n\n":  {true, false},
		": a\n: b\n\n: c\nid: 1\n\n:\n\n":  {true, false, true},
		"id: 1\ndata: a\n\n\n":             {false, true},
		"id: 1\r\ndata: a\r\n\r\n\r\n\r\n": {false, true},
		"\n: waiting\n\ndata: a\n\n":       {true, false},
		"data: a\n\n":                      {false},
	} {
		e := conn.NewEvents(strings.NewReader(in))
		var out []byte
		var got []bool
		for {
			ev, err := e.Next()
			if err == io.EOF {
				break
			}
			require.NoError(t, err, "%q", in)
			out, got = append(out, ev.Raw...), append(got, ev.Comment)
		}
		assert.Equal(t, in, string(out))
		assert.Equal(t, comments, got, "%q", in)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		e := conn.NewEvents(bytes.NewReader(in))
		var out []byte
		for {
			ev, err := e.Next()
			if err != nil {
				break
			}
			out = append(out, ev.Raw...)
		}
		if !bytes.HasPrefix(in, out) {
			t.Fatal("raw bytes are not a prefix of the input")
		}
	})
}

// EndpointClosed is true only for a connection that the endpoint closed after the call was sent.
func TestEndpointClosed(t *testing.T) {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, errors.Wrap(syscall.EPIPE, "write")} {
		assert.True(t, conn.EndpointClosed(&conn.Failure{Sent: true, Err: end}), "%v", end)
		assert.False(t, conn.EndpointClosed(&conn.Failure{Err: end}), "%v before the call was sent", end)
	}
	for _, other := range []error{nil, io.EOF, &conn.Failure{Sent: true, Status: 500}, &conn.Failure{Sent: true, Err: context.Canceled}} {
		assert.False(t, conn.EndpointClosed(other), "%v", other)
	}
}

// Guards against a large event that is read into memory which the daemon does not have, and against small
// ones that depend on it.
func TestALargeEventNeedsMemory(t *testing.T) {
	body := "id: 1\ndata: small\n\nid: 2\ndata: " + strings.Repeat("x", 100000) + "\n\n"
	left := 0
	grow := func(n int) bool {
		left -= n
		return left >= 0
	}
	e := conn.NewEvents(strings.NewReader(body))
	e.Grow = grow
	_, err := e.Next()
	require.NoError(t, err)
	_, err = e.Next()
	assert.ErrorIs(t, err, conn.ErrNoMemory)

	left = 100000
	e = conn.NewEvents(strings.NewReader(body))
	e.Grow = grow
	_, err = e.Next()
	require.NoError(t, err)
	ev, err := e.Next()
	require.NoError(t, err)
	assert.Greater(t, len(ev.Raw), 100000)
}
