// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/platform"
	"streambend.example/replica"
	"streambend.example/request"
	"streambend.example/version"
)

const (
	// endpointsMaxWait is the maximum long-poll wait for endpoint changes. It bounds how late a silent loss
	// of the store is noticed, and adds to the age of every list.
	endpointsMaxWait = 1500 * time.Millisecond
	// drainWaitShare limits that wait to a share of the bound on leaving endpoints. With one round of
	// questions between daemons, a list is then at most 0.6 of the bound old.
	drainWaitShare = 0.35
	// missingGrace is how long after an outage of the store an endpoint with a missing entry is still
	// used. Entries that expired during the outage are back within about 2 s, and a change takes some
	// time to arrive here.
	missingGrace = 2300 * time.Millisecond
)

// endpointTracker updates the pools from the endpoints' entries in the store.
type endpointTracker struct {
	d     *Daemon
	fresh *replica.Freshness // of the list

	mu        sync.Mutex
	list      *replica.Copy[[]byte] // the endpoints' entries
	byID      map[string]*listedEndpoint
	packed    pieceCache // pieces of list for other daemons
	changes   changeLogger
	missing   map[string]bool  // entries that disappeared around an outage of the store
	unnamed   map[string]bool  // endpoints of services that the catalog does not name
	invalid   map[string]int64 // store versions of invalid entries, as last logged
	readAt    time.Time        // when the first complete list arrived; zero before
	failedAt  time.Time        // the last failure of the store, or its recovery after that
	storeDown bool             // the store has not answered since failedAt
}

// listedEndpoint is an endpoint in the list.
type listedEndpoint struct {
	platform.Runner
	found time.Time
}

// maxInvalid is the maximum number of invalid entries that are remembered as logged.
const maxInvalid = 512

func newEndpointTracker(d *Daemon) endpointTracker {
	list := replica.New(instanceOf(d.Self), transferTTL, bytes.Equal)
	return endpointTracker{
		d: d, fresh: &list.Fresh, list: list, byID: make(map[string]*listedEndpoint),
		missing: make(map[string]bool), unnamed: make(map[string]bool), invalid: make(map[string]int64),
	}
}

// follow reads the changes of the endpoints' table until ctx ends.
func (k *endpointTracker) follow(ctx context.Context) {
	f := feeder{d: k.d, table: platform.RunnerTable, wait: k.wait, name: "endpoints"}
	f.run(ctx, k.current, func(now, sent time.Time, p platform.Page, whole bool) error {
		k.storeRecovered(now)
		k.take(now, p.Version, p.Rows, whole)
		k.fresh.Store(sent, now, p.Clock)
		return nil
	})
}

// wait returns how long the store may hold the next long poll.
func (k *endpointTracker) wait() time.Duration {
	most := min(endpointsMaxWait, time.Duration(drainWaitShare*float64(k.d.Site().Bounds.Drain)))
	if age, ok := k.fresh.Age(clock.Now()); ok {
		return FeedWait(age, k.d.listBound(), most)
	}
	return most
}

