// SPDX-License-Identifier: MIT

package conn_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
	"streambend.example/seam"
)

// serveRaw serves each connection with a function on a port of its own, and returns the address.
func serveRaw(t *testing.T, serve func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// earlyAnswer answers before the request's body is read, with a body that ends with the connection.
func earlyAnswer(head, body string, end func(c *net.TCPConn)) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		io.CopyN(io.Discard, c, 4<<10)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
		time.Sleep(60 * time.Millisecond)
		end(c)
	}
}

func reset(c *net.TCPConn) { c.SetLinger(0) }

// endInOrder ends the answer, and reads the rest of the request.
func endInOrder(c *net.TCPConn) {
	c.CloseWrite()
	io.Copy(io.Discard, c)
}

// An answer without a length was taken for whole when its endpoint reset the connection during the upload.
func TestAnAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	client := conn.NewClient(seam.TCP{}, 1<<20)
	defer client.Close()
	for name, c := range map[string]struct {
		head string
		end  func(c *net.TCPConn)
		ok   bool
	}{
		"reset":               {"", reset, false},
		"reset, event stream": {"Content-Type: text/event-stream\r\n", reset, false},
		"end in order":        {"", endInOrder, true},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, earlyAnswer(c.head, "id: 1\ndata: x\n\n", c.end))
			for i := range 30 {
				body := make([]byte, 4<<20)
				if i%2 == 0 {
					resp, err := client.Forward(t.Context(), conn.ForwardRequest{
						Address: address, Method: http.MethodPost, Target: "/", Host: "some.example", Header: http.Header{}, Body: body, Fresh: i%4 == 0,
					})
					if err == nil {
						_, err = io.ReadAll(resp.Body)
						resp.Body.Close()
					}
					assert.Equal(t, c.ok, err == nil, "forwarded: %v", err)
					continue
				}
				_, err := client.Do(t.Context(), conn.Call{Address: address, Method: http.MethodPost, Path: "/", Body: body})
				assert.Equal(t, c.ok, err == nil, "called: %v", err)
			}
		})
	}
	external := seam.HTTPClient(seam.TCP{}, 0)
	address := serveRaw(t, earlyAnswer("", "part", reset))
	for range 10 {
		resp, err := external.Post("http://"+address, "", io.LimitReader(zeros{}, 16<<20))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		assert.Error(t, err, "a call of the store")
	}
}

// zeros reads as zeros.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
