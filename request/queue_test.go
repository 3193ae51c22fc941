// SPDX-License-Identifier: MIT

package request_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"streambend.example/code"
	"streambend.example/request"
)

func ended(t *request.Ticket) bool {
	select {
	case <-t.Ready():
		return true
	default:
		return false
	}
}

// queueMachine is a state machine for rapid. It tracks every ticket that Enter did not refuse, and checks
// the queue's invariants against them.
type queueMachine struct {
	q       *request.Queue
	limit   int
	now     time.Time
	tickets []*request.Ticket
}

func (m *queueMachine) enter(t *rapid.T) {
	k := &request.Ticket{
		Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), Weight: 1,
		Interactive: rapid.Bool().Draw(t, "interactive"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Expect:   time.Duration(rapid.IntRange(1, 3000).Draw(t, "expect")) * time.Millisecond,
		Least:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "least")) * time.Millisecond,
		Target:   m.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "target")) * time.Second),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
	}
	if err := m.q.Enter(m.now, k); err != nil {
		if err.Code.Ran() != code.NotRun {
			t.Fatalf("refused with %v", err)
		}
		return
	}
	m.tickets = append(m.tickets, k)
}

func (m *queueMachine) leave(t *rapid.T) {
	if len(m.tickets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")
	m.q.Leave(m.now, m.tickets[i])
	m.tickets = append(m.tickets[:i], m.tickets[i+1:]...)
}

func (m *queueMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	m.q.Tick(m.now)
}

// check verifies the queue's counts, the limit, and that no ticket waits while it could run.
func (m *queueMachine) check(t *rapid.T) {
	running, waiting, patientWaiting := 0, 0, 0
	kept := m.tickets[:0]
	for _, k := range m.tickets {
		switch {
		case !ended(k):
			waiting++
			if !k.Interactive {
				patientWaiting++
			}
			kept = append(kept, k)
		case k.Err() == nil:
			running++
			kept = append(kept, k)
		}
	}
	m.tickets = kept
	r, w := m.q.State()
	if r != running || w != waiting {
		t.Fatalf("queue reports %d running and %d queued, want %d and %d", r, w, running, waiting)
	}
	if most := m.limit + max(2, m.limit/2); running > most {
		t.Fatalf("%d running, maximum %d", running, most)
	}
	if waiting > patientWaiting && running < m.limit {
		t.Fatalf("interactive ticket queued while %d of %d are running", running, m.limit)
	}
	if waiting > 0 && running == 0 {
		t.Fatalf("%d queued and none running", waiting)
	}
}

func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueMachine{limit: rapid.IntRange(2, 8).Draw(t, "limit"), now: start}
		m.q = request.NewQueue(request.NewLimiter(m.limit, 0), 20)
		t.Repeat(map[string]func(*rapid.T){"enter": m.enter, "leave": m.leave, "wait": m.wait, "": m.check})
	})
}

// One team sends ten times as many requests as another; both must get an equal share of the service.
func TestFairQueuingUnderFlood(t *testing.T) {
	q := request.NewQueue(request.NewLimiter(2, 0), 1000)
	ticket := func(team string) *request.Ticket {
		return &request.Ticket{Team: team, Weight: 1, Expect: time.Second, Deadline: start.Add(time.Hour)}
	}
	var waiting []*request.Ticket
	for range 200 {
		k := ticket("flood")
		require.Nil(t, q.Enter(start, k))
		waiting = append(waiting, k)
	}
	for range 20 {
		k := ticket("small")
		require.Nil(t, q.Enter(start, k))
		waiting = append(waiting, k)
	}
	granted := make(map[string]int)
	for now := start; granted["small"] < 20; now = now.Add(time.Second) {
		var running, rest []*request.Ticket
		for _, k := range waiting {
			if ended(k) {
				running = append(running, k)
			} else {
				rest = append(rest, k)
			}
		}
		waiting = rest
		for _, k := range running {
			granted[k.Team]++
			q.Leave(now, k)
		}
	}
	assert.LessOrEqual(t, granted["flood"], 30, "granted to the flooding team by the time the small team has its 20")
}

func TestEnterRefusesImmediately(t *testing.T) {
	q := request.NewQueue(request.NewLimiter(2, 0), 2)
	enter := func(team string, expect, deadline time.Duration) error {
		if err := q.Enter(start, &request.Ticket{Team: team, Weight: 1, Expect: expect, Least: expect, Deadline: start.Add(deadline)}); err != nil {
			return err
		}
		return nil
	}
	assert.Equal(t, code.DeadlineTooNear, code.Of(enter("a", 2*time.Second, time.Second)))
	for range 4 {
		require.NoError(t, enter("a", time.Second, time.Hour))
	}
	err := enter("a", time.Second, time.Hour)
	assert.Equal(t, code.QueueFull, code.Of(err))
	assert.Positive(t, code.From(err).RetryAfter)
	require.NoError(t, enter("b", time.Second, time.Hour), "the newest ticket of the team with the largest share is refused")
	assert.Equal(t, code.DeadlineTooNear, code.Of(enter("b", time.Second, 1100*time.Millisecond)))
}

func TestLimiterAdapts(t *testing.T) {
	l := request.NewLimiter(16, time.Second)
	now := start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		l.Sample(now, 10*time.Millisecond, l.Allowed())
	}
	grown := l.Allowed()
	assert.Greater(t, grown, 20)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		l.Sample(now, 5*time.Second, l.Allowed())
	}
	assert.Equal(t, 2, l.Allowed())
	l.SetCapacity(4, 1)
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		l.Sample(now, 10*time.Millisecond, l.Allowed())
	}
	assert.LessOrEqual(t, l.Allowed(), 4)
}

func TestBudgetIsShareOfSuccesses(t *testing.T) {
	b := request.NewBudget()
	spent := 0
	for b.Left(start) {
		b.Spend(start)
		spent++
	}
	for range 100 {
		b.Earn()
	}
	again := 0
	for b.Left(start) {
		b.Spend(start)
		again++
	}
	assert.InDelta(t, 20, again, 1, "initially %d", spent)
}
