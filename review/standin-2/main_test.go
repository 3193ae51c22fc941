//go:build review

package standin2

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(rec *record, trouble bool) int{"mixed": mixed, "twice": twice, "lost": lost}

// TestMain runs the case that CASE names, in the folder above target/, and writes to the file RECORD.
func TestMain(m *testing.M) {
	run, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Println("CASE names no case")
		os.Exit(unable)
	}
	out, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	rec := &record{began: time.Now(), out: out}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		endAll()
		os.Exit(unable)
	}()
	status := unable
	func() {
		defer func() {
			if p := recover(); p != nil {
				rec.say("could not run: %v", p)
			}
			endAll()
		}()
		status = run(rec, os.Getenv("TROUBLE") != "0")
	}()
	os.Exit(status)
}

// answer is what a client gets.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

// client is a client of one daemon; it keeps its connection.
type client struct {
	http.Client
	d *daemon
}

func newClient(d *daemon) *client {
	return &client{http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, d}
}

// send sends a request and returns its answer. The callback, if any, is called with each line of a stream.
func (c *client) send(rec *record, method, path, id string, wait time.Duration, body string, head map[string]string) (a answer) {
	q, err := http.NewRequest(method, "http://"+c.d.callers+path, nil)
	must(err)
	if method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	q.Host = host
	q.Header.Set("Streambend-Request-Id", id)
	q.Header.Set("Api-Key", "k1")
	q.Header.Set("Streambend-Deadline-Milliseconds", fmt.Sprint(wait.Milliseconds()))
	for k, v := range head {
		q.Header.Set(k, v)
	}
	rec.line("sent %s %s %s to %s", id, method, path, c.d.name)
	resp, err := c.Do(q)
	if err != nil {
		rec.line("answered %s: %v", id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a = answer{resp.StatusCode, resp.Header.Get("Streambend-Server-Signature"), string(b), err}
	text := a.body
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	rec.line("answered %s %d, signature %q, %d bytes %q, error %v", id, a.status, a.signature, len(a.body), text, err)
	return a
}
