// SPDX-License-Identifier: MIT

package entry

import (
	"maps"

	"streambend.example/conn"
	"streambend.example/quota"
	"streambend.example/rollout"
)

// counter identifies one count of a tally: the requests of a team begun in a usage window, or one of the
// kinds below. Counts only grow, so an equal value means no change, whatever path it arrived by. Without a
// team it stands for the running requests, which are always sent in full.
type counter struct {
	team   string
	window int64
}

// Kinds of counts that belong to no usage window.
const (
	unitsAdmitted = 0  // units admitted under the team's limit
	unitsReturned = -1 // admitted units that were returned
	trialAnswers  = -2 // answers of a version; team holds the key of the count
	secondRuns    = -3 // second runs; team holds the name of the service
)

// changeIndex records when a tally and each of its counts changed last, as the number of that change among
// all changes to the tallies held here.
type changeIndex struct {
	last   uint64
	counts map[counter]uint64
}

func (c *changeIndex) record(edit uint64, x counter) {
	if c.counts == nil {
		c.counts = make(map[counter]uint64)
	}
	c.last = edit
	c.counts[x] = edit
}

// forget drops the counts of a usage window.
func (c *changeIndex) forget(window int64) {
	maps.DeleteFunc(c.counts, func(x counter, _ uint64) bool { return x.window == window })
}

// compare records which counts differ between two tallies of a daemon.
func (c *changeIndex) compare(edit uint64, old, next conn.Tally) {
	for team, n := range next.Admit {
		if old.Admit[team] != n {
			c.record(edit, counter{team, unitsAdmitted})
		}
	}
	for team, n := range next.Back {
		if old.Back[team] != n {
			c.record(edit, counter{team, unitsReturned})
		}
	}
	for key, n := range next.Trials {
		if old.Trials[key] != n {
			c.record(edit, counter{key, trialAnswers})
		}
	}
	for service, n := range next.Second {
		if old.Second[service] != n {
			c.record(edit, counter{service, secondRuns})
		}
	}
	for window, teams := range next.Windows {
		for team, n := range teams {
			if old.Windows[window][team] != n {
				c.record(edit, counter{team, window})
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
func (c *changeIndex) after(edit uint64, x conn.Tally) conn.Tally {
	out := conn.Tally{
		Daemon: x.Daemon, Start: x.Start, Seq: x.Seq, Part: true, Running: x.Running,
		Admit: make(map[string]int64), Back: make(map[string]int64), Windows: make(map[int64]map[string]int),
		Trials: make(map[string]rollout.Tally), Second: make(map[string]conn.SecondRuns),
	}
	for k, at := range c.counts {
		switch {
		case at <= edit || k.team == "":
		case k.window == unitsAdmitted:
			out.Admit[k.team] = x.Admit[k.team]
		case k.window == unitsReturned:
			out.Back[k.team] = x.Back[k.team]
		case k.window == trialAnswers:
			if n, ok := x.Trials[k.team]; ok {
				out.Trials[k.team] = n
			}
		case k.window == secondRuns:
			out.Second[k.team] = x.Second[k.team]
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
func admittedSince(old, next conn.Tally) (out []quota.Admitted) {
	for team, n := range next.Admit {
		if add := n - old.Admit[team]; add != 0 {
			out = append(out, quota.Admitted{Daemon: next.Daemon, Team: team, Units: add})
		}
	}
	for team, n := range next.Back {
		if back := n - old.Back[team]; back != 0 {
			out = append(out, quota.Admitted{Daemon: next.Daemon, Team: team, Units: -back})
		}
	}
	return out
}

// applyPartial applies a newer partial tally to a tally.
func applyPartial(old, part conn.Tally) conn.Tally {
	old.Seq, old.Running = part.Seq, part.Running
	old.Admit, old.Back, old.Trials = copyInto(old.Admit, part.Admit), copyInto(old.Back, part.Back), copyInto(old.Trials, part.Trials)
	old.Second = copyInto(old.Second, part.Second)
	if old.Windows == nil {
		old.Windows = make(map[int64]map[string]int)
	}
	for window, teams := range part.Windows {
		old.Windows[window] = copyInto(old.Windows[window], teams)
	}
	maps.DeleteFunc(old.Windows, func(w int64, _ map[string]int) bool { return expired(part.Windows, w) })
	return old
}

// copyInto copies the entries of one map to another, in place unless that is nil.
func copyInto[N int | int64 | rollout.Tally | conn.SecondRuns](to, from map[string]N) map[string]N {
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
	offer := func(x conn.Tally, c changeIndex) {
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
