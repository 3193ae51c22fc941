// SPDX-License-Identifier: MIT

package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// The bucket of an endpoint holds minBurst tokens plus those of burstWindow at its rate, since a
	// daemon takes a moment to ask again after its Grant.Wait.
	minBurst    = 2
	burstWindow = 250 * time.Millisecond
	// maxWait bounds the wait returned to a refused daemon, as fewer may be asking by then.
	// waitPerAsker is the least wait per asking daemon beyond that bound, which limits the load on the owner.
	maxWait      = 3 * time.Second
	waitPerAsker = 25 * time.Millisecond
	// askerTTL is how long after its last request a daemon counts as asking.
	askerTTL = 10 * time.Second
	// maxBuckets and bucketTTL bound the memory for endpoints that no daemon asks for.
	maxBuckets = 4096
	bucketTTL  = time.Minute
)

// Grant is the decision whether a request may be sent to an endpoint now.
type Grant struct {
	OK       bool          `codec:"o,omitempty"`
	Wait     time.Duration `codec:"w,omitempty"` // time until the daemon should ask again
	Interval time.Duration `codec:"g,omitempty"` // approximate time between two grants to the asker
}

// Limiter is a set of token buckets, one per rate-limited endpoint. The zero value is ready. The
// bucket of a new endpoint starts empty, as another owner may have granted requests a moment ago.
type Limiter struct {
	mu      sync.Mutex
	buckets map[uint64]*bucket
}

// bucket is the token bucket of one endpoint.
type bucket struct {
	tokens    float64
	updated   time.Time
	nextRetry time.Time            // end of the retry times already assigned
	askers    map[string]time.Time // time of each daemon's last request
}

// Allow takes a token for one request to an endpoint that accepts perSecond requests a second.
func (l *Limiter) Allow(now time.Time, endpoint uint64, perSecond float64, asker string) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, endpoint)
	b.askers[asker] = now
	b.refill(now, perSecond, minBurst+perSecond*burstWindow.Seconds())
	each := requestInterval(perSecond)
	askers := time.Duration(b.activeAskers(now))
	g := Grant{Interval: askers * each}
	if b.tokens >= 1 {
		b.tokens--
		g.OK = true
		return g
	}
	g.Wait = b.scheduleRetry(now, time.Duration((1-b.tokens)*float64(each)), each, max(maxWait, askers*waitPerAsker))
	return g
}

// AllowShare is Allow for a daemon that cannot reach the owner: it uses an even share of the limit.
// A new bucket starts with draw tokens, below 1, so that daemons that start together don't send at
// the same moment.
func (l *Limiter) AllowShare(now time.Time, endpoint uint64, perSecond, draw float64, sharers int) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := perSecond / float64(max(sharers, 1))
	_, known := l.buckets[endpoint]
	b := l.bucket(now, endpoint)
	if !known {
		b.tokens = draw
	}
	each := requestInterval(share)
	b.refillShare(now, share, each)
	if b.tokens >= 1 {
		b.tokens--
		return Grant{OK: true, Interval: each}
	}
	return Grant{Wait: max(time.Duration((1-b.tokens)*float64(each)), time.Millisecond), Interval: each}
}

// refill adds the tokens since the last update, up to most.
func (b *bucket) refill(now time.Time, perSecond, most float64) {
	if dt := now.Sub(b.updated); dt > 0 {
		b.tokens = min(b.tokens+perSecond*dt.Seconds(), most)
		b.updated = now
	}
}

// maxShareAge is how long a daemon may keep the token of its even share. If tokens were kept longer,
// all daemons could hold one and send at the same moment.
const maxShareAge = time.Second

// refillShare is refill for an even share. A token that is not used in time expires, and the next
// one comes at the time it would have come anyway.
func (b *bucket) refillShare(now time.Time, share float64, each time.Duration) {
	dt := now.Sub(b.updated)
	if dt <= 0 {
		return
	}
	level := b.tokens + share*dt.Seconds()
	if (level-1)*float64(each) > float64(maxShareAge) {
		level -= math.Floor(level)
	}
	b.tokens, b.updated = min(level, 1), now
}

// requestInterval is the time between two requests at a rate.
func requestInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minRate/maxBuckets))
}

// scheduleRetry returns how long a refused daemon waits before it asks again. Each gets a slot of
// its own, so that daemons ask no more often than the endpoint accepts requests.
func (b *bucket) scheduleRetry(now time.Time, first, each, longest time.Duration) time.Duration {
	if at := now.Add(first); b.nextRetry.Before(at) {
		b.nextRetry = at
	}
	wait := b.nextRetry.Sub(now)
	if wait >= maxWait {
		return longest
	}
	b.nextRetry = b.nextRetry.Add(each)
	return max(wait, time.Millisecond)
}

// activeAskers returns the number of daemons that asked within askerTTL.
func (b *bucket) activeAskers(now time.Time) int {
	for name, at := range b.askers {
		if now.Sub(at) > askerTTL {
			delete(b.askers, name)
		}
	}
	return len(b.askers)
}

// bucket returns the bucket of an endpoint, and creates it if needed. The caller holds the lock.
func (l *Limiter) bucket(now time.Time, endpoint uint64) *bucket {
	if b := l.buckets[endpoint]; b != nil {
		return b
	}
	if l.buckets == nil {
		l.buckets = make(map[uint64]*bucket)
	}
	if len(l.buckets) >= maxBuckets {
		l.evictIdle(now)
	}
	b := &bucket{updated: now, askers: make(map[string]time.Time)}
	l.buckets[endpoint] = b
	return b
}

// evictIdle deletes the buckets that were not used within bucketTTL. The caller holds the lock.
func (l *Limiter) evictIdle(now time.Time) {
	for k, b := range l.buckets {
		if now.Sub(b.updated) > bucketTTL {
			delete(l.buckets, k)
		}
	}
}
