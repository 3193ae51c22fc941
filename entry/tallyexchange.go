// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/quota"
)

// In a small fleet, each daemon sends its tally to its neighbours over their links. In a large fleet, each
// daemon sends its own to its zone's reader with its periodic query for changes, and receives the sum of
// what all others are known to have admitted; the readers query each other for the counts of their zones.

// fullMesh is the largest fleet in which each daemon sends its tally to all others: an update then arrives
// at once, and costs a daemon at most 11 short frames.
const fullMesh = quota.SmallFleet

const (
	// askCounts is a reader's query for the counts that changed since its previous query, of the daemons that
	// report to the queried reader. All readers query each other, so tallies of other zones are left out: for
	// 60 daemons of one team, including them cost each of six readers 36 KB/s instead of 12 KB/s. With 40 teams,
	// full tallies both ways took 162 KB in queries and answers; sending only changes takes 21 KB.
	askCounts = "counts"
	// askTallies is the same query from a reader of the previous software version: query and answer hold full
	// tallies. It keeps limits enforced while a fleet is upgraded.
	askTallies = "tallies"
	// readerLossTTL is how long after a failed query another reader counts as unreachable: four exchanges.
	readerLossTTL = 4 * gossipPeriod
)

// largeFleet reports whether the fleet is too large for each daemon to send its tally to all others.
func (d *Daemon) largeFleet() bool { return len(d.Hub.Mesh.Members()) > fullMesh }

// isReader reports whether this daemon is its zone's reader.
func (d *Daemon) isReader() bool {
	r := d.roster()
	return !r.Known || r.Reader.Name == d.Self.Name
}

// countRunning updates the running requests in this daemon's tally.
func (d *Daemon) countRunning() {
	running := make(map[string]int)
	for _, k := range d.Server.Works.All() {
		if n := k.Pool.InFlight(); n > 0 {
			running[k.Pool.Service] = n
		}
	}
	d.rollouts.countOldVersions(running)
	d.tallies.SetRunning(running)
}

// gossipPause returns the time until tallies are exchanged again.
func (d *Daemon) gossipPause(now time.Time) time.Duration {
	if d.largeFleet() && d.quotas.NearLimit(now) {
		return fastGossipPeriod
	}
	return gossipPeriod
}

// gossip sends tallies to neighbours that lack them, or, as a reader of a large fleet, queries other readers.
func (d *Daemon) gossip(now time.Time) {
	d.countRunning()
	d.secondRuns.updateOwn(now)
	if !d.largeFleet() {
		for _, name := range d.Hub.Mesh.NeighbourNames() {
			if news := d.tallies.Unsent(name, ScopeAll); len(news) > 0 {
				d.Hub.SendTo(name, conn.Payload{Tallies: news})
			}
		}
		return
	}
	if !d.isReader() {
		d.feeds.reset()
		return
	}
	for i, name := range d.roster().Beyond {
		scope := d.tallyScope(now, i)
		d.run(func() { d.pullTallies(name, scope) })
	}
}

// tallyQuery asks a reader for the changes since an edit.
type tallyQuery struct {
	Source string `codec:"s"` // the reader's process that Edit refers to
	Edit   uint64 `codec:"e"` // last change that the asker has received
	Scope  Scope  `codec:"o,omitempty"`
}

// tallyReply holds the changed tallies.
type tallyReply struct {
	Source  string       `codec:"s"`
	Edit    uint64       `codec:"e"`
	Tallies []conn.Tally `codec:"t,omitempty"`
}

// tallyFeed identifies a sequence of answers: of one reader, in one scope.
type tallyFeed struct {
	reader string
	scope  Scope
}

// tallyFeeds holds the position reached with each reader. Scopes have positions of their own, since a
// narrower scope leaves tallies out. The zero value is ready to use.
type tallyFeeds struct {
	mu sync.Mutex
	at map[tallyFeed]tallyQuery
}

// next returns the next query of a feed.
func (t *tallyFeeds) next(f tallyFeed) tallyQuery {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.at[f]
	q.Scope = f.scope
	return q
}

// advance records the position that an answer of a feed reached.
func (t *tallyFeeds) advance(f tallyFeed, q tallyQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = make(map[tallyFeed]tallyQuery)
	}
	t.at[f] = q
}

// reset forgets the positions.
func (t *tallyFeeds) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.at)
}

// started reports whether any feed has been answered.
func (t *tallyFeeds) started() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.at) > 0
}

// tallyScope returns the scope for a query to the reader at a place among the others. It is all tallies if
// some reader is unreachable, and for one reader once this daemon has become one: the previous reader of this zone may have
// held tallies of daemons that no longer send their own.
func (d *Daemon) tallyScope(now time.Time, place int) Scope {
	if d.contact.readerMissing(now) || place == 0 && !d.feeds.started() {
		return ScopeAll
	}
	return ScopeDirect
}

// pullTallies queries the reader of another zone for what changed since its last answer.
func (d *Daemon) pullTallies(name string, of Scope) {
	ctx, cancel := context.WithTimeout(d.ctx, peerTimeout)
	defer cancel()
	feed := tallyFeed{name, of}
	b, err := d.Hub.Ask(ctx, name, askCounts, conn.Marshal(d.feeds.next(feed)))
	if err != nil {
		d.contact.recordReaderFailure(clock.Now())
		return
	}
	var a tallyReply
	if err := conn.Unmarshal(b, &a); err != nil {
		d.log.WithField("part", "tallies").Warnf("invalid tallies from %s: %v", name, err)
		return
	}
	next := tallyQuery{Source: a.Source, Edit: a.Edit}
	if !d.takeTallies(clock.Now(), "", a.Tallies) {
		next = tallyQuery{} // a full answer is needed
	}
	d.feeds.advance(feed, next)
}

// answerTallies answers another reader's query.
func (d *Daemon) answerTallies(body []byte) ([]byte, error) {
	var q tallyQuery
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	a := tallyReply{Source: instanceOf(d.Self)}
	if q.Source != a.Source {
		q.Edit = 0
	}
	a.Edit, a.Tallies = d.tallies.Since(q.Edit, q.Scope)
	return conn.Marshal(a), nil
}

// answerWholeTallies answers a reader of the previous software version, which sends its own news with the
// query.
func (d *Daemon) answerWholeTallies(from string, body []byte) ([]byte, error) {
	var in []conn.Tally
	if err := conn.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	d.takeTallies(clock.Now(), from, in)
	return conn.Marshal(d.tallies.Unsent(from, ScopeDirect)), nil
}

// takeTallies merges tallies and charges the teams for new admissions. It reports whether all could be
// merged.
func (d *Daemon) takeTallies(now time.Time, from string, in []conn.Tally) (whole bool) {
	d.recordAdmissionReport(now)
	admitted, whole := d.tallies.Merge(now, from, in)
	d.chargeAll(now, admitted)
	return whole
}

func (d *Daemon) chargeAll(now time.Time, in []quota.Admitted) {
	for _, a := range in {
		d.charge(now, a)
	}
}

func (d *Daemon) charge(now time.Time, a quota.Admitted) {
	if c := d.catalog.get(); c != nil {
		if t := c.TenantNamed(a.Team); t != nil {
			d.quotas.ChargeRemote(now, a.Daemon, limitOf(t), float64(a.Units), d.share())
		}
	}
}
