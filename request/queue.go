// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"slices"
	"sync"
	"time"

	"streambend.example/code"
)

// Ticket is a request in a Queue.
type Ticket struct {
	Team        string
	Weight      float64 // fair-queuing weight of the team
	Interactive bool
	Priority    int           // within the team; lower values go first
	Expect      time.Duration // expected service time
	Least       time.Duration // service time that it surely takes; 0 if it is not known
	Target      time.Time     // when the answer is wanted; zero for no target before the deadline
	Deadline    time.Time     // after which the answer is useless

	ready     chan struct{}
	err       *code.Error
	finishTag float64 // virtual finish time
	queued    bool
	granted   bool // granted and not yet given back
}

// Ready returns a channel that is closed once the ticket is granted or refused; Err then tells which.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Err returns why the ticket was refused, or nil once it was granted.
func (t *Ticket) Err() *code.Error { return t.err }

// meetsTarget reports whether the ticket, granted after wait, completes by its target.
func (t *Ticket) meetsTarget(now time.Time, wait time.Duration) bool {
	need := time.Duration(expectMargin * float64(t.Expect))
	return t.Target.IsZero() || !now.Add(wait+need).After(t.Target)
}

// missesDeadline reports whether the ticket, granted after wait, surely completes only after its deadline.
func (t *Ticket) missesDeadline(now time.Time, wait time.Duration) bool {
	return now.Add(wait + t.Least).After(t.Deadline)
}

const (
	// interactiveWeight is the weight of interactive work relative to deferrable work of the same team.
	interactiveWeight = 4
	// lateShare is the share of a flow's service for tickets that have missed their target. The rest
	// serves those that can still meet it, so that overload makes some requests late, not all of them.
	lateShare = 0.05
	// expectMargin is the safety factor on the expected service time in the check against the target.
	expectMargin = 1.2
	// deferrableShare is the share of the limit that deferrable work may always use.
	deferrableShare = 0.2
	// interactiveExcess and interactiveExcessMin are by how much interactive work may exceed the limit, as
	// a share of it and at least. The engines honour priorities, and their queue, shared by all daemons,
	// has a free slot sooner than the few slots of one daemon.
	interactiveExcess    = 0.5
	interactiveExcessMin = 2
	// interactiveMeanTime is the time constant of the average of interactive requests.
	interactiveMeanTime = 3 * time.Second
)

// flowKey identifies a flow.
type flowKey struct {
	team        string
	interactive bool
}

// flow holds the waiting tickets of one team, interactive or deferrable: those that can still meet their
// target, and the late ones.
type flow struct {
	interactive bool
	weight      float64
	tickets     []*Ticket
	late        []*Ticket
	credit      float64 // seconds of service due to late tickets
	lastFinish  float64 // virtual finish time of the last ticket granted or entered
	running     int     // granted tickets
}

func (f *flow) waiting() int { return len(f.tickets) + len(f.late) }

// next returns the list whose first ticket is served next: the late one if no other ticket waits or its
// credit covers the first ticket.
func (f *flow) next() *[]*Ticket {
	if len(f.late) > 0 && (len(f.tickets) == 0 || f.credit >= f.late[0].Expect.Seconds()) {
		return &f.late
	}
	return &f.tickets
}

// Queue is the admission queue of one service: it grants as many requests at once as its Limiter allows, by
// weighted fair queuing over the teams.
type Queue struct {
	Limit     *Limiter
	MaxQueued int

	mu                sync.Mutex
	flows             map[flowKey]*flow
	running           int
	runningDeferrable int // running tickets that are not interactive
	queued            int
	virtualTime       float64   // virtual time of the fair queue
	interactiveMean   float64   // moving average of the interactive requests that run or wait
	observed          time.Time // when mean was last updated
}

// NewQueue returns an empty queue.
func NewQueue(l *Limiter, maxQueued int) *Queue {
	return &Queue{Limit: l, MaxQueued: maxQueued, flows: make(map[flowKey]*flow)}
}