// take applies rows read at a store version. An endpoint whose entry disappears right after an outage
// of the store is still used for a while.
func (k *endpointTracker) take(now time.Time, version int64, rows []platform.Row, whole bool) {
	entries := make([]replica.Row[[]byte], 0, len(rows))
	versions := make(map[string]int64, len(rows))
	for _, r := range rows {
		if r.Part == "" {
			entries = append(entries, replica.Row[[]byte]{Key: r.Key, Value: r.Value, Removed: r.Removed})
			versions[r.Key] = r.Version
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changes.begin(k.d.log, len(rows))
	defer k.changes.end()
	k.list.Take(version, entries, whole, k.changed(now, versions))
	k.noteComplete(now)
}

// changed returns the function that applies a change of the list; versions are those of the entries in the store, as
// far as they are known. The caller holds the lock.
func (k *endpointTracker) changed(now time.Time, versions map[string]int64) replica.Change[[]byte] {
	return func(e replica.Row[[]byte]) bool {
		if e.Removed {
			k.entryRemoved(now, e.Key)
			return true
		}
		row := platform.Row{Table: platform.RunnerTable, Key: e.Key, Value: e.Value, Version: versions[e.Key]}
		r, err := platform.ReadRunner(row)
		if err != nil {
			k.ignoreInvalid(row, err)
			return false
		}
		delete(k.invalid, r.ID)
		k.set(now, r)
		return true
	}
}

// noteComplete records when the list was complete for the first time. The caller holds the lock.
func (k *endpointTracker) noteComplete(now time.Time) {
	if k.readAt.IsZero() && k.list.Complete() {
		k.readAt = now
	}
}

// set adds or updates an endpoint. The caller holds the lock.
func (k *endpointTracker) set(now time.Time, r platform.Runner) {
	e, known := k.byID[r.ID]
	if !known {
		e = &listedEndpoint{}
	}
	old := e.Runner
	if known && r.Born != 0 && r.Born < old.Born {
		k.changes.log(r, "entry of an earlier start ignored", logrus.Fields{"present": old.Born})
		return
	}
	delete(k.missing, r.ID)
	k.byID[r.ID], e.Runner = e, r
	restarted := known && !old.SameStart(r)
	if restarted {
		k.endStart(old)
	}
	if !known || restarted {
		e.found = now
		k.changes.log(r, "endpoint found", logrus.Fields{"again": restarted})
	}
	t := k.addToPool(r)
	if r.Leaving && !(known && !restarted && old.Leaving) && t != nil {
		left := r.LeavesIn
		if left <= 0 {
			left = k.d.Site().Bounds.Drain
		}
		t.Leave(now.Add(left))
		k.changes.log(r, "endpoint leaves", logrus.Fields{"left_ms": left.Milliseconds()})
	}
}

// addToPool adds an endpoint to its service's pool. If the catalog does not name the service, the entry
// may belong to another writer; it is set aside until the catalog does.
func (k *endpointTracker) addToPool(r platform.Runner) *request.Target {
	if !k.d.named(r.Service) {
		k.unnamed[r.ID] = true
		return nil
	}
	delete(k.unnamed, r.ID)
	w := k.d.work(r.Service)
	var slowUntil time.Time
	if r.SlowFor > 0 {
		slowUntil = clock.Now().Add(r.SlowFor)
	}
	return k.d.words.applyPending(w.Pool.Add(request.Endpoint{
		ID: r.ID, Born: r.Born, Service: w.Pool.Service, Version: r.Version, Zone: r.Zone, SlowUntil: slowUntil, Address: r.Address, Reclaimable: r.Reclaimable, Slots: r.Slots,
		Memory: k.d.memory(r.Service),
	}))
}

// endStart ends this daemon's requests at an earlier start of an endpoint.
func (k *endpointTracker) endStart(old platform.Runner) {
	if k.unnamed[old.ID] {
		return
	}
	k.d.work(old.Service).Pool.EndInstance(old.ID)
}

// catalogChanged adds the endpoints of services that a new catalog names to their pools.
func (k *endpointTracker) catalogChanged(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.unnamed {
		r := k.byID[id].Runner
		if t := k.addToPool(r); t != nil && r.Leaving {
			t.Leave(now.Add(max(r.LeavesIn, k.d.Site().Bounds.Drain)))
		}
	}
}

// ignoreInvalid removes the endpoint of an invalid entry. Each version of an entry is logged once.
func (k *endpointTracker) ignoreInvalid(row platform.Row, err error) {
	var bad *platform.BadEntry
	if errors.As(err, &bad) && (k.invalid[row.Key] != row.Version || row.Version == 0) {
		if len(k.invalid) >= maxInvalid {
			clear(k.invalid)
		}
		k.invalid[row.Key] = row.Version
		k.d.meters.invalidEntry(bad.Reason)
		k.d.log.WithFields(logrus.Fields{"part": "endpoints", "endpoint": row.Key, "version": row.Version, "reason": bad.Reason}).
			Warnf("invalid entry ignored: %s", bad.Detail)
	}
	if e, ok := k.byID[row.Key]; ok {
		k.drop(row.Key, e.Runner)
	}
}

// entryRemoved drops an endpoint whose entry was removed, or marks it as missing if an outage of the
// store may be the cause: other daemons, which may have had none, need not keep it. The caller holds the lock.
func (k *endpointTracker) entryRemoved(now time.Time, id string) {
	e, ok := k.byID[id]
	if !ok {
		return
	}
	r := e.Runner
	if !k.failedAt.IsZero() && now.Sub(k.failedAt) < missingGrace && !r.Leaving {
		if !k.missing[id] {
			k.changes.log(r, "entry missing after an outage of the store, endpoint still used", nil)
		}
		k.missing[id] = true
		return
	}
	k.drop(id, r)
}

// drop forgets an endpoint and removes it from its pool. The caller holds the lock.
func (k *endpointTracker) drop(id string, r platform.Runner) {
	delete(k.byID, id)
	delete(k.missing, id)
	if !k.unnamed[id] {
		k.d.work(r.Service).Pool.Forget(id)
	}
	delete(k.unnamed, id)
	k.changes.log(r, "endpoint gone", nil)
}

// tick drops the endpoints that are still missing when missingGrace is over.
func (k *endpointTracker) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.failedAt) < missingGrace {
		return
	}
	k.changes.begin(k.d.log, len(k.missing))
	defer k.changes.end()
	for id := range k.missing {
		k.drop(id, k.byID[id].Runner)
	}
}

