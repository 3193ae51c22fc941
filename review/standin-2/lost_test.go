//go:build review

package standin2

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	grace = 8 * time.Second
	// lateSend is how long after SIGTERM a request must have been sent for its cut to count although its runner still worked.
	lateSend   = 3 * time.Second
	longEvents = 76 // of a stream whose length hint is too low by three times
	hintTokens = 125
	mostTokens = 955
)

// lost: two of the three daemons of a zone are stopped, 1.0 s apart. Clients whose connections the platform opened to the
// second one 2.3 s after its SIGTERM send long streams 0.85 s later, whose length hints are too low.
func lost(rec *record, trouble bool) int {
	w := newWorld("abbccddd", rec)
	defer w.end()
	w.usual()
	for i := range 6 {
		w.runner(&runner{
			id: fmt.Sprintf("i-lm-%d", i), service: "lm", zone: "abcd"[i%4 : i%4+1], slots: 64, work: 100 * time.Millisecond, events: longEvents, gap: 100 * time.Millisecond,
			length: func(id string) int {
				switch {
				case strings.HasPrefix(id, "long"):
					return longEvents
				case id == "first":
					return 60
				}
				h := fnv.New32()
				h.Write([]byte(id))
				return 12 + int(h.Sum32()%19) // the hint says 25
			},
		})
	}
	w.runner(&runner{id: "i-app-0", service: "app", zone: "a", slots: 6, work: 20 * time.Millisecond})
	for _, d := range w.daemons {
		d.start()
	}
	if !w.awaitReady() {
		rec.say("the daemons are not ready")
		return unable
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	usual, whole := 0, 0
	for k := range 32 { // streams whose hints are about right
		wg.Go(func() {
			c := newClient(w.daemons[k%len(w.daemons)])
			for n := range 5 {
				id := fmt.Sprintf("usual-%02d-%d", k, n)
				a := c.send(rec, "POST", "/stream/"+id, id, 15*time.Second, "prompt "+id, streamHead(id))
				mu.Lock()
				usual++
				if a.err == nil && a.status == 200 {
					whole++
				}
				mu.Unlock()
			}
			c.CloseIdleConnections()
		})
	}
	wg.Wait()
	balancer, stop := context.WithCancel(context.Background())
	defer stop()
	in := newBalancer(balancer, w)
	w.startedOnce()
	time.Sleep(2500 * time.Millisecond)
	first, second, third := w.daemons[5], w.daemons[6], w.daemons[7]
	wg.Go(func() { // a stream that keeps the first daemon running for a while
		newClient(first).send(rec, "POST", "/stream/first", "first", 15*time.Second, "prompt", streamHead("first"))
	})
	time.Sleep(300 * time.Millisecond)
	stopDaemon := func(d *daemon) (at time.Time) {
		at = time.Now()
		if !trouble {
			return at
		}
		rec.line("SIGTERM of %s", d.name)
		d.signal(syscall.SIGTERM)
		ended := d.ended
		wg.Go(func() {
			select {
			case <-ended:
				rec.line("%s has ended by itself, %.2f s after SIGTERM", d.name, time.Since(at).Seconds())
			case <-time.After(grace):
				rec.line("SIGKILL of %s", d.name)
				d.signal(syscall.SIGKILL)
				<-ended
			}
			time.Sleep(500 * time.Millisecond)
			d.start()
		})
		return at
	}
	stopDaemon(first)
	time.Sleep(time.Second)
	at := stopDaemon(second)
	time.Sleep(2300 * time.Millisecond)
	used := in.uses("d")
	rec.line("the platform uses %d of 3 daemons in zone d", len(used))
	cut, sent, answered := 0, 0, 0
	for n := range 9 {
		d := used[n%len(used)]
		if d == first {
			continue // it takes no connections any more
		}
		wg.Go(func() {
			id := fmt.Sprintf("long-%d", n)
			a, sentAt := sendLater(rec, d, id, 850*time.Millisecond)
			after, ended := sentAt.Sub(at), time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			if d == third || a.status == 0 {
				return
			}
			sent++
			ran := false
			for _, r := range w.runners {
				r.mu.Lock()
				ran = ran || r.runs[id] != nil
				r.mu.Unlock()
			}
			switch {
			case a.err == nil:
				answered++
			case ran && after > lateSend && ended < grace+time.Second:
				cut++
				rec.say("BROKEN: %s was sent to %s %.2f s after its SIGTERM, passed on, and cut %.2f s after SIGTERM with %d of %d events", id, d.name, after.Seconds(), ended.Seconds(), strings.Count(a.body, "data: "), longEvents)
			}
		})
	}
	wg.Wait()
	rec.say("%d usual streams sent, %d whole; %d long ones sent to the daemon that stops, %d answered, %d passed on and cut", usual, whole, sent, answered, cut)
	switch {
	case cut > 0:
		return broken
	case whole < usual || sent == 0:
		return unable
	}
	return held
}

func streamHead(id string) map[string]string {
	h := fnv.New32()
	h.Write([]byte(id))
	return map[string]string{
		"Streambend-Model": "m", "Streambend-Token-Counts": fmt.Sprintf("628,%d", mostTokens), "Streambend-Prompt-Prefix": fmt.Sprintf("a1:120,b1:80,%08x:428", h.Sum32()),
		"Streambend-Length-Hint": hint(),
	}
}

// hint is the client's estimate of the tokens out; with HINT=0 it gives none.
func hint() string {
	if os.Getenv("HINT") == "0" {
		return ""
	}
	return fmt.Sprint(hintTokens)
}

// sendLater opens a connection, and sends a stream's request on it after a pause.
func sendLater(rec *record, d *daemon, id string, pause time.Duration) (a answer, sent time.Time) {
	nc, err := net.Dial("tcp", d.callers)
	if err != nil {
		rec.line("%s: no connection to %s: %v", id, d.name, err)
		return answer{err: err}, time.Now()
	}
	rec.line("%s: connected to %s", id, d.name)
	time.Sleep(pause)
	c := &client{http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return nc, nil }}}, d}
	sent = time.Now()
	return c.send(rec, "POST", "/stream/"+id, id, 15*time.Second, "prompt "+id, streamHead(id)), sent
}

// balancer asks each daemon every second whether it is ready; one that has missed twice is out until it answers 200.
type balancer struct {
	w      *world
	mu     sync.Mutex
	misses map[*daemon]int
}

func newBalancer(ctx context.Context, w *world) *balancer {
	b := &balancer{w: w, misses: make(map[*daemon]int)}
	go func() {
		for ctx.Err() == nil {
			for _, d := range w.daemons {
				go func() {
					ok := d.isReady()
					b.mu.Lock()
					defer b.mu.Unlock()
					if b.misses[d]++; ok {
						b.misses[d] = 0
					}
				}()
			}
			time.Sleep(time.Second)
		}
	}()
	return b
}

// uses returns the daemons of a zone that get new connections: those that are in, or all if fewer than half are.
func (b *balancer) uses(zone string) (out []*daemon) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*daemon
	for _, d := range b.w.daemons {
		if d.zone != zone {
			continue
		}
		all = append(all, d)
		if b.misses[d] < 2 {
			out = append(out, d)
		}
	}
	if 2*len(out) < len(all) && len(out) > 0 {
		return all
	}
	return out
}
