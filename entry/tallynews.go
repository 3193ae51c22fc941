// SPDX-License-Identifier: MIT

package entry

import (
	"maps"

	"streambend.example/conn"
	"streambend.example/rollout"
)

// count identifies one count of a tally: the requests of a team begun in a usage window, or one of the
// kinds below. Counts only grow, so an equal value means no change, whatever path it arrived by. Without a
// team it stands for the running requests, which are always sent in full.
type count struct {
	team   string
	window int64
}

// Kinds of counts that belong to no usage window.
const (
	admitted  = 0  // units admitted under the team's limit
	givenBack = -1 // admitted units that were returned
	tried     = -2 // answers of a version; team holds the key of the count
)

// change records when a tally and each of its counts changed last, as the number of that change among all
// changes to the tallies held here.
type change struct {
	last   uint64
	counts map[count]uint64
}

func (c *change) note(edit uint64, x count) {
	if c.counts == nil {
		c.counts = make(map[count]uint64)
	}
	c.last = edit
	c.counts[x] = edit
}

// forget drops the counts of a usage window.
func (c *change) forget(window int64) {
	maps.DeleteFunc(c.counts, func(x count, _ uint64) bool { return x.window == window })
}

// compare records which counts differ between two tallies of a daemon.
func (c *change) compare(edit uint64, old, next conn.Tally) {
	for team, n := range next.Admit {
		if old.Admit[team] != n {
			c.note(edit, count{team, admitted})
		}
	}
	for team, n := range next.Back {
		if old.Back[team] != n {
			c.note(edit, count{team, givenBack})
		}
	}
	for key, n := range next.Trials {
		if old.Trials[key] != n {
			c.note(edit, count{key, tried})
		}
	}
	for window, teams := range next.Windows {
		for team, n := range teams {
			if old.Windows[window][team] != n {
				c.note(edit, count{team, window})
			}
		}
	}
	c.last = edit
	for window := range old.Windows {
		if expired(next.Windows, window) {
			c.forget(window)
		}
	}
}

// expired reports whether a usage window is older than those that are kept.
func expired(windows map[int64]map[string]int, window int64) bool {
	for w := range windows {
		if window <= w-windowsKept {
			return true
		}
	}
	return false
}

// after returns a partial tally of the counts that changed after an edit.
func (c *change) after(edit uint64, x conn.Tally) conn.Tally {
	out := conn.Tally{
		Daemon: x.Daemon, Start: x.Start, Seq: x.Seq, Part: true, Running: x.Running,
		Admit: make(map[string]int64), Back: make(map[string]int64), Windows: make(map[int64]map[string]int),
		Trials: make(map[string]rollout.Tally),
	}
	for k, at := range c.counts {
		switch {
		case at <= edit || k.team == "":
		case k.window == admitted:
			out.Admit[k.team] = x.Admit[k.team]
		case k.window == givenBack:
			out.Back[k.team] = x.Back[k.team]
		case k.window == tried:
			if n, ok := x.Trials[k.team]; ok {
				out.Trials[k.team] = n
			}
		default:
			if out.Windows[k.window] == nil {
				out.Windows[k.window] = make(map[string]int)
			}
			out.Windows[k.window][k.team] = x.Windows[k.window][k.team]
		}
	}
	return out
}

// admittedSince returns what a newer tally of a daemon adds to its admissions.
func admittedSince(old, next conn.Tally) (out []Admitted) {
	for team, n := range next.Admit {
		if add := n - old.Admit[team]; add != 0 {
			out = append(out, Admitted{team, add})
		}
	}
	for team, n := range next.Back {
		if back := n - old.Back[team]; back != 0 {
			out = append(out, Admitted{team, -back})
		}
	}
	return out
}

// merged applies a newer partial tally to a tally.
func merged(old, part conn.Tally) conn.Tally {
	old.Seq, old.Running = part.Seq, part.Running
	old.Admit, old.Back, old.Trials = added(old.Admit, part.Admit), added(old.Back, part.Back), added(old.Trials, part.Trials)
	if old.Windows == nil {
		old.Windows = make(map[int64]map[string]int)
	}
	for window, teams := range part.Windows {
		old.Windows[window] = added(old.Windows[window], teams)
	}
	maps.DeleteFunc(old.Windows, func(w int64, _ map[string]int) bool { return expired(part.Windows, w) })
	return old
}

// added copies the entries of one map to another, in place unless that is nil.
func added[N int | int64 | rollout.Tally](to, from map[string]N) map[string]N {
	if to == nil {
		return maps.Clone(from)
	}
	maps.Copy(to, from)
	return to
}

// Since returns the tallies that changed after an edit, reduced to the counts that changed, and the number
// of the last edit. With edit 0 it returns full tallies.
func (t *Tallies) Since(edit uint64, of Scope) (last uint64, out []conn.Tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	offer := func(x conn.Tally, c change) {
		switch {
		case edit == 0:
			out = append(out, copyTally(x))
		case c.last > edit:
			out = append(out, c.after(edit, x))
		}
	}
	offer(t.self, t.own)
	for _, h := range t.others {
		if of == ScopeAll || h.direct {
			offer(h.tally, h.change)
		}
	}
	return t.edit, out
}
