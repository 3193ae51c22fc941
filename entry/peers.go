// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/outage"
	"streambend.example/platform"
)

const (
	// peerPause is the interval of queries to other daemons for what they have read from the store;
	// manyPause is the same in a large fleet, where a reader answers some twenty daemons. Both are far below
	// peerAge.
	peerPause = 300 * time.Millisecond
	manyPause = 450 * time.Millisecond
	// quickPause is the interval in a large fleet while some team is near its limit, and for startupPeriod after
	// a start, before which nothing is known: the sooner daemons learn of each other's admissions, the less
	// exceeds a limit. For a team at 6 and 9 times its limit, 60 daemons admitted 1,033 and 1,099 requests in
	// 8 s with manyPause, of 1,025 allowed, and 853 to 888 with quickPause. At four times a limit, 60 daemons
	// that restart every 2 s admitted 1,076 to 1,188 of 900 allowed in 8 s, and 1,423 with manyPause.
	quickPause    = 150 * time.Millisecond
	startupPeriod = 2 * time.Second
	// startPause is the first interval after a restart until another daemon has reported what is admitted;
	// it doubles up to the usual one. Until that report a daemon may use only its own share of each limit:
	// with the usual interval alone, 120 daemons that started together refused all requests of the first
	// half second.
	startPause = 20 * time.Millisecond
	// peerAge is the age of the catalog or of the list of endpoints from which a daemon at the latest reads
	// the store itself instead of relying on others. Data from a reader is no older than a feed's wait and
	// one query interval, and a weak box may send its query late.
	peerAge = 2 * time.Second
	// peerTimeout is the timeout of a query.
	peerTimeout = 700 * time.Millisecond
	// lateAnswer is the duration from which an answer is logged as late.
	lateAnswer = peerTimeout / 2
)

// askFresh is the query between daemons for the content of the store.
const askFresh = "fresh"

// freshQuery describes what the asker already has.
type freshQuery struct {
	Catalog int64    `codec:"c"`           // version of its catalog
	Runners int64    `codec:"r"`           // the store's version of its endpoints
	Fetch   bool     `codec:"f,omitempty"` // requests the next piece of a newer catalog
	Got     progress `codec:"g"`           // pieces that the asker has

	Zone    string `codec:"z,omitempty"` // of an asker that does not know the daemons of other zones yet
	Members int    `codec:"m,omitempty"` // number of daemons that it knows

	List *listQuery `codec:"x,omitempty"` // absent if the asker does not know pieces of the list of endpoints

	Tally   *conn.Tally `codec:"t,omitempty"` // the asker's own, in a large fleet
	Started bool        `codec:"l,omitempty"` // has just started; requests the time of day and the teams' bucket levels
}

// freshReply brings the asker up to the answering daemon's state.
type freshReply struct {
	Known   bool          `codec:"k"`
	Empty   bool          `codec:"z,omitempty"` // its reads of the store succeed, but there is no configuration yet
	Failing bool          `codec:"f,omitempty"` // its reads of the store fail
	Limited bool          `codec:"i,omitempty"` // the store rejects them for the rate of all daemons' reads
	Served  bool          `codec:"u,omitempty"` // the store serves them; absent from a daemon that does not say so
	Age     time.Duration `codec:"a"`           // of the answering daemon's catalog
	Catalog int64         `codec:"c"`
	At      int64         `codec:"p"`           // store version up to which that catalog is the newest
	Piece   *piece        `codec:"v,omitempty"` // of a newer catalog
	Fetched bool          `codec:"d,omitempty"` // the asker requested a piece
	Runners int64         `codec:"r"`
	Listed  time.Duration `codec:"l"`           // age of the answering daemon's list of endpoints
	List    *listPiece    `codec:"x,omitempty"` // endpoints that changed since the asker's version
	Entries []entryRow    `codec:"e,omitempty"` // the same for an asker that does not know pieces
	Whole   bool          `codec:"h,omitempty"` // Entries holds all endpoints
	Orders  []orderReport `codec:"o,omitempty"` // rollout orders, as of the catalog
	Daemons int           `codec:"n,omitempty"` // daemons known to the answering one; 0 until it has counted them
	Members []conn.Member `codec:"m,omitempty"` // those of other zones than the asker's, if it names that

	Source string                     `codec:"s,omitempty"` // the answering daemon's process
	Flow   map[string]int64           `codec:"w,omitempty"` // units admitted by others, by team, since that process started
	Second map[string]conn.SecondRuns `codec:"b"`           // second runs of all daemons, by service; nil from a daemon that does not count them
	Levels map[string]int64           `codec:"q,omitempty"` // bucket level of each team, if requested
	Day    int64                      `codec:"y,omitempty"` // time of day if requested, Unix nanoseconds; 0 if the answering daemon has just started
}

