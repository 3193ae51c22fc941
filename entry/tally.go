// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"sync"
	"time"

	"streambend.example/conn"
	"streambend.example/quota"
	"streambend.example/rollout"
)

// windowsKept is how many usage windows a tally holds: the current one, those whose report is due, and
// some more in case a report is delayed.
const windowsKept = 5

// remoteTally is the newest tally of another daemon, when it arrived, and whether that daemon sent it itself
// rather than another that forwarded it.
type remoteTally struct {
	tally  conn.Tally
	at     time.Time
	direct bool
	change changeIndex
	term   int // listening period in which it arrived
}

// markDirect marks a tally as received from its own daemon and drops its change history: a neighbour that
// asks for direct tallies alone has not been sent it so far.
func (h *remoteTally) markDirect() { h.direct, h.change = true, changeIndex{} }

// Scope selects whose tallies are sent to a neighbour.
type Scope int

// Scopes of an exchange.
const (
	ScopeAll    Scope = iota // tallies of all daemons
	ScopeDirect              // this daemon's tally and those received from their own daemons
)

// String returns the scope's name.
func (s Scope) String() string { return [...]string{"all", "direct"}[s] }

// Tallies holds the counts of all daemons, as far as this one has received them. Neighbours forward them
// to each other: whoever has a newer tally of any daemon sends it.
type Tallies struct {
	mu               sync.Mutex
	edit             uint64 // number of the last change to anything held here
	self             conn.Tally
	own              changeIndex // of self
	others           map[daemonStart]remoteTally
	term             int                               // number of the current listening period
	since            int64                             // start of the current listening period, Unix milliseconds
	countedElsewhere bool                              // a reader's sums count what others admit, instead of tallies
	flow             map[string]map[string]int64       // units that each daemon is known to have admitted, by daemon and team
	total            map[string]int64                  // sum of flow over the daemons, by team
	second           map[string]conn.SecondRuns        // sum of all daemons' second runs, by service
	sent             map[string]map[daemonStart]uint64 // sequence numbers sent so far, by neighbour
}

// daemonStart identifies one run of a daemon's process.
type daemonStart struct {
	name  string
	start int64
}

// NewTallies returns the tallies of a daemon that has counted nothing yet.
func NewTallies(self conn.Member) *Tallies {
	return &Tallies{
		since:  self.Start,
		self:   conn.Tally{Daemon: self.Name, Start: self.Start, Admit: make(map[string]int64), Back: make(map[string]int64), Trials: make(map[string]rollout.Tally), Second: make(map[string]conn.SecondRuns), Windows: make(map[int64]map[string]int)},
		others: make(map[daemonStart]remoteTally), flow: make(map[string]map[string]int64), total: make(map[string]int64), second: make(map[string]conn.SecondRuns), sent: make(map[string]map[daemonStart]uint64),
	}
}

// Admit counts units admitted under a team's limit; a negative number returns units.
func (t *Tallies) Admit(team string, units int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if units < 0 {
		t.self.Back[team] -= units
		t.recordChange(counter{team, unitsReturned})
		return
	}
	t.self.Admit[team] += units
	t.recordChange(counter{team, unitsAdmitted})
}

// recordChange records a change of one of this daemon's counts; the caller holds the lock.
func (t *Tallies) recordChange(c counter) {
	t.self.Seq++
	t.edit++
	t.own.record(t.edit, c)
}

// Begin counts a request that began to run in a usage window.
func (t *Tallies) Begin(team string, window int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.self.Windows[window]
	if w == nil {
		w = make(map[string]int)
		t.self.Windows[window] = w
		for old := range t.self.Windows {
			if old <= window-windowsKept {
				delete(t.self.Windows, old)
				t.own.forget(old)
			}
		}
	}
	w[team]++
	t.recordChange(counter{team, window})
}

// SetRunning records how many requests are at the endpoints of each service.
func (t *Tallies) SetRunning(running map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(t.self.Running, running) {
		t.self.Running = running
		t.recordChange(counter{})
	}
}

// runningTTL is how long another daemon's count of running requests is used: long enough to miss some
// exchanges, short enough that requests of a dead daemon are not waited for.
const runningTTL = 3 * time.Second

// Running returns how many requests all daemons have at the endpoints of a service.
func (t *Tallies) Running(now time.Time, service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.self.Running[service]
	for _, h := range t.others {
		if now.Sub(h.at) < runningTTL {
			n += h.tally.Running[service]
		}
	}
	return n
}

// Unsent returns the tallies that a neighbour has not been sent yet.
func (t *Tallies) Unsent(neighbour string, of Scope) []conn.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.sent[neighbour]
	if sent == nil {
		sent = make(map[daemonStart]uint64)
		t.sent[neighbour] = sent
	}
	var out []conn.Tally
	offer := func(x conn.Tally) {
		k := daemonStart{x.Daemon, x.Start}
		if x.Daemon != neighbour && x.Seq > sent[k] {
			sent[k] = x.Seq
			out = append(out, copyTally(x))
		}
	}
	offer(t.self)
	for _, h := range t.others {
		if of == ScopeAll || h.direct {
			offer(h.tally)
		}
	}
	return out
}

