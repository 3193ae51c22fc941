// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
	"streambend.example/request"
	"streambend.example/version"
)

// endlessRests are what an endpoint sends without end after three events of a stream.
var endlessRests = map[string]func(c net.Conn){
	"comments":           func(c net.Conn) { endless(c, strings.Repeat(": x\n\n", 10<<10), fast) },
	"a comment each 5ms": func(c net.Conn) { endless(c, ": x\n\n", 5*time.Millisecond) },
	"events without id":  func(c net.Conn) { endless(c, strings.Repeat("data: x\n\n", 7<<10), fast) },
	"one line":           func(c net.Conn) { endless(c, strings.Repeat("x", 64<<10), fast) },
}

// Streams were lost at their deadline whose endpoint sent comments or events without id after its last event.
func TestAStreamGoesOnElsewhereIfItsEndpointSendsNoEvents(t *testing.T) {
	const streams, events, servers = 240, 8, 8
	for name, rest := range endlessRests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sound := func(out http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					last := 0
					fmt.Sscan(r.Header.Get(lastEventID), &last)
					for i := last + 1; i <= events; i++ {
						time.Sleep(20 * time.Millisecond)
						fmt.Fprintf(out, "id: %d\ndata: x\n\n", i)
						out.(http.Flusher).Flush()
					}
				}
				bad := onConnection(func(c net.Conn) {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
					rest(c)
				})
				worlds := newRelayFleet(t, servers, request.Defaults(), bad, sound, sound, sound)
				var wg sync.WaitGroup
				var mu sync.Mutex
				var whole int
				var most int64
				var longest time.Duration
				for i := range streams {
					time.Sleep(50 * time.Millisecond)
					wg.Go(func() {
						id, w, began := fmt.Sprint("id-", i), worlds[i%servers], time.Now()
						out := &countingWriter{header: make(http.Header)}
						err := w.server.Relay(t.Context(), &request.Request{
							ID: id, Service: w.service, Route: version.Route{Name: "stream"}, Arrived: began, Deadline: began.Add(15 * time.Second),
							Path: "/stream", Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"),
							Relay: &request.Relay{Codec: relayCodec{id}, Out: out, Host: "some.example", Attempts: 2, Streaming: true, Pause: 500 * time.Millisecond},
						})
						mu.Lock()
						defer mu.Unlock()
						most, longest = max(most, out.bytes.Load()), max(longest, time.Since(began))
						if err == nil && strings.Contains(out.text.String(), fmt.Sprintf("id: %d\n", events)) {
							whole++
						}
					})
				}
				wg.Wait()
				t.Logf("%d of %d whole, at most %d bytes to a caller, %s at most", whole, streams, most, longest)
				assert.GreaterOrEqual(t, float64(whole), 0.97*streams)
				assert.Less(t, most, int64(2<<20))
				assert.Less(t, longest, 3*time.Second)
				time.Sleep(time.Second)
			})
		})
	}
}

// An engine that sent chunks without tokens was taken for alive until the deadline.
func TestAnAnswerGoesOnElsewhereIfItsEngineSendsNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestCluster([]standin.EngineFault{{}})
		defer o.close()
		l, err := o.net.Listen("10.0.9.9:80")
		require.NoError(t, err)
		var asked atomic.Int64
		bad := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			id := r.Header.Get("X-Request-Id")
			onConnection(func(c net.Conn) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				endless(c, fmt.Sprintf("data: {\"id\":\"cmpl-%s\"}\n\n", id), 5*time.Millisecond)
			})(out, r)
		})}
		go bad.Serve(l)
		defer bad.Close()
		s := o.start("a")
		s.Works.Get(&svc).Pool.Add(request.Endpoint{ID: "bad", Address: "10.0.9.9:80"})
		for i := range 20 {
			began := time.Now()
			id := fmt.Sprint("r", i)
			text, err := answer(s, newRequest("digest", id, ""))
			assert.NoError(t, err)
			assert.Equal(t, wantText(id), text)
			assert.Less(t, time.Since(began), 3*time.Second)
		}
		assert.Positive(t, asked.Load())
	})
}
