// SPDX-License-Identifier: MIT

package conn

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSpreadMembers is the number of new members up to which a neighbour's complete list is
// forwarded. With more, this daemon itself was disconnected, and the digests of the
// next heartbeats reconcile the rest.
const maxSpreadMembers = 8

// Mesh implements the membership and broadcast protocol of the overlay. It does no I/O.
type Mesh struct {
	timing Timing

	mu         sync.Mutex
	self       Member
	members    map[string]*memberRecord
	neighbours map[string]*neighbour
	seen       map[origin]*sequenceWindow
	seq        uint64
	version    int64
	digest     uint64
	alive      []Member // cached result of live; nil after a change of members
	wanted     []Member // cached result of Wanted; nil after a change of members
	countAlive int
	countKnown int
	lastBeat   time.Time
	lastRetry  time.Time
	retries    int
	pending    []Send // frames due after Learn, sent at the next Tick
	spread     memberSpread
}

// NewMesh returns the overlay state of a daemon that knows no other member.
func NewMesh(self Member, t Timing) *Mesh {
	m := &Mesh{
		timing: t, self: self, members: make(map[string]*memberRecord),
		neighbours: make(map[string]*neighbour), seen: make(map[origin]*sequenceWindow),
	}
	m.members[self.Name] = &memberRecord{Member: self}
	m.updateDigest()
	return m
}

// SetVersion sets the configuration version that heartbeats announce.
func (m *Mesh) SetVersion(v int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = v
}

// Neighbours returns the number of open links.
func (m *Mesh) Neighbours() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.neighbours)
}

// NeighbourNames returns the sorted names of the members with open links.
func (m *Mesh) NeighbourNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.neighbours))
}

// Counts returns the number of alive members, and the number of known members that have not
// stopped as planned, including suspected and dead ones.
func (m *Mesh) Counts() (alive, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countAlive, m.countKnown
}

// Learn merges members found outside the overlay, such as in the platform's table.
func (m *Mesh) Learn(now time.Time, ms []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range ms {
		m.merge(now, x)
	}
	m.pending = append(m.pending, m.refute(now)...)
}

// merge updates a member record if x is newer, and reports whether it did.
func (m *Mesh) merge(now time.Time, x Member) bool {
	k := m.members[x.Name]
	if k != nil && !x.newer(k.Member) {
		return false
	}
	if k == nil && x.State > MemberSuspect {
		return false // never known alive here
	}
	m.members[x.Name] = &memberRecord{Member: x, since: now, refused: k != nil && k.refused && x.State > MemberAlive}
	if k != nil {
		m.count(k.Member, -1)
	}
	m.count(x, 1)
	m.alive, m.wanted = nil, nil
	return true
}

// count adds a member to the digest and the counts, or removes it if by is -1.
func (m *Mesh) count(x Member, by int) {
	if x.State == MemberAlive {
		m.countAlive += by
	}
	if x.State != MemberLeft {
		m.countKnown += by
	}
	m.digest ^= x.digest()
}

// digest returns the member's part of the digest of all.
func (m Member) digest() uint64 {
	if m.State > MemberSuspect {
		return 0
	}
	return xxhash.Sum64String(m.Name) * uint64(m.rank()+int64(m.Refuted)+1)
}

// updateDigest recomputes the digest and counts after a change of members, and resets the
// caches; the caller holds m.mu.
func (m *Mesh) updateDigest() {
	m.alive, m.wanted = nil, nil
	m.countAlive, m.countKnown = 0, 0
	m.digest = 0
	for _, k := range m.members {
		m.count(k.Member, 1)
	}
}

// Wanted returns the members to have links with: all up to Timing.FullMesh, else those at ring
// distance ±1, ±2, ±4 and so on. Daemons that know the same members want the same links.
// The result is cached, since it is read several times a second and sorting 295 members
// takes 52 us; the slice is shared and must not be changed.
func (m *Mesh) Wanted() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wanted == nil {
		m.wanted = m.computeWanted()
	}
	return m.wanted
}

// computeWanted computes the result of Wanted; the caller holds m.mu.
func (m *Mesh) computeWanted() []Member {
	ring := slices.Clone(m.live())
	slices.SortFunc(ring, func(a, b Member) int { return cmp.Compare(ringPosition(a), ringPosition(b)) })
	n := len(ring)
	at := slices.IndexFunc(ring, func(x Member) bool { return x.Name == m.self.Name })
	if at < 0 || n < 2 {
		return []Member{}
	}
	if n <= m.timing.FullMesh {
		return slices.Delete(ring, at, at+1)
	}
	picked := make(map[int]bool)
	var out []Member
	for d := 1; d <= n/2; d *= 2 {
		for _, i := range [2]int{(at + d) % n, (at - d + n) % n} {
			if i != at && !picked[i] {
				picked[i] = true
				out = append(out, ring[i])
			}
		}
	}
	return out
}

// Up registers a new link and sends the neighbour the known members, or their digests if they are many.
func (m *Mesh) Up(now time.Time, peer Member) []Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := m.merge(now, peer)
	m.neighbours[peer.Name] = &neighbour{lastReceived: now}
	out := []Send{m.to(peer.Name, m.greeting(peer))}
	if fresh {
		out = append(out, m.spreadNews([]Member{peer}, peer.Name)...)
	}
	return out
}

// Down removes the neighbour whose link has closed.
func (m *Mesh) Down(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.neighbours, name)
}

