// SPDX-License-Identifier: MIT

package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"streambend.example/clock"
	"streambend.example/seam"
)

// RowsFault selects the faults that Rows injects.
type RowsFault struct {
	Busy            bool                     // responds to every request with 503
	NoResponse      bool                     // never responds
	Lost            bool                     // executes transactions but never responds to them
	Delay           time.Duration            // added before each request is executed
	RejectedDaemons map[string]bool          // callers, by their X-Daemon header, that get RejectStatus
	RejectStatus    int                      // 0 for 503
	ResponseDelay   map[string]time.Duration // delay of the response after the execution, by caller
	Mute            string                   // table whose requests get no response from the callers in Muted
	MutedCall       string                   // the only call to which Mute applies, such as rows-get; empty for all
	Muted           map[string]bool          // callers to which Mute applies
}

// Rows is a stand-in for the transactional store of the users' platform. It implements the calls
// that the adapter makes.
type Rows struct {
	server *http.Server
	addr   string
	began  time.Time

	mu          sync.Mutex
	fault       RowsFault
	version     int64
	rows        map[rowKey]storedRow
	truncatedAt int64 // the change feed holds no changes up to this version
	wake        chan struct{}
	calls       map[string]int
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version int64
	removed bool
}

type rowJSON struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version"`
	Removed bool   `json:"removed,omitempty"`
}

type pageJSON struct {
	Rows    []rowJSON `json:"rows"`
	More    bool      `json:"more_pages"`
	Version int64     `json:"schema_version"`
	ClockMS float64   `json:"current_time_ms"`
}

type txJSON struct {
	If     []rowJSON `json:"expected_revision"`
	Writes []rowJSON `json:"writes"`
	Remove []rowJSON `json:"remove"`
}

// NewRows starts a server for an empty store at an address.
func NewRows(n seam.Network, address string) (*Rows, error) {
	s := &Rows{began: time.Now(), version: 1, rows: make(map[rowKey]storedRow), wake: make(chan struct{}), calls: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /streambend/rows-get", s.withFaults(s.serveGet))
	mux.HandleFunc("GET /streambend/rows-parts", s.withFaults(s.serveParts))
	mux.HandleFunc("GET /streambend/rows-feed", s.withFaults(s.serveFeed))
	mux.HandleFunc("POST /streambend/rows-tx", s.withFaults(s.serveTx))
	var err error
	s.server, s.addr, err = listenAt(n, address, mux)
	return s, err
}

// Address returns host:port.
func (s *Rows) Address() string { return s.addr }

// Close stops the server.
func (s *Rows) Close() { s.server.Close() }

// SetFault replaces the injected faults.
func (s *Rows) SetFault(f RowsFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notify() // long polls in progress see the new faults
}

// rejects reports whether a request is rejected, and with which status.
func (f *RowsFault) rejects(r *http.Request) (status int, ok bool) {
	if f.RejectedDaemons[r.Header.Get(daemonHeader)] {
		return cmp.Or(f.RejectStatus, http.StatusServiceUnavailable), true
	}
	return http.StatusServiceUnavailable, f.Busy
}

// mutes reports whether a request gets no response.
func (f *RowsFault) mutes(r *http.Request) bool {
	return f.Mute != "" && r.URL.Query().Get("table") == f.Mute && f.Muted[r.Header.Get(daemonHeader)] && strings.HasSuffix(r.URL.Path, f.MutedCall)
}

// Calls returns the number of requests for a path, or for a path and, after a space, a table.
func (s *Rows) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a row without a condition, as an operator or an endpoint does.
func (s *Rows) Put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3
	s.set(rowKey{table, part, key}, storedRow{value: value, version: s.version})
}

// Drop removes a row.
func (s *Rows) Drop(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3
	s.set(rowKey{table, part, key}, storedRow{version: s.version, removed: true})
}

// TruncateFeed truncates the change feed, so that feed requests from an earlier version get 410.
func (s *Rows) TruncateFeed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncatedAt = s.version
	for k, r := range s.rows {
		if r.removed {
			delete(s.rows, k)
		}
	}
	s.notify()
}

// Value returns the value of a row, or nil if it is absent.
func (s *Rows) Value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].value
}

func (s *Rows) set(k rowKey, r storedRow) {
	s.rows[k] = r
	s.notify()
}

