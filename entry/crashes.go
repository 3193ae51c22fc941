// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/request"
)

// Daemons report requests under which endpoints crash to those that evaluate them: to all in a small fleet,
// to the zones' readers in a large one. At most a dozen readers then receive each report, instead of every
// daemon over each of its sixteen links. The resulting decisions go to all daemons.

// holdsInterval is the interval at which neighbours are sent the held requests again. A daemon that was cut
// off has them by the time it counts as reachable, after 3 s.
const holdsInterval = time.Second

func (d *Daemon) holdShare() request.HoldTransport {
	return request.HoldTransport{
		Partial: d.largeFleet, Collects: d.collectsCrashes, AwaitKnown: !d.Site().First,
		ReportEnd: d.sendCrash, Forward: d.forwardCrash, Table: d.table, WallClock: func(now time.Time) time.Time { return d.wall.At(now) },
		Broadcast:      func(p conn.Payload) { d.Hub.Broadcast(p) },
		SendNeighbours: func(p conn.Payload) { d.sendToAll(d.Hub.Mesh.NeighbourNames(), p) },
	}
}

// sendCrash sends the crash of an endpoint to the daemons that evaluate it.
func (d *Daemon) sendCrash(p conn.Payload) {
	r := d.roster()
	switch {
	case !d.largeFleet():
		d.sendToAll(d.Hub.Mesh.NeighbourNames(), p)
	case d.isReader():
		d.sendToAll(r.Beyond, p)
	default:
		d.Hub.SendTo(r.Reader.Name, p)
	}
}

// collectsCrashes reports whether the crashes that other daemons detect are sent to this daemon.
func (d *Daemon) collectsCrashes() bool { return !d.largeFleet() || d.isReader() }

// forwardCrash forwards crash reports from a daemon of this reader's zone.
func (d *Daemon) forwardCrash(from string, p conn.Payload) {
	if d.largeFleet() && d.isReader() && d.inZone(from) {
		d.sendToAll(d.roster().Beyond, conn.Payload{Crashes: p.Crashes})
	}
}

func (d *Daemon) sendToAll(names []string, p conn.Payload) {
	for _, name := range names {
		d.Hub.SendTo(name, p)
	}
}

// loadHolds reads the held requests from the store: once after a start, when this daemon knows whether it is a
// reader, and repeatedly while it reaches too few others to receive them. In a large fleet the readers inform
// the rest.
func (d *Daemon) loadHolds(ctx context.Context) {
	// When the whole system starts there is nothing to read yet.
	for due := !d.Site().First; ctx.Err() == nil; sleep(ctx, holdsInterval) {
		for due && ctx.Err() == nil && !d.contact.counted.Load() {
			sleep(ctx, tickPeriod)
		}
		switch {
		case due && (!d.largeFleet() || d.isReader()), d.fleet().InMinority():
			due = !d.Server.Holds.LoadVerdicts(ctx) && due
		default:
			due = false
		}
	}
}

const (
	// askHolds asks a daemon for the requests that are held back.
	askHolds = "holds"
	// holdsAskTimeout is the timeout of that query.
	holdsAskTimeout = 200 * time.Millisecond
)

// askForHolds asks neighbours for the requests that are held back, until this daemon knows them: it may be sent requests
// before it can read the store.
func (d *Daemon) askForHolds(ctx context.Context) {
	for ; ctx.Err() == nil && !d.Server.Holds.Known(); sleep(ctx, startPoll) {
		for _, name := range d.Hub.Mesh.NeighbourNames() {
			if d.Server.Holds.Known() || d.askHoldsOf(ctx, name) {
				break
			}
		}
	}
}

// askHoldsOf asks one daemon, and reports whether it knew all.
func (d *Daemon) askHoldsOf(ctx context.Context, name string) (known bool) {
	ctx, cancel := context.WithTimeout(ctx, holdsAskTimeout)
	defer cancel()
	body, err := d.Hub.Ask(ctx, name, askHolds, nil)
	if err != nil {
		return false // the next one may know; a daemon of the version before does not answer this
	}
	known, err = d.Server.Holds.ApplyState(clock.Now(), name, body)
	if err != nil {
		d.log.WithField("part", "crash").Warnf("invalid list of held requests from %s: %v", name, err)
	}
	if known {
		d.Server.Holds.SetKnown()
	}
	return known
}
