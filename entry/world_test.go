// SPDX-License-Identifier: MIT

package entry_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"streambend.example/entry"
	"streambend.example/internal/standin"
	"streambend.example/platform"
	"streambend.example/seam"
)

// world is a set of daemons with stand-ins for the platform, on an in-memory network and in virtual time.
type world struct {
	t             *testing.T
	net           *standin.Net
	store         *standin.Rows
	api           *standin.DutyAPI
	daemons       []*entry.Daemon
	mu            sync.Mutex // protects cancels and kills, as daemons may be killed and started concurrently
	cancels       []context.CancelFunc
	kills         map[int]int // by daemon
	runners       []*standin.Runner
	client        *http.Client
	version       int64
	routes        []map[string]any
	keys          []string
	extraTeams    []string // further teams, without a limit, each with its own key
	extraServices []string // further services without engines
	rate          float64
	zones         []string                 // assigned to the daemons in turn
	strongBoxes   int                      // number of daemons with more processor time than the rest; 0 if all have the same
	memoryMB      int                      // memory of a daemon's box; 0 for 284
	weakRate      float64                  // bytes a second of a weak box's link; 0 for the usual rate
	strongRate    float64                  // the same for a strong box
	links         map[string]*standin.Link // links of the daemons' boxes; nil for a network without limits
	unusedRoutes  []map[string]any         // routes that get no requests
	seeds         []string                 // addresses by which daemons find others without the store
	bootstrap     bool                     // the daemons bootstrap the whole system
	configDelay   time.Duration            // how long after the start the configuration is written
	connectDelay  atomic.Int64             // time to open a connection to an endpoint, in nanoseconds
	dials         atomic.Int64             // connections to endpoints that daemons have tried to open
	created       time.Time
	rollOuts      bool                            // the settings bound the exposure of a version that is rolled out
	isolated      atomic.Pointer[string]          // daemon whose links to other daemons alone are cut; nil for none
	partition     atomic.Pointer[map[string]bool] // daemons whose links to all others are cut; nil for none
	lateLinks     atomic.Pointer[map[string]bool] // daemons whose links to other daemons are late; nil for none
	fullLinks     fullLinks
	endpointCuts  endpointCuts
	previous      map[string]bool // addresses for links of daemons that act as a previous version
	log           worldLog
}

// Service names, host and keys of a world.
const (
	host    = "some.example"
	engines = "engines"
	plain   = "plain"
	team    = "team-a"
	key     = "key-a"

	storeAddress = "10.9.0.1:80"
	runnerHost   = "127.0.0.1:"
)

// inWorld runs f in virtual time with a number of daemons.
func inWorld(t *testing.T, daemons int, f func(w *world)) {
	t.Helper()
	inZones(t, daemons, []string{"a"}, f)
}

// inZones is inWorld with the daemons spread over zones.
func inZones(t *testing.T, daemons int, zones []string, f func(w *world)) {
	t.Helper()
	inWorldOf(t, daemons, func(w *world) { w.zones = zones }, f)
}

// inWorldOf is inWorld with a change to the world before its daemons start.
func inWorldOf(t *testing.T, daemons int, change, f func(w *world)) {
	t.Helper()
	outer := t // some checks of f fail on it
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		change(w)
		if w.configDelay == 0 {
			w.put()
		}
		for range daemons {
			w.start()
		}
		if w.configDelay > 0 {
			go func() {
				time.Sleep(w.configDelay)
				w.put()
			}()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		before := outer.Failed() // in an earlier world of the same test
		f(w)
		if !before && (t.Failed() || outer.Failed()) {
			w.log.save(outer)
		}
		w.close()
	})
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, net: standin.NewNet(), keys: []string{key}, rate: 0, zones: []string{"a"}, created: time.Now()}
	var err error
	w.store, err = standin.NewRows(w.net, storeAddress)
	require.NoError(t, err)
	w.api, err = standin.NewDutyAPI(w.net, "10.9.0.2:80")
	require.NoError(t, err)
	w.routes = []map[string]any{
		w.route("/digest/", "streaming", engines, map[string]any{"attempts": 1}),
		w.route("/explain/", "streaming", engines, map[string]any{"attempts": 2, "resumable": true}),
		w.route("/write/", "unsafe", plain, map[string]any{"attempts": 1}),
		w.route("/read/", "safe", plain, map[string]any{"attempts": 2}),
	}
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.net.Dial, DisableCompression: true}}
	return w
}

func (w *world) route(prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": "r" + prefix, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 8000,
		"target_latency_ms": 600, "priority": 1, "service": service, "target_gap_ms": 500,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// put writes the next version of the configuration.
func (w *world) put() {
	w.version += 3
	teams := []map[string]any{{
		"name": team, "api_keys": w.keys, "unit": "tokens", "plain_tokens": 200, "rate_per_s": w.rate, "burst": w.rate,
	}}
	for _, name := range w.extraTeams {
		teams = append(teams, map[string]any{"name": name, "api_keys": []string{"key of " + name}, "unit": "tokens", "plain_tokens": 200})
	}
	services := []map[string]any{
		{"name": engines, "health_path": "/health", "connection_limit": 100, "engine": map[string]any{"slots": 8, "kv_cache_tokens": 500000},
			"scaling": map[string]any{"minimum": 1, "maximum": 6, "startup_s": 4, "spot_price": 0.2, "zone_prices": map[string]any{"a": 1.0, "b": 0.8}}},
		{"name": plain, "health_path": "/health", "connection_limit": 100},
	}
	for _, name := range w.extraServices {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "connection_limit": 100})
	}
	b, err := json.Marshal(map[string]any{
		"version": w.version, "routes": append(slices.Clone(w.routes), w.unusedRoutes...), "services": services,
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": teams,
	})
	require.NoError(w.t, err)
	w.store.Put(platform.CatalogTable, "", "config", b)
}

