// SPDX-License-Identifier: MIT

package request_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
	"streambend.example/version"
)

// countingWriter is the writer of an answer to a caller, of which it keeps the beginning.
type countingWriter struct {
	header http.Header
	status int
	bytes  atomic.Int64
	text   bytes.Buffer
}

func (w *countingWriter) Header() http.Header { return w.header }

func (w *countingWriter) WriteHeader(status int) { w.status = status }

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	if w.text.Len() < 64<<10 {
		w.text.Write(b)
	}
	return len(b), nil
}

func (w *countingWriter) Flush() {}

// endless writes a block again and again, one each interval, until the connection is closed.
func endless(w io.Writer, block string, interval time.Duration) {
	for {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

const fast = time.Millisecond // 64 MB/s with blocks of 64 KB

// endlessAnswers are plain answers without end.
var endlessAnswers = map[string]func(c net.Conn){
	"a head of one line": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX: ")
		endless(c, strings.Repeat("x", 64<<10), fast)
	},
	"a head of short lines": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		endless(c, strings.Repeat("X: y\r\n", 10<<10), fast)
	},
	"a head of a line each 5 ms": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		endless(c, "X: y\r\n", 5*time.Millisecond)
	},
	"interim answers": func(c net.Conn) { endless(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 1<<10), fast) },
	"a chunked body": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		endless(c, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", fast)
	},
	"a body until the close": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		endless(c, strings.Repeat("x", 64<<10), fast)
	},
	"an event": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ")
		endless(c, strings.Repeat("x", 64<<10), fast)
	},
	"comments": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		endless(c, strings.Repeat(": x\n\n", 10<<10), fast)
	},
	"a stream of events without id": func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n")
		endless(c, strings.Repeat("data: x\n\n", 7<<10), fast)
	},
}

// onConnection serves requests on the bare connection.
func onConnection(serve func(c net.Conn)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(out).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		serve(c)
	}
}

// unboundedPlay sends calls to servers of whose endpoints some answer without end.
type unboundedPlay struct {
	bad, sound int
	stream     bool
	memory     *request.Memory
	mu         sync.Mutex
	sent       int
	served     int
	mostBytes  int64 // to a caller that was not served
	mostHeap   int64 // beyond that at the beginning
	longest    time.Duration
}

func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func (p *unboundedPlay) call(t *testing.T, w *relayWorld, id string) {
	out, now, held := &countingWriter{header: make(http.Header)}, time.Now(), p.memory.Hold()
	defer held.Release()
	err := w.server.Relay(t.Context(), &request.Request{
		ID: id, Service: w.service, Route: version.Route{Name: "x"}, Arrived: now, Deadline: now.Add(5 * time.Second),
		Path: "/x", Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"), Held: held,
		Relay: &request.Relay{Codec: relayCodec{id}, Out: out, Host: "some.example", Attempts: 2, Streaming: p.stream},
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	p.longest = max(p.longest, time.Since(now))
	if err == nil && out.status == http.StatusOK && strings.Contains(out.text.String(), "whole") {
		p.served++
	} else {
		p.mostBytes = max(p.mostBytes, out.bytes.Load())
	}
}

// play sends some calls at once to one of eight servers, and then 50 calls a second to all.
func (p *unboundedPlay) play(t *testing.T, serve func(c net.Conn), atOnce int, span time.Duration) {
	handlers := make([]http.HandlerFunc, p.bad+p.sound)
	for i := range handlers {
		handlers[i] = func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			time.Sleep(20 * time.Millisecond)
			if p.stream {
				if r.Header.Get(lastEventID) == "" {
					fmt.Fprint(out, "id: 1\ndata: x\n\n")
				}
				fmt.Fprint(out, "id: 2\ndata: whole\n\n")
				return
			}
			fmt.Fprint(out, "whole")
		}
		if i < p.bad {
			handlers[i] = onConnection(serve)
		}
	}
	opts := request.Defaults()
	worlds := newRelayFleet(t, 8, opts, handlers...)
	before := liveHeap()
	end := make(chan struct{})
	var wg, watch sync.WaitGroup
	watch.Go(func() {
		for at := 0; ; at++ {
			select {
			case <-end:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if at < 50 || at%20 == 0 {
				p.mostHeap = max(p.mostHeap, liveHeap()-before)
			}
		}
	})
	for i := range atOnce {
		wg.Go(func() { p.call(t, worlds[0], fmt.Sprint("once-", i)) })
	}
	for i := range int(span / (20 * time.Millisecond)) {
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() { p.call(t, worlds[i%len(worlds)], fmt.Sprint("id-", i)) })
	}
	wg.Wait()
	close(end)
	watch.Wait()
	time.Sleep(time.Second)
}

// Answers without end filled the memory of a daemon, and their endpoints got requests again and again.
func TestCallersAreServedBesideEndpointsThatAnswerWithoutEnd(t *testing.T) {
	for name, serve := range endlessAnswers {
		stream := strings.Contains(name, "event") || name == "comments"
		for _, c := range []struct {
			bad, sound, atOnce int
			served             float64
		}{{1, 4, 0, 0.99}, {4, 4, 60, 0.9}} {
			t.Run(fmt.Sprintf("%s/%d of %d", name, c.bad, c.bad+c.sound), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := unboundedPlay{bad: c.bad, sound: c.sound, stream: stream, memory: request.NewMemory(71 << 20)}
					p.play(t, serve, c.atOnce, 13*time.Second)
					t.Logf("%d sent, %d served, at most %d bytes to a caller, %d MB more on the heap, %s at most", p.sent, p.served, p.mostBytes, p.mostHeap>>20, p.longest)
					assert.GreaterOrEqual(t, float64(p.served), c.served*float64(p.sent))
					assert.LessOrEqual(t, p.mostBytes, int64(4<<20))
					assert.Less(t, p.mostHeap, int64(50<<20), "live; a daemon's memory is up to twice that")
				})
			})
		}
	}
}
