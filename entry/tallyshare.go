// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"streambend.example/clock"
	"streambend.example/conn"
)

// Few daemons send their tallies to each other over their links. Where they are
// many, each gives its own to its zone's reader with its question for what is
// new, and gets in return what all others were heard to admit; the readers
// ask each other what their zones have counted.

// fullMesh is up to how many daemons each tells all others: then a word comes at
// once, and costs a daemon no more than 11 short frames.
const fullMesh = 12

const (
	// askCounts is the question between readers for what the daemons that tell the other
	// have counted since the last one. All readers hear each other, and to pass on what
	// others have said as well cost each of six readers 36 KB a second for 60 daemons of
	// one team, and 12 KB without. With 40 teams and whole tallies both ways it sent 162 KB
	// in questions and answers; what has changed since the asker's last question is 21 KB.
	askCounts = "counts"
	// askTallies is the same of a reader that runs the version before: it brings whole
	// tallies and is answered with such, so that limits hold while a fleet is replaced.
	askTallies = "tallies"
	// detourFor is how long after a failed question another reader is taken not to be
	// heard: four exchanges.
	detourFor = 4 * gossipPeriod
)

// many reports whether the daemons are too many for each to tell all others.
func (d *Daemon) many() bool { return len(d.Hub.Mesh.Members()) > fullMesh }

// isReader reports whether this daemon is its zone's reader.
func (d *Daemon) isReader() bool {
	r := d.roster()
	return !r.Known || r.Reader.Name == d.Self.Name
}

// countRunning brings this daemon's tally of what it runs up to date.
func (d *Daemon) countRunning() {
	running := make(map[string]int)
	for _, k := range d.Server.Works.All() {
		if n := k.Pool.InFlight(); n > 0 {
			running[k.Pool.Service] = n
		}
	}
	d.rollouts.countOld(running)
	d.tallies.SetRunning(running)
}

// gossipPause is the time until tallies are exchanged again.
func (d *Daemon) gossipPause(now time.Time) time.Duration {
	if d.many() && d.quotas.Short(now) {
		return quickGossip
	}
	return gossipPeriod
}

// gossip tells others of the tallies that are news to them.
func (d *Daemon) gossip(now time.Time) {
	d.countRunning()
	if !d.many() {
		for _, name := range d.Hub.Mesh.NeighbourNames() {
			if news := d.tallies.News(name, ScopeAll); len(news) > 0 {
				d.Hub.Give(name, conn.Payload{Tallies: news})
			}
		}
		return
	}
	if !d.isReader() {
		return
	}
	for i, name := range d.roster().Beyond {
		scope := d.tallyScope(now, i)
		d.run(func() { d.pullTallies(name, scope) })
	}
}

// tallyQuestion asks a reader what has changed.
type tallyQuestion struct {
	Source string `codec:"s"` // the start of that reader by whose numbers Edit counts
	Edit   uint64 `codec:"e"` // up to which it has told
	Scope  Scope  `codec:"o,omitempty"`
}

// tallyAnswer tells what has changed.
type tallyAnswer struct {
	Source  string       `codec:"s"`
	Edit    uint64       `codec:"e"`
	Tallies []conn.Tally `codec:"t,omitempty"`
}

// tallyFeed is what one reader tells of some scope.
type tallyFeed struct {
	reader string
	scope  Scope
}

// tallyFeeds keeps how far each reader has told this daemon. Each scope is told apart: of
// what was not in it nothing was told. The zero value is ready.
type tallyFeeds struct {
	mu sync.Mutex
	at map[tallyFeed]tallyQuestion
}

// next returns the next question of a feed.
func (t *tallyFeeds) next(f tallyFeed) tallyQuestion {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.at[f]
	q.Scope = f.scope
	return q
}

// told takes in how far a feed has been told.
func (t *tallyFeeds) told(f tallyFeed, q tallyQuestion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = make(map[tallyFeed]tallyQuestion)
	}
	t.at[f] = q
}

// begun reports whether any feed has been told.
func (t *tallyFeeds) begun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.at) > 0
}

// tallyScope returns of whose tallies the reader at a place among the others is asked: of
// all if some reader does not answer, and of one reader at first, since a reader that
// begins may follow one that was told what no daemon tells any more.
func (d *Daemon) tallyScope(now time.Time, place int) Scope {
	if d.contact.readerMissing(now) || place == 0 && !d.feeds.begun() {
		return ScopeAll
	}
	return ScopeDirect
}

// pullTallies asks the reader of another zone what has been counted since its last answer
// that came.
func (d *Daemon) pullTallies(name string, of Scope) {
	ctx, cancel := context.WithTimeout(d.ctx, peerLimit)
	defer cancel()
	feed := tallyFeed{name, of}
	b, err := d.Hub.Ask(ctx, name, askCounts, conn.Marshal(d.feeds.next(feed)))
	if err != nil {
		d.contact.loseReader(clock.Now())
		return
	}
	var a tallyAnswer
	if err := conn.Unmarshal(b, &a); err != nil {
		d.log.WithField("part", "tallies").Warnf("of %s: %v", name, err)
		return
	}
	next := tallyQuestion{Source: a.Source, Edit: a.Edit}
	if !d.takeTallies(clock.Now(), "", a.Tallies) {
		next = tallyQuestion{} // all of it is needed anew
	}
	d.feeds.told(feed, next)
}

// answerTallies answers another reader.
func (d *Daemon) answerTallies(body []byte) ([]byte, error) {
	var q tallyQuestion
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	a := tallyAnswer{Source: instanceOf(d.Self)}
	if q.Source != a.Source {
		q.Edit = 0
	}
	a.Edit, a.Tallies = d.tallies.Since(q.Edit, q.Scope)
	return conn.Marshal(a), nil
}

// answerWholeTallies answers a reader of the version before, whose questions pass both
// ways what is to be told.
func (d *Daemon) answerWholeTallies(from string, body []byte) ([]byte, error) {
	var in []conn.Tally
	if err := conn.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	d.takeTallies(clock.Now(), from, in)
	return conn.Marshal(d.tallies.News(from, ScopeDirect)), nil
}

// takeTallies takes tallies in and charges the teams for what is new. It reports whether
// all could be taken in.
func (d *Daemon) takeTallies(now time.Time, from string, in []conn.Tally) (whole bool) {
	d.heard(now)
	admitted, whole := d.tallies.Hear(now, from, in)
	d.chargeAll(now, admitted)
	return whole
}

func (d *Daemon) chargeAll(now time.Time, in []Admitted) {
	for _, a := range in {
		d.charge(now, a.Team, a.Units)
	}
}

func (d *Daemon) charge(now time.Time, team string, units int64) {
	if c := d.catalog.get(); c != nil {
		if t := c.TenantNamed(team); t != nil {
			d.quotas.Others(now, t, float64(units), d.share())
		}
	}
}
