// SPDX-License-Identifier: MIT

package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Role says what an endpoint of some version may get.
type Role int32

// The roles of a version.
const (
	Own    Role = iota // requests, as the service's own version
	Trial              // the requests that a roll-out sends it
	Barred             // nothing: no order lets requests reach it
)

// String returns the role's name.
func (r Role) String() string { return [...]string{"own", "trial", "barred"}[r] }

// Standing is which versions a service has. The zero value has no order, and any version is the
// service's own.
type Standing struct {
	Own   []string // versions that are the service's own without any order; nil while not known
	Fact           // on the newest order
	Order bool     // there is one
}

// RoleOf returns the role of a version. While it is not known how far an order has come, its
// version gets nothing: it may have been rolled back.
func (s Standing) RoleOf(version string) Role {
	own := s.Own == nil || slices.Contains(s.Own, version)
	if !s.Order {
		return pick(own, Own, Barred)
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
	return pick(own && s.Stage != Completed, Own, Barred)
}

func pick(first bool, a, b Role) Role {
	if first {
		return a
	}
	return b
}

// ownShare is the part of a service's endpoints that must carry a version for it to be the
// service's own where nobody has ordered any: half and half is a fleet between two versions, one
// among many is a stray that nobody has asked for.
const ownShare = 1.0 / 3

// OwnOf returns the versions that are a service's own, by how many of the endpoints that it was
// found with carry which.
func OwnOf(found map[string]int) []string {
	total := 0
	for _, n := range found {
		total += n
	}
	var own []string
	for v, n := range found {
		if float64(n) >= ownShare*float64(total) {
			own = append(own, v)
		}
	}
	if len(own) == 0 && total > 0 { // many versions, none with a third
		versions := slices.SortedFunc(maps.Keys(found), func(a, b string) int {
			return cmp.Or(cmp.Compare(found[b], found[a]), cmp.Compare(a, b))
		})
		own = versions[:1]
	}
	slices.Sort(own)
	return own
}
