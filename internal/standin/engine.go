// SPDX-License-Identifier: MIT

package standin

import (
	"container/heap"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"streambend.example/seam"
)

// EngineConfig sets the speed and the capacity of a model engine.
type EngineConfig struct {
	Batch         int           // maximum number of requests in the batch
	Step          time.Duration // time per token of a request in an empty batch
	BatchSlowdown float64       // fraction by which a full batch lengthens Step
	Prefill       float64       // prompt tokens per second
	CacheBlocks   int           // capacity of the prefix cache in blocks
	Lag           time.Duration // delay of the load report
	Transfer      float64       // tokens of KV cache per second over the network
	ChecksFence   bool
}

// EngineFault selects the faults that an engine injects. The zero value injects none.
type EngineFault struct {
	CutAfter   int    // closes the connection after this many tokens
	StallAfter int    // stops sending after this many tokens
	Garble     bool   // sends the response of another request
	Short      bool   // ends with the end marker after half the tokens
	BlackHole  bool   // accepts requests and never responds
	Refuse     bool   // responds with 503 without starting the request
	SlowTimes  int    // factor by which each token takes longer; 0 means 1
	Repeat     bool   // sends the last token of the prompt again if the prompt is token ids
	CrashOn    string // crashes on a plain request whose body contains this string; empty for never
}

// Engine is a model engine with continuous batching.
type Engine struct {
	cfg         EngineConfig
	client      *http.Client
	name        string
	ledger      *Ledger
	server      *http.Server
	addr        string
	done        chan struct{}
	prefillSlot chan struct{} // semaphore: one prompt is prefilled at a time

	mu        sync.Mutex
	fault     EngineFault
	noticedAt time.Time
	running   int
	waiting   waitHeap
	arrivals  int
	cache     *simplelru.LRU[uint64, string] // block hash to cache key
	blockRefs map[uint64]int                 // reference counts of blocks that running requests use
	reports   []loadReport
	events    []cacheEvent
	epoch     int64
}

// NewEngine starts an engine on an unused port.
func NewEngine(n seam.Network, name string, cfg EngineConfig, ledger *Ledger) *Engine {
	e := &Engine{client: seam.HTTPClient(n, 0), cfg: cfg, name: name, ledger: ledger, done: make(chan struct{}), prefillSlot: make(chan struct{}, 1)}
	e.blockRefs = make(map[uint64]int)
	e.cache, _ = simplelru.NewLRU(cfg.CacheBlocks, func(_ uint64, key string) { e.publishEviction(key) })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /kv/export", e.serveExport)
	mux.HandleFunc("POST /kv/import", e.serveImport)
	mux.HandleFunc("POST /order", e.serveOrder)
	e.server, e.addr = listen(n, mux)
	return e
}

// listen serves h on an unused loopback port.
func listen(n seam.Network, h http.Handler) (*http.Server, string) {
	l, err := n.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	return s, l.Addr().String()
}

// Address returns host:port.
func (e *Engine) Address() string { return e.addr }

// Notice records that a reclaim of the engine's box has been announced.
func (e *Engine) Notice(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noticedAt = now
}

// Kill stops the engine and closes its connections.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
	default:
		close(e.done)
		e.server.Close()
	}
}

// SetFault replaces the injected faults.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// waiter is a request that waits for a slot in the batch.
type waiter struct {
	priority int
	order    int
	ready    chan struct{}
	index    int
}

type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].order < h[j].order
}
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	w.index = -1
	*h = old[:len(old)-1]
	return w
}

// acquireSlot waits for a slot in the batch, in order of priority, and reports whether it got one.
func (e *Engine) acquireSlot(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Batch {
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return true
	}
	e.arrivals++
	w := &waiter{priority: priority, order: e.arrivals, ready: make(chan struct{})}
	heap.Push(&e.waiting, w)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	case <-e.done:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&e.waiting, w.index)
	} else {
		e.passSlot()
	}
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passSlot()
}

// passSlot passes a freed batch slot to the first waiter, if any; the caller holds the lock.
func (e *Engine) passSlot() {
	if len(e.waiting) > 0 {
		w := heap.Pop(&e.waiting).(*waiter)
		close(w.ready)
	} else {
		e.running--
	}
	e.recordLoad()
}

func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := float64(e.running) / float64(e.cfg.Batch)
	return time.Duration(float64(e.cfg.Step) * (1 + e.cfg.BatchSlowdown*full) * float64(max(e.fault.SlowTimes, 1)))
}

// pause waits for d and returns false if the request or the engine ends before.
func (e *Engine) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-e.done:
		return false
	}
}
