// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"streambend.example/conn"
	"streambend.example/seam"
	"streambend.example/version"
)

// maxRecentEntries is the number of recent log entries cached to send to neighbours.
const maxRecentEntries = 256

// configStore holds the active configuration. Its version never decreases.
type configStore struct {
	log version.Log

	mu     sync.Mutex
	cfg    *version.Config
	recent []version.Entry
	synced time.Time // last successful read of the table
	loaded bool      // whether a configuration has come from the table or a peer
}

func newConfigStore(l version.Log) *configStore { return &configStore{log: l, cfg: version.Empty()} }

func (c *configStore) get() *version.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg
}

// apply applies log entries and reports whether the version advanced, and
// whether entries in between are missing.
func (c *configStore) apply(es []version.Entry) (grew, gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range es {
		next := c.cfg.Apply(e)
		if next == c.cfg {
			gap = gap || e.Version > c.cfg.Version+1
			continue
		}
		c.cfg, grew, c.loaded = next, true, true
		c.recent = append(c.recent, e)
		if len(c.recent) > maxRecentEntries {
			c.recent = c.recent[len(c.recent)-maxRecentEntries:]
		}
	}
	return grew, gap
}

// replace installs a complete configuration if it is newer.
func (c *configStore) replace(cfg *version.Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	if cfg.Version <= c.cfg.Version {
		return false
	}
	c.cfg, c.recent = cfg, nil
	return true
}

// entriesAfter returns the entries after a version, or the complete configuration if
// they are no longer cached.
func (c *configStore) entriesAfter(v int64) conn.Payload {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recent) > 0 && c.recent[0].Version <= v+1 {
		return conn.Payload{Entries: c.recent[v+1-c.recent[0].Version:]}
	}
	return conn.Payload{Config: c.cfg}
}

// tableSynced records a successful read of the table.
func (c *configStore) tableSynced(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.synced, c.loaded = now, true
}

func (c *configStore) state() (synced time.Time, have bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced, c.loaded
}

// sharedPeriod scales a polling period with the number of daemons in this zone,
// so that the zone's total load on the platform stays constant, and adds jitter.
func (d *Daemon) sharedPeriod(p time.Duration) time.Duration {
	n := 0
	for _, m := range d.Hub.Mesh.Members() {
		if m.Zone == d.Self.Zone {
			n++
		}
	}
	return scalePeriod(p, n)
}

// fleetPeriod scales a period with the number of all daemons, for polls whose
// results are broadcast.
func (d *Daemon) fleetPeriod(p time.Duration) time.Duration {
	return scalePeriod(p, len(d.Hub.Mesh.Members()))
}

func scalePeriod(p time.Duration, n int) time.Duration {
	p = p * time.Duration(max(n, 2)) / 2
	return p*9/10 + time.Duration(rand.Int64N(int64(p)/5+1))
}

// syncConfig polls the configuration log, in case a push over the links was missed.
func (d *Daemon) syncConfig(now time.Time) time.Duration {
	ctx, cancel := context.WithTimeout(d.ctx, 2*tableTimeout)
	defer cancel()
	before := d.config.get()
	var err error
	if before.Version == 0 {
		var c *version.Config
		if c, err = d.config.log.Load(ctx); err == nil && d.config.replace(c) {
			d.onConfigChange(c, "table")
		}
	} else {
		var fresh []version.Entry
		if _, fresh, err = d.config.log.Advance(ctx, before); err == nil {
			d.applyEntries(fresh, "table")
		}
	}
	if err == nil {
		d.config.tableSynced(now)
	}
	d.updateReadiness(now)
	return d.sharedPeriod(d.Settings.Timing.Poll.Duration)
}

// applyEntries applies log entries and reports whether the version advanced.
func (d *Daemon) applyEntries(es []version.Entry, from string) bool {
	grew, _ := d.config.apply(es)
	if grew {
		d.onConfigChange(d.config.get(), from)
	}
	return grew
}

