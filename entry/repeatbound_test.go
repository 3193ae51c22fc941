// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
)

const (
	// The bound of the worlds' settings: repeats in a window, beside the requests of it.
	repeatRatio  = 0.2
	repeatSlack  = 56
	repeatWindow = 10 * time.Second
	// minRepeatsUsed is the least share of the bound that is used where no daemon ends.
	minRepeatsUsed = 0.85
)

// repeatPlay is a load on a service whose endpoints fail for a while, and what happens to the daemons meanwhile.
type repeatPlay struct {
	daemons   int
	perSecond int
	fault     standin.RunnerFault
	daemonOf  func(w *world, i int) int // the daemon that request i is sent to; nil for a random one
	meanwhile func(w *world)            // begins with the fault
}

const (
	repeatsBefore = 12 * time.Second
	repeatsFault  = 6 * time.Second
	repeatsAfter  = 6 * time.Second
)

// run plays the load and returns when requests were sent, and when repeats arrived at the endpoints.
func (p repeatPlay) run(t *testing.T) (sent, repeats []time.Time) {
	inWorld(t, p.daemons, func(w *world) {
		for i := range 24 {
			w.runner(engines, "a", fmt.Sprint("i-", i), 4)
		}
		time.Sleep(repeatWindow) // since the daemons have started
		var wg sync.WaitGroup
		faulty := false
		began := time.Now()
		for i := 0; time.Since(began) < repeatsBefore+repeatsFault+repeatsAfter; i++ {
			if since := time.Since(began); !faulty && since >= repeatsBefore && since < repeatsBefore+repeatsFault {
				faulty = true
				w.setFaults(p.fault)
				wg.Go(func() { p.meanwhile(w) })
			} else if faulty && since >= repeatsBefore+repeatsFault {
				faulty = false
				w.setFaults(standin.RunnerFault{})
			}
			sent = append(sent, time.Now())
			daemon := rand.IntN(p.daemons)
			if p.daemonOf != nil {
				daemon = p.daemonOf(w, i)
			}
			wg.Go(func() { w.ask(daemon, http.MethodPost, "/explain/", fmt.Sprint("r-", i)) })
			time.Sleep(time.Second / time.Duration(p.perSecond))
		}
		wg.Wait()
		repeats = w.repeats()
		charged := int64(0)
		for _, d := range w.daemons {
			charged += d.Server.Count.Retries.Load()
		}
		t.Logf("%d repeats arrived, %d charged by the last starts of daemons", len(repeats), charged)
	})
	return sent, repeats
}

func (w *world) setFaults(f standin.RunnerFault) {
	for _, r := range w.runners {
		r.SetFault(f)
	}
}

// repeats returns when requests arrived at endpoints beyond their first arrival, in order.
func (w *world) repeats() (out []time.Time) {
	var all []standin.Arrival
	for _, r := range w.runners {
		all = append(all, r.Arrivals()...)
	}
	slices.SortFunc(all, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool)
	for _, a := range all {
		if seen[a.ID] {
			out = append(out, a.At)
		}
		seen[a.ID] = true
	}
	return out
}

// between returns how many of some times, in order, lie in (from, to].
func between(times []time.Time, from, to time.Time) int {
	after := func(x, at time.Time) int {
		if x.After(at) {
			return 1
		}
		return -1
	}
	first, _ := slices.BinarySearchFunc(times, from, after)
	last, _ := slices.BinarySearchFunc(times, to, after)
	return last - first
}

// worstRepeats returns the repeats and the bound of the window in which the bound is exceeded by most.
func worstRepeats(sent, repeats []time.Time) (most int, bound float64) {
	excess := -1e9
	for _, to := range repeats {
		from := to.Add(-repeatWindow)
		n := between(repeats, from, to)
		requests := max(between(sent, from, to), between(sent, from.Add(-repeatWindow), from), between(sent, from.Add(-repeatWindow/2), to.Add(-repeatWindow/2)))
		allowed := repeatRatio*float64(requests) + repeatSlack
		if float64(n)-allowed > excess {
			most, bound, excess = n, allowed, float64(n)-allowed
		}
	}
	return most, bound
}

// killAndStart kills a daemon and starts it again after 300 ms.
func (w *world) killAndStart(i int) {
	w.kill(i)
	time.Sleep(300 * time.Millisecond)
	w.daemons[i] = w.startNamed(fmt.Sprint("daemon-", i), i)
}

// killEach kills daemons one after the other.
func (w *world) killEach(gap time.Duration, daemons ...int) {
	var wg sync.WaitGroup
	for _, i := range daemons {
		wg.Go(func() { w.killAndStart(i) })
		time.Sleep(gap)
	}
	wg.Wait()
}

