// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/conn"
	"streambend.example/platform"
	"streambend.example/version"
)

const (
	// catalogWait is how long the store holds the question for changes of the
	// catalog. Each answer makes the catalog fresh again, so the wait is what an
	// outage of the store finds already spent of the bound on revoked keys.
	catalogWait = 800 * time.Millisecond
	// answerLimit is how long beyond its wait an answer of the store may take.
	answerLimit = 700 * time.Millisecond
	// firstPause and lastPause bound the pause after a failed call.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// peerAge is the age of the catalog from which peers are asked for a fresher
	// word, and peerPause the time between two rounds of questions.
	peerAge   = 1200 * time.Millisecond
	peerPause = 300 * time.Millisecond
	peerAsked = 2 // peers asked in a round
)

// askFresh is the question between daemons for the newest catalog.
const askFresh = "fresh"

type freshQuestion struct {
	Version int64 `codec:"v"` // of the catalog in force at the asker
}

type freshAnswer struct {
	Known   bool          `codec:"k"`
	Age     time.Duration `codec:"a"`
	Version int64         `codec:"v"`
	Value   []byte        `codec:"c,omitempty"` // the catalog, if newer than the asker's
}

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
	return nil
}

// follow keeps up with the store until ctx ends.
func (k *catalogKeeper) follow(ctx context.Context) {
	f := feeder{d: k.d, table: platform.CatalogTable, wait: catalogWait, name: "catalog"}
	f.run(ctx, func(now, sent time.Time, p platform.Page, _ bool) error {
		if row, ok := platform.CatalogRow(p.Rows); ok {
			if err := k.adopt(row.Value, "store"); err != nil {
				return err
			}
		}
		if k.get() != nil {
			k.fresh.Store(sent, now, p.Clock)
		}
		return nil
	})
}

// askPeers asks other daemons while the store's word is old.
func (k *catalogKeeper) askPeers(ctx context.Context, now time.Time) {
	if age, ok := k.fresh.Age(now); ok && age < peerAge {
		return
	}
	members := k.d.others()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for i, m := range members {
		if i == peerAsked {
			return
		}
		k.d.run(func() { k.askPeer(ctx, m.Name) })
	}
}

func (k *catalogKeeper) askPeer(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	q := freshQuestion{}
	if c := k.get(); c != nil {
		q.Version = c.Version
	}
	sent := time.Now()
	b, err := k.d.Hub.Ask(ctx, name, askFresh, conn.Marshal(q))
	if err != nil {
		return // the next round asks another
	}
	var a freshAnswer
	if err := conn.Unmarshal(b, &a); err != nil || !a.Known {
		return
	}
	if len(a.Value) > 0 {
		if err := k.adopt(a.Value, name); err != nil {
			k.d.log.WithField("part", "catalog").Warnf("catalog of %s: %v", name, err)
			return
		}
	}
	if c := k.get(); c != nil && c.Version >= a.Version {
		k.fresh.Peer(sent, a.Age)
	}
}

// answerFresh answers another daemon's question.
func (k *catalogKeeper) answerFresh(body []byte) ([]byte, error) {
	var q freshQuestion
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	var a freshAnswer
	age, ok := k.fresh.Age(time.Now()) // before the catalog is read, so that it is not newer than that
	if f := k.cur.Load(); f != nil && ok {
		a = freshAnswer{Known: true, Age: age, Version: f.catalog.Version}
		if a.Version > q.Version {
			a.Value = f.value
		}
	}
	return conn.Marshal(a), nil
}

// feeder follows the changes of one table.
type feeder struct {
	d     *Daemon
	table string
	wait  time.Duration
	name  string // for the log
}

// run hands each answer to take until ctx ends: whole is true for all rows of
// the table, false for those that have changed.
func (f *feeder) run(ctx context.Context, take func(now, sent time.Time, p platform.Page, whole bool) error) {
	var at int64
	whole, up := true, true
	pause := firstPause
	for ctx.Err() == nil {
		sent := time.Now()
		p, err := f.ask(ctx, at, whole)
		now := time.Now()
		if err == nil {
			err = take(now, sent, p, whole)
		}
		if err == nil {
			at, whole, pause = p.Version, false, firstPause
			if !up {
				up = true
				f.d.log.WithFields(logrus.Fields{"part": f.name, "version": at}).Info("store regained")
			}
			continue
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			whole = true
			f.d.log.WithFields(logrus.Fields{"part": f.name, "version": at}).Info("store has dropped its history, reading anew")
			continue
		}
		if up && ctx.Err() == nil {
			up = false
			f.d.log.WithFields(logrus.Fields{"part": f.name, "version": at}).Warnf("store lost: %v", err)
		}
		f.d.storeFailed(now)
		sleep(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, lastPause)
	}
}

func (f *feeder) ask(ctx context.Context, at int64, whole bool) (platform.Page, error) {
	if !whole {
		ctx, cancel := context.WithTimeout(ctx, f.wait+answerLimit)
		defer cancel()
		return f.d.store.Feed(ctx, f.table, at, f.wait)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*answerLimit)
	defer cancel()
	all, err := f.d.store.Rows(ctx, f.table, "", "")
	for more := all; err == nil && more.More && len(more.Rows) > 0; {
		more, err = f.d.store.Rows(ctx, f.table, "", more.Rows[len(more.Rows)-1].Key+"\x00")
		all.Rows = append(all.Rows, more.Rows...)
	}
	return all, err
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
