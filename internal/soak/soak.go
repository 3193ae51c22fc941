// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"streambend.example/internal/standin"
	"streambend.example/platform"
	"streambend.example/seam"
)

// Options configures a soak test.
type Options struct {
	Seed    uint64
	Span    time.Duration // period during which requests are sent
	Daemons int
	Callers int       // number of callers; each sends one request at a time
	Program string    // path of the program under test
	Dir     string    // directory for settings and logs
	Lie     bool      // endpoints report some executed requests as not run, to verify that the checks can fail
	Say     io.Writer // human-readable progress; nil for none
}

// Report is the result of a soak test.
type Report struct {
	Seed    uint64
	Asked   int
	Ran     int
	Answers map[string]int // number of responses by status or error
	Events  map[string]int // number of injected faults and changes by name
	Broken  []string       // violated guarantees
}

// host is the host name of all routes.
const host = "soak.example"

// kinds are the kinds of requests: two streams, of which one is resumable, and an unsafe and a safe
// plain request.
var kinds = []kind{
	{"/digest/", http.MethodPost, true, 12, false},
	{"/explain/", http.MethodPost, false, 40, true},
	{"/write/", http.MethodPost, true, 0, false},
	{"/read/", http.MethodGet, false, 0, false},
}

// world holds the system under test and the stand-ins around it.
type world struct {
	o       Options
	rng     *rand.Rand
	check   *checker
	store   *standin.Rows
	api     *standin.DutyAPI
	daemons []*daemon
	client  *http.Client // for readiness checks
	began   time.Time

	mu        sync.Mutex
	runners   []*standin.Runner
	proxies   []*Proxy          // in front of the runners, by the same index
	rolledOut []*standin.Runner // of versions rolled out during the run
	unordered *standin.Runner   // of a version that no rollout orders
	events    map[string]int
	version   int64
	keys      []string
	revoked   map[string]time.Time // API key to the time of its revocation
	wg        sync.WaitGroup
}

// Run runs a soak test. An error means that it could not be run.
func Run(ctx context.Context, o Options) (*Report, error) {
	w := &world{
		o: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), check: newChecker(), events: make(map[string]int),
		revoked: make(map[string]time.Time), keys: []string{"key-0", "key-1"}, client: &http.Client{Timeout: 500 * time.Millisecond},
	}
	defer w.close()
	if err := w.setUp(); err != nil {
		return nil, err
	}
	run, cancel := context.WithTimeout(ctx, o.Span)
	defer cancel()
	w.wg.Go(func() { w.watchReadiness(run) })
	for i := range o.Callers {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(100+i)))
		w.wg.Go(func() { w.runCaller(run, i, rng) })
	}
	w.injectEvents(run)
	w.wg.Wait()
	ran := w.check.checkRuns(append(append([]*standin.Runner{}, w.runners...), w.rolledOut...))
	if n := len(w.unordered.Ran()); n > 0 {
		w.check.failf("a version that nobody has ordered ran %d requests", n)
	}
	w.check.checkDuties(append(w.api.Calls("/usage"), w.api.Calls("/scale")...))
	for _, d := range w.daemons {
		if d.wasEndedBySIGHUP() {
			w.check.failf("%s ended at a change of its settings", d.name)
		}
	}
	return &Report{Seed: o.Seed, Asked: len(w.check.requests), Ran: ran, Answers: w.check.answers, Events: w.events, Broken: w.check.violations}, nil
}

