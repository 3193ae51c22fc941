//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A plain service with a first route whose calls take firstWork, and one that is added later, whose calls take laterWork.
const (
	firstPath, laterPath       = "/puxa403/", "/nolo216/"
	firstWork, laterWork       = 240 * time.Millisecond, 10 * time.Millisecond
	firstTimeout, laterTimeout = 800, 200 // milliseconds
	callDeadline               = 1500 * time.Millisecond
)

// plainRoutes is the operator's configuration, with the later route or without it.
func plainRoutes(version int, later bool) map[string]any {
	route := func(name, path string, timeout, target int) any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": path, "kind": "safe", "timeout_ms": timeout,
			"target_latency_ms": target, "priority": 2, "service": "wuno96b", "attempts": 2, "public": false, "sticky": false,
			"resumable": false,
		}
	}
	routes := []any{route("r-1", firstPath, firstTimeout, 300)}
	if later {
		routes = append(routes, route("r-2", laterPath, laterTimeout, 100))
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": "wuno96b", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"key-1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}

// tally counts the requests of a route and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if served {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// addedRoute has the operator add a route to a service, and compares how often it is served with the first route.
func addedRoute(rec *record, program, dir string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, dir)
	if err != nil {
		return 0, err
	}
	defer w.close()
	if err := w.put("op", "config", plainRoutes(7, false)); err != nil {
		return 0, err
	}
	zones := []string{"lat-krabang", "bangna", "bangna", "chatuchak", "chatuchak", "silom", "silom", "silom"}
	for i := range 4 {
		r, err := startPlainRunner(fmt.Sprintf("i-%08x", 0x3ec5a110+i), rec, map[string]time.Duration{firstPath: firstWork, laterPath: laterWork})
		if err != nil {
			return 0, err
		}
		defer r.inner.Close()
		if err := w.put("servers", r.id, r.entry("wuno96b", zones[2*i])); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(zones); err != nil {
		return 0, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the daemons know each other
	var first, later tally
	callEach(rec, w, 6*time.Second, nil, &first)
	if trouble {
		rec.linef("the operator adds a route: version 9")
		if err := w.put("op", "config", plainRoutes(9, true)); err != nil {
			return 0, err
		}
		time.Sleep(5 * time.Second) // configuration_ms, and contact_ms after it
	}
	first = tally{}
	if !trouble {
		callEach(rec, w, 12*time.Second, nil, &first)
		rec.linef("the first route: %d sent, %d served", first.sent, first.served)
		return exitHeld, nil
	}
	callEach(rec, w, 12*time.Second, &later, &first)
	rec.linef("the first route: %d sent, %d served; the later one: %d sent, %d served", first.sent, first.served, later.sent, later.served)
	var alone tally
	callEach(rec, w, 8*time.Second, &alone, nil)
	rec.linef("the later route alone: %d sent, %d served", alone.sent, alone.served)
	if later.sent >= 20 && later.share() < first.share()/4 {
		rec.linef("CONFIG broken: routes added later are served under a quarter as often as the first")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// callEach sends calls of the routes that are counted to all daemons in turn, ten a second of each.
func callEach(rec *record, w *world, span time.Duration, later, first *tally) {
	var wg sync.WaitGroup
	until := time.Now().Add(span)
	for n := 0; time.Now().Before(until); n++ {
		d := w.daemons[n%len(w.daemons)]
		for path, t := range map[string]*tally{firstPath: first, laterPath: later} {
			if t != nil {
				wg.Go(func() { t.add(call(rec, d, path)) })
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

var (
	callMu sync.Mutex
	calls  int
)

// call makes a call as a client does, with one retry when it is told to come back, and reports whether it was served.
func call(rec *record, d *daemon, path string) bool {
	until := time.Now().Add(callDeadline)
	for range 2 {
		callMu.Lock()
		calls++
		id := fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(calls))
		callMu.Unlock()
		status, signed, after := callOnce(d, path, id, time.Until(until))
		rec.linef("%s to %s, %s: %d, signed %t", id, d.name, path, status, signed)
		if status == http.StatusOK && signed {
			return true
		}
		time.Sleep(min(after, time.Until(until)/3))
	}
	return false
}

func callOnce(d *daemon, path, id string, wait time.Duration) (status int, signed bool, after time.Duration) {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.callers+path+"2f", nil)
	if err != nil {
		return 0, false, 0
	}
	req.Host = "ficu95.example"
	req.Header.Set("Streambend-Request-Id", id)
	req.Header.Set("Streambend-Deadline-Milliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	req.Header.Set("Api-Key", "key-1")
	c := streamClient()
	c.Timeout = wait
	resp, err := c.Do(req)
	if err != nil {
		return 0, false, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, 0
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(s * float64(time.Second))
	}
	return resp.StatusCode, resp.Header.Get("Streambend-Server-Signature") != "", after
}
