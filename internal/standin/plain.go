// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"streambend.example/seam"
)

// Plain is a service without streaming responses, such as the portal or the player.
type Plain struct {
	work   time.Duration
	ledger *Ledger
	server *http.Server
	addr   string

	mu        sync.Mutex
	noticedAt time.Time
	running   int
	fault     EngineFault
}

// NewPlain starts a plain service whose requests take the given time.
func NewPlain(n seam.Network, work time.Duration, ledger *Ledger) *Plain {
	p := &Plain{work: work, ledger: ledger}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", p.serveLoad)
	mux.HandleFunc("/", p.serve)
	p.server, p.addr = listen(n, mux)
	return p
}

// Address returns host:port.
func (p *Plain) Address() string { return p.addr }

// Notice records that a reclaim of the service's box has been announced.
func (p *Plain) Notice(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noticedAt = now
}

// Kill stops the service and closes its connections.
func (p *Plain) Kill() { p.server.Close() }

// SetFault replaces the injected faults.
func (p *Plain) SetFault(f EngineFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *Plain) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	noticed, f := p.noticedAt, p.fault
	p.mu.Unlock()
	if f.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !noticed.IsZero() {
		p.ledger.countWhileLeaving(time.Since(noticed))
	}
	if body, _ := io.ReadAll(r.Body); f.CrashOn != "" && strings.Contains(string(body), f.CrashOn) {
		p.Kill()
		panic(http.ErrAbortHandler)
	}
	began := time.Now()
	id := r.Header.Get("X-Caller-Request")
	p.ledger.countBegin(p.addr, id, r.Method == http.MethodPost)
	p.add(1)
	defer p.add(-1)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	if f.CutAfter > 0 {
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Worked", time.Since(began).String())
	fmt.Fprintf(w, "%s %s for %s", r.Method, r.URL.Path, id)
}

func (p *Plain) serveLoad(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	json.NewEncoder(w).Encode(loadReport{Running: p.running, Batch: 64})
}
