// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/pace"
	"streambend.example/request"
)

// One daemon grants the requests to an endpoint that limits itself: in a small fleet any of them, in a large
// one a zone's reader, since all daemons have links to those. An even division would be too fine: 2 requests
// a second among 380 daemons leave each one request in three minutes, whoever has the callers.

const (
	// askPermit is the query for a grant.
	askPermit = "permit"
	// permitTimeout is the timeout of that query. It is short because a request waits for it while other endpoints
	// could serve it.
	permitTimeout = 200 * time.Millisecond
)

// permitGranter finds the daemon that grants requests to an endpoint, and grants requests to other daemons.
type permitGranter struct {
	d      *Daemon
	owned  pace.Limiter // of endpoints that this daemon grants for
	shares pace.Limiter // of its even shares

	ownedRoom pace.Occupancy // of endpoints that this daemon grants places at
	shareRoom pace.Occupancy // of its even shares

	peers unresponsivePeers

	granted, refused, shared atomic.Int64 // queries; shared counts those decided by an even share
}

func newPermitGranter(d *Daemon) permitGranter {
	return permitGranter{d: d}
}

// owner returns the daemon that grants requests to an endpoint.
func (k *permitGranter) owner(endpoint uint64) string { return pace.Owner(endpoint, k.d.granters()) }

// Take implements request.Permits.
func (k *permitGranter) Take(ctx context.Context, t *request.Target, until time.Time) (g pace.Grant, release func()) {
	l := t.Limit()
	g.OK = true
	if l.Room > 0 {
		g, release = k.enter(ctx, t, l, until)
	}
	if g.OK && l.PerSecond > 0 {
		if g = k.take(ctx, t); !g.OK && release != nil {
			release()
			release = nil
		}
	}
	if g.OK {
		k.granted.Add(1)
	} else {
		k.refused.Add(1)
	}
	return g, release
}

func (k *permitGranter) take(ctx context.Context, t *request.Target) pace.Grant {
	l, now := t.Limit(), clock.Now()
	owner := k.owner(t.Hash())
	switch {
	case owner == k.d.Self.Name:
		return k.owned.Allow(now, t.Hash(), k.grantFraction()*l.PerSecond, owner)
	case !k.peers.skip(now, owner):
		if g, ok := k.ask(ctx, owner, t, l); ok {
			return g
		}
		now = clock.Now()
	}
	k.shared.Add(1)
	return k.shares.AllowShare(now, t.Hash(), l.PerSecond, pace.HashFraction(t.Hash(), k.d.Self.Name), k.d.fleet().Sharers())
}

// grantFraction returns the fraction of each limit that this daemon grants: all of it, unless it reaches so
// few other daemons that those may have chosen another owner.
func (k *permitGranter) grantFraction() float64 {
	if f := k.d.fleet(); f.InMinority() {
		return f.LimitShare()
	}
	return 1
}

// permitAnswer is a grant, and the limit of the endpoint as the answering daemon knows it.
type permitAnswer struct {
	Grant pace.Grant `codec:"g"`
	Limit pace.Limit `codec:"l"`
}

// ask queries another daemon for a grant; ok is false if it does not answer.
func (k *permitGranter) ask(ctx context.Context, owner string, t *request.Target, l pace.Limit) (g pace.Grant, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	b, err := k.d.Hub.Ask(ctx, owner, askPermit, conn.Marshal(request.EndpointState{Endpoint: t.Hash(), Limit: l}))
	var a permitAnswer
	if err == nil {
		err = conn.Unmarshal(b, &a)
	}
	if err != nil {
		k.markUnresponsive(clock.Now(), owner, t.ID, err)
		return g, false
	}
	if a.Limit.Supersedes(l) {
		t.MergeLimit(a.Limit)
		a.Grant.OK = a.Grant.OK || !a.Limit.Named()
	}
	return a.Grant, true
}

// markUnresponsive records that a daemon did not answer a query for a grant.
func (k *permitGranter) markUnresponsive(now time.Time, owner, endpoint string, err error) {
	k.peers.mark(now, owner)
	k.d.log.WithFields(logrus.Fields{"part": "limits", "granter": owner, "endpoint": endpoint, "error": err}).
		Info("no answer to a permit query: an even share of the limit is used")
}

// answer answers another daemon's query for a grant.
func (k *permitGranter) answer(from string, body []byte) ([]byte, error) {
	var w request.EndpointState
	if err := conn.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	now := clock.Now()
	a := permitAnswer{Limit: k.d.words.merge(now, w).Limit}
	if a.Limit.Named() {
		a.Grant = k.owned.Allow(now, w.Endpoint, k.grantFraction()*a.Limit.PerSecond, from)
	} else {
		a.Grant.OK = true
	}
	return conn.Marshal(a), nil
}