// onConfigChange updates the mesh, the services and the fleet after a version change.
func (d *Daemon) onConfigChange(c *version.Config, from string) {
	d.Hub.Mesh.SetVersion(c.Version)
	d.log.WithField("part", "config").Infof("config: version %d active, received from %s", c.Version, from)
	for _, w := range d.Server.Works.All() {
		if _, ok := c.Rows[w.Pool.Service]; !ok {
			d.Server.Works.Drop(w.Pool.Service)
		}
	}
	d.fleet.resync()
}

// isolationTimeout is how long a daemon without neighbours may lack contact with
// the table before it counts as isolated.
const isolationTimeout = 10 * time.Second

// updateReadiness updates the readiness reported to the load balancer.
func (d *Daemon) updateReadiness(now time.Time) {
	synced, have := d.config.state()
	isolated := now.Sub(synced) > isolationTimeout && d.Hub.Mesh.Neighbours() == 0
	ok := have && !d.draining.Load() && (!isolated || d.Settings.Isolated == "serve")
	if d.ready.Swap(ok) != ok {
		d.log.WithField("part", "process").Infof("ready: %t (configuration loaded: %t, isolated: %t)", ok, have, isolated)
	}
}

const (
	memberPart   = "member"
	memberPeriod = time.Minute
	seedPeriod   = 2 * time.Second
)

// syncMembers writes this daemon's member row and reads the others', so that
// daemons without neighbours can discover each other.
func (d *Daemon) syncMembers(now time.Time) time.Duration {
	ctx, cancel := context.WithTimeout(d.ctx, 2*tableTimeout)
	defer cancel()
	d.writeMember(ctx)
	if items, err := d.tables.report.Query(ctx, memberPart, "", 1000); err == nil {
		var found []conn.Member
		for _, it := range items {
			var m conn.Member
			if json.Unmarshal(it.Value, &m) == nil {
				found = append(found, m)
			}
		}
		d.Hub.Mesh.Learn(now, found)
	}
	if d.Hub.Mesh.Neighbours() == 0 {
		for _, a := range d.Settings.Peers.Seeds {
			d.Hub.Join(now, a)
		}
		return seedPeriod
	}
	return d.sharedPeriod(memberPeriod)
}

func (d *Daemon) writeMember(ctx context.Context) {
	key := seam.Key{Part: memberPart, Sort: d.Self.Name}
	it, err := d.tables.report.Get(ctx, key)
	if err != nil && err != seam.ErrNotFound {
		return
	}
	var old conn.Member
	if err == nil && json.Unmarshal(it.Value, &old) == nil && old == d.Self {
		return
	}
	v, err := json.Marshal(d.Self)
	if err == nil {
		seam.Put(ctx, d.tables.report, uuid.NewString(), seam.Write{Key: key, Rev: it.Rev, Value: v})
	}
}

// handleDelivery processes a payload received over a link.
func (d *Daemon) handleDelivery(now time.Time, in conn.Delivery) {
	p := in.Payload
	if in.Want > 0 {
		d.Hub.SendTo(in.From, d.config.entriesAfter(in.Want-1))
	}
	if p.Config != nil && d.config.replace(p.Config) {
		d.onConfigChange(d.config.get(), in.From)
	}
	if len(p.Entries) > 0 {
		d.applyEntries(p.Entries, in.From)
		// Heartbeats repair a gap: missing entries are requested from a
		// neighbour that has a newer version.
	}
	if p.Config != nil || len(p.Entries) > 0 {
		d.updateReadiness(now)
	}
	d.Server.Holds.Receive(now, in.From, p)
	d.fleet.recordNotices(now, p.Notices)
	for _, l := range p.Loads {
		d.fleet.recordLoad(now, l)
	}
	if len(p.Demands) > 0 {
		d.fleet.recordDemand(now, in.From, p.Demands)
	}
}
