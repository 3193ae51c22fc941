// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"streambend.example/internal/standin"
	"streambend.example/seam"
)

// fault is a fault or another event that is injected during a trial.
type fault struct {
	name       string
	at         float64 // start time as a fraction of the span
	mayUnknown bool    // a non-idempotent request may end with an unknown outcome
	mayRefuse  bool    // requests may be rejected as not run
	run        func(ctx context.Context, t *trial)
}

// faults returns all faults in the order of the documentation.
func faults() []fault {
	return []fault{
		{name: "zone-reclaim"}, // part of every trial
		{name: "two-waves", at: 0.28, run: twoWaves},
		{name: "store-down", at: 0.15, mayRefuse: true, run: storeDown},
		{name: "store-slow", at: 0.15, mayRefuse: true, run: storeSlow},
		{name: "lost-answers", at: 0.05, mayRefuse: true, run: lostAnswers},
		{name: "daemon-kill", at: 0.25, mayUnknown: true, run: daemonKill},
		{name: "paused-holder", at: 0.1, run: pausedHolder},
		{name: "racing-intents", at: 0.4, run: racingIntents},
		{name: "refused-starts", at: 0.1, run: refusedStarts},
		{name: "late-events", at: 0.1, run: lateEvents},
		{name: "bad-endpoint", at: 0.1, mayUnknown: true, run: badEndpoint},
		{name: "same-key", at: 0.15, run: sameKey},
		{name: "handover", at: 0.4, mayUnknown: true, run: handover},
		{name: "blind-replacement", at: 0.1, mayRefuse: true, run: blindReplacement},
		{name: "late-joiner", at: 0.1, mayRefuse: true, run: lateJoiner},
		{name: rolloutGood}, {name: rolloutBad}, // run by runRollout, on the users' platform
	}
}

// Faults returns the names of the faults.
func Faults() []string {
	var out []string
	for _, f := range faults() {
		out = append(out, f.name)
	}
	return out
}

// regularEvents returns the events that are not faults; those with a start time are part
// of every trial.
func regularEvents() []fault {
	return []fault{
		{name: "reclaim", at: 0.2, run: func(_ context.Context, t *trial) { t.reclaim("silom", "makati-a") }},
		{name: "reclaim-slow", run: func(_ context.Context, t *trial) { t.reclaimIn(slowNotice, "chatuchak", "makati-b") }},
		{name: "change", at: 0.45, run: func(ctx context.Context, t *trial) { t.change(ctx) }},
		{name: "planned-stop", at: 0.55, run: func(ctx context.Context, t *trial) { t.plannedStop(ctx) }},
	}
}

// Events returns the event names that are valid in a Step.
func Events() []string {
	var out []string
	for _, f := range append(regularEvents(), faults()...) {
		if f.run != nil {
			out = append(out, f.name)
		}
	}
	return out
}

// Step schedules one event of a script.
type Step struct {
	At    float64 // start time as a fraction of the span
	Event string  // the name of a fault, or reclaim, change or planned-stop
}

// Script returns the steps of every trial, plus the step of the named fault unless the
// name is empty.
func Script(name string) []Step {
	var out []Step
	for _, f := range regularEvents() {
		if f.at > 0 {
			out = append(out, Step{f.at, f.name})
		}
	}
	for _, f := range faults() {
		if f.name == name && f.run != nil {
			out = append(out, Step{f.at, f.name})
		}
	}
	return out
}

func findEvent(name string) (fault, bool) {
	for _, f := range append(regularEvents(), faults()...) {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// waitShare waits for a fraction of the span, during which the caller's fault stays in effect.
func (t *trial) waitShare(ctx context.Context, share float64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(share * float64(t.opts.Span))):
	}
}

// twoWaves reclaims a second zone on each side while the boxes of the first are leaving.
func twoWaves(_ context.Context, t *trial) { t.reclaim("bangna", "pasig-c") }

