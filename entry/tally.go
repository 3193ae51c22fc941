// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"sync"
	"time"

	"streambend.example/conn"
	"streambend.example/rollout"
)

// windowsKept is how many usage windows a tally holds: the one that runs, those
// whose report is due, and some more for a report that was held up.
const windowsKept = 5

// heard is the newest tally of a daemon, when its last word came, and whether that daemon
// itself has told it.
type heard struct {
	tally  conn.Tally
	at     time.Time
	direct bool
	change change
	term   int // of listening in which it came
}

// turnDirect forgets when a tally has changed: whoever asks for direct ones alone was told
// nothing of it until now.
func (h *heard) turnDirect() { h.direct, h.change = true, change{} }

// Scope is whose tallies a neighbour is told.
type Scope int

// The scopes.
const (
	ScopeAll    Scope = iota // those of all daemons
	ScopeDirect              // this daemon's and those that their own daemons have told it
)

// String returns the scope's name.
func (s Scope) String() string { return [...]string{"all", "direct"}[s] }

// Tallies are the counts of all daemons as far as they are known here. They are
// passed on between neighbours: whoever has a newer one of any daemon sends it.
type Tallies struct {
	mu     sync.Mutex
	edit   uint64 // counts the changes of what is known here
	self   conn.Tally
	own    change // of self
	others map[daemonStart]heard
	term   int                               // counts the times for which tallies are listened to
	since  int64                             // when the present one began, Unix milliseconds
	pause  bool                              // what others admit is counted by another way now
	flow   map[string]map[string]int64       // daemon to team to what it was heard to admit
	sent   map[string]map[daemonStart]uint64 // neighbour to what it was sent
}

// daemonStart tells the starts of a daemon apart.
type daemonStart struct {
	name  string
	start int64
}

// NewTallies returns the tallies of a daemon that has counted nothing.
func NewTallies(self conn.Member) *Tallies {
	return &Tallies{
		since:  self.Start,
		self:   conn.Tally{Daemon: self.Name, Start: self.Start, Admit: make(map[string]int64), Back: make(map[string]int64), Trials: make(map[string]rollout.Tally), Windows: make(map[int64]map[string]int)},
		others: make(map[daemonStart]heard), flow: make(map[string]map[string]int64), sent: make(map[string]map[daemonStart]uint64),
	}
}

// Admit counts units of a team's limit; less than 0 takes back.
func (t *Tallies) Admit(team string, units int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if units < 0 {
		t.self.Back[team] -= units
		t.note(count{team, givenBack})
		return
	}
	t.self.Admit[team] += units
	t.note(count{team, admitted})
}

// note notes a change of this daemon's own count; the caller holds the lock.
func (t *Tallies) note(c count) {
	t.self.Seq++
	t.edit++
	t.own.note(t.edit, c)
}

// Begin counts a request that has begun to run in a window.
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
	t.note(count{team, window})
}

// SetRunning notes how many requests are at the endpoints of each service.
func (t *Tallies) SetRunning(running map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(t.self.Running, running) {
		t.self.Running = running
		t.note(count{})
	}
}

// runningLife is how long the word of a daemon on what it runs is believed: some
// exchanges may be missed, but a dead daemon's requests are not waited for.
const runningLife = 3 * time.Second

// Running returns how many requests all daemons have at a service's endpoints.
func (t *Tallies) Running(now time.Time, service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.self.Running[service]
	for _, h := range t.others {
		if now.Sub(h.at) < runningLife {
			n += h.tally.Running[service]
		}
	}
	return n
}

// News returns what a neighbour has not been sent yet.
func (t *Tallies) News(neighbour string, of Scope) []conn.Tally {
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

// Lost forgets what a neighbour was sent, since a link to it has gone.
func (t *Tallies) Lost(neighbour string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sent, neighbour)
}

