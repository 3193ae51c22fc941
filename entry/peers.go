// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/platform"
)

const (
	// peerPause is the time between two questions to other daemons for what they
	// have read of the store, and manyPause the same where the daemons are many
	// and a reader answers some twenty. Both leave a daemon far below peerAge.
	peerPause = 300 * time.Millisecond
	manyPause = 450 * time.Millisecond
	// quickPause is the time between two questions where the daemons are many and the
	// sooner they hear of each other the less they admit beyond a team's limit: while some
	// team is near its limit, and for youngFor after a start, before which nothing is
	// known. 60 daemons let 1,033 and 1,099 requests through in 8 s for a team at 6 and 9
	// times its limit, of 1,025 allowed, with manyPause, and 853 to 888 with this. 60 that
	// start anew every 2 s, asked for four times a limit, let 1,076 to 1,188 through of the 900
	// allowed in 8 s, and 1,423 with manyPause.
	quickPause = 150 * time.Millisecond
	youngFor   = 2 * time.Second
	// startPause is the time until a daemon that has started anew asks again as long as
	// nobody has told it what is admitted, doubled each time up to the usual one: until
	// then it may use its own part of each limit only, and of 120 that started together
	// all requests of the first half second were refused, with the usual pause alone.
	startPause = 20 * time.Millisecond
	// peerAge is the age of the catalog or of the list of endpoints from which a
	// daemon reads the store itself, at the latest, although others should do so for
	// it. What comes through a reader is no older than a feed's wait and a round of
	// questions, and a weak box may be late to ask.
	peerAge = 2 * time.Second
	// peerLimit is how long an answer may take.
	peerLimit = 700 * time.Millisecond
	// slowAnswer is from when on an answer is told of in the log: half of peerLimit.
	slowAnswer = peerLimit / 2
)

// askFresh is the question between daemons for what the store holds.
const askFresh = "fresh"

// freshQuestion says what the asker has.
type freshQuestion struct {
	Catalog int64    `codec:"c"`           // version of its catalog
	Runners int64    `codec:"r"`           // the store's version of its endpoints
	Fetch   bool     `codec:"f,omitempty"` // it wants the next piece of a newer catalog
	Got     progress `codec:"g"`           // what it has of one

	Tally   *conn.Tally `codec:"t,omitempty"` // the asker's own, where the daemons are many
	Started bool        `codec:"l,omitempty"` // it has just started, and wants to know the time of day and what the teams' limits hold
}

// freshAnswer brings the asker up to the answerer's state.
type freshAnswer struct {
	Known   bool          `codec:"k"`
	Empty   bool          `codec:"z,omitempty"` // the answerer reads the store, and there is no configuration in it yet
	Failing bool          `codec:"f,omitempty"` // the answerer reads the store, and it fails
	Age     time.Duration `codec:"a"`           // of the answerer's knowledge
	Catalog int64         `codec:"c"`
	At      int64         `codec:"p"`           // the store's version up to which that is the newest
	Piece   *piece        `codec:"v,omitempty"` // of a newer one
	Fetched bool          `codec:"d,omitempty"` // the asker wanted a piece
	Runners int64         `codec:"r"`
	Listed  time.Duration `codec:"l"`           // age of the answerer's list of endpoints
	Entries []entryRow    `codec:"e,omitempty"` // the endpoints that have changed since the asker's version
	Whole   bool          `codec:"h,omitempty"` // they are all endpoints
	Orders  []orderWord   `codec:"o,omitempty"` // to move services to a version, as of the catalog
	Daemons int           `codec:"n,omitempty"` // how many daemons the answerer knows of; 0 until it has counted them

	Source string           `codec:"s,omitempty"` // the answerer's start
	Flow   map[string]int64 `codec:"w,omitempty"` // what others admit, by team, since then
	Levels map[string]int64 `codec:"q,omitempty"` // what each team's limit holds, by team, if asked
	Day    int64            `codec:"y,omitempty"` // the time of day if asked, Unix nanoseconds; 0 if the answerer has just started too
}

type entryRow struct {
	ID    string `codec:"i"`
	Value []byte `codec:"v,omitempty"`
	Gone  bool   `codec:"g,omitempty"`
}

// readsStore reports whether this daemon reads the store itself: it is its
// zone's reader, all readers fail, or what it hears from others is too old.
func (d *Daemon) readsStore(now time.Time) bool {
	if d.catalog.get() == nil && d.contact.readerWaits(now) {
		return d.isReader()
	}
	return d.behind(now) || d.isReader() || d.readerTurn.Failed() >= len(d.roster().Asked)
}

// askPause is the time between two questions to other daemons.
func (d *Daemon) askPause(now time.Time) time.Duration {
	switch {
	case !d.many():
		return peerPause
	case now.Sub(d.began) < youngFor && (!d.Site().First || d.catalog.get() == nil) || d.quotas.Short(now):
		return quickPause
	}
	return manyPause
}

