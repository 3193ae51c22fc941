// SPDX-License-Identifier: MIT

package crash

import "time"

// Recent is a set of recently added keys. A key stays for at least Period, unless Most newer ones
// are added, and for at most twice Period. The zero value holds nothing.
type Recent[K comparable] struct {
	Period time.Duration
	Most   int

	started           time.Time // start of the current generation
	current, previous map[K]struct{}
}

// Add adds a key.
func (r *Recent[K]) Add(now time.Time, k K) {
	r.rotate(now)
	if r.current == nil {
		r.current = make(map[K]struct{})
	}
	r.current[k] = struct{}{}
}

// Has reports whether a key is in the set.
func (r *Recent[K]) Has(now time.Time, k K) bool {
	r.rotate(now)
	_, newer := r.current[k]
	_, older := r.previous[k]
	return newer || older
}

// rotate starts a new generation once the current one is full or older than Period, and drops the
// previous one.
func (r *Recent[K]) rotate(now time.Time) {
	age := now.Sub(r.started)
	if age < r.Period && len(r.current) < r.Most {
		return
	}
	r.previous, r.current, r.started = r.current, nil, now
	if age >= 2*r.Period {
		r.previous = nil
	}
}