type entryRow struct {
	ID    string `codec:"i"`
	Value []byte `codec:"v,omitempty"`
	Gone  bool   `codec:"g,omitempty"`
}

// readsStore reports whether this daemon reads the store itself: it is its zone's reader, all readers fail,
// or what it has received from others is too old.
func (d *Daemon) readsStore(now time.Time) bool {
	if d.catalog.get() == nil && d.contact.readerWaits(now) {
		return d.isReader()
	}
	return d.behind(now) || d.isReader() || d.readerTurn.Failed() >= len(d.roster().Asked)
}

// askPause returns the interval of queries to other daemons.
func (d *Daemon) askPause(now time.Time) time.Duration {
	switch {
	case !d.largeFleet():
		return peerPause
	case now.Sub(d.began) < startupPeriod && (!d.Site().First || d.catalog.get() == nil) || d.quotas.NearLimit(now):
		return quickPause
	}
	return manyPause
}

// syncWithPeers queries a reader, unless this daemon reads the store with success.
func (d *Daemon) syncWithPeers(ctx context.Context, now time.Time) {
	old := d.behind(now)
	if d.isReader() && !old {
		if d.failingFeeds.Load() > 0 {
			d.askWitnesses(ctx, "")
		}
		return
	}
	reader := ""
	if readers := d.roster().Asked; len(readers) > 0 {
		at := d.readerTurn.Next(len(readers))
		reader = readers[at]
		d.run(func() {
			w := d.syncWithPeer(ctx, reader)
			d.recordReader(at, reader, w)
			if w != outage.OK && w != outage.Empty {
				d.askWitnesses(ctx, reader)
			}
		})
	}
	if reader == "" || old && d.failingFeeds.Load() > 0 {
		d.askWitnesses(ctx, reader) // without a wait for a reader that may not answer
	}
	others := d.others()
	if !old || len(others) == 0 {
		return
	}
	// Others in turn, since the zone of a daemon that is cut off may be cut off with it. The start
	// differs between daemons, so that those that are behind do not query the same one at once.
	d.asked++
	m := others[(d.asked+int(daemonNumber(d.Self.Name)%uint32(len(others))))%len(others)]
	d.run(func() { d.syncWithPeer(ctx, m.Name) })
}

// recordReader records the outcome of a query to a reader. A reader whose reads fail proves nothing about
// expired entries, since the readers themselves may be cut off; once all fail, this daemon reads the store
// and finds out. A reader whose reads succeed ends an outage that this daemon has recorded.
func (d *Daemon) recordReader(at int, name string, w outage.Status) {
	if d.readerTurn.Record(at, w) {
		d.log.WithFields(logrus.Fields{
			"part": "peers", "reader": name, "word": w.String(), "failed_in_a_row": d.readerTurn.Failed(),
		}).Info("another reader is asked from now on")
	}
	if w == outage.OK {
		d.runners.storeRecovered(clock.Now())
	}
}

// syncWithPeer queries one daemon and returns the state of its reads. If that daemon has more of a newer
// catalog or of the list of endpoints, syncWithPeer fetches it piece by piece, from one daemon at a time, as a
// link has room for one catalog.
func (d *Daemon) syncWithPeer(ctx context.Context, name string) outage.Status {
	fetch, list := false, false
	for {
		w, moreCatalog, moreList := d.queryPeer(ctx, name, fetch)
		d.reports.Record(name, w)
		if ctx.Err() != nil {
			return w.Status
		}
		if moreCatalog && !fetch && d.fetching.TryLock() {
			defer d.fetching.Unlock()
			fetch = true
		}
		if moreList && !list && d.fetchingList.TryLock() {
			defer d.fetchingList.Unlock()
			list = true
		}
		if !(moreCatalog && fetch) && !(moreList && list) {
			return w.Status
		}
	}
}

