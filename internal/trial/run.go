// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"streambend.example/internal/standin"
	"streambend.example/process"
	"streambend.example/request"
	"streambend.example/seam"
	"streambend.example/version"
)

// Options configures a trial. DefaultOptions returns the default values.
type Options struct {
	Seed        uint64
	Policy      string // one of Policies
	Fault       string // one of Faults, or ""
	Script      []Step // events and their times; nil for Script(Fault)
	Daemons     int
	Span        time.Duration // period during which requests are sent
	Rate        float64       // multiple of the default load
	FloodFactor float64       // further multiple for the team "disclosure"
	Boxes       float64       // fraction of the default number of boxes; unless 1, the number is constant
	SetDeadline bool          // callers set a deadline of 1.5 times the target, less the time already spent
	LogLevel    string
	Progress    io.Writer // human-readable progress; nil for none
	Net         seam.Network
	// DaemonNet is the network on which the daemons dial, for measurements; nil
	// for Net.
	DaemonNet seam.Network
	Hold      bool // after the trial, keep the system running until ctx ends
	Hooks     Hooks
}

// Hooks holds the hooks through which a test injects defects, to verify that the check of a guarantee can
// fail. The zero value injects none.
type Hooks struct {
	Judge    request.JudgePolicy                                 // decides what follows an attempt
	Platform func(p process.Platform) process.Platform           // wraps the platform of a daemon
	Engine   standin.EngineFault                                 // fault of every engine from its start
	Stop     func(ctx context.Context, d *process.Daemon)        // performs a planned stop; nil for Daemon.Stop
	Version  func(d *process.Daemon, inForce int64) (seen int64) // replaces the version that an operator reads; nil for none
}

// DefaultOptions returns the options of "streambend try".
func DefaultOptions() Options {
	return Options{Seed: 1, Policy: "ours", Daemons: 4, Span: 14 * time.Second, Rate: 1, FloodFactor: 1, Boxes: 1, LogLevel: "error", Net: seam.TCP{}}
}

// Policies returns the valid values of Options.Policy.
func Policies() []string {
	return []string{
		"ours", "random", "least-loaded", "restart", "resume", "export", "on-demand", "greedy", "spread",
		"no-limit", "no-fair-queue", "no-budget",
	}
}

// disableMechanism disables the mechanism that the policy names, if any.
func (o Options) disableMechanism(r *request.Options) {
	r.NoLimit = o.Policy == "no-limit"
	r.NoFairQueue = o.Policy == "no-fair-queue"
	r.NoBudget = o.Policy == "no-budget"
	r.Judge = o.Hooks.Judge
}

// policies returns the routing, moving and placement policies.
func (o Options) policies() (route, move, place string) {
	route, move, place = string(request.RouteOurs), string(request.MoveOurs), string(version.Ours)
	switch o.Policy {
	case "random", "least-loaded":
		route = o.Policy
	case "restart", "resume", "export":
		move = o.Policy
	case "on-demand", "greedy", "spread":
		place = o.Policy
	}
	return route, move, place
}

// trial is the state of one run.
type trial struct {
	*world
	balancer *balancer
	report   *Report

	mu           sync.Mutex
	inForce      time.Duration
	changes      int
	initialBoxes map[string]bool // boxes that existed at the start
}

// Run runs a trial. An error means that it could not be run; the report tells whether the
// guarantees held.
func Run(ctx context.Context, o Options, logs io.Writer) (*Report, error) {
	if o.Fault == rolloutGood || o.Fault == rolloutBad {
		return runRollout(ctx, o, logs)
	}
	if o.Script == nil {
		o.Script = Script(o.Fault)
	}
	for _, s := range o.Script {
		if _, ok := findEvent(s.Event); !ok {
			return nil, errors.Errorf("trial: unknown event %q", s.Event)
		}
	}
	w, err := newWorld(o, logs)
	if err != nil {
		return nil, err
	}
	t := &trial{world: w, report: &Report{Seed: o.Seed, Fault: o.Fault}}
	t.progressf("starting %d daemons and the boxes", o.Daemons)
	if err := w.setUp(ctx); err != nil {
		w.close()
		return nil, err
	}
	t.initialBoxes = make(map[string]bool)
	for _, b := range w.cloud.Boxes() {
		t.initialBoxes[b.ID] = true
	}
	run, cancel := context.WithCancel(ctx)
	defer w.close()
	defer w.wg.Wait()
	defer cancel()
	t.balancer = newBalancer(run, w)
	reverts := t.watchVersions(run)
	l := w.load(run, t.balancer, o.Span)
	var events sync.WaitGroup
	t.schedule(run, &events)
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	if err := t.follow(ctx, l, done); err != nil {
		cancel() // ends the callers, so that only the error is returned
		<-done
		events.Wait()
		return nil, err
	}
	events.Wait()
	t.finish(l, reverts)
	if o.Hold {
		t.hold(ctx)
	}
	return t.report, nil
}

