// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
	"streambend.example/version"
)

// A stream whose ids rise without end held its caller until the deadline, and its endpoint got further ones.
func TestAStreamWithMoreEventsThanTokensIsGivenUp(t *testing.T) {
	const most = 200
	for _, unrepeatable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var asked atomic.Int64
			handlers := []http.HandlerFunc{onConnection(func(c net.Conn) {
				asked.Add(1)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
				for id := 1; ; id++ {
					if _, err := fmt.Fprintf(c, "id: %d\ndata: x\n\n", id); err != nil {
						return
					}
					if id%20 == 0 {
						time.Sleep(time.Millisecond)
					}
				}
			})}
			for range 3 {
				handlers = append(handlers, func(out http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					for id := 1; id <= most; id++ { // each token in an event of its own
						fmt.Fprintf(out, "id: %d\ndata: x\n\n", id)
					}
				})
			}
			w := newRelayFleet(t, 1, request.Defaults(), handlers...)[0]
			whole, longest, mostBytes := 0, time.Duration(0), int64(0)
			for i := range 100 {
				out, now, id := &countingWriter{header: make(http.Header)}, time.Now(), fmt.Sprint("id-", i)
				err := w.server.Relay(t.Context(), &request.Request{
					ID: id, Service: w.service, Route: version.Route{Name: "x"}, Arrived: now, Deadline: now.Add(15 * time.Second), Unrepeatable: unrepeatable,
					Path: "/x", Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"),
					Relay: &request.Relay{Codec: relayCodec{id}, Out: out, Host: "some.example", Attempts: 2, Streaming: true, MostTokens: most},
				})
				if err == nil {
					whole++
				}
				longest, mostBytes = max(longest, time.Since(now)), max(mostBytes, out.bytes.Load())
			}
			t.Logf("%d of 100 whole, %s at most, %d bytes at most, the endpoint asked %d times", whole, longest, mostBytes, asked.Load())
			assert.GreaterOrEqual(t, whole, 98)
			assert.Less(t, longest, 2*time.Second)
			assert.Positive(t, asked.Load())
			time.Sleep(time.Second)
		})
	}
}