// queryPeer sends one query to a daemon and applies its answer. It returns the outcome, and whether the daemon
// has more of a newer catalog and of the list of endpoints.
func (d *Daemon) queryPeer(ctx context.Context, name string, fetch bool) (w outage.Report, moreCatalog, moreList bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q := freshQuery{Runners: d.runners.current(), Fetch: fetch, Got: d.incomingCatalog.progress(), List: d.runners.query(clock.Now(), name)}
	if _, known := d.Hub.Mesh.Counts(); !d.contact.counted.Load() {
		q.Zone, q.Members = d.Self.Zone, known
	}
	q.Started = !d.Site().First && !d.contact.levelsKnown.Load()
	if c := d.catalog.get(); c != nil {
		q.Catalog = c.Version
	}
	if d.largeFleet() {
		t := d.tallies.Own()
		q.Tally = &t
	}
	sent := clock.Now()
	w = outage.Report{Asked: sent}
	b, err := d.Hub.Ask(ctx, name, askFresh, conn.Marshal(q))
	d.logAnswer(name, clock.Since(sent), len(b), err)
	if conn.Refused(err) {
		w.Status = outage.Absent
	}
	if err != nil {
		return w, false, false // the next round queries it again, or another daemon
	}
	var a freshReply
	if err := conn.Unmarshal(b, &a); err != nil {
		d.log.WithField("part", "peers").Warnf("invalid answer from %s: %v", name, err)
		return w, false, false
	}
	if a.Known {
		moreCatalog, moreList = d.applyFresh(sent, name, q, a)
	}
	d.Hub.Mesh.Learn(sent, a.Members)
	if _, known := d.Hub.Mesh.Counts(); a.Daemons > 0 && known >= a.Daemons {
		d.contact.counted.Store(true) // every member that the other daemon counted is known here
	}
	if q.Started && (len(a.Levels) > 0 || q.Tally == nil) && !d.contact.levelsKnown.Swap(true) {
		d.adoptState(sent, a)
	}
	if a.Source != "" {
		d.recordAdmissionReport(clock.Now())
		if !d.isReader() {
			d.tallies.SuspendCounting()
			d.secondRuns.takeReport(clock.Now(), a.Source, a.Second)
		}
		d.chargeAll(clock.Now(), d.flow.Take(clock.Now(), a.Source, a.Flow))
	}
	w.Status, w.Served = a.status(), a.Served
	if a.Known {
		w.Catalog, w.Listed = sent.Add(-a.Age), sent.Add(-a.Listed)
	}
	if a.Empty {
		d.contact.recordEmpty(clock.Now())
	}
	return w, moreCatalog, moreList
}

// status returns what the answering daemon says of its reads of the store.
func (a *freshReply) status() outage.Status {
	switch {
	case a.Limited:
		return outage.Limited
	case a.Failing:
		return outage.Failing
	case a.Empty:
		return outage.Empty
	case a.Known:
		return outage.OK
	}
	return outage.Starting
}

// reportDayAfter is how long after its start a daemon reports the time of day to others: by then it has
// received it from one that has run for longer, or there is none.
const reportDayAfter = 10 * time.Second

// adoptState adopts bucket levels and the time of day from a daemon that has run for longer.
func (d *Daemon) adoptState(sent time.Time, a freshReply) {
	now := clock.Now()
	d.quotas.Adopt(now, d.teamLimits(), a.Levels)
	if a.Day != 0 {
		d.wall.Set(now, time.Unix(0, a.Day).Add(now.Sub(sent)/2))
	}
}

// logAnswer logs an answer of another daemon that failed or came late.
func (d *Daemon) logAnswer(name string, took time.Duration, size int, err error) {
	d.meters.asked.Update(took.Milliseconds())
	if err == nil && took < lateAnswer {
		return
	}
	d.log.WithFields(logrus.Fields{
		"part": "peers", "peer": name, "took_ms": took.Milliseconds(), "bytes": size, "error": err,
	}).Info("another daemon's answer is late or missing")
}

