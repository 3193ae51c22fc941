// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/entry"
	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// Names of the trials that roll out a new version of a service.
const (
	rolloutGood = "rollout-good"
	rolloutBad  = "rollout-bad"
)

// Parameters of the rollout trials.
const (
	rolloutDuration  = 8 * time.Second // duration of the rollout
	rolloutEndpoints = 4               // endpoints of each version
	rolloutRate      = 150             // requests per second
	rolloutSettle    = 3 * time.Second // wait before the rollout order and after the rollout ends
	rolloutTimeout   = 30 * time.Second
	// An untried version may get untriedShare of the requests plus untriedSlack, and none later than
	// rollBackIn after its fiftieth failed response. These are the defaults of a daemon's settings.
	untriedShare     = 0.1
	untriedSlack     = 50
	rollBackIn       = 5 * time.Second
	rollBackFailures = 50
)

// rolloutKind is a kind of request of the rollout trials.
type rolloutKind struct {
	method, path string
	events       int
}

var rolloutKinds = []rolloutKind{
	{http.MethodPost, "/digest/", 40}, {http.MethodPost, "/explain/", 25}, {http.MethodPost, "/write/", 0},
}

// rolloutTrial runs daemons on the users' platform while a service is rolled out to a new version.
type rolloutTrial struct {
	o            Options
	bad          bool
	net          *standin.Net
	store        *standin.Rows
	api          *standin.DutyAPI
	daemons      []*entry.Daemon
	oldEndpoints []*standin.Runner
	newEndpoints []*standin.Runner
	unordered    *standin.Runner // of a version that no rollout orders
	report       *Report

	mu      sync.Mutex
	ordered time.Time
	ended   time.Time
	state   string
}

// runRollout runs a rollout trial.
func runRollout(ctx context.Context, o Options, logs io.Writer) (*Report, error) {
	t := &rolloutTrial{o: o, bad: o.Fault == rolloutBad, net: standin.NewNet(), report: &Report{Seed: o.Seed, Fault: o.Fault, mayUnknown: o.Fault == rolloutBad}}
	defer t.close()
	if err := t.setUp(logs); err != nil {
		return nil, err
	}
	run, cancel := context.WithTimeout(ctx, rolloutSettle+rolloutTimeout)
	defer cancel()
	var callers sync.WaitGroup
	callers.Go(func() { t.sendRequests(run) })
	t.operate(run)
	sleepFor(ctx, rolloutSettle)
	cancel()
	callers.Wait()
	t.check()
	return t.report, ctx.Err()
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (t *rolloutTrial) progressf(format string, args ...any) {
	if t.o.Progress != nil {
		fmt.Fprintf(t.o.Progress, format+"\n", args...)
	}
}

// setUp starts the stand-ins and the daemons, and waits until the daemons know the endpoints.
func (t *rolloutTrial) setUp(logs io.Writer) error {
	var err error
	if t.store, err = standin.NewRows(t.net, "10.9.0.1:80"); err != nil {
		return errors.Wrap(err, "trial: start store")
	}
	if t.api, err = standin.NewDutyAPI(t.net, "10.9.0.2:80"); err != nil {
		return errors.Wrap(err, "trial: start cloud API")
	}
	if err := t.putCatalog(); err != nil {
		return err
	}
	if t.oldEndpoints, err = t.start("v1", rolloutEndpoints, standin.RunnerFault{}); err != nil {
		return err
	}
	t.progressf("starting %d daemons, and %d endpoints of version v1", t.o.Daemons, rolloutEndpoints)
	log := logrus.New()
	log.SetOutput(logs)
	if level, err := logrus.ParseLevel(t.o.LogLevel); err == nil {
		log.SetLevel(level)
	}
	for i := range t.o.Daemons {
		site, err := rolloutSite(i, t.store.Address(), t.api.Address())
		if err != nil {
			return err
		}
		d, err := entry.New(site, t.net, log, 0)
		if err != nil {
			return err
		}
		t.daemons = append(t.daemons, d)
	}
	time.Sleep(rolloutSettle)
	strays, err := t.start("v0", 1, standin.RunnerFault{})
	if err == nil {
		t.unordered = strays[0]
	}
	return err
}

func rolloutSite(i int, store, cloud string) (platform.Site, error) {
	return platform.ReadSite(strings.NewReader(fmt.Sprintf(`{"node_name": "daemon-%d", "zone": %q, "ip_address": "10.0.0.%d",
		"listen_addresses": {"frontend": "10.0.0.%d:80", "ready": "10.0.0.%d:81", "control_plane": "10.0.0.%d:82"},
		"limits": {"cpu_share": 0.4, "memory_mb": 284}, "bounds": {"retry_budget_ratio": 0.2, "retry_budget_slack": 56, "exposure_share": 0.1},
		"platform": {"address": %q}, "cloud_api": {"address": %q, "duties": ["usage_reporting"], "duty_per_s": 50}}`,
		i, string(rune('a'+i%2)), i, i, i, i, store, cloud)))
}

func (t *rolloutTrial) putCatalog() error {
	route := func(path, kind string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": "r" + path, "host": rolloutHost, "path_prefix": path, "kind": kind, "timeout_ms": 8000, "target_latency_ms": 600,
			"priority": 1, "service": rolloutService, "target_gap_ms": 500, "attempts": attempts, "resumable": resume, "public": true,
		}
	}
	b, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []any{route("/digest/", "streaming", 1, false), route("/explain/", "streaming", 2, true), route("/write/", "unsafe", 1, false)},
		"services": []any{map[string]any{"name": rolloutService, "engine": map[string]any{"slots": 64, "kv_cache_tokens": 500000}}},
	})
	if err != nil {
		return errors.Wrap(err, "trial: encode configuration")
	}
	t.store.Put(platform.CatalogTable, "", "config", b)
	return nil
}

