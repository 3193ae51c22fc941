// SPDX-License-Identifier: MIT

package request

import (
	"sync"
	"time"

	"streambend.example/code"
)

// answerCache holds the running and recently finished answers, which repeated calls join by their key.
type answerCache struct {
	ttl         time.Duration
	maxFinished int

	mu     sync.Mutex
	byName map[string]*cacheEntry
	done   []*cacheEntry // finished, the oldest first
}

// cacheEntry is an entry of answerCache.
type cacheEntry struct {
	name       string
	body       uint64
	a          *Answer
	r          *Request
	finishedAt time.Time // when it finished
	finished   bool
}

func (k *answerCache) init(o Options) {
	k.ttl, k.maxFinished, k.byName = o.Keep, o.KeepMost, make(map[string]*cacheEntry)
}

// join returns the answer stored under a name, or adds a new one.
func (k *answerCache) join(now time.Time, name string, r *Request) (a *Answer, fresh bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	body := r.BodyHash()
	if old := k.byName[name]; old != nil {
		if old.body != body {
			return nil, false, code.New(code.KeyReused, "the key was used before with another body")
		}
		if !old.finished || old.a.reusable() {
			return old.a, false, nil
		}
	}
	e := &cacheEntry{name: name, body: body, a: NewAnswer(r.ID, r.Model.Max, Snapshot{}), r: r}
	k.byName[name] = e
	return e.a, true, nil
}

// reusable reports whether a finished answer may serve a repeated call. A refusal
// may not, since the request has not run.
func (a *Answer) reusable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err == nil || a.err.Code.Ran() != code.NotRun
}

// finish marks an answer as finished.
func (k *answerCache) finish(now time.Time, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.byName[name]; e != nil && !e.finished {
		e.finished, e.finishedAt = true, now
		k.done = append(k.done, e)
	}
	k.expire(now)
}

// expire removes the finished answers beyond the limits of age and number. The caller holds mu.
func (k *answerCache) expire(now time.Time) {
	n := 0
	for n < len(k.done) && (len(k.done)-n > k.maxFinished || now.Sub(k.done[n].finishedAt) > k.ttl) {
		if e := k.done[n]; k.byName[e.name] == e {
			delete(k.byName, e.name)
		}
		n++
	}
	k.done = k.done[n:]
}

// running reports whether the request of a name is running.
func (k *answerCache) running(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.byName[name]
	return e != nil && !e.finished
}

// AnswerClaim returns the state of a claim of this daemon, to answer another daemon's AskClaim.
func (s *Server) AnswerClaim(name string) HolderState {
	switch {
	case s.Claims.Released(name):
		return HolderReleased
	case s.kept.running(name):
		return HolderRunning
	case s.Claims.mayHaveSent(name):
		return HolderRan
	default:
		return HolderUnknown
	}
}

// Handover is the state of a keyed answer that a daemon gives to a peer as it
// shuts down.
type Handover struct {
	Name     string   `codec:"n"`
	Snapshot Snapshot `codec:"s"`
}

// HandOver ends the running keyed answers that may be repeated and returns
// their states, for a peer to keep until the callers reconnect.
func (s *Server) HandOver() []Handover {
	s.kept.mu.Lock()
	var es []*cacheEntry
	for _, e := range s.kept.byName {
		if !e.finished && !e.r.Unrepeatable {
			es = append(es, e)
		}
	}
	s.kept.mu.Unlock()
	var out []Handover
	for _, e := range es {
		e.a.settle(code.New(code.HandedOver, "reconnect with the key and the last event id").After(100 * time.Millisecond))
		out = append(out, Handover{Name: e.name, Snapshot: e.a.Snapshot()})
	}
	return out
}

// restore replaces the content of an answer by a stored one and ends it.
func (a *Answer) restore(s Snapshot) {
	a.mu.Lock()
	a.snap = s
	a.snap.Done = false
	a.mu.Unlock()
	a.settle(nil)
}

// firstTokenAt returns when the first token arrived.
func (a *Answer) firstTokenAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.first
}