// storeFailed records that the store answers no daemon.
func (k *endpointTracker) storeFailed(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.storeDown {
		k.d.log.WithField("part", "endpoints").Warn("store fails for all: missing entries are kept for a while")
	}
	k.failedAt, k.storeDown = now, true
}

// storeRecovered records that the store answers. Expired entries have missingGrace from then on to come back.
func (k *endpointTracker) storeRecovered(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.storeDown {
		k.failedAt, k.storeDown = now, false
	}
}

// current returns the version of the store up to which the list is complete.
func (k *endpointTracker) current() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Version()
}

// currentAt records that another daemon, queried at sent, answered that its list at a version was current age before the
// answer.
func (k *endpointTracker) currentAt(sent time.Time, version int64, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list.CurrentAt(sent, version, age)
}

// known reports whether a complete list of endpoints has arrived.
func (k *endpointTracker) known() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.readAt.IsZero()
}

// firstListAge returns the time since the first complete list, negative if there was none, and the share
// of endpoints found within the last span.
func (k *endpointTracker) firstListAge(now time.Time, span time.Duration) (read time.Duration, late float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.readAt.IsZero() {
		return -1, 1
	}
	n := 0
	for _, e := range k.byID {
		if now.Sub(e.found) < span {
			n++
		}
	}
	return now.Sub(k.readAt), float64(n) / float64(max(len(k.byID), 1))
}

// listedFor returns the time since an endpoint was found, or 0 if it is unknown.
func (k *endpointTracker) listedFor(now time.Time, id string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.byID[id]
	if !ok {
		return 0
	}
	return now.Sub(e.found)
}

// all returns the known endpoints.
func (k *endpointTracker) all() []platform.Runner {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]platform.Runner, 0, len(k.byID))
	for _, e := range k.byID {
		out = append(out, e.Runner)
	}
	return out
}

// memory returns the cache size in tokens of a service's engines, or 0 if it is unknown.
func (d *Daemon) memory(service string) int {
	if c := d.catalog.get(); c != nil {
		return c.Backend[service].CacheTokens
	}
	return 0
}

// named reports whether the configuration names a service.
func (d *Daemon) named(service string) bool {
	c := d.catalog.get()
	return c != nil && c.Names(service)
}

// work returns the request state of a service, and creates it if needed.
func (d *Daemon) work(service string) *request.ServiceState {
	s := version.Service{Name: service, PerBox: 1}
	if c := d.catalog.get(); c != nil {
		if b, ok := c.Backend[service]; ok {
			s = b.Service()
		}
	}
	return d.Server.Works.Get(&s)
}