const (
	rolloutHost    = "trial.example"
	rolloutService = "engines"
)

// start starts endpoints of a version, as the platform does.
func (t *rolloutTrial) start(version string, count int, f standin.RunnerFault) (out []*standin.Runner, err error) {
	for i := range count {
		r, err := standin.NewRunner(t.net, "127.0.0.1:0", fmt.Sprintf("i-%s-%d", version, i), 0, 10*time.Millisecond)
		if err != nil {
			return nil, errors.Wrap(err, "trial: start endpoint")
		}
		r.Version, r.ByPath = version, make(map[string]int)
		for _, k := range rolloutKinds {
			r.ByPath[k.path] = k.events
		}
		r.SetFault(f)
		t.store.Put(platform.RunnerTable, "", r.Instance, r.Entry(rolloutService, string(rune('a'+i%2)), "ready"))
		out = append(out, r)
	}
	return out, nil
}

// operate acts as the operator and the platform: it orders the rollout and starts the endpoints of
// the new version. If the rollout completes, it stops those of the old version.
func (t *rolloutTrial) operate(ctx context.Context) {
	sleepFor(ctx, rolloutSettle)
	b, _ := json.Marshal(map[string]any{"service": rolloutService, "target_version": "v2", "duration_s": rolloutDuration.Seconds()}) // strings and numbers always encode
	t.ordered = time.Now()
	t.store.Put(platform.CatalogTable, "", "rollout/"+rolloutService, b)
	t.progressf("version v2 is ordered, for %s", rolloutDuration)
	sleepFor(ctx, time.Second)
	f := standin.RunnerFault{}
	if t.bad {
		f.FailEach = 3
	}
	var err error
	if t.newEndpoints, err = t.start("v2", rolloutEndpoints, f); err != nil {
		t.failf("endpoints of v2 do not start: %v", err)
		return
	}
	for ctx.Err() == nil {
		state := t.status()
		if state != t.state {
			t.progressf("after %s: %s", time.Since(t.ordered).Round(10*time.Millisecond), state)
			t.state = state
		}
		switch state {
		case "completed":
			t.ended = time.Now()
			t.stop(t.oldEndpoints)
			return
		case "rolled_back":
			t.ended = time.Now()
			return
		}
		sleepFor(ctx, 20*time.Millisecond)
	}
}

// stop stops endpoints immediately, together with the requests that they run.
func (t *rolloutTrial) stop(rs []*standin.Runner) {
	for _, r := range rs {
		r.Close()
		t.store.Drop(platform.RunnerTable, "", r.Instance)
	}
}

