// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"streambend.example/conn"
	"streambend.example/request"
)

// The kinds of request between daemons.
const (
	askClaim    = "claim"    // returns the state of a claim held by the receiver
	askVersion  = "version"  // returns the receiver's active configuration version
	askHandOver = "handover" // stores answers on the receiver until their callers reconnect
	askTakeOver = "takeover" // returns and removes a stored answer
)

const askTimeout = time.Second

type claimAnswer struct {
	State request.HolderState `codec:"s"`
}

type versionAnswer struct {
	Version int64 `codec:"v"`
}

type takeOverAnswer struct {
	Found    bool             `codec:"f"`
	Snapshot request.Snapshot `codec:"s"`
}

// handoverStore stores answers handed over by daemons that are shutting down, until
// their callers reconnect.
type handoverStore struct {
	mu  sync.Mutex
	lru *simplelru.LRU[string, storedAnswer]
}

type storedAnswer struct {
	at       time.Time
	snapshot request.Snapshot
}

const (
	maxHandovers = 512
	handoverTTL  = 2 * time.Minute
)

func newHandoverStore() *handoverStore {
	lru, _ := simplelru.NewLRU[string, storedAnswer](maxHandovers, nil)
	return &handoverStore{lru: lru}
}

func (h *handoverStore) put(now time.Time, name string, s request.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lru.Add(name, storedAnswer{now, s})
}

// take removes and returns the answer stored under a name.
func (h *handoverStore) take(now time.Time, name string) (request.Snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.lru.Get(name)
	h.lru.Remove(name)
	return a.snapshot, ok && now.Sub(a.at) <= handoverTTL
}

// handlePeerRequest handles a request from another daemon.
func (d *Daemon) handlePeerRequest(_ context.Context, from, kind string, body []byte) ([]byte, error) {
	switch kind {
	case askClaim:
		var name string
		if err := conn.Unmarshal(body, &name); err != nil {
			return nil, err
		}
		return conn.Marshal(claimAnswer{d.Server.AnswerClaim(name)}), nil
	case askVersion:
		return conn.Marshal(versionAnswer{d.Config().Version}), nil
	case askHandOver:
		var hs []request.Handover
		if err := conn.Unmarshal(body, &hs); err != nil {
			return nil, err
		}
		for _, h := range hs {
			d.handovers.put(time.Now(), h.Name, h.Snapshot)
		}
		d.log.WithField("part", "process").Infof("handover: stored %d answers from %s", len(hs), from)
		return nil, nil
	case askTakeOver:
		var name string
		if err := conn.Unmarshal(body, &name); err != nil {
			return nil, err
		}
		s, ok := d.handovers.take(time.Now(), name)
		return conn.Marshal(takeOverAnswer{ok, s}), nil
	}
	return nil, errors.Errorf("process: unknown peer request kind %q", kind)
}

// peerAsker implements request.Peers.
type peerAsker struct{ d *Daemon }

// AskClaim asks the daemon instance that holds a claim for its state. A daemon
// that has restarted since is a different instance and does not know the claim.
func (p peerAsker) AskClaim(ctx context.Context, holder, name string) request.HolderState {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	member, _, _ := strings.Cut(holder, "#")
	for _, m := range p.d.Hub.Mesh.Members() {
		if m.Name != member || holder != instanceOf(m) {
			continue
		}
		b, err := p.d.Hub.Ask(ctx, member, askClaim, conn.Marshal(name))
		var a claimAnswer
		if err == nil && conn.Unmarshal(b, &a) == nil {
			return a.State
		}
	}
	return request.HolderUnknown
}

// handoverPeers returns up to two daemons that store a handed-over answer, in
// rendezvous order: daemons with the same member list get the same result.
func (d *Daemon) handoverPeers(name string) []conn.Member {
	var out []conn.Member
	best := make(map[string]uint64)
	for _, m := range d.Hub.Mesh.Members() {
		if m.Name == d.Self.Name && d.draining.Load() {
			continue
		}
		best[m.Name] = xxhash.Sum64String(m.Name + "|" + name)
		i := 0
		for i < len(out) && best[out[i].Name] > best[m.Name] {
			i++
		}
		out = append(out[:i], append([]conn.Member{m}, out[i:]...)...)
	}
	return out[:min(len(out), 2)]
}

// maxAsked is the maximum number of daemons asked about one claim.
const maxAsked = 16

// AnyRan implements request.Peers. Daemons that have crashed are not covered.
func (p peerAsker) AnyRan(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	members := p.d.Hub.Mesh.Members()
	ran := make(chan bool, len(members))
	asked := 0
	for _, m := range members {
		if m.Name == p.d.Self.Name || asked == maxAsked {
			continue
		}
		asked++
		go func() {
			b, err := p.d.Hub.Ask(ctx, m.Name, askClaim, conn.Marshal(name))
			var a claimAnswer
			known := err == nil && conn.Unmarshal(b, &a) == nil
			ran <- known && (a.State == request.HolderRan || a.State == request.HolderRunning)
		}()
	}
	for range asked {
		if <-ran {
			return true
		}
	}
	return false
}

// RecentStop implements request.Peers.
func (p peerAsker) RecentStop(now time.Time) bool {
	return p.d.Hub.Mesh.LeftSince(now.Add(-handoverTTL))
}

// TakeOver fetches a handed-over answer from the daemons responsible for storing it.
func (p peerAsker) TakeOver(ctx context.Context, name string) (request.Snapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, m := range p.d.handoverPeers(name) {
		if m.Name == p.d.Self.Name {
			if s, ok := p.d.handovers.take(time.Now(), name); ok {
				return s, true
			}
			continue
		}
		b, err := p.d.Hub.Ask(ctx, m.Name, askTakeOver, conn.Marshal(name))
		var a takeOverAnswer
		if err == nil && conn.Unmarshal(b, &a) == nil && a.Found {
			return a.Snapshot, true
		}
	}
	return request.Snapshot{}, false
}

// handOver sends the unfinished answers with an idempotency key to peers and returns their number.
func (d *Daemon) handOver() int {
	hs := d.Server.HandOver()
	byPeer := make(map[string][]request.Handover)
	for _, h := range hs {
		if ks := d.handoverPeers(h.Name); len(ks) > 0 {
			byPeer[ks[0].Name] = append(byPeer[ks[0].Name], h)
		}
	}
	var wg sync.WaitGroup
	for name, part := range byPeer {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 2*askTimeout)
			defer cancel()
			if _, err := d.Hub.Ask(ctx, name, askHandOver, conn.Marshal(part)); err != nil {
				d.log.WithField("part", "process").Warnf("handover: sending %d answers to %s failed: %v", len(part), name, err)
			}
		}()
	}
	wg.Wait()
	return len(hs)
}

// memberVersion is a daemon and its active configuration version.
type memberVersion struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Version int64  `json:"version"` // -1 if it did not answer
}

// versions asks every daemon for its active configuration version.
func (d *Daemon) versions(ctx context.Context) []memberVersion {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ms := d.Hub.Mesh.Members()
	out := make([]memberVersion, len(ms))
	var wg sync.WaitGroup
	for i, m := range ms {
		out[i] = memberVersion{Name: m.Name, Zone: m.Zone, Version: -1}
		if m.Name == d.Self.Name {
			out[i].Version = d.Config().Version
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			b, err := d.Hub.Ask(ctx, m.Name, askVersion, nil)
			var a versionAnswer
			if err == nil && conn.Unmarshal(b, &a) == nil {
				out[i].Version = a.Version
			}
		}()
	}
	wg.Wait()
	return out
}
