// SPDX-License-Identifier: MIT

package quota

import "time"

// Query asks the owner of a team's limit for the units of one request.
type Query struct {
	Asker string        // the asking daemon; empty for the owner itself
	Units float64       // cost of the request
	Key   uint64        // identifies the request; a repeat has the same key
	Wait  time.Duration // longest wait that is of use to the caller
}

// Grant is the owner's answer to a Query.
type Grant struct {
	OK      bool          // the units were taken from the bucket
	Claimed bool          // they had been booked
	Booked  bool          // a repeat after Wait is granted
	Wait    time.Duration // time until the units are available
}

// pendingTTL is how long granted units are expected in the asker's reports: longer than a report takes while
// a reader is replaced.
const pendingTTL = 3 * time.Second

// pendingUnits are units that were granted to a daemon and are not in its reports yet.
type pendingUnits struct {
	units float64
	at    time.Time // of the last grant
}

// Grant decides on the units of a request for all daemons, at the owner of the team's limit. A request that is
// refused gets a booking if its units become available within the wait that is of use to its caller; then no
// other request takes them.
func (q *Buckets) Grant(now time.Time, l Limit, ask Query, share float64) Grant {
	if l.Rate <= 0 {
		return Grant{OK: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, l, share)
	b.own(now)
	rate := l.Rate * share
	w, found := b.bookings.claim(now, ask.Key)
	if w > 0 {
		return Grant{Booked: true, Wait: w}
	}
	switch {
	case found && b.level >= min(ask.Units, b.burst)-claimSlack*b.burst,
		!found && b.bookings.leaves(now, b.level, rate, b.burst, ask.Units):
		b.take(now, ask)
		return Grant{OK: true, Claimed: found}
	}
	g := Grant{Wait: max(b.bookings.earliest(now, b.level, rate, b.burst, ask.Units), minRetryAfter)}
	if g.Wait <= ask.Wait && (ask.Units >= bookedSize*b.burst || g.Wait <= shortWait || b.startReserve(now, g.Wait, rate)) {
		g.Booked = b.bookings.add(now.Add(g.Wait), ask.Key, ask.Units, rate)
	}
	return g
}

const (
	// bookedSize is the size of a request, as a fraction of the burst, from which on it is booked. Smaller ones
	// find room by themselves while a team demands more than its limit; with bookings for these too, they got 1.8
	// times as large a fraction of their units as the large ones.
	bookedSize = 0.02
	// shortWait is the longest wait for which smaller requests are booked.
	shortWait = 20 * time.Millisecond
	// claimSlack is by how much of the burst a bucket may be short when a booking is claimed: what other daemons
	// have admitted by themselves may come between.
	claimSlack = 0.02
)

// startReserve reports whether a request waits only because a process that has just started sets units aside for
// admissions that it has no reports of: the team may be far below its limit.
func (b *bucket) startReserve(now time.Time, wait time.Duration, rate float64) bool {
	return now.Sub(b.began) < unseenTTL && wait <= seconds(b.unseen/max(rate, 1e-3))
}

// take takes the units of a granted request from the bucket.
func (b *bucket) take(now time.Time, ask Query) {
	b.level -= ask.Units
	if ask.Asker == "" {
		return
	}
	if b.pending == nil {
		b.pending = make(map[string]pendingUnits)
	}
	p := b.pending[ask.Asker]
	if now.Sub(p.at) > pendingTTL {
		p.units = 0
	}
	b.pending[ask.Asker] = pendingUnits{p.units + ask.Units, now}
}

// offset returns how much of the units that a daemon reports was not granted to it here.
func (b *bucket) offset(now time.Time, daemon string, units float64) float64 {
	p, ok := b.pending[daemon]
	if !ok || units <= 0 {
		return units
	}
	if now.Sub(p.at) > pendingTTL {
		delete(b.pending, daemon)
		return units
	}
	known := min(p.units, units)
	if p.units -= known; p.units <= 0 {
		delete(b.pending, daemon)
	} else {
		b.pending[daemon] = p
	}
	return units - known
}

// RecordGranted takes units that the owner has granted to this daemon from its own copy of the bucket.
func (q *Buckets) RecordGranted(now time.Time, l Limit, units, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, l, share)
	b.charge(units)
}

const (
	// localFraction is the fraction of a bucket that all daemons together may admit without asking the owner
	// until they learn of each other's admissions.
	localFraction = 0.25
	// localWindow is how long the own admissions count as not known to the others: the longest time that a
	// report takes over two readers.
	localWindow = time.Second
)

// AdmitLocal admits a request without asking the owner, if the team stays far from its limit even if each of
// the daemons that share the limit admits as much before it learns of this.
func (q *Buckets) AdmitLocal(now time.Time, l Limit, units, share float64, sharers int) bool {
	if l.Rate <= 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, l, share)
	if now.Sub(b.localSince) > localWindow {
		b.localBefore, b.local = b.local, 0
		if now.Sub(b.localSince) > 2*localWindow {
			b.localBefore = 0
		}
		b.localSince = now
	}
	if float64(sharers)*(units+b.local+b.localBefore) > localFraction*b.usable() {
		return false
	}
	b.local += units
	b.level -= units
	return true
}
