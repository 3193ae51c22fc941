// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"strconv"
	"strings"

	"streambend.example/conn"
	"streambend.example/rollout"
)

// Answers of a service's versions are counted under keys made of the order's number, the route and the
// endpoint; the endpoint is empty for the old version.

const trialSep = "/"

func orderPrefix(order int64) string { return strconv.FormatInt(order, 36) + trialSep }

// trialKey returns the key of a count. Routes and endpoints may hold any byte, so the separator is replaced
// in the route to keep keys unambiguous.
func trialKey(order int64, route, endpoint string) string {
	return orderPrefix(order) + strings.ReplaceAll(route, trialSep, "%") + trialSep + endpoint
}

// Try counts an answer of a version.
func (t *Tallies) Try(order int64, route, endpoint string, answer rollout.Tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := trialKey(order, route, endpoint)
	t.self.Trials[key] = t.self.Trials[key].Add(answer)
	t.recordChange(counter{key, trialAnswers})
}

// Trials returns the answers of both versions since an order, over all daemons.
func (t *Tallies) Trials(order int64) rollout.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := rollout.Counts{Old: make(map[string]rollout.Tally), New: make(map[string]map[string]rollout.Tally)}
	prefix := orderPrefix(order)
	addTrials(out, prefix, t.self)
	for _, h := range t.others {
		addTrials(out, prefix, h.tally)
	}
	return out
}

func addTrials(out rollout.Counts, prefix string, x conn.Tally) {
	for key, n := range x.Trials {
		rest, ok := strings.CutPrefix(key, prefix)
		if !ok {
			continue
		}
		route, endpoint, _ := strings.Cut(rest, trialSep)
		if endpoint == "" {
			out.Old[route] = out.Old[route].Add(n)
			continue
		}
		if out.New[route] == nil {
			out.New[route] = make(map[string]rollout.Tally)
		}
		out.New[route][endpoint] = out.New[route][endpoint].Add(n)
	}
}

// DropTrials drops the counts of all orders but those to keep.
func (t *Tallies) DropTrials(keep []int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := func(key string, _ rollout.Tally) bool {
		for _, order := range keep {
			if strings.HasPrefix(key, orderPrefix(order)) {
				return false
			}
		}
		return true
	}
	maps.DeleteFunc(t.self.Trials, dropped)
	for _, h := range t.others {
		maps.DeleteFunc(h.tally.Trials, dropped)
	}
	gone := func(x counter, _ uint64) bool { return x.window == trialAnswers && dropped(x.team, rollout.Tally{}) }
	maps.DeleteFunc(t.own.counts, gone)
	for _, h := range t.others {
		maps.DeleteFunc(h.change.counts, gone)
	}
}
