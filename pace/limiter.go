// SPDX-License-Identifier: MIT

package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// burst is how many requests an endpoint gets at once that had fewer than it takes, and
	// burstTime for which time of its limit besides: who may send next needs a moment to.
	burst     = 2
	burstTime = 250 * time.Millisecond
	// longestWait bounds when a daemon is told to ask again, for then there may be fewer
	// that ask, and waitEach is the least time for each that asks: so many questions a
	// second cost whoever grants little.
	longestWait = 3 * time.Second
	waitEach    = 25 * time.Millisecond
	// askerLife is for how long one that has asked is taken to ask again.
	askerLife = 10 * time.Second
	// bucketsMost and bucketIdle bound what is kept of endpoints that nobody asks for.
	bucketsMost = 4096
	bucketIdle  = time.Minute
)

// Grant is the answer to whether a request may be sent to an endpoint now.
type Grant struct {
	OK   bool          `codec:"o,omitempty"`
	Wait time.Duration `codec:"w,omitempty"` // until it is worth asking again
	Gap  time.Duration `codec:"g,omitempty"` // between two grants for the asker, about
}

// Limiter grants requests to endpoints that limit themselves. The zero value is ready; an endpoint that
// it does not know yet gets nothing at first, as another may have granted a moment ago.
type Limiter struct {
	mu      sync.Mutex
	buckets map[uint64]*bucket
}

// bucket is what an endpoint may still get.
type bucket struct {
	level  float64
	at     time.Time
	next   time.Time            // until when those that were refused have been given their turns
	askers map[string]time.Time // when each asked last
}

// Allow asks for one request to an endpoint that takes so many a second.
func (l *Limiter) Allow(now time.Time, endpoint uint64, perSecond float64, asker string) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, endpoint)
	b.askers[asker] = now
	b.refill(now, perSecond, burst+perSecond*burstTime.Seconds())
	each := perRequest(perSecond)
	asking := time.Duration(b.asking(now))
	g := Grant{Gap: asking * each}
	if b.level >= 1 {
		b.level--
		g.OK = true
		return g
	}
	g.Wait = b.reserve(now, time.Duration((1-b.level)*float64(each)), each, max(longestWait, asking*waitEach))
	return g
}

// AllowShare is Allow for a daemon that hears nobody who grants: it uses an even share of the limit. It
// begins somewhere within the time that gives it one request, by a draw below 1, so that many
// that begin together send one after the other.
func (l *Limiter) AllowShare(now time.Time, endpoint uint64, perSecond, draw float64, sharers int) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := perSecond / float64(max(sharers, 1))
	_, known := l.buckets[endpoint]
	b := l.bucket(now, endpoint)
	if !known {
		b.level = draw
	}
	each := perRequest(share)
	b.refillShare(now, share, each)
	if b.level >= 1 {
		b.level--
		return Grant{OK: true, Gap: each}
	}
	return Grant{Wait: max(time.Duration((1-b.level)*float64(each)), time.Millisecond), Gap: each}
}

// refill brings what an endpoint may still get up to now.
func (b *bucket) refill(now time.Time, perSecond, most float64) {
	if dt := now.Sub(b.at); dt > 0 {
		b.level = min(b.level+perSecond*dt.Seconds(), most)
		b.at = now
	}
}

// shareKept is for how long a daemon may use the request that its even share gives it. Saved up for longer,
// all daemons would have one to send as they next use their shares.
const shareKept = time.Second

// refillShare is refill for an even share: what was not used in its time is lost, and the next request comes
// when it would have come.
func (b *bucket) refillShare(now time.Time, share float64, each time.Duration) {
	dt := now.Sub(b.at)
	if dt <= 0 {
		return
	}
	level := b.level + share*dt.Seconds()
	if (level-1)*float64(each) > float64(shareKept) {
		level -= math.Floor(level)
	}
	b.level, b.at = min(level, 1), now
}

// perRequest is the time for one request.
func perRequest(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, leastPerSecond/bucketsMost))
}

// reserve returns when one that is refused may ask again: each in turn, so that all who ask cost no
// more questions than the endpoint takes requests.
func (b *bucket) reserve(now time.Time, first, each, longest time.Duration) time.Duration {
	if at := now.Add(first); b.next.Before(at) {
		b.next = at
	}
	wait := b.next.Sub(now)
	if wait >= longestWait {
		return longest
	}
	b.next = b.next.Add(each)
	return max(wait, time.Millisecond)
}

// asking returns how many have asked lately.
func (b *bucket) asking(now time.Time) int {
	for name, at := range b.askers {
		if now.Sub(at) > askerLife {
			delete(b.askers, name)
		}
	}
	return len(b.askers)
}

// bucket returns an endpoint's; the caller holds the lock.
func (l *Limiter) bucket(now time.Time, endpoint uint64) *bucket {
	if b := l.buckets[endpoint]; b != nil {
		return b
	}
	if l.buckets == nil {
		l.buckets = make(map[uint64]*bucket)
	}
	if len(l.buckets) >= bucketsMost {
		l.forget(now)
	}
	b := &bucket{at: now, askers: make(map[string]time.Time)}
	l.buckets[endpoint] = b
	return b
}

// forget drops what nobody has asked for lately; the caller holds the lock.
func (l *Limiter) forget(now time.Time) {
	for k, b := range l.buckets {
		if now.Sub(b.at) > bucketIdle {
			delete(l.buckets, k)
		}
	}
}
