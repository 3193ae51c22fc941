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
	"streambend.example/version"
)

const (
	// catalogWait is how long the store holds the question for changes of the
	// catalog. Each answer makes the catalog fresh again, so the wait is what an
	// outage of the store finds already spent of the bound on revoked keys.
	catalogWait = 500 * time.Millisecond
	// patientWait is the same where no key stops to hold with the catalog's age: a
	// change is told at once either way, and the wait only bounds how late a
	// connection that has gone silent is noticed. Half of the calls for the catalog
	// were answered with nothing new.
	patientWait = time.Second
	// answerLimit is how long a call to the store may take that waits for nothing; the
	// adapter bounds the answers of feeds and lists by their progress.
	answerLimit = 700 * time.Millisecond
	// firstPause and lastPause bound the pause after a failed call.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// aloneFirstPause and aloneLastPause bound it at a daemon that is not its
	// zone's reader: it begins to look at a catalog's age of 2 s, and looks twice
	// more before the bound on revoked keys of 5 s makes it unready.
	aloneFirstPause = 500 * time.Millisecond
	aloneLastPause  = 1500 * time.Millisecond
	// settlePause is how long a daemon that has just read a table whole waits
	// until it follows the changes: by then it may have heard that another daemon
	// reads for it.
	settlePause = 500 * time.Millisecond
	// changeShare is the share of the time in which a change must be in force that a
	// reader waits after each change, since endpoints change many at a time.
	changeShare = 0.05
	// idlePause is how often a daemon that leaves the store to others looks
	// whether it still can.
	idlePause = 100 * time.Millisecond
)

// inForce is a catalog and the bytes it was read from.
type inForce struct {
	catalog *version.Catalog
	value   []byte
}

// catalogKeeper keeps the newest catalog in force.
type catalogKeeper struct {
	d     *Daemon
	fresh Freshness
	cur   atomic.Pointer[inForce]
	at    atomic.Int64 // the store's version up to which it is the newest
	none  Freshness    // of the knowledge that the store holds none
}

// readTo notes that the catalog in force is the newest up to a version of the store,
// from which this daemon goes on if it comes to read for itself.
func (k *catalogKeeper) readTo(version int64) {
	for {
		old := k.at.Load()
		if old >= version || k.at.CompareAndSwap(old, version) {
			return
		}
	}
}

// get returns the catalog in force, or nil before the first one.
func (k *catalogKeeper) get() *version.Catalog {
	if f := k.cur.Load(); f != nil {
		return f.catalog
	}
	return nil
}

// adopt puts a catalog in force if it is newer than the one that is.
func (k *catalogKeeper) adopt(value []byte, source string) error {
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

// wait is how long the store holds the question for changes.
func (k *catalogKeeper) wait() time.Duration {
	most := patientWait
	if k.d.Site().Bounds.StrictRevocation || !k.d.without.On(mechanism.PatientFeed) {
		most = catalogWait
	}
	if age, ok := k.fresh.Age(clock.Now()); ok {
		return FeedWait(age, k.d.Site().Bounds.Configuration, most)
	}
	return most
}

// follow keeps up with the store until ctx ends.
func (k *catalogKeeper) follow(ctx context.Context) {
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

// empty reports whether the store was lately known to hold no configuration.
func (k *catalogKeeper) empty(now time.Time) bool {
	age, ok := k.none.Age(now)
	return ok && age < emptyLife
}
