//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a runner that speaks what PROTOCOL.md says of runners, over connections that it keeps.
type runner struct {
	id, service, zone string
	slots             int
	work              time.Duration // of a plain request, or until the first event of a stream
	events            int           // of a stream; 0 for a plain service
	gap               time.Duration // between two events
	rec               *record

	slow    atomic.Int64        // factor; 0 means 1
	surplus atomic.Int64        // one answer in so many is followed by a second one; 0 for none
	lingers bool                // it does not drop a request whose connection has closed
	length  func(id string) int // number of events of a request's stream; nil for events

	l        net.Listener
	mu       sync.Mutex
	running  int
	answers  int64
	runs     map[string]*runOf // by id
	foreign  int               // second answers that were sent
	draining bool
}

// runOf is a run of a request.
type runOf struct {
	began, ended time.Time // ended is zero while it works
	events       int
}

func (r *runner) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.l, r.runs = l, make(map[string]*runOf)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
}

// entry is what the runner keeps of itself in the store.
func (r *runner) entry() []byte {
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1}`, r.service, r.l.Addr(), r.zone, r.slots))
}

func (r *runner) factor() time.Duration { return time.Duration(max(r.slow.Load(), 1)) }

// serve serves one request at a time on a connection.
func (r *runner) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	last, due := "", false // the request answered last here, and whether a second answer to it is on its way
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("Streambend-Request-Id")
		if due { // it arrives late, in the place of the next
			due = false
			text := "surplus after " + last
			r.rec.line("surplus %s writes a second answer to %s, ahead of its answer to %s", r.id, last, id)
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			r.mu.Lock()
			r.foreign++
			r.mu.Unlock()
		}
		if q.Header.Get("Streambend-Expected-Instance") != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nStreambend-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if !r.enter() {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nStreambend-Request-Id: %s\r\nStreambend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		ok := r.run(c, br, q, id)
		r.mu.Lock()
		r.running--
		r.answers++
		n := r.surplus.Load()
		due = n > 0 && r.answers%n == 0 && r.events == 0
		r.mu.Unlock()
		if last = id; !ok {
			return
		}
	}
}

func (r *runner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		return false
	}
	r.running++
	return true
}

// run runs a request and answers it; it reports whether the connection may be used further.
func (r *runner) run(c net.Conn, br *bufio.Reader, q *http.Request, id string) bool {
	x := &runOf{began: time.Now()}
	r.mu.Lock()
	r.runs[id] = x
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		x.ended = time.Now()
		r.mu.Unlock()
	}()
	closed := make(chan struct{})
	if r.events > 0 { // notices that the caller closes the connection
		go func() {
			br.Peek(1)
			close(closed)
		}()
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nStreambend-Request-Id: %s\r\nStreambend-Server-Signature: %s.%s\r\n", id, r.id, id)
	if r.events == 0 {
		r.rec.line("run %s at %s begins", id, r.id)
		time.Sleep(r.work * r.factor())
		text := "answer of " + r.id + " to " + id
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		return err == nil && !q.Close
	}
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.rec.line("run %s at %s after event %d", id, r.id, from)
	gone, headed := false, false
	chunk := func(s string) {
		if !headed {
			headed = true
			fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
		}
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s)
	}
	last := r.events
	if r.length != nil {
		last = r.length(id)
	}
	for i := from + 1; i <= last; i++ {
		wait := r.gap
		if i == from+1 {
			wait = r.work
		}
		over := time.After(wait * r.factor())
		for left := true; left; {
			done := closed
			if gone {
				done = nil
			}
			select {
			case <-over:
				left = false
			case <-done:
				gone = true
				if !r.lingers {
					r.rec.line("drop %s at %s after event %d: its connection has closed", id, r.id, i-1)
					return false
				}
				r.rec.line("gone %s at %s after event %d: its connection has closed, the run goes on", id, r.id, i-1)
			}
		}
		r.mu.Lock()
		x.events++
		r.mu.Unlock()
		chunk(fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", i, i, strings.TrimSpace(id)))
	}
	fmt.Fprint(c, "0\r\n\r\n")
	r.rec.line("end %s at %s", id, r.id)
	return false
}
