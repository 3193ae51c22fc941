// SPDX-License-Identifier: MIT

package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/rollout"
)

// modelService simulates a language-model service: 376 requests a second on three routes.
func modelService(daemons int, f fault) simulation {
	if f.route == 0 {
		f.route = -1
	} else {
		f.route--
	}
	v := simulation{
		fault: f, daemons: daemons, rates: []float64{68, 155, 153}, base: []float64{0, 0, 0},
		takes: []time.Duration{1800 * time.Millisecond, 1300 * time.Millisecond, 200 * time.Millisecond},
		old:   30, used: 3, length: 12 * time.Second,
		cap: rollout.Cap{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second},
		share: func(r *rand.Rand, c rollout.Cap) rollout.Share {
			return &rollout.Bucket{Cap: c, InitialCredit: r.Float64()}
		},
		test: func() rollout.Analyzer { return &rollout.ClampedSPRT{} },
	}
	switch os.Getenv("WAY") { // the alternatives that the table compares
	case "pooled":
		v.test = func() rollout.Analyzer { return &rollout.PooledSPRT{} }
	case "hashed":
		v.share = func(r *rand.Rand, c rollout.Cap) rollout.Share { return &hashed{cap: c, draw: r.Float64} }
	}
	return v
}

// plainService simulates a plain service: 166 requests a second on two routes, one of which fails for a
// seventh of its requests.
func plainService(daemons int, f fault) simulation {
	v := modelService(daemons, f)
	v.rates, v.base = []float64{135, 31}, []float64{0.004, 0.14}
	v.takes = []time.Duration{20 * time.Millisecond, 20 * time.Millisecond}
	v.old, v.used = 4, 2
	return v
}

// summary holds the results of many roll-outs of one kind.
type summary struct {
	runs, rolledBack, completed, onTime, broken int
	share                                       float64 // largest share of requests sent to the new version
	decided                                     time.Duration
	decidedMost                                 time.Duration
	bad                                         int // most bad answers caused by the version in one run
}

func runMany(v simulation, runs int) summary {
	out := make([]outcome, runs)
	var wg sync.WaitGroup
	for i := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = v.run(rand.New(rand.NewPCG(uint64(i), 7)))
		}()
	}
	wg.Wait()
	r := summary{runs: runs}
	for _, o := range out {
		switch o.end {
		case rollout.RolledBack:
			r.rolledBack++
			r.decided += o.decided
			r.decidedMost = max(r.decidedMost, o.decided)
		case rollout.Completed:
			r.completed++
			if o.endAt <= v.length {
				r.onTime++
			}
		}
		if o.broken(v.cap) {
			r.broken++
		}
		r.share = max(r.share, float64(o.exposed)/float64(o.asked))
		r.bad = max(r.bad, o.bad)
	}
	if r.rolledBack > 0 {
		r.decided /= time.Duration(r.rolledBack)
	}
	return r
}

func (r summary) String() string {
	return fmt.Sprintf("rolled back %5.1f%%, completed %5.1f%% (%.1f%% in time), exposed at most %.3f, cap broken %d, decided %s (most %s), bad at most %d",
		100*float64(r.rolledBack)/float64(r.runs), 100*float64(r.completed)/float64(r.runs), 100*float64(r.onTime)/float64(r.runs), r.share, r.broken,
		r.decided.Round(10*time.Millisecond), r.decidedMost.Round(10*time.Millisecond), r.bad)
}

var cases = []struct {
	name string
	fault
}{
	{"good", fault{}},
	{"good, 14 in 100 endpoints grey", fault{grey: 0.14}},
	{"good, all endpoints grey", fault{greyAll: true}},
	{"good, all endpoints slow", fault{busy: true}},
	{"fails 5", fault{fails: 0.05}},
	{"fails 10", fault{fails: 0.1}},
	{"fails 30", fault{fails: 0.3}},
	{"fails 60", fault{fails: 0.6}},
	{"slow 2", fault{slow: 2}},
	{"slow 3", fault{slow: 3}},
	{"slow 5", fault{slow: 5}},
	{"slow 3, 4 in 10", fault{slow: 3, part: 0.4}},
	{"fails 30 after half", fault{fails: 0.3, from: 0.5}},
	{"fails 30 after 0.9", fault{fails: 0.3, from: 0.9}},
	{"fails 30 on the rarest route", fault{fails: 0.3, route: 1}},
	{"slow 3 on the rarest route", fault{slow: 3, route: 1}},
	{"fails 30 under load", fault{fails: 0.3, loaded: true}},
	{"fails 30 after 1.1", fault{fails: 0.3, from: 1.1}},
	{"fails 30, 14 in 100 endpoints grey", fault{fails: 0.3, grey: 0.14}},
}

func daemonsOf() []int {
	if os.Getenv("DAEMONS") == "" {
		return []int{3, 9, 78, 380}
	}
	n, _ := strconv.Atoi(os.Getenv("DAEMONS"))
	return []int{n}
}

// Prints the table of docs/design. TABLE is the number of roll-outs simulated of each kind.
func TestTable(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv("TABLE"))
	if err != nil {
		t.Skip("TABLE is not set")
	}
	for _, k := range cases {
		for _, d := range daemonsOf() {
			t.Log(k.name, d, "daemons, engines:", runMany(modelService(d, k.fault), runs))
			f := k.fault
			if f.route > 0 {
				f.route = 2
			}
			t.Log(k.name, d, "daemons, plain:  ", runMany(plainService(d, f), runs))
			long := modelService(d, k.fault)
			long.length = time.Minute
			t.Log(k.name, d, "daemons, engines, a minute:", runMany(long, runs/4))
		}
	}
}

func TestGoodAndBadVersions(t *testing.T) {
	for _, k := range cases {
		r := runMany(modelService(9, k.fault), 40)
		assert.Zero(t, r.broken, k.name)
	}
}
