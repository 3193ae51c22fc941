// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/pace"
)

// Permits grants requests to endpoints with an advertised rate limit, over all daemons.
type Permits interface {
	// Take requests a permit for one request to an endpoint, which ends by until. The request's place there is to be
	// released once it has ended; release is nil if there is nothing to release.
	Take(ctx context.Context, t *Target, until time.Time) (g pace.Grant, release func())
}

// permitLife is how long a permit is valid: a request that a suspended box sends later needs a new one.
const permitLife = 500 * time.Millisecond

// permit reports whether the request may be sent to the chosen endpoint: it takes a permit if the endpoint
// advertises a rate limit.
func (r *run) permit(ctx context.Context, c *Choice) bool {
	s := c.Target.readAdvertised()
	if r.opts.Permits == nil || !s.rateLimited.Load() {
		return true
	}
	if !s.requestingPermit.CompareAndSwap(false, true) {
		return false // another request is taking a permit since the choice was made
	}
	defer s.requestingPermit.Store(false)
	g, release := r.opts.Permits.Take(ctx, c.Target, r.giveUpAt())
	c.release = release
	now := r.Now()
	if !g.OK {
		s.refuse(now, g)
		if l := r.logEntry(now, logrus.InfoLevel); l != nil {
			l.WithFields(logrus.Fields{"endpoint": c.Target.ID, "per_second": c.Target.Limit().PerSecond, "room": c.Target.Limit().Room, "wait_ms": g.Wait.Milliseconds()}).
				Info("endpoint skipped: at its limit")
		}
		return false
	}
	if until := now.Add(permitLife); c.SendBy.IsZero() || until.Before(c.SendBy) {
		c.SendBy = until
	}
	return true
}

// atLimits returns the error for a request that every endpoint declines by its advertised rate limit or
// rest; nil, and the time to wait, if one will soon accept it or there is no such endpoint. A request that
// has been sent before always waits, since a refusal would end it.
func (r *run) atLimits(now time.Time, n Need) (wait time.Duration, err *code.Error) {
	at, gap, ok := r.work.Pool.FreeAt(now, n)
	if !ok {
		return routeRetryInterval, nil
	}
	wait = max(at.Sub(now), time.Millisecond)
	if wait <= routeRetryInterval || r.life.MayHaveRun {
		return min(wait, routeRetryInterval), nil
	}
	back := r.work.Pool.retrySchedule.next(now, at, gap).Sub(now)
	return 0, code.New(code.AtLimits, "no endpoint of %s accepts more requests for %s, as advertised", r.work.Pool.Service, wait.Round(time.Millisecond)).After(back)
}

// recordAdvertised records the state that the endpoint advertises about itself in an answer.
func (r *run) recordAdvertised(t *Target, h AnswerHead) {
	now, advertised := r.Now(), h.Said.Validated()
	r.logInvalid(t, advertised.Bad)
	fields := logrus.Fields{}
	// An answer without an ID may come from a proxy in front of the endpoint, so that a missing limit means
	// nothing.
	if advertised.Limited || !advertised.Malformed && h.ID != "" {
		if l, announce := t.RecordLimit(advertised.PerSecond, advertised.Brittle); announce {
			fields["per_second"], fields["room"], fields["turn"] = l.PerSecond, l.Room, l.Revision
		}
	}
	if advertised.Leaving && t.RecordLeaving(now, r.opts.Drain) {
		fields["leaves"], fields["left_ms"] = true, r.opts.Drain.Milliseconds()
	}
	if advertised.Backoff > 0 && t.RecordBackoff(now, advertised.Backoff) {
		fields["rest_ms"] = advertised.Backoff.Milliseconds()
	}
	if len(fields) == 0 {
		return
	}
	r.log.WithFields(fields).WithFields(logrus.Fields{"endpoint": t.ID, "request": r.req.ID}).
		Info("endpoint advertised new state")
	if r.opts.OnAdvertised != nil {
		r.opts.OnAdvertised(t.State(now))
	}
}

// logInvalid logs invalid advertised values, unless the value was the last one logged for its kind.
func (r *run) logInvalid(t *Target, bad []pace.InvalidValue) {
	for _, b := range bad {
		if t.ensureAdvertised().recordInvalid(b) {
			r.log.WithFields(logrus.Fields{"endpoint": t.ID, "value": b.Value, "request": r.req.ID}).
				Warnf("ignored an invalid %s advertised by the endpoint", b.What)
		}
	}
}

// free releases the request's place at its endpoint.
func (c Choice) free() {
	if c.release != nil {
		c.release()
	}
}