func copyTally(x conn.Tally) conn.Tally {
	x.Admit, x.Back, x.Trials = maps.Clone(x.Admit), maps.Clone(x.Back), maps.Clone(x.Trials)
	w := make(map[int64]map[string]int, len(x.Windows))
	for k, v := range x.Windows {
		w[k] = maps.Clone(v)
	}
	x.Windows = w
	return x
}

// Admitted is what another daemon has admitted since its last word.
type Admitted struct {
	Team  string
	Units int64
}

// Hear takes in tallies from a neighbour and returns what they add to the admissions
// known. Tallies are not whole if they tell only of changes; whole is false if some of
// those could not be taken in, as what they change is not known here.
func (t *Tallies) Hear(now time.Time, from string, in []conn.Tally) (out []Admitted, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	whole = true
	if t.pause {
		t.pause, t.since = false, now.UnixMilli()
		t.term++
	}
	for _, x := range in {
		k := daemonStart{x.Daemon, x.Start}
		if x.Daemon == t.self.Daemon && x.Start == t.self.Start {
			continue
		}
		if sent := t.sent[from]; sent != nil {
			sent[k] = max(sent[k], x.Seq) // it need not be told what it told us
		}
		old, known := t.others[k]
		if known && x.Seq <= old.tally.Seq {
			old.at, old.term = now, t.term // it lives, though it has counted nothing since
			if from == x.Daemon && !old.direct {
				t.edit++
				old.turnDirect()
				old.change.compare(t.edit, conn.Tally{}, old.tally)
			}
			t.others[k] = old
			continue
		}
		if x.Part && !known {
			whole = false
			continue
		}
		if known && old.term == t.term || x.Start >= t.since { // else admitted before: only what follows counts
			for _, a := range admittedSince(old.tally, x) {
				out = append(out, a)
				t.flows(x.Daemon)[a.Team] += a.Units
			}
		}
		t.edit++
		next := heard{at: now, direct: from == x.Daemon, change: old.change, term: t.term}
		if next.direct && !old.direct {
			next.turnDirect()
			old.tally = conn.Tally{}
		}
		next.change.compare(t.edit, old.tally, x)
		next.tally = x
		if x.Part {
			next.tally = merged(old.tally, x)
		}
		t.others[k] = next
	}
	return out, whole
}

// CountedElsewhere notes that what others admit is counted by another way, a reader's sums,
// until tallies are heard again: of those only what follows counts then.
func (t *Tallies) CountedElsewhere() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pause = true
}

// flows returns what a daemon was heard to admit; the caller holds the lock.
func (t *Tallies) flows(daemon string) map[string]int64 {
	f := t.flow[daemon]
	if f == nil {
		f = make(map[string]int64)
		t.flow[daemon] = f
	}
	return f
}

// Own returns this daemon's tally.
func (t *Tallies) Own() conn.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	return copyTally(t.self)
}

// Flow returns what all daemons but one were heard to admit since this process
// began, with its own admissions.
func (t *Tallies) Flow(except string) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := maps.Clone(t.self.Admit)
	for team, n := range t.self.Back {
		out[team] -= n
	}
	for daemon, teams := range t.flow {
		if daemon == except {
			continue
		}
		for team, n := range teams {
			out[team] += n
		}
	}
	return out
}

// tallyLife is how long the word of a daemon that has gone is kept.
const tallyLife = time.Minute

// Tick forgets old words of daemons that are not alive. A daemon that only has nothing to
// count must not be forgotten: all that it ever admitted would count anew with its next
// word.
func (t *Tallies) Tick(now time.Time, alive []conn.Member) {
	living := make(map[daemonStart]bool, len(alive))
	for _, m := range alive {
		living[daemonStart{m.Name, m.Start}] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, h := range t.others {
		if now.Sub(h.at) > tallyLife && !living[k] {
			delete(t.others, k)
			for _, sent := range t.sent {
				delete(sent, k)
			}
		}
	}
}

// Window returns how many requests of each team have begun in a window, at all
// daemons together.
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
