// SPDX-License-Identifier: MIT

package resume

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Key identifies a stream. It is a cryptographic hash, so that no caller can choose an id that is taken for that of
// another team's stream.
type Key [16]byte

// NewKey returns the key of the stream that a request has begun, given what tells it from all others.
func NewKey(team, service, route, request string) Key {
	h := sha256.New()
	for _, s := range [...]string{team, service, route, request} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// Records holds the versions at which streams began, a bounded number of them and each for a bounded time. All methods
// may be called concurrently.
type Records struct {
	mu  sync.Mutex
	lru *simplelru.LRU[Key, record]
}

type record struct {
	version   string
	until     time.Time
	ambiguous bool // two versions were recorded
	own       bool // of a stream of this daemon, and not published
	service   string
}

// NewRecords returns an empty set of at most the given number of records; the oldest give way.
func NewRecords(most int) *Records {
	lru, _ := simplelru.NewLRU[Key, record](max(most, 1), nil) // fails for a size below 1 only
	return &Records{lru: lru}
}

// Put records the version at which a stream began, and keeps it until a time. A second version makes the record useless:
// the request's id was used twice.
func (r *Records) Put(now time.Time, k Key, version string, until time.Time) {
	r.put(now, k, record{version: version, until: until})
}

// putOwn is Put for a stream of this daemon that Unpublished is to return.
func (r *Records) putOwn(now time.Time, k Key, service, version string, until time.Time) {
	r.put(now, k, record{version: version, until: until, own: true, service: service})
}

func (r *Records) put(now time.Time, k Key, x record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.lru.Peek(k); ok && now.Before(old.until) {
		x.ambiguous = old.ambiguous || old.version != x.version
	}
	r.lru.Add(k, x)
	for {
		oldest, x, ok := r.lru.GetOldest()
		if !ok || now.Before(x.until) {
			return
		}
		r.lru.Remove(oldest)
	}
}

// Get returns the version at which a stream began; false if it is not known.
func (r *Records) Get(now time.Time, k Key) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.lru.Peek(k)
	if !ok || x.ambiguous || !now.Before(x.until) {
		return "", false
	}
	return x.version, true
}

// done drops the record of a stream that has reached its end, if it is not published.
func (r *Records) done(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.lru.Peek(k); ok && x.own {
		r.lru.Remove(k)
	}
}

// Unpublished returns the records of a service's streams that began through this daemon and have not been published, by
// version, and marks them as published.
func (r *Records) Unpublished(now time.Time, service string) map[string][]Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]Key)
	for _, k := range r.lru.Keys() {
		x, _ := r.lru.Peek(k)
		if !x.own || x.service != service || x.ambiguous || !now.Before(x.until) {
			continue
		}
		x.own = false
		r.lru.Add(k, x)
		out[x.version] = append(out[x.version], k)
	}
	return out
}

// Len returns the number of records.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lru.Len()
}