// ForgetNeighbour forgets what a neighbour was sent, after a link to it was lost.
func (t *Tallies) ForgetNeighbour(neighbour string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sent, neighbour)
}

func copyTally(x conn.Tally) conn.Tally {
	x.Admit, x.Back, x.Trials, x.Second = maps.Clone(x.Admit), maps.Clone(x.Back), maps.Clone(x.Trials), maps.Clone(x.Second)
	w := make(map[int64]map[string]int, len(x.Windows))
	for k, v := range x.Windows {
		w[k] = maps.Clone(v)
	}
	x.Windows = w
	return x
}

// Merge merges tallies received from a neighbour and returns the admissions that they add. A partial tally
// holds only the counts that changed; whole is false if one arrived for a daemon that is not known here,
// since there is nothing to apply it to.
func (t *Tallies) Merge(now time.Time, from string, in []conn.Tally) (out []quota.Admitted, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	whole = true
	if t.countedElsewhere {
		t.countedElsewhere, t.since = false, now.UnixMilli()
		t.term++
	}
	for _, x := range in {
		k := daemonStart{x.Daemon, x.Start}
		if x.Daemon == t.self.Daemon && x.Start == t.self.Start {
			continue
		}
		if sent := t.sent[from]; sent != nil {
			sent[k] = max(sent[k], x.Seq) // the sender has this tally already
		}
		old, known := t.others[k]
		if known && x.Seq <= old.tally.Seq {
			old.at, old.term = now, t.term // the daemon is alive, though its counts have not changed
			if from == x.Daemon && !old.direct {
				t.edit++
				old.markDirect()
				old.change.compare(t.edit, conn.Tally{}, old.tally)
			}
			t.others[k] = old
			continue
		}
		if x.Part && !known {
			whole = false
			continue
		}
		if known && old.term == t.term || x.Start >= t.since { // otherwise this tally is the baseline
			for _, a := range admittedSince(old.tally, x) {
				out = append(out, a)
				t.addAdmitted(x.Daemon, a)
			}
		}
		if x.Second == nil {
			x.Second = old.tally.Second // passed on by a daemon of the previous version, which drops them
		}
		t.addSecondRuns(old.tally, x)
		t.edit++
		next := remoteTally{at: now, direct: from == x.Daemon, change: old.change, term: t.term}
		if next.direct && !old.direct {
			next.markDirect()
			old.tally = conn.Tally{}
		}
		next.change.compare(t.edit, old.tally, x)
		next.tally = x
		if x.Part {
			next.tally = applyPartial(old.tally, x)
		}
		t.others[k] = next
	}
	return out, whole
}

// SuspendCounting records that admissions of other daemons are counted from a reader's sums. When tallies
// arrive again, the first of each daemon is a baseline and only later growth counts.
func (t *Tallies) SuspendCounting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countedElsewhere = true
}

// addAdmitted records what a daemon is known to have admitted; the caller holds the lock.
func (t *Tallies) addAdmitted(daemon string, a quota.Admitted) {
	if t.flow[daemon] == nil {
		t.flow[daemon] = make(map[string]int64)
	}
	t.flow[daemon][a.Team] += a.Units
	t.total[a.Team] += a.Units
}

// Own returns this daemon's tally.
func (t *Tallies) Own() conn.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	return copyTally(t.self)
}

// AdmittedExcept returns the units, by team, that this daemon has admitted, and that all others but one are
// known to have admitted since this process started.
func (t *Tallies) AdmittedExcept(except string) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := maps.Clone(t.self.Admit)
	for team, n := range t.self.Back {
		out[team] -= n
	}
	for team, n := range t.total {
		out[team] += n
	}
	for team, n := range t.flow[except] {
		if out[team] -= n; out[team] == 0 {
			delete(out, team)
		}
	}
	return out
}

// tallyTTL is how long the tally of a dead daemon is kept.
const tallyTTL = time.Minute

// Expire drops old tallies of daemons that are not alive. The tally of an idle daemon that is alive must stay:
// otherwise everything that it ever admitted would be counted again with its next tally.
func (t *Tallies) Expire(now time.Time, alive []conn.Member) {
	living := make(map[daemonStart]bool, len(alive))
	for _, m := range alive {
		living[daemonStart{m.Name, m.Start}] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, h := range t.others {
		if now.Sub(h.at) > tallyTTL && !living[k] {
			t.removeSecondRuns(h.tally)
			delete(t.others, k)
			for _, sent := range t.sent {
				delete(sent, k)
			}
		}
	}
}

// Window returns how many requests of each team began in a usage window, over all daemons.
func (t *Tallies) Window(window int64) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := maps.Clone(t.self.Windows[window])
	if out == nil {
		out = make(map[string]int)
	}
	for _, h := range t.others {
		for team, n := range h.tally.Windows[window] {
			out[team] += n
		}
	}
	return out
}
