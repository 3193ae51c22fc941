// SPDX-License-Identifier: MIT

package request

import (
	"sync"
	"time"

	"streambend.example/estimate"
	"streambend.example/mechanism"
	"streambend.example/version"
)

// ServiceState holds this daemon's runtime state of one service.
type ServiceState struct {
	Pool   *Pool
	Queue  *Queue
	Budget Retries
	Speed  *Speed         // of a service with engines
	Times  estimate.Times // of the answers, by route

	Streams estimate.Streams // of the answers that are streams
}

// Options configure how a daemon serves requests.
type Options struct {
	Zone             string
	Route            RoutePolicy
	Move             MovePolicy
	MaxQueued        int                      // maximum queued requests of one service
	FirstWait        time.Duration            // timeout for the first event of an endpoint
	Stall            time.Duration            // timeout between events of an endpoint
	Drain            time.Duration            // how long an endpoint continues after it announces that it leaves
	Grace            time.Duration            // how long a request continues past its deadline
	Detached         time.Duration            // how long an answer with an idempotency key continues without a reader
	Keep             time.Duration            // retention of a finished answer with an idempotency key
	KeepMost         int                      // maximum number of retained answers
	Transfer         float64                  // KV export rate of an engine, in tokens per second
	StartLimit       int                      // initial concurrency limit of a service
	NoLimit          bool                     // disables the adaptive limit, for comparison
	NoBudget         bool                     // disables the retry budget, for comparison
	NoFairQueue      bool                     // one queue for all teams, for comparison
	Retries          func(key string) Retries // returns the retry budget of a service, which no retry exceeds; nil for a share of the successes
	RouteWait        time.Duration            // maximum wait for an eligible endpoint; 0 for the request's deadline
	Listed           Listed                   // nil if the endpoint list never expires
	PreferRendezvous func() bool              // reports whether daemons see little of what others send; nil for no
	OnSent           func(s SentPrompt)       // called for each prompt sent to an engine; nil for none
	Without          mechanism.Set            // mechanisms that are switched off
	Trials           Trials                   // canary evaluation of rolled-out versions; nil for none
	SecondRuns       SecondRuns               // decides on second runs after an endpoint's own error; nil allows all
	Judge            JudgePolicy              // decides what follows an attempt; nil for Classify
	Permits          Permits                  // for endpoints with an advertised rate limit; nil for none
	OnAdvertised     func(w EndpointState)    // called when an endpoint's answers advertise new state; nil for none
	Forwarder        Forwarder                // sends requests through other daemons; nil if each daemon sends its own
	OnConnected      func(took time.Duration) // called when an attempt's connection is ready, with the time since its choice; may be nil
	OnFirstWrite     func(took time.Duration) // the same, called right before its first byte is written
	Holds            HoldTransport            // shares with other daemons which requests are held back

	Now          func() time.Time // clock for ages and deadlines; nil for time.Now
	RefreshClock func()           // refreshes Now after a wait; nil for nothing
}

// Listed returns the latest time to send a request to an endpoint chosen from the current list, zero for no
// limit; ok is false if the list is too old to choose from.
type Listed func(now time.Time) (until time.Time, ok bool)

// now returns the current time.
func (o *Options) now() time.Time {
	if o.Now == nil {
		return time.Now()
	}
	return o.Now()
}

// look refreshes the clock and returns the current time.
func (o *Options) look() time.Time {
	if o.RefreshClock != nil {
		o.RefreshClock()
	}
	return o.now()
}

// listed calls Listed, if set.
func (o *Options) listed(now time.Time) (until time.Time, ok bool) {
	if o.Listed == nil {
		return time.Time{}, true
	}
	return o.Listed(now)
}

// JudgePolicy decides what follows an attempt. It may correct the Aftermath.
type JudgePolicy func(now time.Time, a *AttemptOutcome) Verdict

func (o *Options) judge(now time.Time, a *AttemptOutcome) Verdict {
	if o.Judge != nil {
		return o.Judge(now, a)
	}
	return Classify(now, *a)
}

// retries returns the retry budget of a service.
func (o *Options) retries(key string) Retries {
	if o.Retries == nil {
		return NewBudget()
	}
	return o.Retries(key)
}

