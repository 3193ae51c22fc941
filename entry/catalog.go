// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/mechanism"
	"streambend.example/platform"
	"streambend.example/replica"
	"streambend.example/version"
)

const (
	// strictCatalogWait is the maximum long-poll wait for catalog changes where keys expire with the
	// catalog's age. Each answer renews the catalog, so at the start of an outage of the store up to
	// this much of the bound on revoked keys is already used.
	strictCatalogWait = 500 * time.Millisecond
	// relaxedCatalogWait is the maximum wait otherwise. A change is answered at once either way; the wait
	// only bounds how late a silent connection is noticed. With the shorter wait, half of the calls
	// for the catalog returned nothing new.
	relaxedCatalogWait = time.Second
	// storeCallTimeout is the timeout of a call to the store that does not wait for changes. The adapter
	// bounds the answers of feeds and lists by their progress.
	storeCallTimeout = 700 * time.Millisecond
	// minRetryPause and lastPause are the minimum and maximum backoff after a failed call.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// aloneMinRetryPause and aloneLastPause are the same for a daemon that is not its zone's reader. It
	// begins to read at a catalog age of 2 s, and retries twice before the bound of 5 s on revoked
	// keys makes it unready.
	aloneMinRetryPause = 500 * time.Millisecond
	aloneMaxRetryPause = 1500 * time.Millisecond
	// settlePause is the pause between reading a whole table and following its changes. By then the
	// daemon may know that another daemon reads for it.
	settlePause = 500 * time.Millisecond
	// changeShare is the share of the bound on putting a change in force that a reader waits after
	// each change, because many endpoints change at a time.
	changeShare = 0.05
	// idlePause is how often a daemon that does not read the store checks whether it has to.
	idlePause = 100 * time.Millisecond
)

// inForce is a catalog with its encoded form.
type inForce struct {
	catalog *version.Catalog
	value   []byte
}

// catalogTracker holds the catalog in force, which is the newest one known.
type catalogTracker struct {
	d     *Daemon
	fresh replica.Freshness
	cur   atomic.Pointer[inForce]
	at    atomic.Int64      // store version up to which the catalog in force is the newest
	none  replica.Freshness // when the store was last known to hold no catalog
}

// readTo records that the catalog in force is the newest up to a store version. If this daemon starts
// to read the store itself, it continues from there.
func (k *catalogTracker) readTo(version int64) {
	for {
		old := k.at.Load()
		if old >= version || k.at.CompareAndSwap(old, version) {
			return
		}
	}
}

// get returns the catalog in force, or nil if there is none yet.
func (k *catalogTracker) get() *version.Catalog {
	if f := k.cur.Load(); f != nil {
		return f.catalog
	}
	return nil
}

// adopt puts a catalog in force if it is newer than the current one.
func (k *catalogTracker) adopt(value []byte, source string) error {
	c, err := platform.ReadCatalog(value)
	if err != nil {
		return err
	}
	next := &inForce{c, value}
	for {
		cur := k.cur.Load()
		if cur != nil && cur.catalog.Version >= c.Version {
			return nil
		}
		if k.cur.CompareAndSwap(cur, next) {
			break
		}
	}
	k.d.log.WithFields(logrus.Fields{
		"part": "catalog", "version": c.Version, "source": source, "routes": len(c.Routes), "services": len(c.Backend), "teams": len(c.Tenants),
	}).Info("catalog in force")
	k.d.runners.catalogChanged(clock.Now())
	return nil
}

// wait returns how long the store may hold the next long poll.
func (k *catalogTracker) wait() time.Duration {
	most := relaxedCatalogWait
	if k.d.Site().Bounds.StrictRevocation || !k.d.without.On(mechanism.PatientFeed) {
		most = strictCatalogWait
	}
	if age, ok := k.fresh.Age(clock.Now()); ok {
		return FeedWait(age, k.d.Site().Bounds.Configuration, most)
	}
	return most
}

// follow reads the changes of the catalog's table until ctx ends.
func (k *catalogTracker) follow(ctx context.Context) {
	f := feeder{d: k.d, table: platform.CatalogTable, wait: k.wait, name: "catalog"}
	f.run(ctx, k.at.Load, func(now, sent time.Time, p platform.Page, whole bool) error {
		k.d.rollouts.takeRows(now, p.Rows, whole)
		if row, ok := platform.CatalogRow(p.Rows); ok {
			if err := k.adopt(row.Value, "store"); err != nil {
				return err
			}
		}
		if k.get() == nil {
			k.none.Store(sent, now, p.Clock)
			return nil
		}
		k.fresh.Store(sent, now, p.Clock)
		k.readTo(p.Version)
		return nil
	})
}

// empty reports whether the store was recently known to hold no configuration.
func (k *catalogTracker) empty(now time.Time) bool {
	age, ok := k.none.Age(now)
	return ok && age < emptyTTL
}