// check records a failed check of a fault in the report.
func (t *trial) check(ok bool, format string, args ...any) {
	if ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Wrong = append(t.report.Wrong, fmt.Sprintf(format, args...))
}

func (t *trial) progressf(format string, args ...any) {
	if t.opts.Progress != nil {
		fmt.Fprintf(t.opts.Progress, format+"\n", args...)
	}
}

// completionTimeout is the timeout for the last responses after the span.
const completionTimeout = 90 * time.Second

// follow prints progress until all requests have ended.
func (t *trial) follow(ctx context.Context, l *load, done <-chan struct{}) error {
	began := time.Now()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			sent, ended := l.progress()
			k := t.ledger.Tally()
			t.progressf("%3.0f s  sent %d, ended %d, tokens %d, boxes leaving %d", time.Since(began).Seconds(), sent, ended, k.Generated, len(t.leavingBoxes()))
			if time.Since(began) > t.opts.Span+completionTimeout {
				return errors.Errorf("trial: %d requests have not ended", sent-ended)
			}
		}
	}
}

// schedule starts the steps of the script at their times.
func (t *trial) schedule(ctx context.Context, wg *sync.WaitGroup) {
	for _, step := range t.opts.Script {
		f, _ := findEvent(step.Event)
		t.report.mayUnknown = t.report.mayUnknown || f.mayUnknown
		t.report.mayRefuse = t.report.mayRefuse || f.mayRefuse
		t.report.expectChange = t.report.expectChange || f.name == "change"
		if f.run == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(step.At * float64(t.opts.Span))):
				f.run(ctx, t)
			}
		}()
	}
}

// finish completes the report.
func (t *trial) finish(l *load, reverts func() int) {
	r, k := t.report, t.ledger.Tally()
	r.count(l.results)
	r.RanTwice = k.RanTwice
	r.LeavingNewWorkMax = k.MaxNewWorkAfterNotice.Seconds()
	r.ConfigInForceMax = t.inForce.Seconds()
	r.ConfigChanges = t.changes
	r.ConfigReverts = reverts()
	r.StaleOrders = k.StaleOrders
	r.TokensGenerated, r.TokensRecomputed = k.Generated, k.Recomputed
	r.TokensCached, r.TokensPrefilled = k.Cached, k.Prefilled
	r.TokensRepeated = k.Repeated
	if k.Cached+k.Prefilled > 0 {
		r.PrefixReuse = float64(k.Cached) / float64(k.Cached+k.Prefilled)
	}
	r.BusiestRunner = max(t.busiestRatio(office), t.busiestRatio(podwave))
	r.Cost, r.CostAllOnDemand = t.cloud.Cost(time.Now())
	for _, d := range t.daemons {
		r.Moves += d.Server.Count.Moves.Load()
		r.Exports += d.Server.Count.Exports.Load()
	}
}

// busiestRatio returns the requests of a partner's busiest runner divided by the mean, over
// the runners that existed during the whole trial.
func (t *trial) busiestRatio(partner string) float64 {
	most, sum, n := 0, 0, 0
	for _, b := range t.cloud.Boxes() {
		if b.Partner != partner || b.Class != gpuClass || b.State != seam.BoxLive || !t.initialBoxes[b.ID] {
			continue
		}
		s := t.ledger.Served(b.ID)
		most, sum, n = max(most, s), sum+s, n+1
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

// hold prints how to reach the system and keeps it running until ctx ends.
func (t *trial) hold(ctx context.Context) {
	for _, d := range t.live() {
		a := d.Addresses()
		t.progressf("%s: callers http://%s, operators http://%s", d.Self.Name, a.Callers, a.Operators)
	}
	a := t.live()[0].Addresses()
	t.progressf("\ncurl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"quote-explainer\",\"prompt\":\"why did it move\",\"max_tokens\":20,\"stream\":true}'", a.Callers, token("caller", office, "mobile-app"))
	t.progressf("curl http://%s/portal/item/7 -H 'Authorization: Bearer %s'", a.Callers, token("caller", office, "brokers"))
	t.progressf("curl http://%s/v1/status -H 'Authorization: Bearer %s'", a.Operators, token("operator", office, "ops"))
	s := t.settings(len(t.daemons), "silom", t.storeURL, t.cloudURL)
	s.Listen = process.Listen{Callers: "127.0.0.1:18080", Operators: "127.0.0.1:18081", Peers: "127.0.0.1:18082"}
	if b, err := json.Marshal(s); err == nil {
		t.progressf("\nsettings of one more daemon, for streambend serve in a process of its own:\n%s", b)
	}
	t.progressf("\nstop with Ctrl-C")
	<-ctx.Done()
}
