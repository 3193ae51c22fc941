//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"streambend.example/internal/standin"
)

// streamRunner is a runner that answers with a stream of numbered events. It reads one prompt at a time, and while a
// request waits to be read it sends a comment, as servers of text/event-stream do so that the connection is not taken
// for dead.
type streamRunner struct {
	id      string
	rec     *record
	events  int
	gap     time.Duration
	reading time.Duration // time to read one prompt
	comment bool

	inner *http.Server
	addr  string
	read  sync.Mutex // held while a prompt is read
}

// startRunner starts a runner on loopback.
func startRunner(id string, rec *record) (*streamRunner, error) {
	r := &streamRunner{id: id, rec: rec, events: 40, gap: 100 * time.Millisecond, reading: 400 * time.Millisecond, comment: os.Getenv("COMMENT") != "0"}
	l, err := network.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.addr = l.Addr().String()
	r.inner = &http.Server{Handler: r}
	go r.inner.Serve(l) // returns when the server is closed
	return r, nil
}

// entry is what the runner writes into the platform's store.
func (r *streamRunner) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": r.addr, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	}
}

// ServeHTTP implements http.Handler.
func (r *streamRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id, after := q.Header.Get("Streambend-Request-Id"), q.Header.Get("Last-Event-Id")
	h := w.Header()
	h.Set("Streambend-Request-Id", id)
	h.Set("Streambend-Server-Load", "1,0,64")
	if q.Header.Get("Streambend-Expected-Instance") != r.id {
		h.Set("Streambend-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.rec.linef("runner %s takes %s, Last-Event-Id %q", r.id, id, after)
	h.Set("Streambend-Server-Signature", r.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	if r.comment {
		io.WriteString(w, ": waiting\n\n")
		flush.Flush() // an error shows with the next event
	}
	r.read.Lock()
	time.Sleep(r.reading)
	r.read.Unlock()
	from, _ := strconv.Atoi(after) // absent: from the start
	r.rec.linef("runner %s runs %s from event %d", r.id, id, from+1)
	for i := from + 1; i <= r.events; i++ {
		select {
		case <-q.Context().Done():
			r.rec.linef("runner %s drops %s before event %d", r.id, id, i)
			return
		case <-time.After(r.gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		flush.Flush() // an error ends the context
	}
	r.rec.linef("runner %s has ended %s", r.id, id)
}

var _ = standin.SignedBy // the client uses it