// status returns the state of the rollout as an operator reads it.
func (t *rolloutTrial) status() string {
	var s struct {
		State  string `json:"state"`
		Target string `json:"target_version"`
	}
	b := t.store.Value(platform.StatusTable, "", "rollout/"+rolloutService)
	if b == nil {
		return ""
	}
	if err := json.Unmarshal(b, &s); err != nil || s.Target != "v2" {
		t.failf("status is %s", b)
	}
	return s.State
}

func (t *rolloutTrial) failf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Wrong = append(t.report.Wrong, fmt.Sprintf(format, args...))
}

// sendRequests sends requests at a constant rate to all daemons in turn.
func (t *rolloutTrial) sendRequests(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DialContext: t.net.Dial, DisableCompression: true, MaxIdleConnsPerHost: rolloutRate}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Second / rolloutRate)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		wg.Go(func() { t.sendRequest(client, i) })
	}
}

// sendRequest sends a request and counts its outcome.
func (t *rolloutTrial) sendRequest(client *http.Client, i int) {
	k := rolloutKinds[i/len(t.daemons)%len(rolloutKinds)]
	id := fmt.Sprintf("r%d-%d", t.o.Seed, i)
	req, err := http.NewRequest(k.method, fmt.Sprintf("http://10.0.0.%d:80%s%s", i%len(t.daemons), k.path, id), strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // the URL is always valid
	}
	req.Host = rolloutHost
	standin.CallerHeaders{ID: id, Wait: 8 * time.Second, Tokens: "900,60", Prompt: fmt.Sprintf("a1:300,%x:400,%x:200", 16+i%20, i)}.Write(req.Header)
	resp, err := client.Do(req)
	body, signed := []byte(nil), false
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		signed = standin.SignedBy(resp.Header) != ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Accepted++
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(body), "id: ") == k.events:
		r.Complete++
	case err == nil && resp.StatusCode == http.StatusOK:
		r.NotWhole++
	case err == nil && signed && t.bad:
		r.UnknownOutcome++ // a failure response of the bad version
	default:
		r.NotAnswered++
		r.Failures = append(r.Failures, fmt.Sprintf("%s: %v %.200s", id, err, body))
	}
}

// check compares the requests that the endpoints ran with what an untried version may get.
func (t *rolloutTrial) check() {
	want := "completed"
	if t.bad {
		want = "rolled_back"
	}
	if t.state != want {
		t.failf("the order ended %q, not %q", t.state, want)
	}
	deadline := t.ordered.Add(rolloutDuration)
	young, old := runsWithin(t.newEndpoints, t.ordered, deadline), runsWithin(t.oldEndpoints, t.ordered, deadline)
	if most := untriedShare*float64(young+old) + untriedSlack; float64(young) > most {
		t.failf("the untried version got %d requests, %.0f at the most", young, most)
	}
	t.progressf("the new version got %d of %d requests until the deadline", young, young+old)
	if n := len(t.unordered.Ran()); n > 0 {
		t.failf("a version that nobody has ordered got %d requests", n)
	}
	if t.bad {
		t.checkRolledBack()
	}
}

// checkRolledBack checks that the bad version got no requests later than rollBackIn after its fiftieth
// failed response or, without that many, one second after the end of the rollout.
func (t *rolloutTrial) checkRolledBack() {
	limit := t.ended.Add(time.Second)
	var bad []time.Time
	for _, r := range t.newEndpoints {
		for i, x := range r.Ran() {
			if i%3 == 0 {
				bad = append(bad, x.At)
			}
		}
	}
	if len(bad) >= rollBackFailures {
		limit = bad[rollBackFailures-1].Add(rollBackIn)
	}
	if n := runsWithin(t.newEndpoints, limit, limit.Add(time.Hour)); n > 0 {
		t.failf("the bad version got %d requests after it was rolled back", n)
	}
}

func runsWithin(rs []*standin.Runner, from, to time.Time) (n int) {
	for _, r := range rs {
		for _, x := range r.Ran() {
			if !x.At.Before(from) && x.At.Before(to) {
				n++
			}
		}
	}
	return n
}

func (t *rolloutTrial) close() {
	for _, d := range t.daemons {
		d.Kill()
	}
	for _, r := range append(append([]*standin.Runner{}, t.oldEndpoints...), t.newEndpoints...) {
		r.Close()
	}
	if t.unordered != nil {
		t.unordered.Close()
	}
	if t.store != nil {
		t.store.Close()
	}
	if t.api != nil {
		t.api.Close()
	}
}
