// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"streambend.example/budget"
	"streambend.example/clock"
	"streambend.example/conn"
)

const (
	// askRepeats asks a daemon for the reports on repeats that it holds; tellRepeats gives it one.
	askRepeats  = "repeats"
	tellRepeats = "repeats-made"
	// repeatReportDelay is how long repeats are collected after a report. The first one is reported at once, so that
	// little is lost when a daemon ends.
	repeatReportDelay = 20 * time.Millisecond
	// repeatReportPeriod is how often a daemon reports while it has made repeats in the window, though no further ones:
	// others know its requests by its reports alone.
	repeatReportPeriod = time.Second
	// repeatHolders is the number of daemons that hold a daemon's reports in a large fleet: with a third of the daemons
	// killed at one moment, one in a hundred loses all of them. More are asked after a start, as daemons that have
	// joined since may rank among the first.
	repeatHolders      = 4
	repeatAskedHolders = 8
	// A daemon of a large fleet that has made more repeats in the window than this share of the slack tells all others,
	// once in a repeatReportPeriod: it has much of the load, which may move to another one.
	repeatBroadcastShare = 0.25
	// repeatTimeout is how long a daemon waits for another to take a report, or to answer with those that it holds.
	repeatTimeout = 200 * time.Millisecond
	// repeatAskPause is how long a daemon that has started waits to ask again if none of the others knew.
	repeatAskPause = 100 * time.Millisecond
)

// repeatBudget shares with the other daemons what this one has repeated, and learns from them after a start what was
// repeated before.
type repeatBudget struct {
	d      *Daemon
	ledger *budget.Ledger
	wake   chan struct{}
	read   atomic.Bool // the rows of the daemons in this one's zone were read

	broadcast time.Time // when all daemons were last told; used by one goroutine
}

// repeatReply is the answer to askRepeats.
type repeatReply struct {
	Reports []budget.Report `codec:"r,omitempty"`
	Known   bool            `codec:"k,omitempty"` // the answering daemon knows what was repeated in the window
}

func newRepeatBudget(d *Daemon) *repeatBudget {
	b := &repeatBudget{d: d, wake: make(chan struct{}, 1)}
	bounds := d.Site().Bounds
	b.ledger = budget.NewLedger(
		budget.Bound{Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Slack: bounds.RetrySlack},
		budget.Source{Daemon: d.Self.Name, Start: d.Self.Start}, d.began,
		func() int { return d.fleet().Sharers() }, b.signal)
	if d.Site().First {
		b.ledger.SetKnown()
	}
	return b
}

func (b *repeatBudget) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// report reports this daemon's repeats until it ends.
func (b *repeatBudget) report(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		if r, ok := b.ledger.Report(now); ok {
			b.send(now, r)
		}
		sleep(ctx, repeatReportDelay)
		passed, stop := after(repeatReportPeriod)
		select {
		case <-ctx.Done():
		case <-b.wake:
		case <-passed:
		}
		stop()
	}
}

// send sends a report to the daemons that hold this one's: to all in a small fleet, or if there are many repeats in it.
func (b *repeatBudget) send(now time.Time, r budget.Report) {
	body := conn.Marshal([]budget.Report{r})
	if !b.d.largeFleet() {
		b.d.sendToAll(b.d.Hub.Mesh.NeighbourNames(), conn.Payload{Repeats: body})
		return
	}
	if float64(r.Repeats()) > repeatBroadcastShare*b.d.Site().Bounds.RetrySlack && now.Sub(b.broadcast) >= repeatReportPeriod {
		b.broadcast = now
		b.d.Hub.Broadcast(conn.Payload{Repeats: body})
	}
	ctx, cancel := context.WithTimeout(b.d.ctx, repeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range b.holders(repeatHolders) {
		wg.Go(func() { b.d.Hub.Ask(ctx, name, tellRepeats, body) }) // the others have the report if this one fails
	}
	wg.Wait()
}

// holders returns the n daemons that hold this one's reports in a large fleet, by rendezvous hashing.
func (b *repeatBudget) holders(n int) []string {
	var names []string
	for _, m := range b.d.others() {
		names = append(names, m.Name)
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(b.d.Self.Name + " " + name) }
	slices.SortFunc(names, func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
	return names[:min(n, len(names))]
}

// receive takes another daemon's report.
func (b *repeatBudget) receive(now time.Time, body []byte) error {
	if len(body) == 0 {
		return nil
	}
	var in []budget.Report
	if err := conn.Unmarshal(body, &in); err != nil {
		return err
	}
	b.ledger.Merge(now, in)
	return nil
}

// answer answers with the reports held here.
func (b *repeatBudget) answer() ([]byte, error) {
	reports, known := b.ledger.Reports(clock.Now())
	return conn.Marshal(repeatReply{reports, known}), nil
}

// noteRows records the rows of the daemons in this one's zone, read at its start before it has written its own: a daemon
// without a row has not run before.
func (b *repeatBudget) noteRows(found []conn.Member) {
	if b.read.Swap(true) {
		return
	}
	if !slices.ContainsFunc(found, func(m conn.Member) bool { return m.Name == b.d.Self.Name }) {
		b.ledger.SetKnown()
	}
}

// recover asks other daemons for the reports that they hold until one has answered that knows what was repeated.
func (b *repeatBudget) recover(ctx context.Context) {
	asked, answered := 0, 0
	for ; ctx.Err() == nil && !b.ledger.Known(clock.Now()); sleep(ctx, repeatAskPause) {
		counted := b.d.contact.counted.Load() // otherwise holders may be missing from the members
		names := b.d.Hub.Mesh.NeighbourNames()
		if b.d.largeFleet() {
			names = b.holders(repeatAskedHolders)
		}
		n, known := b.ask(ctx, names)
		if known && counted {
			b.ledger.SetKnown()
		}
		asked, answered = asked+len(names), answered+n
	}
	b.d.log.WithFields(logrus.Fields{"part": "repeats", "after_ms": clock.Since(b.d.began).Milliseconds(), "asked": asked, "answered": answered}).
		Info("repeats of the window are known: requests may be repeated from now on")
}

// ask asks daemons for the reports that they hold and merges them. It returns how many have answered, and whether one of
// them knew what was repeated.
func (b *repeatBudget) ask(ctx context.Context, names []string) (answered int, known bool) {
	ctx, cancel := context.WithTimeout(ctx, repeatTimeout)
	defer cancel()
	replies := make(chan *repeatReply, len(names))
	for _, name := range names {
		b.d.run(func() {
			a := new(repeatReply)
			body, err := b.d.Hub.Ask(ctx, name, askRepeats, nil)
			if err != nil || conn.Unmarshal(body, a) != nil {
				a = nil
			}
			replies <- a
		})
	}
	for range names {
		if a := <-replies; a != nil {
			answered++
			known = known || a.Known
			b.ledger.Merge(clock.Now(), a.Reports)
		}
	}
	return answered, known
}
