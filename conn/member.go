// SPDX-License-Identifier: MIT

package conn

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"streambend.example/rollout"
	"streambend.example/version"
)

// MemberState is the state of a daemon according to the failure detector.
type MemberState int

// Member states; of the same start and refutation count, the higher one wins.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDead
	MemberLeft // a planned stop
)

// String returns the state's name.
func (s MemberState) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Member is the membership record of one daemon.
type Member struct {
	Name    string      `codec:"n"`
	Start   int64       `codec:"i"` // start time in Unix milliseconds; distinguishes restarts
	Address string      `codec:"a"` // host:port for peers
	Zone    string      `codec:"z"`
	State   MemberState `codec:"s,omitempty"`
	Refuted int         `codec:"r,omitempty"` // number of suspicions it has refuted
	Power   int         `codec:"p,omitempty"` // its share of a core in percent; 0 if unknown
	Former  int64       `codec:"f,omitempty"` // rank of the previous start if that is not before Start, else 0
}

// rank orders the starts of one daemon: by start time, or after the previous start if the
// box's clock has gone back since. Otherwise the daemon would stay dead to all members that
// remember the previous start.
func (m Member) rank() int64 {
	if m.Former >= m.Start {
		return m.Former + 1
	}
	return m.Start
}

// Follows reports whether this start of the daemon is later than another.
func (m Member) Follows(start int64) bool { return m.Start != start && m.rank() > start }

// newer reports whether m supersedes b.
func (m Member) newer(b Member) bool {
	if m.rank() != b.rank() {
		return m.rank() > b.rank()
	}
	if m.State == MemberLeft || b.State == MemberLeft {
		return m.State == MemberLeft && b.State != MemberLeft
	}
	if m.Refuted != b.Refuted {
		return m.Refuted > b.Refuted
	}
	return m.State > b.State
}

// Notice announces that a box is leaving, and its deadline.
type Notice struct {
	Box      string    `codec:"b"`
	Deadline time.Time `codec:"d"`
}

// LoadClass is the load class of the endpoint on a box.
type LoadClass struct {
	Box   string `codec:"b"`
	Class int    `codec:"c"`
}

// Demand is the number of requests that a daemon has for a service and a team.
type Demand struct {
	Service string `codec:"s"`
	Team    string `codec:"t"`
	Count   int    `codec:"c"`
}

// Payload is the content that a daemon broadcasts to all others. Receivers ignore
// unknown fields, so that different versions of the daemon can coexist.
type Payload struct {
	Entries []version.Entry `codec:"e,omitempty"`
	Config  *version.Config `codec:"c,omitempty"` // complete configuration, for a daemon that is far behind
	Notices []Notice        `codec:"n,omitempty"`
	Loads   []LoadClass     `codec:"l,omitempty"`
	Demands []Demand        `codec:"d,omitempty"`
	Tallies []Tally         `codec:"t,omitempty"`
	Freed   int64           `codec:"f,omitempty"` // epoch of the duty lease whose holder has stopped acting
	Sends   []byte          `codec:"x,omitempty"` // prompts sent to engines, encoded by their package
	Crashes []byte          `codec:"h,omitempty"` // requests during which endpoints crashed, encoded likewise
	Orders  []byte          `codec:"o,omitempty"` // progress of rollout orders, encoded likewise
	Words   []byte          `codec:"u,omitempty"` // reports of endpoints about themselves, encoded likewise
	Repeats []byte          `codec:"y,omitempty"` // what the sender has counted of its repeats, encoded likewise
}

// Tally holds the counters of one daemon since its start, and its running requests.
// The newest Tally of a daemon replaces all earlier ones.
type Tally struct {
	Daemon  string                   `codec:"d"`
	Start   int64                    `codec:"i"`           // start of the daemon, as in Member
	Seq     uint64                   `codec:"s"`           // increases with each change
	Admit   map[string]int64         `codec:"a,omitempty"` // quota units admitted for each team; only increases
	Back    map[string]int64         `codec:"b,omitempty"` // admitted units that were refunded; only increases
	Windows map[int64]map[string]int `codec:"w,omitempty"` // requests of each team started in a usage window
	Running map[string]int           `codec:"r,omitempty"` // requests currently at the endpoints of each service
	Trials  map[string]rollout.Tally `codec:"v,omitempty"` // responses by version during a rollout, by order, route and endpoint
	Second  map[string]SecondRuns    `codec:"g,omitempty"` // second runs of plain calls by service; only increase
	Part    bool                     `codec:"p,omitempty"` // holds only the counters that have changed
}

