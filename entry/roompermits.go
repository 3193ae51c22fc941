// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/pace"
	"streambend.example/request"
)

// askRoom is the query for a place at an endpoint whose room is limited, or the release of one.
const askRoom = "room"

// roomQuery asks for a place at an endpoint, or releases it.
type roomQuery struct {
	State request.EndpointState `codec:"s"`
	ID    uint64                `codec:"i"` // of the permit
	For   time.Duration         `codec:"f"` // at most; 0 releases it
}

// enter takes a place at an endpoint from the daemon that grants them, which is released with the returned function. It
// is nil without a place.
func (k *permitGranter) enter(ctx context.Context, t *request.Target, l pace.Limit, until time.Time) (pace.Grant, func()) {
	now, endpoint, id := clock.Now(), t.Hash(), rand.Uint64()
	owner := k.owner(endpoint)
	if owner != k.d.Self.Name && !k.peers.skip(now, owner) {
		q := roomQuery{request.EndpointState{Endpoint: endpoint, Limit: l}, id, until.Sub(now)}
		if a, ok := k.askRoom(ctx, owner, t.ID, q); ok {
			if a.Limit.Supersedes(l) {
				t.MergeLimit(a.Limit)
			}
			return a.Grant, k.releaser(a.Grant, func() {
				q.For = 0
				k.d.run(func() { k.askRoom(k.d.ctx, owner, t.ID, q) })
			})
		}
		now = clock.Now()
	}
	from, room := &k.ownedRoom, int(k.grantFraction()*float64(l.Room))
	if owner != k.d.Self.Name {
		k.shared.Add(1)
		from, room = &k.shareRoom, k.roomShare(endpoint, l.Room)
	}
	g := from.Enter(now, endpoint, room, k.d.Self.Name, id, until)
	return g, k.releaser(g, func() { from.Leave(clock.Now(), endpoint, id) })
}

func (k *permitGranter) releaser(g pace.Grant, release func()) func() {
	if !g.OK {
		return nil
	}
	return release
}

// roomShare returns the places at an endpoint that this daemon may use while it hears no daemon that grants them: an even
// share, and the rest for some daemons, chosen by hash.
func (k *permitGranter) roomShare(endpoint uint64, room int) int {
	sharers := max(k.d.fleet().Sharers(), 1)
	share := room / sharers
	if pace.HashFraction(endpoint, k.d.Self.Name) < float64(room%sharers)/float64(sharers) {
		share++
	}
	return share
}

// askRoom sends a query to the daemon that grants places; ok is false if it does not answer.
func (k *permitGranter) askRoom(ctx context.Context, owner, endpoint string, q roomQuery) (a permitAnswer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	b, err := k.d.Hub.Ask(ctx, owner, askRoom, conn.Marshal(q))
	if err == nil {
		err = conn.Unmarshal(b, &a)
	}
	if err != nil && k.d.ctx.Err() == nil {
		k.markUnresponsive(clock.Now(), owner, endpoint, err)
	}
	return a, err == nil
}

// answerRoom answers another daemon's query for a place.
func (k *permitGranter) answerRoom(from string, body []byte) ([]byte, error) {
	var q roomQuery
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	now, endpoint := clock.Now(), q.State.Endpoint
	if q.For <= 0 {
		k.ownedRoom.Leave(now, endpoint, q.ID)
		return conn.Marshal(permitAnswer{}), nil
	}
	a := permitAnswer{Limit: k.d.words.merge(now, q.State).Limit}
	a.Grant.OK = true
	if a.Limit.Room > 0 {
		room := int(k.grantFraction() * float64(a.Limit.Room))
		a.Grant = k.ownedRoom.Enter(now, endpoint, room, from, q.ID, now.Add(q.For))
	}
	return conn.Marshal(a), nil
}
