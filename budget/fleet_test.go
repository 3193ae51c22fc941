// SPDX-License-Identifier: MIT

package budget_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/budget"
)

// Parameters of the model fleet's load.
const (
	modelSlack  = 56.0
	modelRatio  = 0.2
	modelWindow = 10 * time.Second
	modelTick   = 10 * time.Millisecond
	modelDelay  = 40 * time.Millisecond // until a report has arrived
	modelSpan   = 40 * time.Second
)

// modelDaemon is a daemon of the model fleet. Each start has a ledger of its own.
type modelDaemon struct {
	ledger  *budget.Ledger
	upAt    time.Time // end of the outage
	changed bool
}

// modelFleet plays daemons that make all the repeats that they may, in virtual time.
type modelFleet struct {
	rand     *rand.Rand
	daemons  []*modelDaemon
	starts   int64
	now      time.Time
	requests []time.Time
	repeats  []time.Time
	sent     []modelReport
}

// modelReport is a report on its way.
type modelReport struct {
	at time.Time
	budget.Report
}

func newModelFleet(seed uint64, daemons int) *modelFleet {
	f := &modelFleet{rand: rand.New(rand.NewPCG(seed, 0)), now: start}
	for i := range daemons {
		f.daemons = append(f.daemons, &modelDaemon{})
		f.start(i)
		f.daemons[i].ledger.SetKnown()
	}
	return f
}

// start starts a daemon, which asks all others that are up.
func (f *modelFleet) start(i int) {
	f.starts++
	d := f.daemons[i]
	source := budget.Source{Daemon: fmt.Sprint("daemon-", i), Start: f.starts}
	d.ledger = budget.NewLedger(budget.Bound{Ratio: modelRatio, Window: modelWindow, Slack: modelSlack}, source, f.now,
		func() int { return len(f.daemons) }, func() { d.changed = true })
	for _, o := range f.daemons {
		if o == d || o.ledger == nil {
			continue
		}
		reports, known := o.ledger.Reports(f.now)
		d.ledger.Merge(f.now, reports)
		if known {
			d.ledger.SetKnown()
		}
	}
}

// exchange delivers reports that are due, and sends those of daemons that have made repeats.
func (f *modelFleet) exchange() {
	for len(f.sent) > 0 && !f.now.Before(f.sent[0].at) {
		for _, d := range f.daemons {
			if d.ledger != nil {
				d.ledger.Merge(f.now, []budget.Report{f.sent[0].Report})
			}
		}
		f.sent = f.sent[1:]
	}
	refresh := f.now.Sub(start)%time.Second == 0
	for _, d := range f.daemons {
		if d.ledger == nil {
			continue
		}
		if r, ok := d.ledger.Report(f.now); ok && (d.changed || refresh) {
			r.Age += modelDelay
			f.sent = append(f.sent, modelReport{f.now.Add(modelDelay), r})
			d.changed = false
		}
	}
}

// play sends requests to the daemons, by weights that change, and kills each of them and all at once at given rates a
// second.
func (f *modelFleet) play(perTick, kills, herds float64) {
	weights := make([]float64, len(f.daemons))
	due := 0.0
	for ; f.now.Before(start.Add(modelSpan)); f.now = f.now.Add(modelTick) {
		if f.now.Sub(start)%(5*time.Second) == 0 {
			for i := range weights {
				weights[i] = f.rand.ExpFloat64() * f.rand.ExpFloat64()
			}
		}
		all := f.rand.Float64() < herds*modelTick.Seconds()
		for i, d := range f.daemons {
			switch {
			case d.ledger == nil && !d.upAt.After(f.now):
				f.start(i)
			case d.ledger != nil && (all || f.rand.Float64() < kills*modelTick.Seconds()):
				d.ledger, d.upAt = nil, f.now.Add(time.Duration(f.rand.IntN(500))*time.Millisecond)
			}
		}
		for due += perTick; due >= 1; due-- {
			f.request(weights)
		}
		f.exchange()
	}
}

// refuses reports whether the endpoints refuse requests: for 4 of every 12 seconds.
func (f *modelFleet) refuses() bool { return f.now.Sub(start)%(12*time.Second) > 8*time.Second }

// request sends a request to a daemon that is up, which repeats it twice if it may and endpoints refuse it.
func (f *modelFleet) request(weights []float64) {
	f.requests = append(f.requests, f.now)
	total := 0.0
	for i, d := range f.daemons {
		if d.ledger != nil {
			total += weights[i]
		}
	}
	at := f.rand.Float64() * total
	for i, d := range f.daemons {
		if d.ledger == nil {
			continue
		}
		if at -= weights[i]; at > 0 {
			continue
		}
		b := d.ledger.Budget("service")
		b.First(f.now)
		for range 2 {
			if f.refuses() && b.Left(f.now) {
				b.Spend(f.now)
				f.repeats = append(f.repeats, f.now)
			}
		}
		return
	}
}

// Guards against a fleet that exceeds the bound as its daemons end at random and its callers move.
func TestAFleetStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(40) {
		f := newModelFleet(seed, 2+int(seed)%8)
		kills, herds := []float64{0, 0.05, 0.3, 1}[seed%4], []float64{0, 0.3}[seed/4%2]
		f.play(1.4, kills, herds)
		over, used := f.worst()
		assert.LessOrEqual(t, over, 0.0, "seed %d: %g kills a second of each daemon, %g of all", seed, kills, herds)
		if kills+herds == 0 {
			assert.GreaterOrEqual(t, used, 0.85, "seed %d", seed)
		}
	}
}

// worst returns by how much the bound is exceeded in the worst window, and the largest share of it that is used.
func (f *modelFleet) worst() (over, used float64) {
	over = -modelSlack
	requested := func(from, to time.Time) int { return before(f.requests, to) - before(f.requests, from) }
	for i, to := range f.repeats {
		from := to.Add(-modelWindow)
		n := i + 1 - before(f.repeats, from)
		requests := max(requested(from, to), requested(from.Add(-modelWindow), from), requested(from.Add(-modelWindow/2), to.Add(-modelWindow/2)))
		bound := modelRatio*float64(requests) + modelSlack
		over, used = max(over, float64(n)-bound), max(used, float64(n)/bound)
	}
	return over, used
}

// before returns how many of some times, in order, are not after one.
func before(times []time.Time, at time.Time) int {
	return sort.Search(len(times), func(i int) bool { return times[i].After(at) })
}
