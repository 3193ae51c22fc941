// SPDX-License-Identifier: MIT

package request

// Position is how far the caller of a stream has got, over all requests and daemons that have taken part in it. Each attempt
// goes on after it. The zero value is a stream that has not begun.
type Position struct {
	Known bool
	Event int64 // id of the last event that the caller has; 0 is an id like any other
}

// PositionAfter returns the position after an event.
func PositionAfter(event int64) Position { return Position{Known: true, Event: event} }

// passed reports whether the caller has an event.
func (p Position) passed(event int64) bool { return p.Known && event <= p.Event }