func (s *Rows) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// withFaults wraps a handler with the injected faults.
func (s *Rows) withFaults(h func(w http.ResponseWriter, r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.calls[r.URL.Path]++
		s.calls[r.URL.Path+" "+r.URL.Query().Get("table")]++
		s.mu.Unlock()
		if status, ok := f.rejects(r); ok {
			w.WriteHeader(status)
			return
		}
		if f.NoResponse || f.mutes(r) {
			io.Copy(io.Discard, r.Body) // otherwise the server does not detect that the caller disconnects
			<-r.Context().Done()
			return
		}
		time.Sleep(f.Delay)
		status, body := h(w, r)
		time.Sleep(f.ResponseDelay[r.Header.Get(daemonHeader)])
		if f.Lost && r.Method == http.MethodPost {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body)
	}
}

// daemonHeader identifies the calling daemon; the network of a test adds it.
const daemonHeader = "X-Daemon"

func (s *Rows) page(rows []rowJSON) pageJSON {
	return pageJSON{Rows: rows, Version: s.version, ClockMS: float64(time.Since(s.began)) / float64(time.Millisecond)}
}

func (s *Rows) serveGet(_ http.ResponseWriter, r *http.Request) (int, any) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []rowJSON
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && !v.removed {
			out = append(out, rowJSON{k.table, k.part, k.key, v.value, v.version, false})
		}
	}
	slices.SortFunc(out, func(a, b rowJSON) int { return strings.Compare(a.Key, b.Key) })
	p := s.page(out[:min(limit, len(out))])
	p.More = len(out) > limit
	return http.StatusOK, p
}

func (s *Rows) serveParts(_ http.ResponseWriter, r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[string]bool)
	for k, v := range s.rows {
		if k.table == r.URL.Query().Get("table") && !v.removed {
			parts[k.part] = true
		}
	}
	return http.StatusOK, map[string]any{"parts": slices.Sorted(maps.Keys(parts)), "schema_version": s.version}
}

func (s *Rows) serveFeed(_ http.ResponseWriter, r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_revision"), 10, 64) // the adapter always sends a number
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	// time.AfterFunc as in linkDirection.transmit: the channel of a time.Timer crashes the race
	// detector in virtual time.
	over := make(chan struct{})
	defer time.AfterFunc(max(time.Duration(wait)*time.Millisecond, clock.LeastTimer), func() { close(over) }).Stop()
	last := false // the wait has expired
	for {
		s.mu.Lock()
		wake := s.wake
		gone, silent := after < s.truncatedAt, s.fault.NoResponse
		status, away := s.fault.rejects(r)
		rows := s.changes(q.Get("table"), after)
		p := s.page(rows)
		s.mu.Unlock()
		if away {
			return status, nil
		}
		if gone {
			return http.StatusGone, nil
		}
		if silent {
			<-r.Context().Done()
			return http.StatusOK, p
		}
		if last || len(rows) > 0 {
			return http.StatusOK, p
		}
		select {
		case <-wake:
		case <-over:
			last = true // respond with the current state
		case <-r.Context().Done():
			return http.StatusOK, p
		}
	}
}

// changes returns the rows of a table that changed after a version, in order of
// version; the caller holds the lock.
func (s *Rows) changes(table string, after int64) []rowJSON {
	var out []rowJSON
	for k, v := range s.rows {
		if k.table == table && v.version > after {
			out = append(out, rowJSON{k.table, k.part, k.key, v.value, v.version, v.removed})
		}
	}
	slices.SortFunc(out, func(a, b rowJSON) int { return int(a.Version - b.Version) })
	return out
}

func (s *Rows) serveTx(_ http.ResponseWriter, r *http.Request) (int, any) {
	var tx txJSON
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.If {
		row := s.rows[rowKey{c.Table, c.Part, c.Key}]
		have := row.version
		if row.removed {
			have = 0
		}
		if have != c.Version {
			return http.StatusPreconditionFailed, s.page(nil)
		}
	}
	s.version += 2
	for _, x := range tx.Writes {
		s.set(rowKey{x.Table, x.Part, x.Key}, storedRow{value: x.Value, version: s.version})
	}
	for _, x := range tx.Remove {
		s.set(rowKey{x.Table, x.Part, x.Key}, storedRow{version: s.version, removed: true})
	}
	return http.StatusOK, s.page(nil)
}
