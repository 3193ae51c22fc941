// SPDX-License-Identifier: MIT

package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/reach"
)

// daemons returns candidates in three zones.
func daemons(n int) (out []reach.Candidate) {
	for i := range n {
		out = append(out, reach.Candidate{Name: fmt.Sprint("daemon-", i), Zone: fmt.Sprint("zone-", i%3), Power: 40})
	}
	return out
}

// Guards against requests that all go through one daemon while others are idle, and against a zone that is left without
// need.
func TestRequestsAreSpreadOverDaemonsByLoad(t *testing.T) {
	var p reach.Peers
	all := daemons(9)
	counts := make(map[string]int)
	for i := range 90 {
		name, ok := p.Choose(start, service, "zone-0", all, uint64(i)*7919, nil)
		assert.True(t, ok)
		if i == 0 {
			assert.Contains(t, []string{"daemon-0", "daemon-3", "daemon-6"}, name, "the own zone first")
		}
		p.Begin(name)
		counts[name]++
	}
	for name, n := range counts {
		assert.LessOrEqual(t, n, 15, name)
	}
	assert.Len(t, counts, 9)
}

// Guards against requests of many daemons without a path that do not find the one daemon that has it: each request may
// ask three.
func TestTheLastDaemonWithAPathIsFound(t *testing.T) {
	const n, good = 80, "daemon-41"
	all := daemons(n)
	peers := make([]reach.Peers, n)
	served := 0
	for round := range 40 {
		now := start.Add(time.Duration(round) * 100 * time.Millisecond)
		for i := range peers {
			if all[i].Name == good {
				continue
			}
			var tried []string
			for len(tried) < 3 {
				name, ok := peers[i].Choose(now, service, all[i].Zone, all, uint64(round*n+i)*0x9e3779b97f4a7c15, tried)
				if !ok {
					break
				}
				tried = append(tried, name)
				if name == good {
					peers[i].Answered(now, service, name, 1)
					if round >= 30 {
						served++
					}
					break
				}
				var at int
				fmt.Sscanf(name, "daemon-%d", &at)
				peers[i].Refused(now, service, name, reach.RefusedNoPath, peers[at].Proven(now, service))
			}
		}
	}
	assert.GreaterOrEqual(t, served, 9*10*(n-1)/10, "of %d from 3 s on", 10*(n-1))
}

// Guards against a daemon of an earlier version that is asked again with each request, and one that is never asked again.
func TestADaemonThatRefusesIsNotAskedForAWhile(t *testing.T) {
	all := daemons(1)
	for why, pause := range map[reach.Refusal]time.Duration{reach.RefusedNoPath: time.Second, reach.RefusedUnsupported: 30 * time.Second} {
		var p reach.Peers
		now := start
		p.Refused(now, service, all[0].Name, why, "")
		_, ok := p.Choose(now.Add(pause-time.Millisecond), service, "zone-0", all, 1, nil)
		assert.False(t, ok)
		_, ok = p.Choose(now.Add(pause), service, "zone-0", all, 1, nil)
		assert.True(t, ok)
	}
	var p reach.Peers
	_, ok := p.Choose(start, service, "zone-0", nil, 1, nil)
	assert.False(t, ok, "no other daemon")
}