// Enter grants a ticket, queues it, or refuses it. A request that cannot complete before its deadline is
// refused at once instead of at the deadline.
func (q *Queue) Enter(now time.Time, t *Ticket) *code.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateMean(now)
	t.ready = make(chan struct{})
	f := q.flow(t)
	q.grantQueued(now) // what may run also changes with time alone
	if t.missesDeadline(now, 0) {
		return code.New(code.DeadlineTooNear, "%s left, at least %s required", t.Deadline.Sub(now).Round(time.Millisecond), t.Least.Round(time.Millisecond))
	}
	if q.mayRun(f) && q.earliest() == nil {
		q.grant(f, t)
		return nil
	}
	wait := q.wait(f, t)
	late := !t.meetsTarget(now, wait)
	if late {
		wait = q.lateWait(f, t)
	}
	if t.missesDeadline(now, wait) {
		return code.New(code.DeadlineTooNear, "estimated queue wait of %s", wait.Round(time.Millisecond)).After(wait)
	}
	if q.queued >= q.MaxQueued && !q.evictFor(f, wait) {
		return code.New(code.QueueFull, "%d requests queued", q.queued).After(max(wait/2, 100*time.Millisecond))
	}
	q.push(f, t, late)
	return nil
}

func (q *Queue) flow(t *Ticket) *flow {
	k := flowKey{t.Team, t.Interactive}
	f := q.flows[k]
	if f == nil {
		f = &flow{interactive: t.Interactive}
		q.flows[k] = f
	}
	f.weight = max(t.Weight, 0.01)
	if t.Interactive {
		f.weight *= interactiveWeight
	}
	return f
}

// updateMean updates the average of the interactive requests. It is called before their number changes.
func (q *Queue) updateMean(now time.Time) {
	n := 0
	for _, g := range q.flows {
		if g.interactive {
			n += g.running + g.waiting()
		}
	}
	dt := now.Sub(q.observed)
	q.observed = now
	q.interactiveMean += (float64(n) - q.interactiveMean) * (1 - math.Exp(-dt.Seconds()/interactiveMeanTime.Seconds()))
}

// mayRun reports whether a ticket of the flow may be granted. Interactive work may exceed the limit.
// Deferrable work leaves free what interactive work has used on average plus one standard deviation, since
// its own slots are released too rarely for interactive work to wait for; a small share is always its own.
func (q *Queue) mayRun(f *flow) bool {
	limit := q.Limit.Allowed()
	beyond := limit + max(interactiveExcessMin, int(interactiveExcess*float64(limit)))
	switch {
	case q.running >= beyond:
		return false
	case f.interactive:
		return true
	}
	left := float64(limit) - q.interactiveMean - math.Sqrt(q.interactiveMean)
	return float64(q.runningDeferrable) < math.Max(math.Max(1, deferrableShare*float64(limit)), left)
}

// rate returns the seconds of service that a flow receives per second.
func (q *Queue) rate(f *flow) float64 {
	weights := f.weight
	for _, g := range q.flows {
		if g != f && g.waiting() > 0 {
			weights += g.weight
		}
	}
	return f.weight / weights * float64(max(q.Limit.Allowed(), 1))
}

// wait estimates the queue wait of a ticket that can meet its target: the work ahead of it in its flow and
// its own, at the flow's rate.
func (q *Queue) wait(f *flow, t *Ticket) time.Duration {
	own := t.Expect
	for _, o := range f.tickets {
		if o.Priority <= t.Priority {
			own += o.Expect
		}
	}
	return time.Duration(float64(own) / q.rate(f))
}

// lateWait estimates the queue wait of a ticket that will miss its target.
func (q *Queue) lateWait(f *flow, t *Ticket) time.Duration {
	own := t.Expect
	for _, o := range f.late {
		own += o.Expect
	}
	return time.Duration(float64(own) / (lateShare * q.rate(f)))
}

// evictFor refuses the newest ticket of the flow with the most waiting tickets relative to its weight, and
// reports whether it did: if that flow is f itself, nothing is refused.
func (q *Queue) evictFor(f *flow, wait time.Duration) bool {
	most := f
	for _, g := range q.flows {
		if float64(g.waiting())/g.weight > float64(most.waiting()+1)/most.weight {
			most = g
		}
	}
	if most == f {
		return false
	}
	line := &most.late
	if len(*line) == 0 {
		line = &most.tickets
	}
	q.refuse(line, len(*line)-1, code.New(code.TeamShare, "queue full and team over its fair share").After(wait))
	return true
}

