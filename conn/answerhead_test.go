// SPDX-License-Identifier: MIT

package conn_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"golang.org/x/net/http/httpguts"

	"streambend.example/conn"
	"streambend.example/seam"
)

// rawEndpoint is a network in which each address answers a request with the same bytes.
type rawEndpoint struct {
	seam.TCP
	answer []byte
}

// Dial implements seam.Network.
func (e rawEndpoint) Dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			far.Write(e.answer)
		}
	}()
	return near, nil
}

// fieldLine is a line of a head, or the continuation of one.
var fieldLine = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+:|[ \t])")

// interim is the status line of an interim answer.
var interim = regexp.MustCompile("^[^ ]* +1[0-9][0-9]")

// Guards against an answer that a caller gets although its head is none: a status that cannot be written, or a field that is taken for
// another one than it looks like.
func FuzzAnswerHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX\x00: a\r\nY: \x01\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client := conn.NewClient(rawEndpoint{answer: answer}, 1<<16)
		defer client.Close()
		resp, err := client.Forward(t.Context(), conn.ForwardRequest{
			Address: "a:1", Method: http.MethodGet, Target: "/", Host: "some.example", Header: http.Header{}, Fresh: true,
		})
		if err != nil {
			return
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		httptest.NewRecorder().WriteHeader(resp.StatusCode) // panics for a status that no server writes
		for name, values := range resp.Header {
			assert.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
			for _, v := range values {
				assert.True(t, httpguts.ValidHeaderFieldValue(v), "%q", v)
			}
		}
		lines := bytes.Split(answer, []byte("\n"))
		if interim.Match(lines[0]) {
			return // the caller gets nothing of it
		}
		for _, line := range lines[1:] {
			if line = bytes.TrimSuffix(line, []byte("\r")); len(line) == 0 {
				return
			}
			assert.Regexp(t, fieldLine, string(line))
		}
	})
}
