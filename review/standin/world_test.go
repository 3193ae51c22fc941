//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"streambend.example/internal/standin"
	"streambend.example/seam"
)

// restartDelay is after how long the platform starts a process that has ended again.
const restartDelay = 500 * time.Millisecond

// network is the loopback network of the operating system.
var network = seam.TCP{}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{out: f, began: time.Now()}, err
}

// linef writes one line with the time since the beginning.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment: the platform's store and API as stand-ins, and daemons as processes.
type world struct {
	rec     *record
	dir     string
	program string
	store   *standin.Rows
	cloud   *standin.DutyAPI
	daemons []*daemon
}

// daemon is a process of the program under test.
type daemon struct {
	name    string
	zone    string
	callers string
	ready   string
	control string
	file    string
	log     *os.File
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Ports are taken from below those that the system gives to outgoing connections.
const firstPort, ports = 18000, 12000

// nextPort is the port that is tried next.
var nextPort = rand.IntN(ports)

// freeAddress returns a loopback address that is free now and that it has not returned before.
func freeAddress() (string, error) {
	for range ports {
		nextPort = (nextPort + 1) % ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err != nil {
			continue // in use
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

// newWorld starts the platform's stand-ins.
func newWorld(rec *record, program, dir string) (*world, error) {
	w := &world{rec: rec, dir: dir, program: program}
	var err error
	if w.store, err = standin.NewRows(network, "127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.cloud, err = standin.NewDutyAPI(network, "127.0.0.1:0")
	return w, err
}

// put writes a row as the operator or a runner does.
func (w *world) put(table, key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.store.Put(table, "", key, b)
	return nil
}

// startDaemons starts one daemon in each of the zones.
func (w *world) startDaemons(zones []string) error {
	for i, zone := range zones {
		d := &daemon{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone}
		var addrs [4]string
		for k := range addrs {
			var err error
			if addrs[k], err = freeAddress(); err != nil {
				return err
			}
		}
		d.callers, d.ready, d.control = addrs[0], addrs[1], addrs[2]
		if err := w.writeSettings(d, true); err != nil {
			return err
		}
		if err := w.start(d, addrs[3]); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	return nil
}

// writeSettings writes a daemon's settings, with the bounds of a small deployment.
func (w *world) writeSettings(d *daemon, first bool) error {
	b, err := json.Marshal(map[string]any{
		"node_name": d.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend", "control_plane"},
		"ip_address": "127.0.0.1", "zone": d.zone, "region": "bkk",
		"listen_addresses": map[string]string{"frontend": d.callers, "ready": d.ready, "control_plane": d.control},
		"seed_nodes":       []string{}, "bootstrap": first,
		"limits":                map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "file_descriptors": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_interval_ms": 1200,
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_ms": 2000,
			"strict_revocation": true, "revocation_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"retry_budget_slack": 56, "quota_window_s": 8, "fencing_enforced": false, "lease_ms": 3000,
			"usage_window_s": 5, "usage_lateness_s": 10,
		},
		"platform":  map[string]any{"address": w.store.Address(), "form": "table"},
		"cloud_api": map[string]any{"address": w.cloud.Address(), "duties": []string{"usage_reporting", "scaling"}, "duty_per_s": 50.0},
	})
	if err != nil {
		return err
	}
	d.file = filepath.Join(w.dir, d.name+".json")
	return os.WriteFile(d.file, b, 0o600)
}

// start starts a daemon's process with the command of the deploy file.
func (w *world) start(d *daemon, metrics string) error {
	out, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.program, "entry", "--metrics", metrics)
	cmd.Env = append(os.Environ(), "STREAMBEND_SETTINGS="+d.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.log, d.ended = cmd, out, make(chan struct{})
	go func() {
		cmd.Wait() // how it ended does not matter here
		close(d.ended)
	}()
	return nil
}

// restart starts a daemon that has ended again, as the platform does after a short delay.
func (w *world) restart(d *daemon) error {
	time.Sleep(restartDelay)
	d.log.Close()
	metrics, err := freeAddress()
	if err != nil {
		return err
	}
	if err := w.writeSettings(d, false); err != nil {
		return err
	}
	return w.start(d, metrics)
}

// kill ends a daemon at once.
func (d *daemon) kill() {
	d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.ended
}

// close ends all that was started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
		d.log.Close()
	}
	w.cloud.Close()
	w.store.Close()
}

// awaitReady waits until all daemons call themselves ready.
func (w *world) awaitReady(limit time.Duration) error {
	c := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, d := range w.daemons {
		for {
			resp, err := c.Get("http://" + d.ready + "/streambend/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
