//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// routes is the operator's configuration of a small deployment with one streaming route that may be resumed.
func resumableRoute() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path_prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 1200, "priority": 0, "service": "huvo11a", "attempts": 2, "public": false, "sticky": true,
			"resumable": true, "target_gap_ms": 500,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "health_path": "/health", "connection_limit": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 569286},
		}},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"key-1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}

const (
	// takeUpClients is the number of clients of one zone, and takeUpTokens the length of their prompts.
	takeUpClients = 16
	takeUpTokens  = 26000
	takeUpEvents  = 76
	// takeUpIdle is after which gap clients give a stream up: the longest of two seconds, four times the target and
	// eight times the longest pause in time.
	takeUpIdle = 4800 * time.Millisecond
	// tokensPerSecond is how many tokens of prompts a runner reads.
	tokensPerSecond = 64200
)

// takeUp has clients take up their streams at other daemons after the one that they had is killed.
func takeUp(rec *record, program, dir string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, dir)
	if err != nil {
		return 0, err
	}
	defer w.close()
	if err := w.put("op", "config", resumableRoute()); err != nil {
		return 0, err
	}
	zones := []string{"lat-krabang", "bangna", "bangna", "chatuchak", "chatuchak", "silom", "silom", "silom"}
	for i := range 4 {
		r, err := startRunner(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), rec)
		if err != nil {
			return 0, err
		}
		defer r.inner.Close()
		r.events, r.reading = takeUpEvents, takeUpTokens*time.Second/tokensPerSecond
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
	time.Sleep(2 * time.Second) // the daemons know each other
	var wg sync.WaitGroup
	broken := make([]string, takeUpClients)
	for i := range takeUpClients {
		wg.Go(func() { broken[i] = takeUpClient(rec, w, i) })
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond) // until all have got some events
	if trouble {
		rec.linef("SIGKILL of %s", w.daemons[0].name)
		w.daemons[0].kill()
	}
	wg.Wait()
	code := exitHeld
	for _, text := range broken {
		if text != "" {
			rec.linef("ORDER broken: %s", text)
			code = exitBroken
		}
	}
	return code, nil
}

// takeUpClient reads one stream, over as many attempts as it takes, and says how the rule was broken. After a refusal it
// comes back when it is told to.
func takeUpClient(rec *record, w *world, n int) (broken string) {
	deadline := time.Now().Add(15 * time.Second)
	last := 0
	for try := range 4 {
		d := w.daemons[0]
		if try > 0 {
			d = w.daemons[1+(n+try)%(len(w.daemons)-1)]
		}
		a := attempt{
			daemon: d.callers, host: "ficu95.example", path: "/pufi791/2f", id: fmt.Sprintf("%04x%04x%08x", n, try, n*7919+try), after: last,
			tokens: takeUpTokens, events: takeUpEvents, wait: time.Until(deadline), idle: takeUpIdle,
		}
		rec.linef("client %d sends %s to %s, Last-Event-Id %d", n, a.id, d.name, a.after)
		out := stream(a)
		rec.linef("client %d has got %d for %s, events %v, whole %t, error %v", n, out.status, a.id, out.ids, out.whole, out.err)
		for _, id := range out.ids {
			if id != last+1 && broken == "" {
				broken = fmt.Sprintf("client %d got event %d after event %d, in the answer to %s", n, id, last, a.id)
			}
			last = id
		}
		if out.status == http.StatusOK && out.whole || broken != "" {
			return broken
		}
		time.Sleep(out.retryAfter)
	}
	return broken
}
