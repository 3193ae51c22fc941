// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"streambend.example/conn"
	"streambend.example/outage"
	"streambend.example/reach"
)

// Reader returns the daemon that reads the store for the others of a zone, or false if the zone has none. It
// is the one with the most processor time, since all others of the zone query it several times a second; ties
// are decided by a hash of the name.
func Reader(zone string, members []conn.Member) (best conn.Member, ok bool) {
	for _, m := range members {
		if m.Zone == zone && m.State == conn.MemberAlive && (!ok || readsBefore(m, best)) {
			best, ok = m, true
		}
	}
	return best, ok
}

// readsBefore reports whether one of two daemons of a zone reads the store for it rather than the other.
func readsBefore(a, b conn.Member) bool {
	if a.Power != b.Power {
		return a.Power > b.Power
	}
	return xxhash.Sum64String(a.Name) > xxhash.Sum64String(b.Name)
}

// mayRead returns the daemons other than self that may read the store for a zone: the readers, and those that would be
// readers if they were not suspected of having ended.
func mayRead(self conn.Member, members []conn.Member) (out []string) {
	readers := make(map[string]*conn.Member)
	for _, m := range members {
		r, known := readers[m.Zone]
		if !known {
			if best, ok := Reader(m.Zone, members); ok {
				r = &best
			}
			readers[m.Zone] = r
		}
		reads := r == nil || m.Name == r.Name || m.State == conn.MemberSuspect && readsBefore(m, *r)
		if m.Name != self.Name && reads {
			out = append(out, m.Name)
		}
	}
	return out
}

// otherReaders returns the readers of all zones but one.
func otherReaders(zone string, members []conn.Member) []string {
	zones := map[string]bool{zone: true}
	var out []string
	for _, m := range members {
		if zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		if r, ok := Reader(m.Zone, members); ok {
			out = append(out, r.Name)
		}
	}
	return out
}

// ReadersFor returns the readers that a daemon queries for the content of the store: its own zone's first,
// unless that is the daemon itself, then those of the other zones. Their order differs between daemons, so
// that the load of a failed reader is spread.
func ReadersFor(self conn.Member, members []conn.Member) []string {
	others := otherReaders(self.Zone, members)
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(self.Name+a), xxhash.Sum64String(self.Name+b))
	})
	if r, ok := Reader(self.Zone, members); ok && r.Name != self.Name {
		return append([]string{r.Name}, others...)
	}
	return others
}

// Roster holds the readers as one daemon sees them, for one list of members.
type Roster struct {
	Reader  conn.Member // of the daemon's zone
	Known   bool        // the zone has a reader
	Asked   []string    // result of ReadersFor
	Beyond  []string    // readers of the other zones
	MayRead []string    // those that may read the store for a zone

	members []conn.Member
	peers   []reach.Candidate // the other daemons, of those that are alive

	order    sync.Once
	shuffled []string // result of Shuffled
	self     string
}

// NewRoster computes the roster of a daemon. It ranks all members, so callers keep it as long as the members
// stay the same: computed ten times a second for each feed, it took a tenth of the processor time of an idle
// daemon among 295.
func NewRoster(self conn.Member, members []conn.Member) *Roster {
	r := &Roster{
		Asked: ReadersFor(self, members), Beyond: otherReaders(self.Zone, members), MayRead: mayRead(self, members),
		members: members, self: self.Name,
	}
	r.Reader, r.Known = Reader(self.Zone, members)
	for _, m := range members {
		if m.Name != self.Name && m.State == conn.MemberAlive {
			r.peers = append(r.peers, reach.Candidate{Name: m.Name, Zone: m.Zone, Power: m.Power})
		}
	}
	return r
}

// Shuffled returns the other daemons that are alive, in an order that differs between daemons. They are sorted at the
// first call, as they are seldom needed.
func (r *Roster) Shuffled() []string {
	r.order.Do(func() {
		for _, p := range r.peers {
			r.shuffled = append(r.shuffled, p.Name)
		}
		slices.SortFunc(r.shuffled, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(r.self+a), xxhash.Sum64String(r.self+b))
		})
	})
	return r.shuffled
}

// of reports whether the roster was computed from this very slice of members.
func (r *Roster) of(members []conn.Member) bool {
	return len(r.members) == len(members) && len(members) > 0 && &r.members[0] == &members[0]
}

// roster returns the roster for the current members.
func (d *Daemon) roster() *Roster {
	members := d.Hub.Mesh.Members()
	if r := d.lastRoster.Load(); r != nil && r.of(members) {
		return r
	}
	r := NewRoster(d.Self, members)
	d.lastRoster.Store(r)
	return r
}

// returnAfterAnswers is how many successful answers of another zone's reader it takes until the own zone's
// reader is queried again.
const returnAfterAnswers = 10

// ReaderSelector selects the reader to query: the same one while its answers are good, then the next. The zero
// value starts with the first reader.
type ReaderSelector struct {
	mu    sync.Mutex
	at    int
	fails int // consecutive failures, each of another reader
	good  int // good answers of the current reader
}

// Next returns the index of the reader to query among count.
func (t *ReaderSelector) Next(count int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at >= count {
		t.at = 0
	}
	return t.at
}

// Record records the outcome of a query to the reader at an index, and reports whether another reader is
// queried from now on.
func (t *ReaderSelector) Record(at int, w outage.Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at != t.at {
		return false // a late outcome of a previous reader
	}
	if w == outage.Empty {
		return false // no other reader has more
	}
	if w != outage.OK {
		t.at++
		t.fails++
		t.good = 0
		return true
	}
	t.fails = 0
	if t.good++; t.good >= returnAfterAnswers {
		t.at, t.good = 0, 0
	}
	return t.at != at
}

// Failed returns how many readers in a row have failed.
func (t *ReaderSelector) Failed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fails
}