func storeDown(ctx context.Context, t *trial) {
	t.progressf("       the table and the object store are down")
	t.store.Table.Faults.Set(standin.Fault{Down: true})
	t.store.Objects.Faults.Set(standin.Fault{Down: true})
	t.waitShare(ctx, 0.3)
	t.store.Table.Faults.Set(standin.Fault{})
	t.store.Objects.Faults.Set(standin.Fault{})
	t.progressf("       the store is back")
}

func storeSlow(ctx context.Context, t *trial) {
	t.progressf("       the table takes 600 ms a call")
	t.store.Table.Faults.Set(standin.Fault{Delay: 600 * time.Millisecond})
	t.waitShare(ctx, 0.4)
	t.store.Table.Faults.Set(standin.Fault{})
}

func lostAnswers(ctx context.Context, t *trial) {
	t.progressf("       every third write takes effect and its answer is lost")
	t.store.Table.Faults.Set(standin.Fault{LoseEvery: 3})
	t.waitShare(ctx, 0.8)
	t.store.Table.Faults.Set(standin.Fault{})
}

// daemonKill kills a daemon during the reclaim.
func daemonKill(_ context.Context, t *trial) {
	ds := t.live()
	if len(ds) < 2 {
		return
	}
	d := ds[1]
	t.progressf("       %s dies", d.Self.Name)
	t.markStopped(d)
	d.Kill()
}

// pausedHolder stops two daemons from noticing that their leases expire, for three lease terms.
func pausedHolder(ctx context.Context, t *trial) {
	ds := t.live()
	ds = ds[:min(2, len(ds))]
	for _, d := range ds {
		d.FreezeLeases(time.Now(), true)
		t.progressf("       %s is paused and does not know that its leases lapse", d.Self.Name)
	}
	t.waitShare(ctx, 0.7)
	for _, d := range ds {
		d.FreezeLeases(time.Now(), false)
	}
}

// racingIntents lets operators of both partners submit changes concurrently to different
// daemons.
func racingIntents(ctx context.Context, t *trial) {
	ds := t.live()
	var wg sync.WaitGroup
	var mu sync.Mutex
	won, lost := 0, 0
	for i := range 12 {
		s := services()[2*(i%2)]
		s.MaxBoxes += i
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := t.operator(s.Partner, ds[i%len(ds)]).change(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
			} else {
				lost++
			}
		}()
	}
	wg.Wait()
	t.progressf("       12 operators at once: %d changes accepted, %d conflicts", won, lost)
}

func refusedStarts(ctx context.Context, t *trial) {
	for _, z := range []string{"bangna", "chatuchak", "makati-b"} {
		t.cloud.Refuse(z, gpuClass, true, true)
	}
	t.progressf("       starts are refused in three zones")
	t.waitShare(ctx, 0.8)
	t.progressf("       %d starts were refused", t.cloud.Refused())
}

// lateEvents increases the delay of the box list.
func lateEvents(ctx context.Context, t *trial) {
	t.progressf("       the box list is 2.5 s late")
	t.cloud.SetLag(2500 * time.Millisecond)
	t.waitShare(ctx, 0.7)
	t.cloud.SetLag(500 * time.Millisecond)
}

// badEndpoint injects one fault in each of five runners: they cut, stall, garble or shorten
// responses, or accept requests without ever responding.
func badEndpoint(ctx context.Context, t *trial) {
	kinds := []standin.EngineFault{{CutAfter: 5}, {StallAfter: 4}, {Garble: true}, {Short: true}, {BlackHole: true}}
	var bad []faultInjector
	for _, b := range t.cloud.Boxes() {
		if len(bad) == len(kinds) || b.Class != gpuClass || b.State != seam.BoxLive || b.Zone == "silom" || b.Zone == "makati-a" {
			continue
		}
		t.world.mu.Lock()
		e := t.faultTargets[b.ID]
		t.world.mu.Unlock()
		e.SetFault(kinds[len(bad)])
		bad = append(bad, e)
		t.progressf("       %s", fmt.Sprintf("%s of %s/%s is bad: %+v", b.ID, b.Partner, b.Service, kinds[len(bad)-1]))
	}
	t.waitShare(ctx, 0.5)
	for _, e := range bad {
		e.SetFault(standin.EngineFault{})
	}
}
