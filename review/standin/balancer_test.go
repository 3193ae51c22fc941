//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer asks each daemon every second whether it is ready, as the platform does. A daemon that has missed twice in a
// row is out until it answers 200 again.
type balancer struct {
	w *world

	mu     sync.Mutex
	misses map[*daemon]int
}

func startBalancer(ctx context.Context, w *world) *balancer {
	b := &balancer{w: w, misses: make(map[*daemon]int)}
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			b.ask()
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
	return b
}

func (b *balancer) ask() {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range b.w.daemons {
		go func() {
			resp, err := c.Get("http://" + d.ready + "/streambend/readiness")
			if err == nil {
				resp.Body.Close()
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if err != nil || resp.StatusCode != http.StatusOK {
				b.misses[d]++
			} else {
				b.misses[d] = 0
			}
		}()
	}
}

// uses returns the daemons of a zone to which new connections go: those that are in, or all if fewer than half are.
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