// askEarly asks readers in turn, its own zone's first, until one has told the time of day
// and, where the daemons are many, what others admit and what the teams' limits hold, so
// that a daemon knows by the time it is ready. It does not ask before it has a catalog and
// endpoints of its own, which the store gives to all at once and a reader on one link to
// each in turn.
func (d *Daemon) askEarly(ctx context.Context) {
	if d.Site().First {
		return
	}
	asked := 0
	for pause := startPause; ctx.Err() == nil && clock.Since(d.began) < manyPause && !d.contact.levelled.Load(); sleep(ctx, pause) {
		readers := d.roster().Asked
		if d.catalog.get() == nil || !d.runners.known() || len(readers) == 0 {
			continue
		}
		name := readers[asked%len(readers)]
		d.run(func() { d.askPeer(ctx, name) })
		asked++
		pause *= 2
	}
}

// askPeers asks a reader, unless this daemon reads the store with success.
func (d *Daemon) askPeers(ctx context.Context, now time.Time) {
	old := d.behind(now)
	if d.isReader() && !old {
		if d.feedsDown.Load() > 0 {
			d.askWitnesses(ctx, "")
		}
		return
	}
	if readers := d.roster().Asked; len(readers) > 0 {
		at := d.readerTurn.Next(len(readers))
		d.run(func() {
			w := d.askPeer(ctx, readers[at])
			d.hearReader(at, readers[at], w)
			if w != ReaderWell && w != ReaderEmpty {
				d.askWitnesses(ctx, readers[at])
			}
		})
	} else {
		d.askWitnesses(ctx, "")
	}
	others := d.others()
	if !old || len(others) == 0 {
		return
	}
	// Each in turn, as whoever is cut off may be so with its zone; from a place of
	// one's own, or all that are behind ask the same daemon at once.
	d.asked++
	m := others[(d.asked+int(daemonNumber(d.Self.Name)%uint32(len(others))))%len(others)]
	d.run(func() { d.askPeer(ctx, m.Name) })
}

// askWitnesses asks at once those that can say whether the store fails everybody,
// but for one that has just been asked.
func (d *Daemon) askWitnesses(ctx context.Context, but string) {
	for _, name := range d.roster().Witness {
		if name != but {
			d.run(func() { d.askPeer(ctx, name) })
		}
	}
}

// hearReader takes in the word of a reader. That the store fails readers says
// nothing of what has lapsed there, as just they may be cut off; once all fail,
// this daemon reads for itself and sees. That one does well ends an outage which
// this daemon has had.
func (d *Daemon) hearReader(at int, name string, w ReaderWord) {
	if d.readerTurn.Heard(at, w) {
		d.log.WithFields(logrus.Fields{
			"part": "peers", "reader": name, "word": w.String(), "failed_in_a_row": d.readerTurn.Failed(),
		}).Info("another reader is asked from now on")
	}
	if w == ReaderWell {
		d.runners.storeBack(clock.Now())
	}
}

// askPeer asks one daemon, and returns what it says of its reading. If it has a newer
// catalog it is asked for that, piece after piece; one daemon at a time is, as a link
// has room for one.
func (d *Daemon) askPeer(ctx context.Context, name string) ReaderWord {
	fetch := false
	for {
		w, more := d.hearPeer(ctx, name, fetch)
		d.outage.Hear(name, w)
		if !more || ctx.Err() != nil {
			return w.Reader
		}
		if !fetch {
			if !d.fetching.TryLock() {
				return w.Reader
			}
			defer d.fetching.Unlock()
			fetch = true
		}
	}
}

// hearPeer asks one daemon and takes its answer in. It returns what came of that, and
// whether the daemon has more of a newer catalog.
func (d *Daemon) hearPeer(ctx context.Context, name string, fetch bool) (w Word, more bool) {
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	q := freshQuestion{Runners: d.runners.current(), Fetch: fetch, Got: d.coming.progress()}
	q.Started = !d.Site().First && !d.contact.levelled.Load()
	if c := d.catalog.get(); c != nil {
		q.Catalog = c.Version
	}
	if d.many() {
		t := d.tallies.Own()
		q.Tally = &t
	}
	sent := clock.Now()
	w = Word{Reader: ReaderSilent, Asked: sent}
	b, err := d.Hub.Ask(ctx, name, askFresh, conn.Marshal(q))
	d.logAnswer(name, clock.Since(sent), len(b), err)
	if err != nil {
		return w, false // the next round asks again, or another
	}
	var a freshAnswer
	if err := conn.Unmarshal(b, &a); err != nil {
		d.log.WithField("part", "peers").Warnf("answer of %s: %v", name, err)
		return w, false
	}
	if a.Known {
		more = d.takeFresh(sent, name, a)
	}
	if _, known := d.Hub.Mesh.Counts(); a.Daemons > 0 && known >= a.Daemons {
		d.contact.counted.Store(true) // the links have brought all that the other has counted
	}
	if q.Started && (len(a.Levels) > 0 || q.Tally == nil) && !d.contact.levelled.Swap(true) {
		d.begin(sent, a)
	}
	if a.Source != "" {
		d.heard(clock.Now())
		if !d.isReader() {
			d.tallies.CountedElsewhere()
		}
		d.chargeAll(clock.Now(), d.flow.Take(clock.Now(), a.Source, a.Flow))
	}
	if a.Known {
		w.Catalog, w.Listed = sent.Add(-a.Age), sent.Add(-a.Listed)
		w.Reader = ReaderWell // else it has just started
	}
	if a.Empty {
		w.Reader = ReaderEmpty
		d.contact.hearEmpty(clock.Now())
	}
	if a.Failing {
		w.Reader = ReaderFailing
	}
	return w, more
}