// applyFresh applies the answer to a query, and reports whether more of its catalog and of its list of endpoints
// is to come.
func (d *Daemon) applyFresh(sent time.Time, name string, q freshQuery, a freshReply) (more, moreList bool) {
	d.rollouts.applySnapshot(sent, a.At, a.Orders)
	if a.Piece == nil {
		c := d.catalog.get()
		more = !a.Fetched && (c == nil || c.Version < a.Catalog)
	} else {
		value, rest, err := d.incomingCatalog.add(a.Piece)
		if err == nil && value != nil {
			err = d.catalog.adopt(value, name)
		}
		if err != nil {
			d.log.WithField("part", "catalog").Warnf("catalog from %s: %v", name, err)
		}
		more = rest && err == nil
	}
	moreList = d.applyList(name, q.List.Skip, a)
	d.runners.currentAt(sent, a.Runners, a.Listed)
	if c := d.catalog.get(); c != nil && c.Version >= a.Catalog {
		d.catalog.fresh.Peer(sent, a.Age)
		d.catalog.readTo(a.At)
	}
	return more, moreList
}

// applyList applies the endpoints in an answer, unless they were not requested, and reports whether more are to
// come.
func (d *Daemon) applyList(name string, skipped bool, a freshReply) (more bool) {
	if a.List != nil {
		more, err := d.runners.takePiece(clock.Now(), name, a.Runners, a.List)
		if err != nil {
			d.log.WithField("part", "endpoints").Warnf("list of endpoints from %s: %v", name, err)
		}
		return more
	}
	if a.Runners <= d.runners.current() || skipped && len(a.Entries) == 0 {
		return false
	}
	rows := make([]platform.Row, 0, len(a.Entries))
	for _, e := range a.Entries {
		rows = append(rows, platform.Row{Table: platform.RunnerTable, Key: e.ID, Value: e.Value, Removed: e.Gone})
	}
	d.runners.take(clock.Now(), a.Runners, rows, a.Whole)
	return false
}

// answerFresh answers another daemon's query.
func (d *Daemon) answerFresh(body []byte) ([]byte, error) {
	var q freshQuery
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	var a freshReply
	if q.Tally != nil {
		d.takeTallies(clock.Now(), q.Tally.Daemon, []conn.Tally{*q.Tally})
		a.Source, a.Flow = instanceOf(d.Self), d.tallies.AdmittedExcept(q.Tally.Daemon)
		a.Second = d.tallies.SecondRuns()
		if q.Started {
			a.Levels = d.quotas.Levels(clock.Now(), d.teamLimits(), d.share())
		}
	}
	if now := clock.Now(); q.Started && now.Sub(d.began) > reportDayAfter {
		a.Day = d.wall.At(now).UnixNano()
	}
	if d.fleet().Counted {
		_, a.Daemons = d.Hub.Mesh.Counts()
		a.Members = d.membersBeyond(q)
	}
	now := clock.Now()
	age, ok := d.catalog.fresh.Age(now) // before the state is read, so that the state is not older than its age says
	listed, _ := d.runners.fresh.Age(now)
	a.At = d.catalog.at.Load()
	f := d.catalog.cur.Load()
	if f == nil || !ok || !d.runners.known() {
		a.Empty = f == nil && d.catalog.empty(now)
		return conn.Marshal(a), nil
	}
	a.Limited, a.Served = d.limitedFeeds.Load() > 0, d.served(now)
	a.Known, a.Failing, a.Age, a.Listed, a.Catalog = true, d.failingFeeds.Load() > 0, age, listed, f.catalog.Version
	a.Orders = d.rollouts.reports(now, true)
	a.Fetched = q.Fetch
	if q.Fetch && a.Catalog > q.Catalog {
		var err error
		if a.Piece, err = d.packedCatalogs.next(f, q.Got); err != nil {
			return nil, err
		}
	}
	if q.List == nil {
		a.Runners, a.Entries, a.Whole, a.Known = d.runners.unpaged(q.Runners)
		return conn.Marshal(a), nil
	}
	var err error
	if a.Runners, a.List, err = d.runners.piece(q.Runners, q.List); err != nil {
		return nil, err
	}
	return conn.Marshal(a), nil
}
