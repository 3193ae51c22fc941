// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"streambend.example/process"
)

// balancer simulates the platform's load balancer: it picks among the daemons that were ready at
// its last health check.
type balancer struct {
	w *world

	mu     sync.Mutex
	rng    *rand.Rand
	ready  []*process.Daemon
	closed map[*process.Daemon]bool
}

// balancePeriod is the interval between two readiness checks.
const balancePeriod = 100 * time.Millisecond

func newBalancer(ctx context.Context, w *world) *balancer {
	b := &balancer{w: w, rng: rand.New(rand.NewPCG(w.opts.Seed, 2)), closed: make(map[*process.Daemon]bool)}
	b.checkReadiness()
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		for ctx.Err() == nil {
			time.Sleep(balancePeriod)
			if w.opts.DaemonNet == nil {
				b.checkReadiness()
			}
		}
	}()
	return b
}

func (b *balancer) checkReadiness() {
	var ready []*process.Daemon
	for _, d := range b.w.live() {
		if b.w.isReady(d) {
			ready = append(ready, d)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick() *process.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.rng.IntN(len(b.ready))]
}

// markStopping records that a planned stop of a daemon begins.
func (b *balancer) markStopping(d *process.Daemon) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed[d] = true
}

// stopping reports whether a planned stop of a daemon has begun.
func (b *balancer) stopping(d *process.Daemon) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed[d]
}

// floodTeam is the team whose request rate Options.FloodFactor multiplies.
const floodTeam = "disclosure"

// load sends the requests of each job at its rate until the span is over, and collects
// the results.
type load struct {
	mu      sync.Mutex
	results []*result
	started int
	wg      sync.WaitGroup
}

func (w *world) load(ctx context.Context, b *balancer, span time.Duration) *load {
	l := &load{}
	end := time.Now().Add(span)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		select {
		case <-ctx.Done():
		case <-time.After(span):
		}
	}()
	for i, j := range jobs() {
		j.perSecond *= w.opts.Rate
		if j.team == floodTeam {
			j.perSecond *= w.opts.FloodFactor
		}
		rng := rand.New(rand.NewPCG(w.opts.Seed, uint64(100+i)))
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for n := 0; ; n++ {
				gap := time.Duration(rng.ExpFloat64() / j.perSecond * float64(time.Second))
				if time.Now().Add(gap).After(end) || ctx.Err() != nil {
					return
				}
				time.Sleep(gap)
				l.send(ctx, w, b, newRequest(j, n, rng))
			}
		}()
	}
	return l
}

func (l *load) send(ctx context.Context, w *world, b *balancer, r *callerRequest) {
	l.mu.Lock()
	l.started++
	l.mu.Unlock()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		res := w.do(ctx, r, b)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.results = append(l.results, res)
	}()
}

// progress returns the numbers of requests that were sent and that have ended.
func (l *load) progress() (started, ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started, len(l.results)
}
