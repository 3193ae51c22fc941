//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"streambend.example/internal/standin"
)

const (
	stopClients = 6
	stopEvents  = 76
	stopTokens  = 6610
	stopWait    = 15 * time.Second
	// A client sends its body in pieces: 72,000 bytes in 4.8 s.
	bodyBytes  = 72000
	bodyPieces = 24
	bodyPause  = 200 * time.Millisecond
	// stopAfter is how long after the first bytes of the requests the daemon is stopped.
	stopAfter   = 400 * time.Millisecond
	gracePeriod = 8 * time.Second
	// lateSend is how long after SIGTERM a request must have been sent for its cut to count, even if its runner was at work
	// in the last sixth of the grace period.
	lateSend = 3 * time.Second
)

// In a zone of three daemons two are stopped one after the other, with stopGap between them. Clients open connections
// connectAfter after the second was stopped, and send their requests sendPause later.
const (
	stopGap      = time.Second
	connectAfter = 2300 * time.Millisecond
	sendPause    = 850 * time.Millisecond
	zoneClients  = 9
)

// streamingRoute is the operator's configuration of a small deployment with one streaming route that may not be resumed.
func streamingRoute() map[string]any {
	c := resumableRoute()
	r := c["routes"].([]any)[0].(map[string]any)
	r["attempts"], r["resumable"] = 1, false
	return c
}

// slowBody is a body that is sent in pieces.
type slowBody struct {
	left   int
	pause  time.Duration
	sentAt time.Time // when the last piece was handed over
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), bodyBytes/bodyPieces, b.left)
	copy(p, bytes.Repeat([]byte("x"), n))
	if b.left -= n; b.left == 0 {
		b.sentAt = time.Now()
	}
	return n, nil
}

// upload is a request, how it was sent and how it ended.
type upload struct {
	id      string
	stopped *time.Time // SIGTERM of its daemon; zero for none
	firstAt time.Time  // when its first byte was handed over
	body    slowBody
	status  int
	events  int
	whole   bool
	endedAt time.Time
}

// send sends the request on a connection of its own, which is opened a pause before.
func (u *upload) send(d *daemon, bytesLeft int, bodyPause, pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	defer func() { u.endedAt = time.Now() }()
	u.body = slowBody{left: bytesLeft, pause: bodyPause}
	nc, err := net.Dial("tcp", d.callers)
	if err != nil {
		return
	}
	defer nc.Close()
	time.Sleep(pause)
	u.firstAt = time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/pufi791/2f", io.NopCloser(&u.body))
	if err != nil {
		return
	}
	req.ContentLength, req.Host = int64(bytesLeft), "ficu95.example"
	standin.CallerHeaders{ID: u.id, Key: "key-1", Wait: stopWait, Tokens: fmt.Sprintf("%d,%d", stopTokens, 5*stopEvents), Prompt: fmt.Sprintf("%s:%d", prefixOf(u.id), stopTokens)}.Write(req.Header)
	req.Header.Set("Streambend-Model", "m")
	c := &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return nc, nil }, DisableCompression: true,
	}}
	resp, err := c.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	u.status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	u.events, u.whole = bytes.Count(b, []byte("id: ")), err == nil
}

// plannedStop stops a daemon while clients send it the bodies of their requests.
func plannedStop(rec *record, program, dir string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, dir)
	if err != nil {
		return 0, err
	}
	defer w.close()
	if err := w.put("op", "config", streamingRoute()); err != nil {
		return 0, err
	}
	zones := []string{"lat-krabang", "bangna", "bangna", "chatuchak", "chatuchak", "silom", "silom", "silom"}
	for i := range 4 {
		r, err := startRunner(fmt.Sprintf("i-%08x", 0x5d0071a0+i), rec)
		if err != nil {
			return 0, err
		}
		defer r.inner.Close()
		r.events, r.reading, r.comment = stopEvents, stopTokens*time.Second/tokensPerSecond, false
		if err := w.put("servers", r.id, r.entry("huvo11a", zones[2*i])); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(zones); err != nil {
		return 0, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := startBalancer(ctx, w)
	time.Sleep(2 * time.Second) // the daemons know each other
	var uploads []*upload
	var wg sync.WaitGroup
	send := func(d *daemon, stopped *time.Time, bytesLeft int, bodyPause, pause time.Duration) {
		u := &upload{id: fmt.Sprintf("%016x", 0x7c41d07be2a30000+len(uploads)), stopped: stopped}
		uploads = append(uploads, u)
		rec.linef("%s: a connection goes to %s", u.id, d.name)
		wg.Go(func() { u.send(d, bytesLeft, bodyPause, pause) })
	}
	var stopped [3]time.Time
	for range stopClients {
		send(w.daemons[0], &stopped[0], bodyBytes, bodyPause, 0)
	}
	// A stream at the first of the daemons of the zone ends well within its grace period.
	send(w.daemons[5], &stopped[1], 600, 0, 0)
	time.Sleep(stopAfter)
	for i, d := range []*daemon{w.daemons[0], w.daemons[5], w.daemons[6]} {
		if trouble {
			stopped[i] = time.Now()
			wg.Go(func() { stop(rec, w, d) })
		}
		time.Sleep(stopGap)
	}
	time.Sleep(connectAfter - stopGap)
	used := b.uses(w.daemons[6].zone)
	rec.linef("the platform uses %d of 3 daemons in %s", len(used), w.daemons[6].zone)
	for n := range zoneClients {
		switch d := used[n%len(used)]; d {
		case w.daemons[6]:
			send(d, &stopped[2], 600, 0, sendPause)
		case w.daemons[7]:
			send(d, new(time.Time), 600, 0, sendPause)
		}
	}
	wg.Wait()
	return judgeUploads(rec, uploads), nil
}

// stop stops a daemon as the platform does, and starts it again.
func stop(rec *record, w *world, d *daemon) {
	at := time.Now()
	rec.linef("SIGTERM of %s", d.name)
	d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
		rec.linef("%s has ended by itself, %.1f s after SIGTERM", d.name, time.Since(at).Seconds())
	case <-time.After(gracePeriod):
		rec.linef("SIGKILL of %s", d.name)
		d.kill()
	}
	if err := w.restart(d); err != nil {
		rec.linef("%s does not start again: %v", d.name, err)
	}
}

// judgeUploads says for each request how it ended. It is lost if the daemon had all of it and closed the connection
// without a whole answer.
func judgeUploads(rec *record, uploads []*upload) int {
	code := exitHeld
	for _, u := range uploads {
		at := func(t time.Time) float64 { return t.Sub(rec.began).Seconds() }
		if u.body.sentAt.IsZero() {
			rec.linef("%s: not sent whole, status %d", u.id, u.status)
			continue
		}
		rec.linef("%s: sent from %.3f to %.3f, status %d, %d events, whole answer %t, ended at %.3f", u.id, at(u.firstAt), at(u.body.sentAt), u.status, u.events, u.whole, at(u.endedAt))
		if u.whole || u.stopped.IsZero() {
			continue
		}
		if late, cut := u.body.sentAt.Sub(*u.stopped), u.endedAt.Sub(*u.stopped); late > lateSend && cut < gracePeriod+time.Second {
			rec.linef("LOST broken: %s was sent from %.1f to %.1f s after SIGTERM, taken, and cut %.1f s after SIGTERM", u.id, u.firstAt.Sub(*u.stopped).Seconds(), late.Seconds(), cut.Seconds())
			code = exitBroken
		}
	}
	return code
}
