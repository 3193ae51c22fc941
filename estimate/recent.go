// SPDX-License-Identifier: MIT

package estimate

import "time"

// recent holds a figure of the current span of time and one of the span before.
type recent[T any] struct {
	began             time.Time // the current span
	current, previous T
}

// advance drops what is older than the span before the one that contains now.
func (r *recent[T]) advance(now time.Time, span time.Duration) {
	var empty T
	switch age := now.Sub(r.began); {
	case age < span:
	case age < 2*span:
		r.previous, r.current, r.began = r.current, empty, r.began.Add(span)
	default:
		r.previous, r.current, r.began = empty, empty, now
	}
}
