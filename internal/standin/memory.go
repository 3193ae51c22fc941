// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"streambend.example/seam"
)

// errFault is the error of a call that fails by an injected fault.
var errFault = errors.New("standin: injected fault")

// Fault selects the faults that a store injects. The zero value injects none.
type Fault struct {
	Down      bool          // calls fail before any effect
	Delay     time.Duration // latency added to each call
	LoseEvery int           // every n-th write takes effect but returns an error
}

// Faults holds a Fault that can be replaced at any time.
type Faults struct {
	mu     sync.Mutex
	f      Fault
	writes int
}

// Set replaces the injected faults.
func (s *Faults) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

// begin waits for the delay and returns an error if the call must fail without an effect.
func (s *Faults) begin(ctx context.Context) error {
	s.mu.Lock()
	f := s.f
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down {
		return errFault
	}
	return nil
}

// losesResponse counts a write and reports whether its response is lost.
func (s *Faults) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.f.LoseEvery > 0 && s.writes%s.f.LoseEvery == 0
}

// Memory is an in-memory seam.Table.
type Memory struct {
	Faults Faults

	mu     sync.Mutex
	items  map[seam.Key]seam.Item
	nonces map[string]bool
	units  Units
}

// Units counts the capacity units that the table would bill: one for each item read, one for an
// item written alone, two for each item written in a transaction of several.
type Units struct {
	Reads  int
	Writes int
	Calls  int
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{items: make(map[seam.Key]seam.Item), nonces: make(map[string]bool)}
}

// Units returns the capacity units used so far.
func (m *Memory) Units() Units {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.units
}

// Get implements seam.Table.
func (m *Memory) Get(ctx context.Context, k seam.Key) (seam.Item, error) {
	if err := m.Faults.begin(ctx); err != nil {
		return seam.Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.units.Calls++
	m.units.Reads++
	it, ok := m.items[k]
	if !ok {
		return seam.Item{}, seam.ErrNotFound
	}
	return it, nil
}

// Query implements seam.Table.
func (m *Memory) Query(ctx context.Context, part, after string, limit int) ([]seam.Item, error) {
	if err := m.Faults.begin(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []seam.Item
	for k, it := range m.items {
		if k.Part == part && k.Sort > after {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.Sort < out[j].Key.Sort })
	if len(out) > limit {
		out = out[:limit]
	}
	m.units.Calls++
	m.units.Reads += max(1, len(out))
	return out, nil
}

// Write implements seam.Table.
func (m *Memory) Write(ctx context.Context, nonce string, writes ...seam.Write) error {
	if err := m.Faults.begin(ctx); err != nil {
		return err
	}
	if err := m.apply(nonce, writes); err != nil {
		return err
	}
	if m.Faults.losesResponse() {
		return errFault
	}
	return nil
}

func (m *Memory) apply(nonce string, writes []seam.Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.units.Calls++
	cost := 1
	if len(writes) > 1 {
		cost = 2
	}
	m.units.Writes += cost * len(writes)
	if m.nonces[nonce] {
		return nil
	}
	for _, w := range writes {
		if m.items[w.Key].Rev != w.Rev {
			return seam.ErrConflict
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(m.items, w.Key)
			continue
		}
		m.items[w.Key] = seam.Item{Key: w.Key, Rev: w.Rev + 1, Nonce: nonce, Value: w.Value}
	}
	m.nonces[nonce] = true
	return nil
}

// MemoryObjects is an in-memory seam.Objects.
type MemoryObjects struct {
	Faults Faults

	mu   sync.Mutex
	objs map[string][]byte
}

// Get implements seam.Objects.
func (m *MemoryObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := m.Faults.begin(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.objs[name]
	if !ok {
		return nil, seam.ErrNotFound
	}
	return b, nil
}

// Put implements seam.Objects.
func (m *MemoryObjects) Put(ctx context.Context, name string, value []byte) error {
	if err := m.Faults.begin(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.objs[name]; ok {
		return seam.ErrConflict
	}
	if m.objs == nil {
		m.objs = make(map[string][]byte)
	}
	m.objs[name] = value
	if m.Faults.losesResponse() {
		return errFault
	}
	return nil
}
