// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/reach"
	"streambend.example/request"
)

const (
	// askReach is the query whether another daemon reaches an endpoint.
	askReach = "reach"
	// witnessTimeout is the timeout of that query; a refused connection is known within some milliseconds.
	witnessTimeout = 250 * time.Millisecond
	// maxWitnesses is the number of daemons that are asked at once: some may have lost the same path.
	maxWitnesses = 3
	// witnessTTL is how long what others reach is taken to be the same for all endpoints of a zone: when a path is cut,
	// the connections to all of them close at one moment.
	witnessTTL = 300 * time.Millisecond
)

// reachQuery asks whether the answering daemon reaches an endpoint.
type reachQuery struct {
	Service  string `codec:"s"`
	Endpoint string `codec:"e"`
}

// reachReply is the answer to a reachQuery.
type reachReply struct {
	Reached bool `codec:"r"`
}

// pathWitness holds what other daemons last said of the endpoints of each availability zone. The zero value is ready
// to use.
type pathWitness struct {
	mu   sync.Mutex
	last map[string]*zoneView
}

// zoneView is what others said of a zone. Its lock, a place in busy, is held while they are asked.
type zoneView struct {
	busy        chan struct{}
	unreachable bool
	at          time.Time
}

func (w *pathWitness) zone(name string) *zoneView {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last == nil {
		w.last = make(map[string]*zoneView)
	}
	v := w.last[name]
	if v == nil {
		v = &zoneView{busy: make(chan struct{}, 1)}
		w.last[name] = v
	}
	return v
}

// OthersFail implements request.Forwarder.
func (f *forwarder) OthersFail(ctx context.Context, t *request.Target) bool {
	v := f.witness.zone(t.Zone)
	v.busy <- struct{}{}
	defer func() { <-v.busy }()
	if clock.Since(v.at) >= witnessTTL {
		reached, answers := f.askReach(ctx, reach.Probe{Service: t.Service, Endpoint: t.ID}, maxWitnesses)
		v.unreachable = !reached && (answers > 0 || len(f.d.roster().peers) == 0)
		v.at = clock.Now()
	}
	return v.unreachable
}

// askReach asks some other daemons at once whether they reach an endpoint. It returns whether one does, or else how many
// have answered.
func (f *forwarder) askReach(ctx context.Context, p reach.Probe, daemons int) (reached bool, answers int) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	peers := f.d.roster().peers
	type outcome struct{ answered, reached bool }
	outcomes := make(chan outcome, daemons)
	asked := min(daemons, len(peers))
	for i, at := range rand.Perm(len(peers)) {
		if i == asked {
			break
		}
		name := peers[at].Name
		f.d.run(func() {
			var a reachReply
			b, err := f.d.Hub.Ask(ctx, name, askReach, conn.Marshal(reachQuery(p)))
			if err == nil {
				err = conn.Unmarshal(b, &a)
			}
			outcomes <- outcome{err == nil, err == nil && a.Reached}
		})
	}
	for range asked {
		o := <-outcomes
		if o.reached {
			return true, answers
		}
		if o.answered {
			answers++
		}
	}
	return false, answers
}

// answerReach answers whether this daemon reaches an endpoint.
func (f *forwarder) answerReach(body []byte) ([]byte, error) {
	var q reachQuery
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	w := f.d.Server.Works.ByKey(q.Service)
	if w == nil {
		return conn.Marshal(reachReply{}), nil
	}
	t := w.Pool.Get(q.Endpoint)
	return conn.Marshal(reachReply{Reached: t != nil && f.opens(t)}), nil
}
