// SPDX-License-Identifier: MIT

package request

import (
	"cmp"
	"iter"
	"slices"
)

// In a large pool a choice looks at a sample: the endpoints that may hold the prompt's shared parts, and some drawn
// at random. A look at each of 10,000 endpoints takes 4 ms of processor time, which is 22 ms on a fifth of a core,
// and shows little more: of 32 drawn at random the best is among the best tenth with a probability of 0.97. This serves
// pools whose endpoints are mostly idle as well as full ones, where daemons that all chose the best of the whole
// pool would meet there.
const (
	// largePool is the number of endpoints above which a pool is large.
	largePool = 256
	// sampleSize is the number of endpoints drawn at random, half of them from the daemon's own zone.
	sampleSize = 32
)

func (l *poolList) large() bool { return len(l.all) > largePool }

// sample returns the preferred endpoints and some drawn at random, with their indices in l.all. The draw of the
// request determines them.
func (l *poolList) sample(n Need, preferred preferredTargets) iter.Seq2[int, *Target] {
	return func(yield func(int, *Target) bool) {
		for _, t := range preferred {
			if t != nil && !yield(l.indexOf(t), t) {
				return
			}
		}
		for i := range sampleSize {
			draw := mix(n.Draw, uint64(i)+secondDrawSalt)
			t := l.all[pick(draw, len(l.all))]
			if i%2 == 0 && len(l.zone) > 0 {
				t = l.zone[pick(draw, len(l.zone))]
			}
			if !yield(l.indexOf(t), t) {
				return
			}
		}
	}
}

// indexOf returns the index in l.all of an endpoint in the list.
func (l *poolList) indexOf(t *Target) int {
	i, _ := slices.BinarySearchFunc(l.all, t.ID, func(x *Target, id string) int { return cmp.Compare(x.ID, id) })
	return i
}

// preferredTargets are the first endpoints in the rendezvous order of a prompt's shared prefix.
type preferredTargets [len(preferredHit)]*Target

func preferredFor(l *poolList, n Need) preferredTargets {
	var h preferredTargets
	var weights [len(preferredHit)]uint64
	if !n.PreferRendezvous || n.Prefix == 0 {
		return h
	}
	if l.large() {
		return l.successors(n)
	}
	for _, t := range l.all {
		if !t.eligible(n) {
			continue
		}
		w := mix(n.Prefix, t.hash)
		for i := range h {
			if h[i] == nil || w > weights[i] {
				copy(h[i+1:], h[i:])
				copy(weights[i+1:], weights[i:])
				h[i], weights[i] = t, w
				break
			}
		}
	}
	return h
}

// successors returns the eligible endpoints that follow the prefix on a ring of their hashes. All daemons agree on
// them and they change little as endpoints come and go, as in the rendezvous order, which takes a look at each
// endpoint.
func (l *poolList) successors(n Need) (h preferredTargets) {
	for i := range h {
		at, _ := slices.BinarySearchFunc(l.ring, mix(n.Prefix, uint64(i)), func(t *Target, x uint64) int { return cmp.Compare(t.hash, x) })
		for step := range min(len(l.ring), sampleSize) {
			if t := l.ring[(at+step)%len(l.ring)]; t.eligible(n) && !slices.Contains(h[:i], t) {
				h[i] = t
				break
			}
		}
	}
	return h
}

// place returns an endpoint's index in the preferred targets, or -1.
func (h preferredTargets) place(t *Target) int {
	for i, x := range h {
		if x == t {
			return i
		}
	}
	return -1
}
