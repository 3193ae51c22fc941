// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// graceTime is how long after SIGTERM a process is killed.
const graceTime = 8 * time.Second

// daemon is a process of the product.
type daemon struct {
	name     string
	program  string
	settings string // file
	log      string // file
	callers  string // host:port
	checks   string // host:port
	store    *Proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	planned time.Time // of the last SIGTERM
	ready   bool
	hungUp  bool // it was ended by the word of changed settings
}

// Ports hands out addresses of loopback that are free, each only once: the
// system may offer a port again as soon as whoever looked has closed it, while
// the process that it is meant for has not opened it yet. The zero value is ready.
type Ports struct {
	mu    sync.Mutex
	taken map[string]bool
}

// Next returns an address that is free now and was not handed out before.
func (p *Ports) Next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken == nil {
		p.taken = make(map[string]bool)
	}
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		l.Close()
		if !p.taken[addr] {
			p.taken[addr] = true
			return addr, nil
		}
	}
}

// ports are those of all daemons of this process.
var ports Ports

// newDaemon writes a daemon's settings; seeds are the peers' addresses known.
func newDaemon(o Options, i int, store *Proxy, cloud string, first bool) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("daemon-%d", i), program: o.Program, store: store}
	var addrs [3]string
	for k := range addrs {
		var err error
		if addrs[k], err = ports.Next(); err != nil {
			return nil, errors.Wrap(err, "soak: port")
		}
	}
	d.callers, d.checks = addrs[0], addrs[1]
	d.settings = filepath.Join(o.Dir, d.name+".json")
	d.log = filepath.Join(o.Dir, d.name+".log")
	b, err := json.Marshal(map[string]any{
		"node_name": d.name, "zone": zoneOf(i), "ip_address": "127.0.0.1", "bootstrap": first,
		"listen_addresses": map[string]string{"frontend": addrs[0], "ready": addrs[1], "control_plane": addrs[2]},
		"limits":           map[string]any{"cpu_share": 0.4, "memory_mb": 284},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_period_s": graceTime.Seconds(), "configuration_ms": 2000, "revocation_ms": 5000,
			"strict_revocation": true, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56,
			"quota_window_s": 8, "lease_ms": 3000, "usage_window_s": 5, "usage_lateness_s": 10,
		},
		"platform":  map[string]any{"address": store.Address()},
		"cloud_api": map[string]any{"address": cloud, "duties": []string{"usage_reporting", "scaling"}, "duty_per_s": 50},
	})
	if err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	return d, errors.Wrap(os.WriteFile(d.settings, b, 0o600), "soak: settings")
}

func zoneOf(i int) string { return [...]string{"a", "b"}[i%2] }

// start starts the process, unless it runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: log")
	}
	defer out.Close() // the process has its own
	cmd := exec.Command(d.program, "entry", "--settings", d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start")
	}
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	go func() {
		cmd.Wait() // how it ended is in its log
		status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.hungUp = d.hungUp || ok && status.Signaled() && status.Signal() == syscall.SIGHUP
		if d.cmd == cmd {
			d.cmd = nil
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(s syscall.Signal) (ended <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	if s == syscall.SIGTERM {
		d.planned = time.Now()
	}
	d.cmd.Process.Signal(s) // an error means that it has just ended
	return d.ended
}

// hupAfter is how long after the signal to stop the word of changed settings
// follows: while requests that were in flight still run.
const hupAfter = 300 * time.Millisecond

// stop ends the process as planned, and by force once its grace is over. A change
// of the settings falls into the stop, which must not end it early.
func (d *daemon) stop() {
	ended := d.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(hupAfter):
		d.signal(syscall.SIGHUP)
	}
	select {
	case <-ended:
	case <-time.After(graceTime):
		<-d.signal(syscall.SIGKILL)
	}
}

// kill ends the process at once.
func (d *daemon) kill() { <-d.signal(syscall.SIGKILL) }

// lastPlanned returns when the process was last told to stop.
func (d *daemon) lastPlanned() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planned
}

// look asks for readiness as a balancer does.
func (d *daemon) look(c *http.Client) {
	resp, err := c.Get("http://" + d.checks + "/streambend/readiness")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		resp.Body.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = ok
}

// wasHungUp reports whether the process was ever ended by SIGHUP.
func (d *daemon) wasHungUp() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hungUp
}

func (d *daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}