// SecondRuns counts plain calls that ran a second time after an endpoint's own error.
type SecondRuns struct {
	Runs      int64 `codec:"n"`
	Succeeded int64 `codec:"k,omitempty"` // those whose second run got an answer other than such an error
}

// Add returns the sum of two counts.
func (s SecondRuns) Add(x SecondRuns) SecondRuns {
	return SecondRuns{s.Runs + x.Runs, s.Succeeded + x.Succeeded}
}

// Sub returns the counts since an earlier one.
func (s SecondRuns) Sub(x SecondRuns) SecondRuns {
	return SecondRuns{s.Runs - x.Runs, s.Succeeded - x.Succeeded}
}

// message is the unit of exchange on a link. A broadcast message has a sequence number.
type message struct {
	Origin  string   `codec:"o,omitempty"`
	Start   int64    `codec:"i,omitempty"`
	Seq     uint64   `codec:"s,omitempty"`
	Payload *Payload `codec:"p,omitempty"`
	Members []Member `codec:"m,omitempty"`
	Beat    *beat    `codec:"b,omitempty"`
	Buckets []uint64 `codec:"d,omitempty"` // digests of the sender's members by bucket
	Pull    uint64   `codec:"u,omitempty"` // buckets of which the sender requests newer members than these
	Want    int64    `codec:"w,omitempty"` // requests the entries after version Want-1; 0 if none
	Ask     *ask     `codec:"q,omitempty"`
}

// beat is a heartbeat between neighbours. They exchange member lists only if
// their digests differ.
type beat struct {
	Digest  uint64 `codec:"d"`
	Version int64  `codec:"v"`
	Full    bool   `codec:"f,omitempty"` // accompanies members that are sent because digests differed
	Buckets bool   `codec:"b,omitempty"` // the sender knows digests by bucket
}

// Timing holds the intervals and timeouts of the overlay.
type Timing struct {
	Beat    time.Duration // interval between heartbeats to a neighbour
	Silence time.Duration // time without a frame after which a neighbour is suspected
	Refute  time.Duration // time a suspected member has to refute the suspicion
	Forget  time.Duration // time after which dead members are removed
	Retry   time.Duration // interval between attempts to reach dead members

	// FullMesh is the largest number of daemons at which each has a link to every other.
	FullMesh int
}

// DefaultTiming returns the default intervals and timeouts.
func DefaultTiming() Timing {
	return Timing{Beat: time.Second, Silence: 3500 * time.Millisecond, Refute: 3 * time.Second, Forget: 10 * time.Minute, Retry: 5 * time.Second}
}

// Send is a frame addressed to a neighbour.
type Send struct {
	To string // name of the member
	Frame
}

// Delivery is the content of a received frame.
type Delivery struct {
	From    string // the daemon that sent it originally
	Payload Payload
	Want    int64 // the neighbour requests the entries after version Want-1; 0 if none
}

type memberRecord struct {
	Member
	since   time.Time // when the record was last updated
	refused bool      // the last dial was refused: no process accepts connections at its address
}

type neighbour struct {
	lastReceived     time.Time
	digestMismatches int  // consecutive heartbeats with a different digest
	buckets          bool // it knows digests by bucket
}

type origin struct {
	name  string
	start int64
}

// sequenceWindow records which sequence numbers of an origin have been seen, to drop duplicates.
type sequenceWindow struct {
	top  uint64
	bits uint64 // bit i: top-i was seen
}

func (w *sequenceWindow) add(seq uint64) bool {
	switch {
	case seq > w.top:
		if d := seq - w.top; d < 64 {
			w.bits = w.bits<<d | 1
		} else {
			w.bits = 1
		}
		w.top = seq
		return true
	case w.top-seq >= 64:
		return false
	}
	bit := uint64(1) << (w.top - seq)
	fresh := w.bits&bit == 0
	w.bits |= bit
	return fresh
}

// ringPosition returns the position of a member on the ring. It is a hash, so that neighbours
// are spread over the availability zones and the loss of a zone leaves no gap.
func ringPosition(x Member) uint64 { return xxhash.Sum64String(x.Name) }
