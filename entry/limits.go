// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/pace"
	"streambend.example/request"
)

// What an endpoint that limits itself takes is granted by one daemon to all: of few by any of them,
// where daemons are many by one of the zones' readers, with which all have links. Divided evenly
// instead, 2 a second among 380 would be one in three minutes for each, whoever has the callers.

const (
	// askPermit is the question for a grant.
	askPermit = "permit"
	// permitWait is how long its answer may take: a request waits for it, and other
	// endpoints serve as well.
	permitWait = 200 * time.Millisecond
	// sharePause is how long an even share is used after a question that was not answered.
	sharePause = time.Second
)

// limitKeeper knows who grants requests to endpoints that limit themselves, and grants them to others.
type limitKeeper struct {
	d      *Daemon
	owned  pace.Limiter // of limits that this daemon owns
	shares pace.Limiter // of its own even shares

	mu     sync.Mutex
	silent map[string]time.Time // daemons that have not answered, and until when they are not asked

	granted, refused, shared atomic.Int64 // questions; those answered by an even share among them
}

func newLimitKeeper(d *Daemon) limitKeeper {
	return limitKeeper{d: d, silent: make(map[string]time.Time)}
}

// owner returns which daemon grants requests to an endpoint.
func (k *limitKeeper) owner(endpoint uint64) string {
	var names []string
	if r := k.d.roster(); k.d.many() && r.Known {
		names = append(names, r.Reader.Name)
		names = append(names, r.Beyond...)
	} else {
		for _, m := range k.d.Hub.Mesh.Members() {
			names = append(names, m.Name)
		}
	}
	return pace.Owner(endpoint, names)
}

// Take implements request.Permits.
func (k *limitKeeper) Take(ctx context.Context, t *request.Target) pace.Grant {
	g := k.take(ctx, t)
	if g.OK {
		k.granted.Add(1)
	} else {
		k.refused.Add(1)
	}
	return g
}

func (k *limitKeeper) take(ctx context.Context, t *request.Target) pace.Grant {
	l, now := t.Limit(), clock.Now()
	owner := k.owner(t.Hash())
	switch {
	case owner == k.d.Self.Name:
		return k.owned.Allow(now, t.Hash(), k.part()*l.PerSecond, owner)
	case !k.isSilent(now, owner):
		if g, ok := k.ask(ctx, owner, t, l); ok {
			return g
		}
		now = clock.Now()
	}
	k.shared.Add(1)
	return k.shares.AllowShare(now, t.Hash(), l.PerSecond, pace.Draw(t.Hash(), k.d.Self.Name), k.d.fleet().Sharers())
}

// part is the part of each limit that this daemon grants: all of it, unless it hears so few others that
// they may have another that grants.
func (k *limitKeeper) part() float64 {
	if f := k.d.fleet(); f.Apart() {
		return f.LimitShare()
	}
	return 1
}

func (k *limitKeeper) isSilent(now time.Time, name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Before(k.silent[name])
}

// permitAnswer is a grant, and what the answerer knows of the endpoint.
type permitAnswer struct {
	Grant pace.Grant `codec:"g"`
	Limit pace.Limit `codec:"l"`
}

// ask asks another daemon for a grant; ok is false if it does not answer.
func (k *limitKeeper) ask(ctx context.Context, owner string, t *request.Target, l pace.Limit) (g pace.Grant, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, permitWait)
	defer cancel()
	b, err := k.d.Hub.Ask(ctx, owner, askPermit, conn.Marshal(request.Word{Endpoint: t.Hash(), Limit: l}))
	var a permitAnswer
	if err == nil {
		err = conn.Unmarshal(b, &a)
	}
	if err != nil {
		k.lost(clock.Now(), owner, t.ID, err)
		return g, false
	}
	if a.Limit.Over(l) {
		t.HearLimit(a.Limit)
		a.Grant.OK = a.Grant.OK || !a.Limit.Named()
	}
	return a.Grant, true
}

// lost notes that a daemon that grants has not answered.
func (k *limitKeeper) lost(now time.Time, owner, endpoint string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[owner] = now.Add(sharePause)
	for name, until := range k.silent {
		if now.After(until) {
			delete(k.silent, name)
		}
	}
	k.d.log.WithFields(logrus.Fields{"part": "limits", "granter": owner, "endpoint": endpoint, "error": err}).
		Info("no answer to whether one more may be sent: an even share of the limit is used")
}

// answer grants a request to another daemon, or not.
func (k *limitKeeper) answer(from string, body []byte) ([]byte, error) {
	var w request.Word
	if err := conn.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	now := clock.Now()
	a := permitAnswer{Limit: k.d.words.believe(now, w).Limit}
	if a.Limit.Named() {
		a.Grant = k.owned.Allow(now, w.Endpoint, k.part()*a.Limit.PerSecond, from)
	} else {
		a.Grant.OK = true
	}
	return conn.Marshal(a), nil
}
