// SPDX-License-Identifier: MIT

package resume

import (
	"sync"
	"time"
)

// Tracker is what one daemon knows of the versions at which streams began. All methods may be called concurrently.
type Tracker struct {
	records *Records

	mu       sync.Mutex
	first    bool // the system has not run before
	life     time.Duration
	services map[string]*history
}

// history is the history of a service's versions.
type history struct {
	Versions
	single bool // SingleListed, as last observed
}

// NewTracker returns a tracker of at most the given number of streams, each for a life time at most: the longest time for
// which a stream can be taken up after its first event. first is whether the whole system has not run before.
func NewTracker(most int, life time.Duration, first bool) *Tracker {
	return &Tracker{records: NewRecords(most), life: life, first: first, services: make(map[string]*history)}
}

// Records returns the number of streams whose version is recorded.
func (t *Tracker) Records() int { return t.records.Len() }

// SetLife changes the life time of streams.
func (t *Tracker) SetLife(life time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.life = life
}

// Observe records the versions of a service in a list of endpoints that was current at a moment. It returns the versions
// that may get requests, and the records that are to be published, by version: those of the open streams when a second
// version comes.
func (t *Tracker) Observe(now, listed time.Time, service string, versions []string) (settled []string, publish map[string][]Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.services[service]
	if v == nil {
		v = &history{}
		if t.first {
			v.Begin()
		}
		t.services[service] = v
	}
	before := v.single
	v.Life = t.life
	v.Observe(now, listed, versions)
	if v.single = v.SingleListed(now); before && !v.single {
		publish = t.records.Unpublished(now, service)
	}
	return v.Usable(now), publish
}

// Begin records the version at which a stream of this daemon begins or goes on, and reports whether the record is to be
// published. It is not while the service has had a single version, as every daemon knows that from its list.
func (t *Tracker) Begin(now time.Time, service string, k Key, version string) (publish bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.services[service]; v != nil && v.single && v.SingleListed(now) {
		t.records.putOwn(now, k, service, version, now.Add(t.life))
		return false
	}
	t.records.Put(now, k, version, now.Add(t.life))
	return true
}

// Receive records the version of a stream of another daemon.
func (t *Tracker) Receive(now time.Time, k Key, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.Put(now, k, version, now.Add(t.life))
}

// Restore records a stream from a Saved record.
func (t *Tracker) Restore(now time.Time, r SavedRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.Put(now, r.Key, r.Version, now.Add(min(r.Left, t.life)))
}

// Whole drops the record of a stream that has reached its end, if it has not been published.
func (t *Tracker) Whole(k Key) { t.records.done(k) }

// Known returns what is known of the version at which a service's stream began, given the age of the list of endpoints.
// The key is nil if the caller has not named the stream.
func (t *Tracker) Known(now time.Time, age time.Duration, service string, k *Key) Knowledge {
	if k != nil {
		if version, ok := t.records.Get(now, *k); ok {
			return Knowledge{version, Record}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.services[service]; v != nil {
		if version, ok := v.Certain(now, age); ok {
			return Knowledge{version, Certain}
		}
	}
	return Knowledge{}
}
