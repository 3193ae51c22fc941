// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"time"

	"streambend.example/conn"
	"streambend.example/platform"
)

const (
	// memberTable is the store table of the daemons.
	memberTable = "streambend-daemons"
	// memberPeriod is how often a reader reads the daemons' rows while it has neighbours, in case two
	// groups of daemons do not know each other. seedPeriod is how often a daemon without neighbours
	// reads them.
	memberPeriod = 15 * time.Second
	seedPeriod   = time.Second
)

// syncMembers writes this daemon's row and reads the others', so that daemons without neighbours find
// each other. Further membership changes come over the links.
func (d *Daemon) syncMembers(ctx context.Context) {
	d.connectSeeds() // before the first call to the store, which may only fail by its timeout
	// A daemon that restarts finds its row, and need not write it.
	written := !d.Site().First && d.readMembers(ctx)
	for read := written; ctx.Err() == nil; read = false {
		if !written {
			written = d.writeMember(ctx)
		}
		alone := d.Hub.Mesh.Neighbours() == 0
		if !read && (alone || !d.largeFleet() || d.isReader() || !d.contact.counted.Load()) {
			d.readMembers(ctx)
		}
		pause := memberPeriod
		if alone {
			d.connectSeeds()
			pause = seedPeriod
		}
		if !written || !d.contact.counted.Load() {
			pause = seedPeriod
		}
		sleep(ctx, pause)
	}
}

// connectSeeds opens links to the daemons that the settings name.
func (d *Daemon) connectSeeds() {
	for _, a := range d.Site().Seeds {
		d.Hub.Join(time.Now(), a)
	}
}

// writeMember writes this daemon's row, and reports whether that succeeded.
func (d *Daemon) writeMember(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	v, err := json.Marshal(d.Self)
	if err == nil {
		_, err = d.store.Apply(ctx, platform.Change{Write: []platform.Row{{Table: memberTable, Key: d.Self.Name, Value: v}}})
	}
	if err != nil {
		d.log.WithField("part", "members").Warnf("own member row not written: %v", err)
	}
	return err == nil
}

// readMembers reads the daemons' rows, and reports whether this daemon's current row is among them.
func (d *Daemon) readMembers(ctx context.Context) (own bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	p, err := d.store.Rows(ctx, memberTable, "", "")
	if err != nil {
		d.log.WithField("part", "members").Warnf("member rows not read: %v", err)
		return false
	}
	var found []conn.Member
	for _, r := range p.Rows {
		var m conn.Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Name != r.Key || m.Address == "" {
			d.log.WithField("part", "members").Warnf("invalid member row %q ignored: %v", r.Key, err)
			continue
		}
		found = append(found, m)
		own = own || m.Name == d.Self.Name && m.Address == d.Self.Address && m.Zone == d.Self.Zone && m.Power == d.Self.Power
	}
	d.Hub.Mesh.Learn(time.Now(), found)
	d.contact.counted.Store(true)
	return own
}
