// SPDX-License-Identifier: MIT

package conn

import "github.com/cespare/xxhash/v2"

// Daemons whose lists of members differ find the difference by digests of buckets of members, and send each other
// the members of the buckets that differ. The whole list of 1,000 members is 100 KB, to each of 20 neighbours of
// each daemon that joins.

const (
	// memberBuckets is the number of buckets; a set of them fits in a word.
	memberBuckets = 64
	// maxGreeting is the number of members up to which the whole list is sent instead of digests.
	maxGreeting = memberBuckets
)

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % memberBuckets) }

// buckets returns the digests of the known members by bucket.
func (m *Mesh) buckets() []uint64 {
	out := make([]uint64, memberBuckets)
	for _, k := range m.members {
		out[bucketOf(k.Name)] ^= k.digest()
	}
	return out
}

// membersIn returns the members in a set of buckets, but for those that known has as new.
func (m *Mesh) membersIn(set uint64, known []Member) (out []Member) {
	have := make(map[string]Member, len(known))
	for _, x := range known {
		have[x.Name] = x
	}
	for _, k := range m.members {
		if x, ok := have[k.Name]; set&(1<<bucketOf(k.Name)) != 0 && (!ok || k.newer(x)) {
			out = append(out, k.Member)
		}
	}
	return out
}

// greeting returns the first message to a new neighbour. Of two neighbours that know many members, the one with
// the lower name starts the comparison.
func (m *Mesh) greeting(peer Member) message {
	switch {
	case len(m.members) <= maxGreeting:
		return message{Members: m.allMembers(), Beat: m.beat()}
	case m.self.Name < peer.Name:
		return message{Buckets: m.buckets(), Beat: m.beat()}
	}
	return message{Beat: m.beat()}
}

// fullBeat returns the heartbeat that accompanies members sent because digests differed. It is not answered with
// members, and if they are many, they are not forwarded.
func (m *Mesh) fullBeat() *beat {
	b := m.beat()
	b.Full = true
	return b
}

// reconcile answers the part of a message that compares members.
func (m *Mesh) reconcile(from string, msg message) []Send {
	if m.neighbours[from] == nil {
		return nil
	}
	if msg.Pull != 0 {
		if newer := m.membersIn(msg.Pull, msg.Members); len(newer) > 0 {
			return []Send{m.to(from, message{Members: newer, Beat: m.fullBeat()})}
		}
		return nil
	}
	if len(msg.Buckets) != memberBuckets {
		return nil
	}
	var differ uint64
	for i, d := range m.buckets() {
		if d != msg.Buckets[i] {
			differ |= 1 << i
		}
	}
	if differ == 0 {
		return nil
	}
	return []Send{m.to(from, message{Members: m.membersIn(differ, nil), Pull: differ, Beat: m.fullBeat()})}
}

// memberSpread bounds the frames by which news of members are forwarded: beyond maxSpreadMembers in one tick they
// wait for the next one and go together. When all daemons start, each would forward each of the others' news alone.
type memberSpread struct {
	sent    int // members forwarded at once since the last tick
	waiting []Member
}

// spreadNews forwards news of members to all neighbours but the one that they came from.
func (m *Mesh) spreadNews(news []Member, from string) []Send {
	if m.spread.sent+len(news) > maxSpreadMembers {
		m.spread.waiting = append(m.spread.waiting, news...)
		return nil
	}
	m.spread.sent += len(news)
	return m.spreadMembers(news, from)
}

// flushNews forwards the news that wait.
func (m *Mesh) flushNews() []Send {
	news := m.spread.waiting
	m.spread = memberSpread{}
	if len(news) == 0 {
		return nil
	}
	return m.spreadMembers(news, "")
}
