// SPDX-License-Identifier: MIT

package request

import (
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/conn"
)

// fields returns the fields common to all log lines of a request.
func (r *run) fields(now time.Time) logrus.Fields {
	return logrus.Fields{
		"request": r.req.ID, "print": r.print.String(), "service": strings.TrimPrefix(r.work.Pool.Service, "/"), "route": r.req.Route.Name, "team": r.req.Team,
		"attempt": r.attempts, "left_ms": r.req.Deadline.Sub(now).Milliseconds(), "age_ms": now.Sub(r.req.Arrived).Milliseconds(),
	}
}

// logEntry returns a log entry for the request, or nil if the level is disabled.
func (r *run) logEntry(now time.Time, level logrus.Level) *logrus.Entry {
	if !r.log.Logger.IsLevelEnabled(level) {
		return nil
	}
	return r.log.WithFields(r.fields(now))
}

// logChoice logs the chosen endpoint and the reason for the choice.
func (r *run) logChoice(now time.Time, c Choice) {
	l := r.logEntry(now, logrus.InfoLevel)
	if l == nil {
		return
	}
	f := logrus.Fields{
		"endpoint": c.Target.ID, "zone": c.Target.Zone, "load": c.Load, "load_age_ms": c.Target.reportAge(now).Milliseconds(), "why": c.Why,
	}
	if c.First > 0 || c.Fresh > 0 {
		f["wait_ms"], f["read_ms"] = c.Wait.Milliseconds(), c.Own.Milliseconds()
		f["fresh_tokens"], f["shared_fresh_tokens"] = c.Fresh, c.Shared
	} else {
		f["bound"], f["hit"] = c.Bound, c.Hit
	}
	switch {
	case c.Unbound:
		f["list_beyond_bound"] = true
	case !c.SendBy.IsZero():
		f["send_within_ms"] = c.SendBy.Sub(now).Milliseconds()
	}
	if c.Target.Version != "" {
		f["endpoint_version"] = c.Target.Version
	}
	if x := r.req.Relay; x != nil {
		if x.Resumes != "" {
			f["resumes"] = x.Resumes
		}
		if x.Position.Known {
			f["after_event"] = x.Position.Event
		}
	}
	if c.Expected > 0 {
		f["expected_ms"] = c.Expected.Milliseconds()
	}
	for i, o := range c.Others {
		if o.Target != nil {
			f["candidate_"+string(rune('a'+i))] = o.Target.ID
		}
	}
	l.WithFields(f).Info("routed")
}

// logAttempt logs an attempt that did not complete the request, and whether the retry budget allowed a retry.
func (r *run) logAttempt(now time.Time, t *Target, e Ending, v Verdict, budget bool, failure error) {
	if l := r.logEntry(now, logrus.InfoLevel); l != nil {
		f := logrus.Fields{
			"endpoint": t.ID, "ending": e.String(), "then": v.Action.String(), "may_have_run": r.life.MayHaveRun, "tokens": r.answer.tokenCount(),
			"endpoint_closed": conn.EndpointClosed(failure), "ends_before": r.Holds.Ledger.Suspected(r.print),
			"budget": budget, "charged": v.Action == Retry && v.Spend,
		}
		if x := r.req.Relay; x != nil && conn.EndpointClosed(failure) {
			f["parts"], f["events"] = sharedPartIDs(x.Parts), r.events
		}
		if r.failedBySelf(e, failure) {
			f["second_run"] = v.Action == Retry
		}
		l.WithFields(f).Infof("attempt ended: %v", failure)
	}
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// sharedPartIDs returns the ids of a prompt's parts but the last, as their callers write them.
func sharedPartIDs(parts []Part) string {
	var ids []string
	for i := 0; i+1 < len(parts) && i < maxLoggedParts; i++ {
		ids = append(ids, strconv.FormatUint(parts[i].ID, 16))
	}
	return strings.Join(ids, ",")
}

// logEnd logs the end of the request.
func (r *run) logEnd(now time.Time, err *code.Error) {
	level := logrus.InfoLevel
	if err != nil && err.Code.Ran() != code.NotRun {
		level = logrus.WarnLevel
	}
	l := r.logEntry(now, level)
	switch {
	case l == nil:
	case err == nil:
		f := logrus.Fields{"state": r.life.State()}
		if r.first > 0 {
			f["first_ms"], f["expected_ms"] = r.first.Milliseconds(), r.expected.Milliseconds()
		}
		l.WithFields(f).Info("answered")
	default:
		l.WithFields(logrus.Fields{
			"code": int(err.Code), "name": err.Code.Entry().Name, "ran": err.Code.Ran().String(), "retry_after_ms": err.RetryAfter.Milliseconds(),
		}).Log(level, "ended: "+err.Message)
	}
}

// logEject logs the ejection of an endpoint, the error behind it if there is one, and how many of the service's
// endpoints are ejected now.
func (r *run) logEject(t *Target, why string, failure error) {
	ejected, listed := r.work.Pool.ejected()
	r.log.WithFields(logrus.Fields{
		"endpoint": t.ID, "service": r.work.Pool.Service, "request": r.req.ID, "error": failure, "ejected": ejected, "listed": listed,
	}).Warnf("ejected: %s", why)
}