func (q *Queue) push(f *flow, t *Ticket, late bool) {
	q.assignFinishTag(f, t)
	t.queued = true
	q.queued++
	if late {
		f.late = append(f.late, t)
		return
	}
	i := len(f.tickets)
	for i > 0 && f.tickets[i-1].Priority > t.Priority {
		i--
	}
	f.tickets = slices.Insert(f.tickets, i, t)
}

// assignFinishTag assigns the ticket's virtual finish time.
func (q *Queue) assignFinishTag(f *flow, t *Ticket) {
	t.finishTag = max(q.virtualTime, f.lastFinish) + t.Expect.Seconds()/f.weight
	f.lastFinish = t.finishTag
}

func (q *Queue) grant(f *flow, t *Ticket) {
	q.running++
	f.running++
	if !f.interactive {
		q.runningDeferrable++
	}
	t.granted, t.queued = true, false
	close(t.ready)
}

// dequeue removes the ticket at i from a list.
func (q *Queue) dequeue(line *[]*Ticket, i int) *Ticket {
	t := (*line)[i]
	*line = slices.Delete(*line, i, i+1)
	q.queued--
	t.queued = false
	return t
}

func (q *Queue) refuse(line *[]*Ticket, i int, err *code.Error) {
	t := q.dequeue(line, i)
	t.err = err
	close(t.ready)
}

// Leave releases a granted ticket or removes a queued one, and grants what may now run.
func (q *Queue) Leave(now time.Time, t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateMean(now)
	k := flowKey{t.Team, t.Interactive}
	f := q.flows[k]
	switch {
	case t.granted:
		t.granted = false
		q.running--
		f.running--
		if !f.interactive {
			q.runningDeferrable--
		}
	case t.queued:
		for _, line := range []*[]*Ticket{&f.tickets, &f.late} {
			if i := slices.Index(*line, t); i >= 0 {
				q.dequeue(line, i)
			}
		}
	}
	q.grantQueued(now)
	if f != nil && f.waiting() == 0 && f.running == 0 && f.lastFinish <= q.virtualTime {
		delete(q.flows, k)
	}
}

// Tick refuses tickets that can no longer meet their deadline, and grants those that may run.
func (q *Queue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.flows {
		for _, line := range []*[]*Ticket{&f.tickets, &f.late} {
			for i := len(*line) - 1; i >= 0; i-- {
				if t := (*line)[i]; t.missesDeadline(now, 0) {
					q.refuse(line, i, code.New(code.DeadlineTooNear, "deadline can no longer be met").After(t.Least))
				}
			}
		}
	}
	q.grantQueued(now)
}

// grantQueued grants queued tickets, in order of virtual finish time, as long as any may run.
func (q *Queue) grantQueued(now time.Time) {
	for q.queued > 0 {
		f := q.earliest()
		if f == nil {
			return
		}
		line := f.next()
		if line == &f.tickets && !f.tickets[0].meetsTarget(now, 0) {
			q.demote(now, f)
			continue
		}
		t := q.dequeue(line, 0)
		cost := t.Expect.Seconds()
		if line == &f.late {
			f.credit = max(0, f.credit-cost)
		} else if len(f.late) > 0 {
			f.credit += lateShare * cost
		}
		q.virtualTime = max(q.virtualTime, t.finishTag-cost/f.weight)
		q.grant(f, t)
	}
}

// demote moves the first ticket of a flow, which can no longer meet its target, to the late ones, or
// refuses it if it would miss its deadline there.
func (q *Queue) demote(now time.Time, f *flow) {
	t := f.tickets[0]
	if wait := q.lateWait(f, t); t.missesDeadline(now, wait) {
		q.refuse(&f.tickets, 0, code.New(code.DeadlineTooNear, "estimated queue wait of %s", wait.Round(time.Millisecond)).After(wait))
		return
	}
	f.tickets = slices.Delete(f.tickets, 0, 1)
	f.late = append(f.late, t)
}

// earliest returns the flow whose next ticket has the lowest virtual finish time among those that may run, or
// nil.
func (q *Queue) earliest() *flow {
	var best *flow
	var tag float64
	for _, f := range q.flows {
		if f.waiting() == 0 || !q.mayRun(f) {
			continue
		}
		if x := (*f.next())[0].finishTag; best == nil || x < tag {
			best, tag = f, x
		}
	}
	return best
}

// State returns the number of running and of queued requests.
func (q *Queue) State() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.queued
}
