// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// resumeSignal resumes a paused process, which could not end otherwise.
const resumeSignal = syscall.SIGCONT

// event is a fault or a change that lasts for a time and is then undone.
type event struct {
	name  string
	fault bool // connections may break because of it
	begin func(w *world) (undo func())
}

// anyDaemon returns a random daemon.
func (w *world) anyDaemon() *daemon { return w.daemons[w.rng.IntN(len(w.daemons))] }

// anyRunner returns the index of a random endpoint.
func (w *world) anyRunner() int { return w.rng.IntN(len(w.runners)) }

// storeFault returns an event that injects a fault in the store.
func storeFault(name string, f standin.RowsFault) event {
	return event{"store " + name, true, func(w *world) func() {
		w.store.SetFault(f)
		return func() { w.store.SetFault(standin.RowsFault{}) }
	}}
}

// runnerFault returns an event that injects a fault in a random endpoint.
func runnerFault(name string, f standin.RunnerFault) event {
	return event{"endpoint " + name, true, func(w *world) func() {
		r := w.runners[w.anyRunner()]
		r.SetFault(f)
		return func() { r.SetFault(standin.RunnerFault{Lie: w.o.Lie}) }
	}}
}

// proxyFault returns an event that sets the mode of a random proxy in front of the store or an endpoint.
func proxyFault(m Mode) event {
	return event{"link " + m.String(), true, func(w *world) func() {
		p := w.anyDaemon().store
		if w.rng.IntN(2) == 0 {
			p = w.proxies[w.anyRunner()]
		}
		p.Set(m)
		return func() { p.Set(Pass) }
	}}
}

// events returns all events.
func events() []event {
	return []event{
		{"kill", true, func(w *world) func() {
			d := w.anyDaemon()
			d.signal(syscall.SIGCONT)
			d.kill()
			return func() { w.restart(d) }
		}},
		{"planned stop", false, func(w *world) func() {
			d := w.anyDaemon()
			w.wg.Go(func() {
				d.stop()
				w.restart(d)
			})
			return func() {}
		}},
		{"pause", true, func(w *world) func() {
			d := w.anyDaemon()
			d.signal(syscall.SIGSTOP)
			return func() { d.signal(syscall.SIGCONT) }
		}},
		{"reload", false, func(w *world) func() {
			w.anyDaemon().signal(syscall.SIGHUP)
			return func() {}
		}},
		{"configuration", false, func(w *world) func() {
			w.putCatalog()
			return func() {}
		}},
		{"key taken away", false, func(w *world) func() {
			w.revoke()
			return func() {}
		}},
		{"history gone", true, func(w *world) func() {
			w.store.TruncateFeed()
			return func() {}
		}},
		{"roll-out", false, func(w *world) func() {
			w.rollOut()
			return func() {}
		}},
		{"endpoint leaves", false, func(w *world) func() {
			i := w.anyRunner()
			w.putEndpoint(i, "draining")
			return func() { w.putEndpoint(i, "ready") }
		}},
		storeFault("busy", standin.RowsFault{Busy: true}), storeFault("silent", standin.RowsFault{NoResponse: true}),
		storeFault("slow", standin.RowsFault{Delay: 250 * time.Millisecond}), storeFault("loses answers", standin.RowsFault{Lost: true}),
		runnerFault("does not run", standin.RunnerFault{NotRun: true}), runnerFault("fails", standin.RunnerFault{Fail: true}),
		runnerFault("mixes answers", standin.RunnerFault{OtherID: true}), runnerFault("cuts", standin.RunnerFault{CutAfter: 3, CutEvent: true, CutAnswer: true}),
		runnerFault("is mute", standin.RunnerFault{NoResponse: true}),
		proxyFault(Delay), proxyFault(Silence), proxyFault(OneWay), proxyFault(Reset),
	}
}

// injectEvents starts random events until ctx ends; they may overlap.
func (w *world) injectEvents(ctx context.Context) {
	list := events()
	if w.o.Lie {
		for _, r := range w.runners {
			r.SetFault(standin.RunnerFault{Lie: true})
		}
	}
	for {
		sleepFor(ctx, time.Duration(200+w.rng.IntN(900))*time.Millisecond)
		e := list[w.rng.IntN(len(list))]
		length := time.Duration(200+w.rng.IntN(2800)) * time.Millisecond
		if ctx.Err() != nil {
			return
		}
		w.progressf("%s for %s", e.name, length)
		w.events[e.name]++
		if e.fault {
			w.check.extendFault(time.Now().Add(length))
		}
		undo := e.begin(w)
		w.wg.Go(func() {
			time.Sleep(length)
			undo()
			if e.fault {
				w.check.extendFault(time.Now())
			}
		})
	}
}

func (w *world) restart(d *daemon) {
	if err := d.start(); err != nil {
		w.progressf("%s does not start: %v", d.name, err)
	}
}

// revoke replaces the oldest key.
func (w *world) revoke() {
	w.mu.Lock()
	w.revoked[w.keys[0]] = time.Now()
	w.keys = append(w.keys[1:], fmt.Sprintf("key-%d", len(w.revoked)+len(w.keys)))
	w.mu.Unlock()
	w.putCatalog()
}

// rollOut orders a new version of the plain service, which is bad half of the time, and starts its
// endpoints.
func (w *world) rollOut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := fmt.Sprintf("v%d", 2+len(w.rolledOut))
	f := standin.RunnerFault{Lie: w.o.Lie}
	if w.rng.IntN(2) == 0 {
		f.FailEach = 2
	}
	order, err := json.Marshal(map[string]any{"service": "plain", "target_version": version, "duration_s": 2})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	w.store.Put(platform.CatalogTable, "", "rollout/plain", order)
	for i := range 2 {
		r, err := w.addVersion(fmt.Sprintf("i-%s-%d", version, i), version, f)
		if err != nil {
			w.progressf("%s does not start: %v", version, err)
			return
		}
		w.rolledOut = append(w.rolledOut, r)
	}
}

// putEndpoint writes the row of an endpoint in the store.
func (w *world) putEndpoint(i int, state string) {
	r, service := w.runners[i], "engines"
	if i%2 == 1 {
		service = "plain"
	}
	w.store.Put(platform.RunnerTable, "", r.Instance, r.EntryAt(w.proxies[i].Address(), service, zoneOf(i/2), state))
}
