// SPDX-License-Identifier: MIT

package conn

import (
	"slices"
	"strings"
	"time"
)

// Members returns all members that are alive or suspected, sorted by name. The slice is
// shared and must not be changed.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

// Member returns the record of a member that is alive or suspected.
func (m *Mesh) Member(name string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.members[name]
	if !ok || k.State > MemberSuspect {
		return Member{}, false
	}
	return k.Member, true
}

// live returns the members that are alive or suspected, sorted by name; the caller holds
// m.mu. It is called many times per request and changes rarely, so the result is cached.
func (m *Mesh) live() []Member {
	if m.alive != nil {
		return m.alive
	}
	for _, k := range m.members {
		if k.State <= MemberSuspect {
			m.alive = append(m.alive, k.Member)
		}
	}
	slices.SortFunc(m.alive, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return m.alive
}

// LeftSince reports whether a daemon has stopped as planned after t.
func (m *Mesh) LeftSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.members {
		if k.State == MemberLeft && k.since.After(t) {
			return true
		}
	}
	return false
}
