// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// bookedFraction is the fraction of a limit's rate that is booked. The rest is left for new requests: those
	// with a short target can't wait until the booked ones have been served.
	bookedFraction = 0.8
	// claimTTL is how long a booking is kept after its time: a repeat takes a new connection, which a caller
	// may be slow to open.
	claimTTL = 500 * time.Millisecond
	// maxBookings bounds the bookings of a team: a decision takes 32 us with 1,000 of them.
	maxBookings = 1024
)

// booking promises units to the repeat of a refused request.
type booking struct {
	due   time.Time
	key   uint64
	units float64
}

// bookings are the promises of one bucket, in the order of their times. The zero value is empty.
type bookings struct {
	list []booking
	next time.Time // earliest time of the next booking, which keeps to bookedFraction
}

// expire drops the bookings that were not claimed in time.
func (k *bookings) expire(now time.Time) {
	n := 0
	for n < len(k.list) && now.Sub(k.list[n].due) > claimTTL {
		n++
	}
	k.list = slices.Delete(k.list, 0, n)
}

// claim looks up the booking of a request. It removes it if its time has come, and otherwise returns the time
// that is left.
func (k *bookings) claim(now time.Time, key uint64) (wait time.Duration, found bool) {
	k.expire(now)
	i := slices.IndexFunc(k.list, func(b booking) bool { return b.key == key })
	if i < 0 {
		return 0, false
	}
	if wait = k.list[i].due.Sub(now); wait > 0 {
		return wait, true
	}
	k.list = slices.Delete(k.list, i, i+1)
	return 0, true
}

// leaves reports whether a bucket with a level has the units of a new request, and can still keep every
// booking after it has given them.
func (k *bookings) leaves(now time.Time, level, rate, burst, units float64) bool {
	k.expire(now)
	if level < min(units, burst) {
		return false
	}
	_, ok := k.after(now, level-units, rate, burst)
	return ok
}

// after returns the level that remains at the time of the last booking once all have been claimed, and
// whether the level suffices for each.
func (k *bookings) after(now time.Time, level, rate, burst float64) (left float64, ok bool) {
	ok = true
	for _, b := range k.list {
		if dt := b.due.Sub(now); dt > 0 {
			level = min(level+rate*dt.Seconds(), burst)
			now = b.due
		}
		ok = ok && level >= min(b.units, burst)
		level -= b.units
	}
	return level, ok
}

// earliest returns the time until a request can be served after all bookings.
func (k *bookings) earliest(now time.Time, level, rate, burst, units float64) time.Duration {
	left, _ := k.after(now, level, rate, burst)
	from := now
	if n := len(k.list); n > 0 && k.list[n-1].due.After(now) {
		from = k.list[n-1].due
	}
	short := max(min(units, burst)-left, 0)
	due := from.Add(seconds(short / max(rate, 1e-3)))
	if k.next.After(due) {
		due = k.next
	}
	return due.Sub(now)
}

// add books units for a request, and reports whether there was room for one more booking.
func (k *bookings) add(due time.Time, key uint64, units, rate float64) bool {
	if len(k.list) >= maxBookings {
		return false
	}
	k.list = append(k.list, booking{due, key, units})
	k.next = due.Add(seconds(units / (bookedFraction * max(rate, 1e-3))))
	return true
}

// seconds converts seconds to a duration, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
