//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"streambend.example/internal/standin"
)

// attempt is one client attempt at a stream.
type attempt struct {
	daemon string // host:port
	host   string
	path   string
	id     string
	after  int // the last event that the client has; 0 for none
	tokens int // of the prompt
	events int // of the answer, at most
	wait   time.Duration
	idle   time.Duration // the client gives a stream up after a gap of this length
}

// outcome is what a client attempt has brought.
type outcome struct {
	status int
	ids    []int
	whole  bool
	err    error

	retryAfter time.Duration
}

// streamClient opens a connection for each attempt, as clients do on a retry.
func streamClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}
}

// stream makes one attempt and reads the answer to its end.
func stream(a attempt) (out outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), a.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.daemon+a.path, bytes.NewReader([]byte("a prompt for "+a.id)))
	if err != nil {
		return outcome{err: err}
	}
	req.Host = a.host
	standin.CallerHeaders{ID: a.id, Key: "key-1", Wait: a.wait, Tokens: fmt.Sprintf("%d,%d", a.tokens, 5*a.events), Prompt: fmt.Sprintf("%s:%d", prefixOf(a.id), a.tokens)}.Write(req.Header)
	req.Header.Set("Streambend-Model", "m")
	if a.after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(a.after))
	}
	resp, err := streamClient().Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	silent := time.AfterFunc(a.idle, cancel)
	defer silent.Stop()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		silent.Reset(a.idle)
		n, err := strconv.Atoi(text)
		if err != nil {
			out.err = err
			return out
		}
		out.ids = append(out.ids, n)
	}
	out.err = lines.Err()
	out.whole = out.err == nil
	return out
}

// prefixOf returns the id of a request's own part of the prompt.
func prefixOf(id string) string { return fmt.Sprintf("%x", []byte(id)[:4]) }
