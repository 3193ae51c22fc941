// SPDX-License-Identifier: MIT

package request

import (
	"slices"
	"sync"
	"time"

	"streambend.example/code"
)

// Ticket is a request's place in a Queue.
type Ticket struct {
	Team        string
	Weight      float64 // share of the team, against others
	Interactive bool
	Priority    int           // within the team; lower goes first
	Expect      time.Duration // time it will hold its place
	Deadline    time.Time

	ready  chan struct{}
	err    *code.Error
	tag    float64 // virtual finish time
	queued bool
	held   bool
}

// Ready is closed once the ticket is granted or refused; Err then tells which.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Err returns why the ticket was refused, or nil once it was granted.
func (t *Ticket) Err() *code.Error { return t.err }

// interactiveWeight is by how much work that cannot wait goes before work of
// the same team that can.
const interactiveWeight = 4

// flowKey names the tickets that wait in one line.
type flowKey struct {
	team        string
	interactive bool
}

type flow struct {
	weight  float64
	tickets []*Ticket
	last    float64 // virtual finish time of the last ticket entered
	running int
}

// Queue admits requests of one service: as many at once as its Limiter allows,
// in weighted fair order of the teams.
type Queue struct {
	Limit     *Limiter
	MaxQueued int

	mu      sync.Mutex
	flows   map[flowKey]*flow
	running int
	queued  int
	virtual float64
}

// NewQueue returns an empty queue.
func NewQueue(l *Limiter, maxQueued int) *Queue {
	return &Queue{Limit: l, MaxQueued: maxQueued, flows: make(map[flowKey]*flow)}
}

// Enter admits a ticket, queues it, or refuses it at once: what cannot be
// ready before its deadline is told so now, not when the deadline comes.
func (q *Queue) Enter(now time.Time, t *Ticket) *code.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	t.ready = make(chan struct{})
	f := q.flow(t)
	if now.Add(t.Expect).After(t.Deadline) {
		return code.New(code.DeadlineTooNear, "%s left, about %s needed", t.Deadline.Sub(now).Round(time.Millisecond), t.Expect.Round(time.Millisecond))
	}
	if q.queued == 0 && q.running < q.Limit.Allowed() {
		q.grant(f, t)
		return nil
	}
	wait := q.wait(f, t)
	if now.Add(wait + t.Expect).After(t.Deadline) {
		return code.New(code.DeadlineTooNear, "about %s of waiting before it", wait.Round(time.Millisecond)).After(wait)
	}
	if q.queued >= q.MaxQueued && !q.makeRoom(f, wait) {
		return code.New(code.QueueFull, "%d wait", q.queued).After(max(wait/2, 100*time.Millisecond))
	}
	q.push(f, t)
	return nil
}

func (q *Queue) flow(t *Ticket) *flow {
	k := flowKey{t.Team, t.Interactive}
	f := q.flows[k]
	if f == nil {
		f = &flow{}
		q.flows[k] = f
	}
	f.weight = max(t.Weight, 0.01)
	if t.Interactive {
		f.weight *= interactiveWeight
	}
	return f
}

// wait estimates how long a new ticket of a flow will wait: the work before it
// in its own line, at the line's share of the service.
func (q *Queue) wait(f *flow, t *Ticket) time.Duration {
	weights, own := f.weight, t.Expect
	for _, g := range q.flows {
		if g != f && len(g.tickets) > 0 {
			weights += g.weight
		}
	}
	for _, o := range f.tickets {
		if o.Priority <= t.Priority {
			own += o.Expect
		}
	}
	share := f.weight / weights * float64(max(q.Limit.Allowed(), 1))
	return time.Duration(float64(own) / share)
}

// makeRoom refuses the newest ticket of the flow that holds most of the queue
// for its weight, if that is not f itself.
func (q *Queue) makeRoom(f *flow, wait time.Duration) bool {
	most := f
	for _, g := range q.flows {
		if float64(len(g.tickets))/g.weight > float64(len(most.tickets)+1)/most.weight {
			most = g
		}
	}
	if most == f {
		return false
	}
	q.refuse(most, len(most.tickets)-1, code.New(code.TeamShare, "the queue is full and its team over its share").After(wait))
	return true
}

func (q *Queue) push(f *flow, t *Ticket) {
	start := max(q.virtual, f.last)
	t.tag = start + t.Expect.Seconds()/f.weight
	f.last = t.tag
	i := len(f.tickets)
	for i > 0 && f.tickets[i-1].Priority > t.Priority {
		i--
	}
	f.tickets = slices.Insert(f.tickets, i, t)
	t.queued = true
	q.queued++
}

func (q *Queue) grant(f *flow, t *Ticket) {
	q.running++
	f.running++
	t.held, t.queued = true, false
	close(t.ready)
}

func (q *Queue) refuse(f *flow, i int, err *code.Error) {
	t := f.tickets[i]
	f.tickets = slices.Delete(f.tickets, i, i+1)
	q.queued--
	t.queued, t.err = false, err
	close(t.ready)
}

// Leave gives a granted place back, or takes a queued ticket out, and grants
// what may now run.
func (q *Queue) Leave(now time.Time, t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flows[flowKey{t.Team, t.Interactive}]
	switch {
	case t.held:
		t.held = false
		q.running--
		f.running--
	case t.queued:
		i := slices.Index(f.tickets, t)
		f.tickets = slices.Delete(f.tickets, i, i+1)
		t.queued = false
		q.queued--
	}
	q.fill(now)
	q.tidy(f, flowKey{t.Team, t.Interactive})
}

// tidy forgets a flow that holds nothing and is not ahead of the others.
func (q *Queue) tidy(f *flow, k flowKey) {
	if len(f.tickets) == 0 && f.running == 0 && f.last <= q.virtual {
		delete(q.flows, k)
	}
}

// Tick refuses what can no longer meet its deadline and grants what may run.
func (q *Queue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.flows {
		for i := len(f.tickets) - 1; i >= 0; i-- {
			if t := f.tickets[i]; now.Add(t.Expect).After(t.Deadline) {
				q.refuse(f, i, code.New(code.DeadlineTooNear, "waited until too late").After(t.Expect))
			}
		}
	}
	q.fill(now)
}

func (q *Queue) fill(now time.Time) {
	for q.queued > 0 && q.running < q.Limit.Allowed() {
		f := q.earliest()
		t := f.tickets[0]
		if now.Add(t.Expect).After(t.Deadline) {
			q.refuse(f, 0, code.New(code.DeadlineTooNear, "waited until too late").After(t.Expect))
			continue
		}
		f.tickets = slices.Delete(f.tickets, 0, 1)
		q.queued--
		q.virtual = max(q.virtual, t.tag-t.Expect.Seconds()/f.weight)
		q.grant(f, t)
	}
}

// earliest returns the flow whose first ticket has the lowest virtual time.
func (q *Queue) earliest() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.tickets) > 0 && (best == nil || f.tickets[0].tag < best.tickets[0].tag) {
			best = f
		}
	}
	return best
}

// State returns how many requests run and wait.
func (q *Queue) State() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.queued
}
