// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/internal/standin"
	"streambend.example/process"
	"streambend.example/seam"
	"streambend.example/version"
)

// world holds the daemons and the stand-ins around them.
type world struct {
	opts     Options
	rng      *rand.Rand
	store    *standin.Store
	cloud    *standin.Cloud
	ledger   *standin.Ledger
	log      *logrus.Logger
	http     *http.Client
	cleanups []func()

	storeURL string
	cloudURL string
	wg       sync.WaitGroup // goroutines other than the load

	mu           sync.Mutex
	daemons      []*process.Daemon
	stopped      map[*process.Daemon]bool
	faultTargets map[string]faultInjector // box ID to its stand-in
}

// faultInjector is a stand-in that supports fault injection.
type faultInjector interface{ SetFault(standin.EngineFault) }

func token(kind, partner, name string) string { return kind + "-" + partner + "-" + name }

func hash(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// serveLocal serves h on a loopback port and returns its URL.
func (w *world) serveLocal(h http.Handler) (string, error) {
	l, err := w.opts.Net.Listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "trial: listen")
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	w.cleanups = append(w.cleanups, func() { s.Close() })
	return "http://" + l.Addr().String(), nil
}

// newWorld starts the stand-ins and the daemons.
func newWorld(o Options, logs io.Writer) (*world, error) {
	w := &world{
		opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), store: standin.NewStore(), ledger: standin.NewLedger(),
		log: logrus.New(), http: seam.HTTPClient(o.Net, 0),
		stopped: make(map[*process.Daemon]bool), faultTargets: make(map[string]faultInjector),
	}
	w.log.SetOutput(logs)
	level, err := logrus.ParseLevel(o.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "trial: parse log level")
	}
	w.log.SetLevel(level)
	w.cloud = standin.NewCloud(prices(w.rng))
	w.cloud.Boot, w.cloud.Lag = 300*time.Millisecond, 500*time.Millisecond
	w.cloud.Launch = w.launch
	storeURL, err := w.serveLocal(w.store)
	if err != nil {
		return nil, err
	}
	cloudURL, err := w.serveLocal(w.cloud)
	if err != nil {
		return nil, err
	}
	w.storeURL, w.cloudURL = storeURL, cloudURL
	for range o.Daemons {
		if _, err := w.startDaemon(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

// startDaemon starts another daemon, with the live daemons as its seeds.
func (w *world) startDaemon() (*process.Daemon, error) {
	zones := append(append([]string{}, bangkok...), manila...)
	i := len(w.daemons)
	s := w.settings(i, zones[(i*3)%len(zones)], w.storeURL, w.cloudURL)
	for _, d := range w.live() {
		s.Peers.Seeds = append(s.Peers.Seeds, d.Addresses().Peers)
	}
	net := w.opts.Net
	if w.opts.DaemonNet != nil {
		net = w.opts.DaemonNet
	}
	p := process.NewPlatform(s, net)
	p.AdjustOptions = w.opts.disableMechanism
	if w.opts.Hooks.Platform != nil {
		p = w.opts.Hooks.Platform(p)
	}
	d, err := process.New(s, p, w.log)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = append(w.daemons, d)
	return d, nil
}

func (w *world) settings(i int, zone, storeURL, cloudURL string) process.Settings {
	s := process.DefaultSettings()
	s.Name, s.Zone = fmt.Sprintf("entry-%d", i+1), zone
	s.Listen = process.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.Endpoint, s.Platform.Cloud = storeURL, cloudURL
	s.Platform.KeyID, s.Platform.Secret = "trial", "trial"
	s.Platform.TableRate, s.Platform.LoadRate = 200, 20
	s.Peers.Secret = "the secret of the trial"
	s.Pool = poolBoxes
	s.Timing.Unready = span(500 * time.Millisecond)
	s.Timing.Drain = span(20 * time.Second)
	s.Timing.Hold = span(30 * time.Second)
	s.Timing.FirstWait, s.Timing.Stall = span(2*time.Second), span(time.Second)
	if w.opts.DaemonNet == nil {
		// Intervals that take minutes by default are shortened to seconds,
		// since a trial is short.
		s.Timing.List, s.Timing.Poll = span(500*time.Millisecond), span(time.Second)
		s.Timing.Lease, s.Timing.Watch = span(3*time.Second), span(500*time.Millisecond)
	}
	s.Route, s.Move, s.Place = w.opts.policies()
	seen := make(map[string]bool)
	for _, j := range jobs() {
		if t := token("caller", j.partner, j.team); !seen[t] {
			seen[t] = true
			s.Callers = append(s.Callers, process.Caller{TokenSHA256: hash(t), Partner: j.partner, Team: j.team, Weight: 1})
		}
	}
	for _, p := range []string{office, podwave} {
		s.Operators = append(s.Operators, process.Operator{TokenSHA256: hash(token("operator", p, "ops")), Partner: p, Name: p + "-ops", Role: "operator"})
	}
	return s
}

// launch starts the stand-in of a box.
func (w *world) launch(b seam.Box) standin.Machine {
	var svc version.Service
	for _, s := range services() {
		if s.Partner == b.Partner && s.Name == b.Service {
			svc = s
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if svc.Kind == version.Model {
		e := standin.NewEngine(w.opts.Net, b.ID, engine(svc), w.ledger)
		e.SetFault(w.opts.Hooks.Engine)
		w.faultTargets[b.ID] = e
		w.cleanups = append(w.cleanups, e.Kill)
		return e
	}
	p := standin.NewPlain(w.opts.Net, 4*time.Millisecond, w.ledger)
	w.faultTargets[b.ID] = p
	w.cleanups = append(w.cleanups, p.Kill)
	return p
}

// live returns the daemons that have not been stopped or killed.
func (w *world) live() []*process.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*process.Daemon
	for _, d := range w.daemons {
		if !w.stopped[d] {
			out = append(out, d)
		}
	}
	return out
}

func (w *world) markStopped(d *process.Daemon) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped[d] = true
}

func (w *world) close() {
	for _, d := range w.live() {
		w.markStopped(d)
		d.Kill()
	}
	w.mu.Lock()
	stops := w.cleanups
	w.mu.Unlock()
	for _, f := range stops {
		f()
	}
	w.http.CloseIdleConnections()
}

// until polls a condition and returns an error on timeout.
func until(ctx context.Context, most time.Duration, what string, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !cond() {
		select {
		case <-ctx.Done():
			return errors.Errorf("trial: %s did not happen within %s", what, most)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// isReady queries the readiness endpoint of a daemon as the balancer does.
func (w *world) isReady(d *process.Daemon) bool {
	resp, err := w.http.Get("http://" + d.Addresses().Callers + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setUp submits and confirms the intents, and waits until all daemons know the boxes.
func (w *world) setUp(ctx context.Context) error {
	err := until(ctx, 10*time.Second, "readiness of all daemons", func() bool {
		for _, d := range w.daemons {
			if !w.isReady(d) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	want := 0
	for i, s := range scaled(w.opts.Boxes) {
		ops := w.operator(s.Partner, w.daemons[i%len(w.daemons)])
		if _, err := ops.change(ctx, s); err != nil {
			return err
		}
		want += s.MinBoxes
	}
	err = until(ctx, 15*time.Second, "start of the boxes", func() bool {
		n := 0
		for _, b := range w.cloud.Boxes() {
			if b.State == seam.BoxLive {
				n++
			}
		}
		return n >= want
	})
	if err != nil {
		return err
	}
	return until(ctx, 10*time.Second, "spread of the box list", func() bool {
		for _, d := range w.daemons {
			n := 0
			for _, k := range d.Server.Works.All() {
				n += len(k.Pool.Targets())
			}
			if n < want {
				return false
			}
		}
		return true
	})
}
