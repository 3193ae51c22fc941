// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"streambend.example/clock"
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
	// rowsSettleTime is how long after it has written its row a daemon waits to read those of its zone when the
	// whole system starts for the first time: sooner it would not find its reader.
	rowsSettleTime = 100 * time.Millisecond
)

// The daemons' rows are in a part for each zone, as a part takes a limited number of writes a second, and all
// daemons may start at once. A daemon reads its own zone's; the reader of a zone reads those of all, and the others
// learn of them over the links.

// syncMembers writes this daemon's row and reads the others', so that daemons without neighbours find
// each other. Further membership changes come over the links.
func (d *Daemon) syncMembers(ctx context.Context) {
	d.connectSeeds() // before the first call to the store, which may only fail by its timeout
	written, read := false, false
	if d.Site().First {
		written = true // by writeFirstMember
		sleep(ctx, rowsSettleTime)
	} else {
		// A daemon that restarts finds its row, and need not write it.
		written = d.readZone(ctx)
		read = written
	}
	d.run(func() { d.copyFromReader(ctx) })
	for ; ctx.Err() == nil; read = false {
		if !written {
			written = d.writeMember(ctx)
		}
		alone := d.Hub.Mesh.Neighbours() == 0
		counted := d.contact.counted.Load()
		if !read && !counted {
			d.readZone(ctx)
		}
		switch {
		case !counted && (d.isReader() || clock.Since(d.began) > seedPeriod):
			d.readAllZones(ctx)
		case counted && (alone || d.isReader() || !d.largeFleet()):
			d.readNextZone(ctx)
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
func (d *Daemon) writeMember(ctx context.Context) bool { return d.applyMember(ctx) == nil }

// writeFirstMember writes this daemon's row, and reports whether it had none before. Otherwise the system has run before, although
// the settings still say that it starts for the first time. It reports false as well if the store gives no clear answer.
func (d *Daemon) writeFirstMember(ctx context.Context) bool {
	err := d.applyMember(ctx, platform.Condition{Table: memberTable, Part: d.Self.Zone, Key: d.Self.Name})
	if errors.Is(err, platform.ErrConflict) {
		d.log.WithField("part", "members").Info("not the first start of the system, as there is a row of this daemon")
	}
	return err == nil
}

// applyMember writes this daemon's row under some conditions.
func (d *Daemon) applyMember(ctx context.Context, conditions ...platform.Condition) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	v, err := json.Marshal(d.Self)
	if err == nil {
		_, err = d.store.Apply(ctx, platform.Change{If: conditions, Write: []platform.Row{{Table: memberTable, Part: d.Self.Zone, Key: d.Self.Name, Value: v}}})
	}
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		d.log.WithField("part", "members").Warnf("own member row not written: %v", err)
	}
	return err
}

// readZone reads the rows of this daemon's zone, and reports whether its own current row is among them.
func (d *Daemon) readZone(ctx context.Context) (own bool) {
	found, ok := d.readMembers(ctx, d.Self.Zone)
	if ok {
		d.contact.zoneRead.Store(true)
		d.repeats.noteRows(found)
	}
	return slices.ContainsFunc(found, func(m conn.Member) bool {
		return m.Name == d.Self.Name && m.Address == d.Self.Address && m.Zone == d.Self.Zone && m.Power == d.Self.Power
	})
}

// readAllZones reads the rows of the other zones, and of daemons that do not write theirs by zone.
func (d *Daemon) readAllZones(ctx context.Context) {
	parts, err := d.memberParts(ctx)
	if err != nil {
		d.log.WithField("part", "members").Warnf("zones of the member rows not read: %v", err)
		return
	}
	for _, part := range parts {
		if part == d.Self.Zone {
			continue
		}
		if _, ok := d.readMembers(ctx, part); !ok {
			return
		}
	}
	d.zones = parts
	if d.contact.zoneRead.Load() { // otherwise those of its own zone are missing
		d.contact.counted.Store(true)
	}
}

// readNextZone reads the rows of one zone, all in turn, so that groups of daemons that do not know each other are
// found at the cost of one call a period.
func (d *Daemon) readNextZone(ctx context.Context) {
	if len(d.zones) == 0 {
		d.zones, _ = d.memberParts(ctx) // an error is met again by the next call
		return
	}
	part := d.zones[0]
	d.zones = d.zones[1:]
	d.readMembers(ctx, part)
}

func (d *Daemon) memberParts(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	return d.store.Parts(ctx, memberTable)
}

// readMembers reads the rows of a part.
func (d *Daemon) readMembers(ctx context.Context, part string) (found []conn.Member, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	p, err := d.store.AllRows(ctx, memberTable, part)
	if err != nil {
		d.log.WithField("part", "members").Warnf("member rows not read: %v", err)
		return nil, false
	}
	for _, r := range p.Rows {
		var m conn.Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Name != r.Key || m.Address == "" {
			d.log.WithField("part", "members").Warnf("invalid member row %q ignored: %v", r.Key, err)
			continue
		}
		found = append(found, m)
	}
	d.Hub.Mesh.Learn(time.Now(), found)
	return found, true
}

// membersBeyond returns the daemons of other zones for one that knows fewer daemons than this one: those that start
// together learn of their own zone from the store, and of the others from its reader.
func (d *Daemon) membersBeyond(q freshQuery) (out []conn.Member) {
	all := d.Hub.Mesh.Members()
	if q.Zone == "" || q.Members >= len(all) {
		return nil
	}
	for _, m := range all {
		if m.Zone != q.Zone {
			out = append(out, m)
		}
	}
	return out
}
