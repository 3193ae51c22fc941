// SPDX-License-Identifier: MIT

package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Role says which requests the endpoints of a version may get.
type Role int32

// The roles of a version.
const (
	Own    Role = iota // all requests: a current version of the service
	Trial              // the share of requests that a roll-out sends it
	Barred             // no requests: no order allows any
)

// String returns the role's name.
func (r Role) String() string { return [...]string{"own", "trial", "barred"}[r] }

// VersionPolicy says which versions of a service may run requests. In the zero value, without an order,
// any version may.
type VersionPolicy struct {
	Own        []string // current versions without an order; nil if unknown
	Settled    []string // versions that all daemons have had time to learn of; nil for any
	OrderState          // state of the newest order
	Order      bool     // there is an order
}

// RoleOf returns the role of a version. While the stage of an order is unknown its target version
// gets no requests, as it may have been rolled back.
func (s VersionPolicy) RoleOf(version string) Role {
	if s.Settled != nil && !slices.Contains(s.Settled, version) {
		return Barred
	}
	own := s.Own == nil || slices.Contains(s.Own, version)
	if !s.Order {
		return choose(own, Own, Barred)
	}
	if version == s.Target {
		switch {
		case s.Stage == Completed, s.Own != nil && own:
			return Own
		case s.Stage == Watching, s.Stage == Shifting:
			return Trial
		}
		return Barred
	}
	return choose(own && s.Stage != Completed, Own, Barred)
}

func choose(first bool, a, b Role) Role {
	if first {
		return a
	}
	return b
}

// minOwnShare is the share of a service's endpoints that must run a version for it to be a current
// one without an order. Two versions with half each are both current, as in a fleet that is being
// updated; a single endpoint of another version is not.
const minOwnShare = 1.0 / 3

// OwnVersions returns the current versions of a service, given how many of the endpoints found at the
// start run each.
func OwnVersions(found map[string]int) []string {
	total := 0
	for _, n := range found {
		total += n
	}
	var own []string
	for v, n := range found {
		if float64(n) >= minOwnShare*float64(total) {
			own = append(own, v)
		}
	}
	if len(own) == 0 && total > 0 { // many versions, none with a third: take the most common
		versions := slices.SortedFunc(maps.Keys(found), func(a, b string) int {
			return cmp.Or(cmp.Compare(found[b], found[a]), cmp.Compare(a, b))
		})
		own = versions[:1]
	}
	slices.Sort(own)
	return own
}