// Guards against daemons that exceed the bound on repeats together as some of them end.
func TestRepeatsStayWithinTheBoundWhateverEnds(t *testing.T) {
	refused, broken := standin.RunnerFault{NotRun: true}, standin.RunnerFault{CutAfter: 2}
	everyone := []int{0, 1, 2, 3, 4, 5, 6}
	for name, p := range map[string]repeatPlay{
		"all once": {7, 140, refused, nil, func(w *world) {
			time.Sleep(2500 * time.Millisecond)
			w.killEach(0, everyone...)
		}},
		"all twice": {7, 140, refused, nil, func(w *world) {
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, everyone...)
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, everyone...)
		}},
		"two of seven, twice": {7, 140, refused, nil, func(w *world) {
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, 2, 5)
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, 2, 5)
		}},
		"one each 300 ms": {7, 140, refused, nil, func(w *world) {
			time.Sleep(time.Second)
			w.killEach(300*time.Millisecond, append(everyone, everyone...)...)
		}},
		"streams break off, all once": {7, 140, broken, nil, func(w *world) {
			time.Sleep(2500 * time.Millisecond)
			w.killEach(0, everyone...)
		}},
		"few requests, all twice": {7, 20, refused, nil, func(w *world) {
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, everyone...)
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, everyone...)
		}},
		"a third of 40, twice": {40, 200, refused, nil, func(w *world) {
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, 1, 4, 7, 10, 13, 16, 19, 22, 25, 28, 31, 34, 37)
			time.Sleep(1500 * time.Millisecond)
			w.killEach(0, 1, 4, 7, 10, 13, 16, 19, 22, 25, 28, 31, 34, 37)
		}},
		"two daemons, one each second": {2, 140, refused, nil, func(w *world) {
			time.Sleep(time.Second)
			w.killEach(time.Second, 0, 1, 0, 1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			n, bound := worstRepeats(p.run(t))
			t.Logf("%d repeats in the worst %s, %.0f allowed", n, repeatWindow, bound)
			assert.LessOrEqual(t, float64(n), bound)
		})
	}
}

// Guards against daemons that exceed the bound together as the callers of one move to others, which earn repeats by them
// once more.
func TestRepeatsStayWithinTheBoundAsCallersMove(t *testing.T) {
	refused := standin.RunnerFault{NotRun: true}
	for name, c := range map[string]struct {
		daemons int
		move    func(w *world)
	}{
		"their daemon goes on": {7, func(*world) {}},
		"their daemon ends":    {7, func(w *world) { w.kill(0) }},
		"among 40":             {40, func(w *world) {}},
	} {
		t.Run(name, func(t *testing.T) {
			var favourite atomic.Int32
			p := repeatPlay{c.daemons, 140, refused, func(*world, int) int { return int(favourite.Load()) }, func(w *world) {
				time.Sleep(2500 * time.Millisecond)
				favourite.Store(1)
				c.move(w)
			}}
			n, bound := worstRepeats(p.run(t))
			t.Logf("%d repeats in the worst %s, %.0f allowed", n, repeatWindow, bound)
			assert.LessOrEqual(t, float64(n), bound)
		})
	}
}

// Guards against a bound that is kept by making few repeats: they are what saves a stream that breaks off.
func TestTheBoundOnRepeatsIsUsed(t *testing.T) {
	p := repeatPlay{7, 140, standin.RunnerFault{NotRun: true}, nil, func(*world) {}}
	n, bound := worstRepeats(p.run(t))
	t.Logf("%d repeats in the worst %s, %.0f allowed", n, repeatWindow, bound)
	assert.LessOrEqual(t, float64(n), bound)
	assert.GreaterOrEqual(t, float64(n), minRepeatsUsed*bound)
}

// Guards against a daemon that makes no repeats after its start although others know what was spent.
func TestADaemonThatHasStartedAgainRepeatsAtOnce(t *testing.T) {
	for _, killed := range []int{1, 3, 6} {
		t.Run(fmt.Sprint(killed, " of 7"), func(t *testing.T) {
			inWorld(t, 7, func(w *world) {
				for i := range 12 {
					w.runner(engines, "a", fmt.Sprint("i-", i), 4)
				}
				time.Sleep(repeatWindow)
				for i := range killed {
					w.kill(i)
				}
				for i := range killed {
					w.daemons[i] = w.startNamed(fmt.Sprint("daemon-", i), i)
				}
				time.Sleep(time.Second)
				for round := range 5 { // earns two repeats at each daemon
					for i := range 10 * killed {
						require.Equal(t, http.StatusOK, w.ask(i%killed, http.MethodPost, "/explain/", fmt.Sprintf("before-%d-%d", round, i)).status)
					}
				}
				w.runners[0].SetFault(standin.RunnerFault{CutAfter: 2})
				whole := 0
				answers := all(6*killed, func(i int) answer {
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					return w.ask(i%killed, http.MethodPost, "/explain/", fmt.Sprint("r-", i))
				})
				for _, a := range answers {
					if a.err == nil && a.status == http.StatusOK {
						whole++
					}
				}
				assert.Len(t, answers, whole)
				assert.NotEmpty(t, w.repeats())
			})
		})
	}
}