// start starts another daemon.
func (w *world) start() *entry.Daemon {
	d := w.startNamed(fmt.Sprintf("daemon-%d", len(w.daemons)), len(w.daemons))
	w.daemons = append(w.daemons, d)
	return d
}

func (w *world) startNamed(name string, i int) *entry.Daemon {
	site := w.site(name, i)
	ctx, cancel := context.WithCancel(w.t.Context())
	w.mu.Lock()
	w.cancels = append(w.cancels, cancel)
	w.mu.Unlock()
	n := seam.Network(w.net)
	if w.links != nil {
		w.links[name] = standin.NewLink(w.rateOf(i))
		n = w.links[name].Over(n)
	}
	d, err := entry.New(site, daemonNetwork{n, ctx, name, w}, w.log.logger(name), 0)
	require.NoError(w.t, err)
	return d
}

// site returns a daemon's settings.
func (w *world) site(name string, i int) platform.Site {
	seeds, err := json.Marshal(w.seeds)
	require.NoError(w.t, err)
	rollOuts := ""
	if w.rollOuts {
		rollOuts = fmt.Sprintf(`, "exposure_share": %g, "exposure_slack": %d, "rollback_ms": %d`, untriedShare, untriedSlack, rollBackBound.Milliseconds())
	}
	settings := fmt.Sprintf(`{"node_name": %q, "zone": %q, "bootstrap": %t, "seed_nodes": %s, "ip_address": "10.0.0.%d",
		"listen_addresses": {"frontend": "10.0.0.%d:80", "ready": "10.0.0.%d:81", "control_plane": "10.0.0.%d:82"},
		"limits": {"cpu_share": %g, "memory_mb": %d},
		"bounds": {"drain_ms": 2000, "grace_period_s": 8, "configuration_ms": 2000, "revocation_ms": 5000, "strict_revocation": true,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56, "quota_window_s": 8, "lease_ms": 3000,
			"usage_window_s": 5, "usage_lateness_s": 10%s},
		"platform": {"address": %q}, "cloud_api": {"address": %q, "duties": ["usage_reporting", "scaling"], "duty_per_s": 50}}`,
		name, w.zones[i%len(w.zones)], w.bootstrap, seeds, i, i, i, i, w.share(i), cmp.Or(w.memoryMB, 284), rollOuts, w.store.Address(), w.api.Address())
	site, err := platform.ReadSite(strings.NewReader(settings))
	require.NoError(w.t, err)
	return site
}

// Boxes of a large deployment: a few strong ones, one per zone of which reads the store for the others, and
// weak ones.
const (
	strongShare, weakShare = 0.8, 0.2    // of a core
	strongRate, weakRate   = 25e6, 0.4e6 // bytes a second
)

// share returns the CPU share of a daemon's box.
func (w *world) share(i int) float64 {
	switch {
	case w.strongBoxes == 0:
		return 0.4
	case i < w.strongBoxes:
		return strongShare
	}
	return weakShare
}

// rateOf returns the rate of the link of a daemon's box.
func (w *world) rateOf(i int) float64 {
	if i < w.strongBoxes {
		return cmp.Or(w.strongRate, strongRate)
	}
	return cmp.Or(w.weakRate, weakRate)
}

// runner starts an endpoint and adds it to the store.
func (w *world) runner(service, zone, id string, events int) *standin.Runner {
	r, err := standin.NewRunner(w.net, runnerHost+"0", id, events, 20*time.Millisecond)
	require.NoError(w.t, err)
	w.runners = append(w.runners, r)
	w.store.Put(platform.RunnerTable, "", id, r.Entry(service, zone, "ready"))
	time.Sleep(50 * time.Millisecond)
	return r
}

// answer is the response to a caller.
type answer struct {
	status int
	body   string
	header http.Header
	err    error // set if the answer is incomplete
}

// ask sends a request to a daemon.
func (w *world) ask(daemon int, method, path, id string, header ...string) answer {
	body := ""
	if method == http.MethodPost {
		body = "body of " + id
	}
	return w.askFor(daemon, method, path, id, body, header...)
}

// askFor is ask with a given body.
func (w *world) askFor(daemon int, method, path, id, body string, header ...string) answer {
	req, err := http.NewRequest(method, fmt.Sprintf("http://10.0.0.%d:80%s", daemon, path), strings.NewReader(body))
	require.NoError(w.t, err)
	req.Host = host
	req.Header.Set("Streambend-Request-Id", id)
	req.Header.Set("Streambend-Deadline-Milliseconds", "5000")
	req.Header.Set("Api-Key", key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	a := w.answerOf(req)
	if a.err != nil || a.status != http.StatusOK {
		w.log.logFailure(daemon, id, a)
	}
	return a
}

func (w *world) answerOf(req *http.Request) answer {
	resp, err := w.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(b), resp.Header, err}
}

// ready queries a daemon's readiness as the load balancer does.
func (w *world) ready(daemon int) bool {
	resp, err := w.client.Get(fmt.Sprintf("http://10.0.0.%d:81/streambend/readiness", daemon))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.Kill()
	}
	for _, c := range w.cancels {
		c()
	}
	for _, r := range w.runners {
		r.Close()
	}
	w.client.CloseIdleConnections()
	w.store.Close()
	w.api.Close()
	time.Sleep(time.Second)
}
