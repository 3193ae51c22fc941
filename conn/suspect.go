// SPDX-License-Identifier: MIT

package conn

import (
	"slices"
	"strings"
	"time"
)

// Suspect marks an unreachable member as suspected, and broadcasts that.
func (m *Mesh) Suspect(now time.Time, name string) []Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.members[name]; k != nil && k.State == MemberAlive && name != m.self.Name {
		return m.suspect(now, k)
	}
	return nil
}

// RecordDial records whether a member's address refused the last connection that was tried.
func (m *Mesh) RecordDial(name string, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.members[name]; k != nil {
		k.refused = refused
	}
}

// Silent returns the members that are dead by silence alone, whose addresses do not refuse connections: they may be alive
// behind a cut.
func (m *Mesh) Silent() (out []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.members {
		if k.State == MemberDead && !k.refused {
			out = append(out, k.Member)
		}
	}
	return out
}

func (m *Mesh) suspect(now time.Time, k *memberRecord) []Send {
	x := k.Member
	x.State = MemberSuspect
	m.merge(now, x)
	return m.spreadMembers([]Member{x}, "")
}

// expireMembers declares suspected members dead after Timing.Refute, and removes dead and left
// members after Timing.Forget.
func (m *Mesh) expireMembers(now time.Time) {
	changed := false
	for name, k := range m.members {
		switch {
		case k.State == MemberSuspect && now.Sub(k.since) >= m.timing.Refute:
			// The neighbour entry of an open link stays: over it, a box that was frozen
			// learns that it was declared dead, and refutes it.
			k.State, k.since, changed = MemberDead, now, true
		case k.State > MemberSuspect && now.Sub(k.since) >= m.timing.Forget:
			delete(m.members, name)
			changed = true
			for o := range m.seen {
				if o.name == name {
					delete(m.seen, o)
				}
			}
		}
	}
	if changed {
		m.updateDigest()
	}
}

// refute refutes a suspicion of this daemon, or a record that ranks a previous start of it as later.
func (m *Mesh) refute(now time.Time) []Send {
	k := m.members[m.self.Name]
	former := k.Start != m.self.Start
	if !former && k.State == MemberAlive || m.self.State == MemberLeft {
		return nil
	}
	if former {
		m.self.Former, m.self.Refuted = k.rank(), 0
	} else {
		m.self.Refuted = k.Refuted + 1
	}
	m.members[m.self.Name] = &memberRecord{Member: m.self, since: now}
	m.updateDigest()
	return m.spreadMembers([]Member{m.self}, "")
}

// Retry returns the next dead member to dial, in turn, at most one per Timing.Retry. After
// a network partition each side has declared the other dead, so one side must dial again.
func (m *Mesh) Retry(now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastRetry) < m.timing.Retry {
		return Member{}, false
	}
	var dead []Member
	for _, k := range m.members {
		if k.State == MemberDead {
			dead = append(dead, k.Member)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	slices.SortFunc(dead, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	m.lastRetry = now
	m.retries++
	return dead[m.retries%len(dead)], true
}
