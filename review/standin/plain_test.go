//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainRunner is a runner of a plain service. It works on slots requests at once, and how long it takes depends on the
// path. A request that finds neither a slot nor a place in the queue is not run.
type plainRunner struct {
	id    string
	rec   *record
	work  map[string]time.Duration // by path prefix
	slots int
	queue int

	inner *http.Server
	addr  string

	mu      sync.Mutex
	running int
	waiting int
	places  chan struct{}
}

func startPlainRunner(id string, rec *record, work map[string]time.Duration) (*plainRunner, error) {
	r := &plainRunner{id: id, rec: rec, work: work, slots: 6, queue: 24}
	r.places = make(chan struct{}, r.slots)
	l, err := network.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.addr = l.Addr().String()
	r.inner = &http.Server{Handler: r}
	go r.inner.Serve(l) // returns when the server is closed
	return r, nil
}

func (r *plainRunner) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": r.addr, "zone": zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	}
}

// ServeHTTP implements http.Handler.
func (r *plainRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id, h := q.Header.Get("Streambend-Request-Id"), w.Header()
	h.Set("Streambend-Request-Id", id)
	if q.Header.Get("Streambend-Expected-Instance") != r.id {
		h.Set("Streambend-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.enter() {
		h.Set("Streambend-Server-Load", r.load())
		h.Set("Streambend-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	for prefix, work := range r.work {
		if strings.HasPrefix(q.URL.Path, prefix) {
			r.rec.linef("runner %s runs %s, %s", r.id, id, q.URL.Path)
			time.Sleep(work)
		}
	}
	h.Set("Streambend-Server-Load", r.load())
	h.Set("Streambend-Server-Signature", r.id+"."+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// enter waits for a slot, and reports whether there was a place to wait.
func (r *plainRunner) enter() bool {
	r.mu.Lock()
	if r.running+r.waiting >= r.slots+r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	r.places <- struct{}{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	r.running++
	return true
}

func (r *plainRunner) leave() {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	<-r.places
}

func (r *plainRunner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
}
