// SPDX-License-Identifier: MIT

package request

import (
	"math"
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
	Target      time.Time     // when the answer is wanted; zero for the deadline
	Deadline    time.Time     // after which it is of no use

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

// inTime reports whether a ticket granted after a wait ends by its target.
func (t *Ticket) inTime(now time.Time, wait time.Duration) bool {
	need := time.Duration(expectMargin * float64(t.Expect))
	return t.Target.IsZero() || !now.Add(wait+need).After(t.Target)
}

// hopeless reports whether a ticket granted after a wait ends past its
// deadline.
func (t *Ticket) hopeless(now time.Time, wait time.Duration) bool {
	return now.Add(wait + t.Expect).After(t.Deadline)
}

const (
	// interactiveWeight is by how much work that cannot wait goes before
	// work of the same team that can.
	interactiveWeight = 4
	// lateShare is the share of a flow's places that goes to tickets which
	// have missed their target. The rest goes to those that can still meet
	// it, so that overload makes some requests late and not all of them.
	lateShare = 0.05
	// expectMargin is by how much longer than expected an answer may take
	// that is begun at the last moment.
	expectMargin = 1.2
	// patientShare is the share of the places that work which can wait always
	// has, however much interactive work there is.
	patientShare = 0.2
	// beyondShare is by how much interactive work may go beyond the limit.
	// The engines honour priorities, and their common queue hands it a place
	// sooner than one daemon's few places can.
	beyondShare = 0.5
	beyondLeast = 2
	// meanTime is the time over which the interactive requests are averaged.
	meanTime = 3 * time.Second
)

// flowKey names the tickets that wait in one line.
type flowKey struct {
	team        string
	interactive bool
}

// flow is the tickets of one team that wait: those that can meet their target,
// and those that will be late.
type flow struct {
	interactive bool
	weight      float64
	tickets     []*Ticket
	late        []*Ticket
	credit      float64 // seconds of service owed to late tickets
	last        float64 // virtual finish time of the last ticket granted or entered
	running     int
}

func (f *flow) waiting() int { return len(f.tickets) + len(f.late) }

// next returns the line whose first ticket is to go: late tickets have theirs
// when nobody else waits or they have enough credit.
func (f *flow) next() *[]*Ticket {
	if len(f.late) > 0 && (len(f.tickets) == 0 || f.credit >= f.late[0].Expect.Seconds()) {
		return &f.late
	}
	return &f.tickets
}

// Queue admits requests of one service: as many at once as its Limiter allows,
// in weighted fair order of the teams.
type Queue struct {
	Limit     *Limiter
	MaxQueued int

	mu       sync.Mutex
	flows    map[flowKey]*flow
	running  int
	patient  int // running that are not interactive
	queued   int
	virtual  float64
	mean     float64 // interactive requests here, lately
	observed time.Time
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
	q.observe(now)
	t.ready = make(chan struct{})
	f := q.flow(t)
	q.fill(now) // time alone may have freed places
	if t.hopeless(now, 0) {
		return code.New(code.DeadlineTooNear, "%s left, about %s needed", t.Deadline.Sub(now).Round(time.Millisecond), t.Expect.Round(time.Millisecond))
	}
	if q.mayRun(f) && q.earliest() == nil {
		q.grant(f, t)
		return nil
	}
	wait := q.wait(f, t)
	late := !t.inTime(now, wait)
	if late {
		wait = q.lateWait(f, t)
	}
	if t.hopeless(now, wait) {
		return code.New(code.DeadlineTooNear, "about %s of waiting before it", wait.Round(time.Millisecond)).After(wait)
	}
	if q.queued >= q.MaxQueued && !q.makeRoom(f, wait) {
		return code.New(code.QueueFull, "%d wait", q.queued).After(max(wait/2, 100*time.Millisecond))
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

// observe brings the mean of the interactive requests up to now. It is called
// before anything changes.
func (q *Queue) observe(now time.Time) {
	n := 0
	for _, g := range q.flows {
		if g.interactive {
			n += g.running + g.waiting()
		}
	}
	dt := now.Sub(q.observed)
	q.observed = now
	q.mean += (float64(n) - q.mean) * (1 - math.Exp(-dt.Seconds()/meanTime.Seconds()))
}

// mayRun reports whether a ticket of the flow may have a place. Interactive
// work may go beyond the limit. Work that can wait leaves what interactive
// work has needed on average, and one deviation more, for its own places come
// free too seldom to be waited for; it always has a small share.
func (q *Queue) mayRun(f *flow) bool {
	limit := q.Limit.Allowed()
	beyond := limit + max(beyondLeast, int(beyondShare*float64(limit)))
	switch {
	case q.running >= beyond:
		return false
	case f.interactive:
		return true
	}
	left := float64(limit) - q.mean - math.Sqrt(q.mean)
	return float64(q.patient) < math.Max(math.Max(1, patientShare*float64(limit)), left)
}

// rate returns how many seconds of service a flow gets in a second.
func (q *Queue) rate(f *flow) float64 {
	weights := f.weight
	for _, g := range q.flows {
		if g != f && g.waiting() > 0 {
			weights += g.weight
		}
	}
	return f.weight / weights * float64(max(q.Limit.Allowed(), 1))
}

// wait estimates how long a ticket waits that can meet its target: the work
// before it in its own line, at the line's share of the service.
func (q *Queue) wait(f *flow, t *Ticket) time.Duration {
	own := t.Expect
	for _, o := range f.tickets {
		if o.Priority <= t.Priority {
			own += o.Expect
		}
	}
	return time.Duration(float64(own) / q.rate(f))
}

// lateWait estimates the same for a ticket that will miss its target.
func (q *Queue) lateWait(f *flow, t *Ticket) time.Duration {
	own := t.Expect
	for _, o := range f.late {
		own += o.Expect
	}
	return time.Duration(float64(own) / (lateShare * q.rate(f)))
}

// makeRoom refuses the newest ticket of the flow that holds most of the queue
// for its weight, if that is not f itself.
func (q *Queue) makeRoom(f *flow, wait time.Duration) bool {
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
	q.refuse(line, len(*line)-1, code.New(code.TeamShare, "the queue is full and its team over its share").After(wait))
	return true
}

func (q *Queue) push(f *flow, t *Ticket, late bool) {
	q.tag(f, t)
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

// tag gives a ticket its virtual finish time.
func (q *Queue) tag(f *flow, t *Ticket) {
	t.tag = max(q.virtual, f.last) + t.Expect.Seconds()/f.weight
	f.last = t.tag
}

func (q *Queue) grant(f *flow, t *Ticket) {
	q.running++
	f.running++
	if !f.interactive {
		q.patient++
	}
	t.held, t.queued = true, false
	close(t.ready)
}

// take removes the ticket at i from a line.
func (q *Queue) take(line *[]*Ticket, i int) *Ticket {
	t := (*line)[i]
	*line = slices.Delete(*line, i, i+1)
	q.queued--
	t.queued = false
	return t
}

func (q *Queue) refuse(line *[]*Ticket, i int, err *code.Error) {
	t := q.take(line, i)
	t.err = err
	close(t.ready)
}

// Leave gives a granted place back, or takes a queued ticket out, and grants
// what may now run.
func (q *Queue) Leave(now time.Time, t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(now)
	k := flowKey{t.Team, t.Interactive}
	f := q.flows[k]
	switch {
	case t.held:
		t.held = false
		q.running--
		f.running--
		if !f.interactive {
			q.patient--
		}
	case t.queued:
		for _, line := range []*[]*Ticket{&f.tickets, &f.late} {
			if i := slices.Index(*line, t); i >= 0 {
				q.take(line, i)
			}
		}
	}
	q.fill(now)
	if f != nil && f.waiting() == 0 && f.running == 0 && f.last <= q.virtual {
		delete(q.flows, k)
	}
}

// Tick refuses what can no longer meet its deadline and grants what may run.
func (q *Queue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.flows {
		for _, line := range []*[]*Ticket{&f.tickets, &f.late} {
			for i := len(*line) - 1; i >= 0; i-- {
				if t := (*line)[i]; t.hopeless(now, 0) {
					q.refuse(line, i, code.New(code.DeadlineTooNear, "waited until too late").After(t.Expect))
				}
			}
		}
	}
	q.fill(now)
}

func (q *Queue) fill(now time.Time) {
	for q.queued > 0 {
		f := q.earliest()
		if f == nil {
			return
		}
		line := f.next()
		if line == &f.tickets && !f.tickets[0].inTime(now, 0) {
			q.demote(now, f)
			continue
		}
		t := q.take(line, 0)
		cost := t.Expect.Seconds()
		if line == &f.late {
			f.credit = max(0, f.credit-cost)
		} else if len(f.late) > 0 {
			f.credit += lateShare * cost
		}
		q.virtual = max(q.virtual, t.tag-cost/f.weight)
		q.grant(f, t)
	}
}

// demote moves the first ticket of a flow, which has missed its target, to the
// late ones, or refuses it if it has no hope there.
func (q *Queue) demote(now time.Time, f *flow) {
	t := f.tickets[0]
	if wait := q.lateWait(f, t); t.hopeless(now, wait) {
		q.refuse(&f.tickets, 0, code.New(code.DeadlineTooNear, "about %s of waiting before it", wait.Round(time.Millisecond)).After(wait))
		return
	}
	f.tickets = slices.Delete(f.tickets, 0, 1)
	f.late = append(f.late, t)
}

// earliest returns the flow that may run whose next ticket has the lowest
// virtual time, or nil.
func (q *Queue) earliest() *flow {
	var best *flow
	var tag float64
	for _, f := range q.flows {
		if f.waiting() == 0 || !q.mayRun(f) {
			continue
		}
		if x := (*f.next())[0].tag; best == nil || x < tag {
			best, tag = f, x
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