// settledAfter is how long after its start a daemon tells others the time of day: by then
// one that has run for longer has told it, or none has.
const settledAfter = 10 * time.Second

// begin takes over what a daemon that has been at work tells one that has just started.
func (d *Daemon) begin(sent time.Time, a freshAnswer) {
	now := clock.Now()
	d.quotas.Adopt(now, d.teams(), a.Levels)
	if a.Day != 0 {
		d.wall.Tell(now, time.Unix(0, a.Day).Add(now.Sub(sent)/2))
	}
}

// logAnswer tells of an answer of another daemon that failed or came late.
func (d *Daemon) logAnswer(name string, took time.Duration, size int, err error) {
	d.meters.asked.Update(took.Milliseconds())
	if err == nil && took < slowAnswer {
		return
	}
	d.log.WithFields(logrus.Fields{
		"part": "peers", "peer": name, "took_ms": took.Milliseconds(), "bytes": size, "error": err,
	}).Info("another daemon's answer is late or missing")
}

// takeFresh takes an answer in, and reports whether more of its catalog is to come.
func (d *Daemon) takeFresh(sent time.Time, name string, a freshAnswer) (more bool) {
	d.rollouts.hearAll(sent, a.At, a.Orders)
	if a.Piece == nil {
		c := d.catalog.get()
		more = !a.Fetched && (c == nil || c.Version < a.Catalog)
	} else {
		value, rest, err := d.coming.add(a.Piece)
		if err == nil && value != nil {
			err = d.catalog.adopt(value, name)
		}
		if err != nil {
			d.log.WithField("part", "catalog").Warnf("catalog of %s: %v", name, err)
		}
		more = rest && err == nil
	}
	if a.Runners > d.runners.current() {
		rows := make([]platform.Row, 0, len(a.Entries))
		for _, e := range a.Entries {
			rows = append(rows, platform.Row{Table: platform.RunnerTable, Key: e.ID, Value: e.Value, Removed: e.Gone})
		}
		d.runners.take(clock.Now(), a.Runners, rows, a.Whole)
	}
	if d.runners.current() >= a.Runners {
		d.runners.fresh.Peer(sent, a.Listed)
	}
	if c := d.catalog.get(); c != nil && c.Version >= a.Catalog {
		d.catalog.fresh.Peer(sent, a.Age)
		d.catalog.readTo(a.At)
	}
	return more
}

// answerFresh answers another daemon's question.
func (d *Daemon) answerFresh(body []byte) ([]byte, error) {
	var q freshQuestion
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	var a freshAnswer
	if q.Tally != nil {
		d.takeTallies(clock.Now(), q.Tally.Daemon, []conn.Tally{*q.Tally})
		a.Source, a.Flow = instanceOf(d.Self), d.tallies.Flow(q.Tally.Daemon)
		if q.Started {
			a.Levels = d.quotas.Levels(clock.Now(), d.teams(), d.share())
		}
	}
	if now := clock.Now(); q.Started && now.Sub(d.began) > settledAfter {
		a.Day = d.wall.At(now).UnixNano()
	}
	if d.fleet().Counted {
		_, a.Daemons = d.Hub.Mesh.Counts()
	}
	now := clock.Now()
	age, ok := d.catalog.fresh.Age(now) // before the state is read, so that it is not newer than that
	listed, _ := d.runners.fresh.Age(now)
	a.At = d.catalog.at.Load()
	f := d.catalog.cur.Load()
	if f == nil || !ok || !d.runners.known() {
		a.Empty = f == nil && d.catalog.empty(now)
		return conn.Marshal(a), nil
	}
	a.Known, a.Failing, a.Age, a.Listed, a.Catalog = true, d.feedsDown.Load() > 0, age, listed, f.catalog.Version
	a.Orders = d.rollouts.words(now, true)
	a.Fetched = q.Fetch
	if q.Fetch && a.Catalog > q.Catalog {
		var err error
		if a.Piece, err = d.shelf.next(f, q.Got); err != nil {
			return nil, err
		}
	}
	var rows []platform.Row
	a.Runners, rows, a.Whole = d.runners.since(q.Runners)
	for _, r := range rows {
		a.Entries = append(a.Entries, entryRow{r.Key, r.Value, r.Removed})
	}
	return conn.Marshal(a), nil
}