func (w *world) progressf(format string, args ...any) {
	if w.o.Say != nil {
		fmt.Fprintf(w.o.Say, "%6.2f s  "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
	}
}

// setUp starts the stand-ins and the daemons, and waits until all daemons are ready.
func (w *world) setUp() error {
	w.began = time.Now()
	var err error
	if w.store, err = standin.NewRows(seam.TCP{}, "127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "soak: start store")
	}
	if w.api, err = standin.NewDutyAPI(seam.TCP{}, "127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "soak: start cloud API")
	}
	w.putCatalog()
	for i := range 6 {
		if err := w.addRunner(i); err != nil {
			return err
		}
	}
	for i := range w.o.Daemons {
		p, err := NewProxy(w.store.Address())
		if err != nil {
			return errors.Wrap(err, "soak: proxy")
		}
		d, err := newDaemon(w.o, i, p, w.api.Address(), true)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	for range 100 {
		ready := 0
		for _, d := range w.daemons {
			if d.pollReadiness(w.client); d.isReady() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			return w.addUnordered()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("soak: daemons not ready in time")
}

// addRunner starts an endpoint and its proxy: an engine if i is even, else a plain service.
func (w *world) addRunner(i int) error {
	service, events := "engines", 1
	if i%2 == 1 {
		service, events = "plain", 0
	}
	id := fmt.Sprintf("i-%d", i)
	r, err := standin.NewRunner(seam.TCP{}, "127.0.0.1:0", id, events, 10*time.Millisecond)
	if err != nil {
		return errors.Wrap(err, "soak: runner")
	}
	if service == "engines" {
		r.Version, r.Marked = fmt.Sprintf("v%d", 1+i/2%2), true // two versions serve side by side
	}
	r.ByPath = map[string]int{"/digest/": kinds[0].events, "/explain/": kinds[1].events}
	p, err := NewProxy(r.Address())
	if err != nil {
		return errors.Wrap(err, "soak: proxy")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runners, w.proxies = append(w.runners, r), append(w.proxies, p)
	w.store.Put(platform.RunnerTable, "", id, r.EntryAt(p.Address(), service, zoneOf(i/2), "ready"))
	return nil
}

// addVersion starts an endpoint of the plain service with a software version.
func (w *world) addVersion(id, version string, f standin.RunnerFault) (*standin.Runner, error) {
	r, err := standin.NewRunner(seam.TCP{}, "127.0.0.1:0", id, 0, 10*time.Millisecond)
	if err != nil {
		return nil, errors.Wrap(err, "soak: runner")
	}
	r.Version = version
	r.SetFault(f)
	w.store.Put(platform.RunnerTable, "", id, r.Entry("plain", "a", "ready"))
	return r, nil
}

// addUnordered starts an endpoint of a version that no rollout orders. It is called once the daemons know
// the current version of the service.
func (w *world) addUnordered() (err error) {
	w.unordered, err = w.addVersion("i-stray", "v0", standin.RunnerFault{})
	return err
}

// putCatalog writes a new version of the configuration.
func (w *world) putCatalog() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	route := func(prefix, kind, service string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 5000,
			"target_latency_ms": 600, "target_gap_ms": 500, "attempts": attempts, "resumable": resume, "priority": 1,
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": w.version,
		"routes": []any{
			route("/digest/", "streaming", "engines", 1, false), route("/explain/", "streaming", "engines", 2, true),
			route("/write/", "unsafe", "plain", 1, false), route("/read/", "safe", "plain", 2, false),
			route(fmt.Sprintf("/extra-%d/", w.version), "safe", "plain", 1, false),
		},
		"services": []any{
			map[string]any{"name": "engines", "connection_limit": 500, "engine": map[string]any{"slots": 64, "kv_cache_tokens": 500000}},
			map[string]any{"name": "plain", "connection_limit": 500},
		},
		"limits":  map[string]any{"body_bytes": 100000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team", "api_keys": w.keys, "unit": "tokens", "plain_tokens": 200}},
	})
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	w.store.Put(platform.CatalogTable, "", "config", b)
}

// watchReadiness polls the readiness of the daemons until ctx ends.
func (w *world) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, d := range w.daemons {
			d.pollReadiness(w.client)
		}
		sleepFor(ctx, 300*time.Millisecond)
	}
}

// revocationBound is the time after the revocation of a key from which every daemon must reject it.
const revocationBound = 5 * time.Second

// key returns a random API key and whether every daemon must reject it by now.
func (w *world) key(rng *rand.Rand) (key string, dead bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, at := range w.revoked {
		if rng.IntN(20) == 0 {
			return k, time.Since(at) > revocationBound
		}
	}
	return w.keys[rng.IntN(len(w.keys))], false
}

// runCaller sends one request at a time. It stays with a daemon, even one that is stopping, until a
// connection breaks or it has sent 30 requests.
func (w *world) runCaller(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var d *daemon
	for n := 0; ctx.Err() == nil; n++ {
		if d == nil || n%30 == 0 {
			d = w.pick(rng)
		}
		id := fmt.Sprintf("s%d-c%d-%d", w.o.Seed, caller, n)
		if !w.sendRequest(client, d, id, kinds[rng.IntN(len(kinds))], rng) {
			d = nil
		}
		sleepFor(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
	}
}

// pick returns a ready daemon, or any if none is.
func (w *world) pick(rng *rand.Rand) *daemon {
	start := rng.IntN(len(w.daemons))
	for i := range w.daemons {
		if d := w.daemons[(start+i)%len(w.daemons)]; d.isReady() {
			return d
		}
	}
	return w.daemons[start]
}

// sendRequest sends a request and checks its response; it returns false if the connection broke. A stream that breaks off
// is taken up, at any daemon.
func (w *world) sendRequest(client *http.Client, d *daemon, id string, k kind, rng *rand.Rand) bool {
	s := stream{id: id}
	ok := w.attempt(client, d, id, k, &s, rng)
	for try := range maxTakeUps {
		if !k.takeUp || s.first == "" || s.events == k.events || !s.broken {
			break
		}
		before := s.events
		w.attempt(client, w.pick(rng), fmt.Sprintf("%s-t%d", id, try), k, &s, rng)
		w.check.countTakeUp(s.events > before)
	}
	w.check.checkVersions(id, s.versions)
	return ok
}

// attempt sends one attempt of a request and checks its response; it returns false if the connection broke.
func (w *world) attempt(client *http.Client, d *daemon, id string, k kind, s *stream, rng *rand.Rand) bool {
	key, dead := w.key(rng)
	var body io.Reader
	if k.method == http.MethodPost {
		body = strings.NewReader("body of " + s.id)
	}
	req, err := http.NewRequest(k.method, "http://"+d.callers+k.path+s.id, body)
	if err != nil {
		panic(err) // the URL is always valid
	}
	req.GetBody = nil // prevents a resend by the client, which would count the id twice
	req.Host = host
	standin.CallerHeaders{
		ID: id, Key: key, Wait: 5 * time.Second, Tokens: "900,60",
		Prompt: fmt.Sprintf("a1:300,%x:400,%x:200", 16+rng.IntN(20), rng.Uint32()),
	}.Write(req.Header)
	s.header(req.Header)
	w.check.recordRequest(id, k, s.events, dead)
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.broken = true
		w.check.checkResponse(id, d, began, 0, "", "", err)
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	s.broken = err != nil
	text := string(b)
	if k.events > 0 && resp.StatusCode == http.StatusOK {
		text = s.take(id, text)
	}
	w.check.checkResponse(id, d, began, resp.StatusCode, text, standin.SignedBy(resp.Header), err)
	return err == nil
}

// close stops all processes, proxies and stand-ins.
func (w *world) close() {
	for _, d := range w.daemons {
		d.signal(resumeSignal)
		d.kill()
		d.store.Close()
	}
	for _, p := range w.proxies {
		p.Close()
	}
	for _, r := range append(append([]*standin.Runner{}, w.runners...), w.rolledOut...) {
		r.Close()
	}
	if w.unordered != nil {
		w.unordered.Close()
	}
	if w.store != nil {
		w.store.Close()
	}
	if w.api != nil {
		w.api.Close()
	}
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
