// SPDX-License-Identifier: MIT

package budget

import (
	"sync"
	"time"
)

// Bound bounds the repeats of a service over all daemons: in each Window at most Ratio times its requests, plus Slack.
type Bound struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

const (
	// usedSlackShare is the share of the slack that is used: the number of daemons is known with a delay, and what
	// a daemon spent just before its end may not have been reported.
	usedSlackShare = 0.6
	// spareShare is the share of the repeats for requests that are still in flight at an endpoint. The rest is
	// reserved for streams whose endpoint ends: without it, slow engines during the reclaim of a zone used up all
	// repeats, and none of 30 interrupted streams was resumed.
	spareShare = 0.5
	// maxReports bounds the reports that are held: several starts of each daemon of a full mesh, or of those whose
	// reports this one holds in a larger fleet, at 200 bytes for each service.
	maxReports = 256
)

// Ledger holds what one daemon knows of the repeats of all. Its methods are safe for concurrent use.
type Ledger struct {
	bound   Bound
	self    Source
	began   time.Time
	daemons func() int // number of daemons that share the slack
	spent   func()     // is called for each repeat

	mu     sync.Mutex
	known  bool
	seq    uint64
	own    map[string]*counter // by service
	others map[Source]received
}

// NewLedger returns the ledger of a daemon that has just started. The daemons that share the slack are counted by daemons;
// spent is called for each repeat and must not block.
func NewLedger(b Bound, self Source, now time.Time, daemons func() int, spent func()) *Ledger {
	return &Ledger{bound: b, self: self, began: now, daemons: daemons, spent: spent, own: make(map[string]*counter), others: make(map[Source]received)}
}

// SetKnown records that this daemon knows what was spent before its start.
func (l *Ledger) SetKnown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = true
}

// Known reports whether this daemon knows all repeats in the window, so that it may make some.
func (l *Ledger) Known(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knows(now)
}

func (l *Ledger) knows(now time.Time) bool {
	l.known = l.known || now.Sub(l.began) > l.bound.Window
	return l.known
}

// stepAt returns the number of the step at a time, and when it began. Steps follow the monotonic clock: when the time of
// day steps, no counts are lost.
func (l *Ledger) stepAt(now time.Time) (step int64, began time.Time) {
	size := l.bound.Window / steps
	step = int64(now.Sub(l.began) / size)
	return step, l.began.Add(time.Duration(step) * size)
}

// count returns the counter of a service, brought to the present; the caller holds the lock.
func (l *Ledger) count(now time.Time, service string) (c *counter, began time.Time) {
	c = l.own[service]
	if c == nil {
		c = &counter{}
		l.own[service] = c
	}
	step, _ := l.stepAt(now)
	c.at(step)
	return c, l.began.Add(time.Duration(c.step) * l.bound.Window / steps)
}

// allows reports whether one more repeat stays within a share of the bound, for this daemon and for all together; the
// caller holds the lock.
func (l *Ledger) allows(now time.Time, service string, part float64) bool {
	if !l.knows(now) {
		return false
	}
	c, began := l.count(now, service)
	own := c.counts.sum(now, began, l.bound.Window)
	all := own
	for s, r := range l.others {
		counts, ok := r.Services[service]
		if !ok {
			continue
		}
		sum := counts.sum(now, r.began, l.bound.Window)
		all.add(sum)
		if s.Daemon == l.self.Daemon {
			own.add(sum)
		}
	}
	slack := usedSlackShare * l.bound.Slack
	within := func(c Count, slack float64) bool {
		return float64(c.Repeats+1) <= part*(l.bound.Ratio*float64(c.Requests)+slack)
	}
	return within(own, slack/float64(max(l.daemons(), 1))) && within(all, slack)
}

// Budget returns this daemon's budget of repeats for a service.
func (l *Ledger) Budget(service string) *Budget { return &Budget{l, service} }

// Budget is one daemon's budget of repeats for a service.
type Budget struct {
	ledger  *Ledger
	service string
}

// First counts a request.
func (b *Budget) First(now time.Time) {
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	c, _ := b.ledger.count(now, b.service)
	c.counts[0].Requests++
}

// Earn does nothing, since repeats are allowed by requests.
func (b *Budget) Earn() {}

// Left reports whether one more repeat is allowed.
func (b *Budget) Left(now time.Time) bool {
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	return b.ledger.allows(now, b.service, 1)
}

// TakeSpare spends a repeat on a request that its endpoint may still answer, and reports whether that is allowed.
func (b *Budget) TakeSpare(now time.Time) bool {
	b.ledger.mu.Lock()
	ok := b.ledger.allows(now, b.service, spareShare)
	if ok {
		c, _ := b.ledger.count(now, b.service)
		c.counts[0].Repeats++
	}
	b.ledger.mu.Unlock()
	if ok {
		b.ledger.spent()
	}
	return ok
}

// Spend spends a repeat.
func (b *Budget) Spend(now time.Time) {
	b.ledger.mu.Lock()
	c, _ := b.ledger.count(now, b.service)
	c.counts[0].Repeats++
	b.ledger.mu.Unlock()
	b.ledger.spent()
}