func (m *Mesh) allMembers() []Member {
	out := make([]Member, 0, len(m.members))
	for _, k := range m.members {
		out = append(out, k.Member)
	}
	return out
}

func (m *Mesh) beat() *beat { return &beat{Digest: m.digest, Version: m.version, Buckets: true} }

func (m *Mesh) to(name string, msg message) Send { return Send{name, frameOf(msg)} }

// spreadMembers sends members to all neighbours but one. It needs no sequence number:
// receivers forward only what was new to them, so the broadcast terminates.
func (m *Mesh) spreadMembers(ms []Member, except string) []Send {
	return m.forward(frameOf(message{Members: ms}), except, "")
}

// flood assigns a sequence number to a message and sends it to all neighbours but one.
func (m *Mesh) flood(msg message, except string) []Send {
	m.seq++
	msg.Origin, msg.Start, msg.Seq = m.self.Name, m.self.Start, m.seq
	return m.forward(frameOf(msg), except, "")
}

func (m *Mesh) forward(f Frame, except, origin string) []Send {
	out := make([]Send, 0, len(m.neighbours))
	for name := range m.neighbours {
		if name != except && name != origin {
			out = append(out, Send{name, f})
		}
	}
	slices.SortFunc(out, func(a, b Send) int { return strings.Compare(a.To, b.To) })
	return out
}

// Broadcast broadcasts a payload to all daemons.
func (m *Mesh) Broadcast(p Payload) []Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.flood(message{Payload: &p}, "")
}

// Give sends a payload to one neighbour only.
func (m *Mesh) Give(name string, p Payload) Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.to(name, message{Origin: m.self.Name, Payload: &p})
}

// Leave announces to all daemons that this one stops as planned.
func (m *Mesh) Leave(now time.Time) []Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = MemberLeft
	m.merge(now, m.self)
	return m.spreadMembers([]Member{m.self}, "")
}

// Tick sends due heartbeats and runs the failure detector.
func (m *Mesh) Tick(now time.Time) []Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := append(m.pending, m.refute(now)...)
	out = append(out, m.flushNews()...)
	m.pending = nil
	if now.Sub(m.lastBeat) >= m.timing.Beat {
		m.lastBeat = now
		out = append(out, m.forward(frameOf(message{Beat: m.beat()}), "", "")...)
	}
	for name, nb := range m.neighbours {
		k := m.members[name]
		if k == nil || k.State != MemberAlive || now.Sub(nb.lastReceived) < m.timing.Silence {
			continue
		}
		out = append(out, m.suspect(now, k)...)
	}
	m.expireMembers(now)
	return out
}

// Receive processes a frame from a neighbour. It returns the frames to send in turn
// and the content of the received frame.
func (m *Mesh) Receive(now time.Time, from string, frame []byte) ([]Send, []Delivery, error) {
	var msg message
	if err := decode(frame, &msg); err != nil {
		return nil, nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if nb := m.neighbours[from]; nb != nil {
		nb.lastReceived = now
	}
	var out []Send
	if msg.Seq > 0 {
		if msg.Origin == m.self.Name || !m.fresh(msg) {
			return nil, nil, nil
		}
		out = m.forward(Frame{msg.kind(), frame}, from, msg.Origin)
	}
	news := m.mergeMembers(now, msg.Members)
	if len(news) > 0 && (msg.Beat == nil || len(news) <= maxSpreadMembers) {
		out = append(out, m.spreadNews(news, from)...)
	}
	out = append(out, m.reconcile(from, msg)...)
	out = append(out, m.refute(now)...)
	var in []Delivery
	if msg.Payload != nil {
		in = append(in, Delivery{From: msg.Origin, Payload: *msg.Payload})
	}
	if msg.Want > 0 {
		in = append(in, Delivery{From: from, Want: msg.Want})
	}
	if msg.Beat != nil {
		out = append(out, m.handleBeat(from, *msg.Beat)...)
	}
	return out, in, nil
}

func (m *Mesh) fresh(msg message) bool {
	o := origin{msg.Origin, msg.Start}
	w := m.seen[o]
	if w == nil {
		w = &sequenceWindow{}
		m.seen[o] = w
	}
	return w.add(msg.Seq)
}

func (m *Mesh) mergeMembers(now time.Time, ms []Member) (news []Member) {
	for _, x := range ms {
		if m.merge(now, x) {
			news = append(news, x)
		}
	}
	return news
}

// handleBeat compares a neighbour's heartbeat with the local state, and returns the frames to reconcile.
func (m *Mesh) handleBeat(from string, b beat) []Send {
	var out []Send
	nb := m.neighbours[from]
	if nb == nil {
		return nil
	}
	nb.buckets = b.Buckets
	nb.digestMismatches++
	if b.Digest == m.digest {
		nb.digestMismatches = 0
	}
	// A change in transit makes digests differ for a moment; members are sent only
	// for a difference that lasts.
	if nb.digestMismatches >= 2 && !b.Full {
		nb.digestMismatches = 0
		if nb.buckets && len(m.members) > maxGreeting {
			out = append(out, m.to(from, message{Buckets: m.buckets()}))
		} else {
			out = append(out, m.to(from, message{Members: m.allMembers(), Beat: m.fullBeat()}))
		}
	}
	if b.Version > m.version {
		out = append(out, m.to(from, message{Want: m.version + 1}))
	}
	return out
}
