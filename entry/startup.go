// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"streambend.example/clock"
)

const (
	// zoneReadTimeout is how long after its start a daemon waits for the rows of its zone's daemons, and for its
	// reader to tell it of the others, before it reads whole tables of the store.
	zoneReadTimeout = 300 * time.Millisecond
	// readerTimeout is how long after its start a daemon of a large fleet waits for the whole of the catalog and
	// of the list of endpoints from a reader: with 1,000 daemons that start together, their reads of a list of
	// 10,000 endpoints are 4 GB from the store. After it they read the store spread over another 4 s.
	readerTimeout = 3 * time.Second
	// startPoll is how often a daemon that starts looks whether it may read the store, and maxStartPause the longest
	// interval at which it queries its reader then: callers come back to it within some tenths of a second.
	startPoll     = 10 * time.Millisecond
	maxStartPause = 80 * time.Millisecond
)

// awaitsReader reports whether this daemon has just started and leaves the first reads of the store's tables to its
// zone's reader, or does not know yet who that is.
func (d *Daemon) awaitsReader(now time.Time) bool {
	up := now.Sub(d.began)
	switch {
	case d.catalog.get() != nil && d.runners.known():
		return false
	case !d.contact.zoneRead.Load():
		return up < zoneReadTimeout
	case !d.contact.counted.Load() && up < zoneReadTimeout:
		return !d.isReader() && d.readerTurn.Failed() < len(d.roster().Asked) // this may be one of many
	}
	spread := time.Duration(daemonNumber(d.Self.Name)) // up to 4.3 s
	return d.reliesOnReaders() && up < readerTimeout+spread
}

// reliesOnReaders reports whether readers read the store for this daemon.
func (d *Daemon) reliesOnReaders() bool {
	return d.largeFleet() && !d.isReader() && d.readerTurn.Failed() < len(d.roster().Asked)
}

// syncAtStart queries readers in turn, its own zone's first, until one has reported the time of day and, in a
// large fleet, admissions and bucket levels, so that a daemon has them by the time it is ready. It waits
// until the daemon has the catalog and the endpoints, which are needed first (copyFromReader).
func (d *Daemon) syncAtStart(ctx context.Context) {
	if d.Site().First {
		return
	}
	asked := 0
	for pause := startPause; ctx.Err() == nil && clock.Since(d.began) < manyPause && !d.contact.levelsKnown.Load(); sleep(ctx, pause) {
		readers := d.roster().Asked
		if d.catalog.get() == nil || !d.runners.known() || len(readers) == 0 {
			continue
		}
		name := readers[asked%len(readers)]
		d.run(func() { d.syncWithPeer(ctx, name) })
		asked++
		pause *= 2
	}
}

// copyFromReader queries the zone's reader often until this daemon knows the daemons of all zones, the catalog and
// the endpoints, but not for longer than it waits for the reader.
func (d *Daemon) copyFromReader(ctx context.Context) {
	for pause := startPause; ctx.Err() == nil && clock.Since(d.began) < readerTimeout; pause = min(2*pause, maxStartPause) {
		if d.contact.counted.Load() && d.catalog.get() != nil && d.runners.known() {
			return
		}
		if r := d.roster(); r.Known && r.Reader.Name != d.Self.Name {
			d.syncWithPeer(ctx, r.Reader.Name)
		}
		sleep(ctx, pause)
	}
}
