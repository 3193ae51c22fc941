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

// gracePeriod is the time from SIGTERM to SIGKILL.
const gracePeriod = 8 * time.Second

// daemon is a process of the program under test.
type daemon struct {
	name     string
	program  string
	settings string // file
	log      string // file
	callers  string // host:port
	checks   string // host:port
	store    *Proxy

	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{}
	stoppedAt     time.Time // of the last SIGTERM
	ready         bool
	endedBySIGHUP bool // a SIGHUP has terminated the process
}

// Ports allocates free loopback addresses, each only once: the system may assign a port again after
// the listener that found it is closed and before the intended process opens it. The zero value is
// ready for use.
type Ports struct {
	mu    sync.Mutex
	taken map[string]bool
}

// Next returns an address that is free now and that it has not returned before.
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

// daemonPorts allocates the addresses of all daemons.
var daemonPorts Ports

// newDaemon returns a daemon and writes its settings file.
func newDaemon(o Options, i int, store *Proxy, cloud string, first bool) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("daemon-%d", i), program: o.Program, store: store}
	var addrs [3]string
	for k := range addrs {
		var err error
		if addrs[k], err = daemonPorts.Next(); err != nil {
			return nil, errors.Wrap(err, "soak: allocate port")
		}
	}
	d.callers, d.checks = addrs[0], addrs[1]
	d.settings = filepath.Join(o.Dir, d.name+".json")
	d.log = filepath.Join(o.Dir, d.name+".log")
	b, err := json.Marshal(map[string]any{
		"node_name": d.name, "deployment": "soak", "zone": zoneOf(i), "ip_address": "127.0.0.1", "bootstrap": first,
		"listen_addresses": map[string]string{"frontend": addrs[0], "ready": addrs[1], "control_plane": addrs[2]},
		"limits":           map[string]any{"cpu_share": 0.4, "memory_mb": 284},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_period_s": gracePeriod.Seconds(), "configuration_ms": 2000, "revocation_ms": 5000,
			"strict_revocation": true, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56,
			"quota_window_s": 8, "lease_ms": 3000, "exposure_share": 0.1, "usage_window_s": 5, "usage_lateness_s": 10,
		},
		"platform":  map[string]any{"address": store.Address()},
		"cloud_api": map[string]any{"address": cloud, "duties": []string{"usage_reporting", "scaling"}, "duty_per_s": 50},
	})
	if err != nil {
		return nil, errors.Wrap(err, "soak: encode settings")
	}
	return d, errors.Wrap(os.WriteFile(d.settings, b, 0o600), "soak: write settings")
}

func zoneOf(i int) string { return [...]string{"a", "b"}[i%2] }

// start starts the process unless it is running.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: open log")
	}
	defer out.Close() // the process has its own descriptor
	cmd := exec.Command(d.program, "entry", "--settings", d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start process")
	}
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	go func() {
		cmd.Wait() // the log shows how it ended
		status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.endedBySIGHUP = d.endedBySIGHUP || ok && status.Signaled() && status.Signal() == syscall.SIGHUP
		if d.cmd == cmd {
			d.cmd = nil
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it is running; the channel closes when the process ends.
func (d *daemon) signal(s syscall.Signal) (ended <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	if s == syscall.SIGTERM {
		d.stoppedAt = time.Now()
	}
	d.cmd.Process.Signal(s) // fails only if the process has just ended
	return d.ended
}

// hupAfter is the time from SIGTERM to SIGHUP in a planned stop, short enough that requests are still
// in flight.
const hupAfter = 300 * time.Millisecond

// stop stops the process with SIGTERM, and with SIGKILL after graceTime. It also sends a SIGHUP during
// the drain, which must not end the process early.
func (d *daemon) stop() {
	ended := d.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(hupAfter):
		d.signal(syscall.SIGHUP)
	}
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		<-d.signal(syscall.SIGKILL)
	}
}

// kill kills the process.
func (d *daemon) kill() { <-d.signal(syscall.SIGKILL) }

// lastStop returns the time of the last SIGTERM.
func (d *daemon) lastStop() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stoppedAt
}

// pollReadiness polls the readiness endpoint as a load balancer does.
func (d *daemon) pollReadiness(c *http.Client) {
	resp, err := c.Get("http://" + d.checks + "/streambend/readiness")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		resp.Body.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = ok
}

// wasEndedBySIGHUP reports whether a SIGHUP ever terminated the process.
func (d *daemon) wasEndedBySIGHUP() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endedBySIGHUP
}

func (d *daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}