// Defaults returns the default options of a daemon.
func Defaults() Options {
	return Options{
		Route: RouteOurs, Move: MoveOurs, MaxQueued: 1024,
		FirstWait: 10 * time.Second, Stall: 5 * time.Second, Grace: 30 * time.Second,
		Detached: 15 * time.Second, Keep: time.Minute, KeepMost: 1024, Transfer: 20000, StartLimit: 64,
	}
}

// ServiceStates holds the ServiceState of each service.
type ServiceStates struct {
	opts Options
	mu   sync.RWMutex
	byID map[string]*ServiceState
}

func newWorks(o Options) *ServiceStates {
	return &ServiceStates{opts: o, byID: make(map[string]*ServiceState)}
}

// Get returns the ServiceState of a service and creates it at the first use.
func (w *ServiceStates) Get(s *version.Service) *ServiceState {
	key := s.Key()
	w.mu.RLock()
	k := w.byID[key]
	w.mu.RUnlock()
	if k != nil {
		return k
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if k = w.byID[key]; k != nil {
		return k
	}
	k = &ServiceState{
		Pool:   NewPool(key, w.opts.Zone, s.PerBox),
		Queue:  NewQueue(NewLimiter(w.opts.StartLimit, s.FirstToken.Duration), w.opts.MaxQueued),
		Budget: w.opts.retries(key),
		Speed:  &Speed{},
	}
	k.Pool.cost.NoStart = !w.opts.Without.On(mechanism.StartTime)
	w.byID[key] = k
	return k
}

// ByKey returns the state of a service, or nil.
func (w *ServiceStates) ByKey(key string) *ServiceState {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.byID[key]
}

// All returns the state of every service.
func (w *ServiceStates) All() []*ServiceState {
	w.mu.RLock()
	defer w.mu.RUnlock()
	out := make([]*ServiceState, 0, len(w.byID))
	for _, k := range w.byID {
		out = append(out, k)
	}
	return out
}

// Drop removes a service that is no longer configured.
func (w *ServiceStates) Drop(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, key)
}

// otherEndpoints returns at most the given number of endpoints other than t that do not leave: of its availability zone
// if there are any, else of all. Ejected ones come last.
func (w *ServiceStates) otherEndpoints(t *Target, most int) []*Target {
	var same, other, ejectedSame, ejectedOther []*Target
	for _, k := range w.All() {
		all := k.Pool.snapshot().all
		for i := range all {
			o := all[(i+pick(t.hash, len(all)))%len(all)]
			if _, leaving := o.Leaving(); leaving || o == t {
				continue
			}
			to := &other
			switch excluded := o.excluded.Load(); {
			case o.Zone == t.Zone && excluded:
				to = &ejectedSame
			case o.Zone == t.Zone:
				to = &same
			case excluded:
				to = &ejectedOther
			}
			*to = append(*to, o)
		}
	}
	if same = append(same, ejectedSame...); len(same) == 0 {
		same = append(other, ejectedOther...)
	}
	return same[:min(most, len(same))]
}

// Ejected returns the number of ejected endpoints of all services.
func (w *ServiceStates) Ejected() (n int) {
	for _, k := range w.All() {
		ejected, _ := k.Pool.ejected()
		n += ejected
	}
	return n
}

// ByHash returns the endpoint instance with an Endpoint.Hash, or nil.
func (w *ServiceStates) ByHash(hash uint64) *Target {
	for _, k := range w.All() {
		if t := k.Pool.snapshot().byHash[hash]; t != nil {
			return t
		}
	}
	return nil
}

// noLimit is a limit that is never reached.
const noLimit = 1 << 20

// Tick updates the state that changes with time. Each service's capacity is shared by the given number of
// daemons.
func (w *ServiceStates) Tick(now time.Time, daemons int) {
	for _, k := range w.All() {
		k.Pool.Tick(now)
		if w.opts.NoLimit {
			k.Queue.Limit.Fix(noLimit)
		} else if batch, _ := k.Pool.Capacity(); batch > 0 {
			k.Queue.Limit.SetCapacity(batch, daemons)
		}
		k.Queue.Tick(now)
	}
}

// Find returns the ServiceState and the endpoint of a box, or nil.
func (w *ServiceStates) Find(box string) (*ServiceState, *Target) {
	for _, k := range w.All() {
		if t := k.Pool.Get(box); t != nil {
			return k, t
		}
	}
	return nil, nil
}
