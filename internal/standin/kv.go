// SPDX-License-Identifier: MIT

package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// cacheEvent reports the eviction of a block of a cache key.
type cacheEvent struct {
	Seq     int64  `json:"seq"`
	Removed string `json:"removed"`
}

type loadReport struct {
	At      time.Time    `json:"-"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Batch   int          `json:"batch"`
	Leaving bool         `json:"leaving"`
	Events  []cacheEvent `json:"events,omitempty"`
}

// recordLoad appends the current load to the reports; the caller holds the lock.
func (e *Engine) recordLoad() {
	e.reports = append(e.reports, loadReport{
		At: time.Now(), Running: e.running, Waiting: len(e.waiting), Batch: e.cfg.Batch,
	})
	if len(e.reports) > 4096 {
		e.reports = e.reports[2048:]
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	if e.fault.BlackHole {
		e.mu.Unlock()
		e.pause(r.Context(), time.Hour)
		return
	}
	rep := loadReport{Batch: e.cfg.Batch}
	for i := len(e.reports) - 1; i >= 0; i-- {
		if time.Since(e.reports[i].At) >= e.cfg.Lag {
			rep = e.reports[i]
			break
		}
	}
	for _, ev := range e.events {
		if ev.Seq > since {
			rep.Events = append(rep.Events, ev)
		}
	}
	e.mu.Unlock()
	json.NewEncoder(w).Encode(rep)
}

// kvBlocks represents the KV cache of a context by the hashes of its blocks.
type kvBlocks struct {
	Blocks []uint64 `json:"blocks"`
}

type importOrder struct {
	From   string `json:"from"`
	Key    string `json:"key"`
	Tokens []int  `json:"tokens"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var o importOrder
	json.NewDecoder(r.Body).Decode(&o)
	var kv kvBlocks
	var state uint64
	e.mu.Lock()
	for i, t := range o.Tokens {
		state = extendHash(state, t)
		if (i+1)%BlockTokens == 0 {
			if !e.hasBlock(state) {
				break
			}
			kv.Blocks = append(kv.Blocks, state)
		}
	}
	e.mu.Unlock()
	json.NewEncoder(w).Encode(kv)
}

// serveImport fetches the KV cache of a context from another engine.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var o importOrder
	json.NewDecoder(r.Body).Decode(&o)
	b, _ := json.Marshal(o)
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+o.From+"/kv/export", bytes.NewReader(b))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resp, err := e.client.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	var kv kvBlocks
	body, _ := io.ReadAll(resp.Body)
	json.Unmarshal(body, &kv)
	moved := len(kv.Blocks) * BlockTokens
	if !e.pause(r.Context(), time.Duration(float64(moved)/e.cfg.Transfer*float64(time.Second))) {
		return
	}
	for _, h := range slices.Backward(kv.Blocks) {
		e.cacheBlock(h, o.Key)
	}
	fmt.Fprintf(w, `{"tokens":%d}`, moved)
}

// engineOrder is an order to load a model or to change role; its epoch is the fencing token.
type engineOrder struct {
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Role  string `json:"role"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	stale := o.Epoch < e.epoch
	if !stale {
		e.epoch = o.Epoch
	}
	e.mu.Unlock()
	e.ledger.countOrder(stale)
	if stale && e.cfg.ChecksFence {
		w.WriteHeader(http.StatusConflict)
	}
}
