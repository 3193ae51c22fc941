// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/crash"
	"streambend.example/seam"
)

// HoldTransport connects a daemon's Holds to other daemons and to the table. With the zero
// value nothing is shared.
type HoldTransport struct {
	ReportEnd      func(conn.Payload)                // sends to the daemons that collect ends of endpoints
	Forward        func(from string, p conn.Payload) // forwards a report to those of them that its sender does not reach; nil for never
	Partial        func() bool                       // reports whether ends are sent to some daemons only; nil for no
	Collects       func() bool                       // reports whether this daemon is sent the ends that others see; nil for yes
	Broadcast      func(conn.Payload)                // sends to all daemons
	SendNeighbours func(conn.Payload)                // sends to the daemons that this one has links with
	Table          seam.Table                        // stores verdicts beyond the end of all daemons; nil for none
	WallClock      func(now time.Time) time.Time     // the wall-clock time; nil for the box's clock
	AwaitKnown     bool                              // requests wait for SetKnown after a start
}

// Holds holds back requests that crash endpoints. The other daemons must know a verdict
// before the caller's next retry reaches them, and so must daemons that start later:
// verdicts are sent to all daemons and stored in the table.
type Holds struct {
	Ledger crash.Ledger

	share    HoldTransport
	onEnd    func(now time.Time, endpoint string) // is called for each end
	log      *logrus.Entry
	now      func() time.Time
	ctx      context.Context // ends with the daemon
	Ended    atomic.Int64    // endpoints that this daemon has seen end while requests were running
	claiming atomic.Bool     // a trial is being claimed

	evaluateFrom time.Time // parts are not evaluated before; used by Evaluate alone

	began    time.Time
	known    chan struct{} // closed once the verdicts from before the start are known
	setKnown sync.Once
}

func newHolds(ctx context.Context, o *Options, log *logrus.Entry) *Holds {
	h := &Holds{share: o.Holds, now: o.now, log: log, ctx: ctx, began: o.now(), known: make(chan struct{})}
	if !o.Holds.AwaitKnown {
		h.SetKnown()
	}
	return h
}

// SetKnown records that the verdicts from before the start of this daemon are known.
func (h *Holds) SetKnown() { h.setKnown.Do(func() { close(h.known) }) }

// Known reports whether the verdicts from before the start of this daemon are known.
func (h *Holds) Known() bool {
	select {
	case <-h.known:
		return true
	default:
		return false
	}
}

// maxKnownWait is how long after the start of a daemon requests wait for the verdicts from before it: they are known within
// some tenths of a second, unless neither another daemon nor the table answers.
const maxKnownWait = time.Second

// awaitKnown waits until the verdicts from before the start are known, but not for long.
func (h *Holds) awaitKnown(ctx context.Context) {
	left := maxKnownWait - h.now().Sub(h.began)
	if h.Known() || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-h.known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reportEnd records and reports the end of an endpoint that this daemon has detected.
func (h *Holds) reportEnd(now time.Time, e crash.EndpointCrash) {
	h.Ended.Add(1)
	h.recordEnd(now, e)
	sendMessage(h.share.ReportEnd, holdMessage{End: &e})
}

// recordEnd records the end of an endpoint, reported by any daemon, and publishes new verdicts.
func (h *Holds) recordEnd(now time.Time, e crash.EndpointCrash) {
	h.onEnd(now, e.Endpoint)
	fresh, watched := h.Ledger.AddCrash(now, e)
	for _, v := range fresh {
		h.publish(now, v, logrus.Fields{"last_endpoint": e.Endpoint, "beside": len(e.Flights) - 1}, "request held back: it crashes endpoints")
	}
	if len(watched) > 0 && h.share.Partial != nil && h.share.Partial() {
		sendMessage(h.share.Broadcast, holdMessage{Watch: watched})
	}
}

// publish logs, sends and stores a new verdict.
func (h *Holds) publish(now time.Time, v crash.Verdict, f logrus.Fields, text string) {
	h.log.WithFields(f).WithFields(logrus.Fields{
		"print": v.Print.String(), "ends": v.Crashes, "until_s": v.Until.Sub(now).Seconds(), "tried_again_s": v.NextTrial.Sub(now).Seconds(),
	}).Warn(text)
	sendMessage(h.share.Broadcast, verdictMessage(now, v))
	h.storeVerdict(v)
}

// Evaluate publishes new verdicts on parts of prompts, at the daemons that collect ends of endpoints. The others have seen
// few of the ends and survivals, among which a part that came with the cause may look like it. A daemon that has begun to
// collect waits until parts in use elsewhere have been reported to survive. It is called by one goroutine at a time.
func (h *Holds) Evaluate(now time.Time) {
	if h.share.Collects != nil && !h.share.Collects() {
		h.evaluateFrom = now.Add(crash.PartVerdictDelay)
	}
	if now.Before(h.evaluateFrom) {
		h.Ledger.Expire(now)
		return
	}
	fresh, ended := h.Ledger.Evaluate(now)
	for _, v := range fresh {
		h.publish(now, v, logrus.Fields{"with": len(v.With)}, "requests with a part in their prompts held back: it crashes endpoints")
	}
	h.endVerdicts(ended, "verdict ended: a part of prompts explains its crashes")
}

// endVerdicts ends verdicts everywhere.
func (h *Holds) endVerdicts(prints []crash.Fingerprint, why string) {
	if len(prints) == 0 {
		return
	}
	for _, p := range prints {
		h.log.WithField("print", p.String()).Info(why)
		h.deleteVerdict(p)
	}
	sendMessage(h.share.Broadcast, holdMessage{Ended: prints})
}

// reportSurvival records that an endpoint has survived an answer here, and reports the parts that others suspect.
func (h *Holds) reportSurvival(now time.Time, s crash.Survival) {
	if s.Parts = h.recordSurvival(now, s); len(s.Parts) > 0 {
		sendMessage(h.share.ReportEnd, holdMessage{Survived: &s})
	}
}

// recordSurvival records that an endpoint has survived an answer, at any daemon. It returns the parts to report.
func (h *Holds) recordSurvival(now time.Time, s crash.Survival) (report []crash.Fingerprint) {
	report, ended := h.Ledger.Survived(now, s)
	h.endVerdicts(ended, "part of prompts answered: requests with it are no longer held back")
	return report
}

// recordSuccess records that a request was answered successfully, and clears suspicion of it everywhere.
func (h *Holds) recordSuccess(now time.Time, p crash.Fingerprint) {
	_, held := h.Ledger.Held(now, p)
	if !h.Ledger.Answered(now, p) {
		return
	}
	h.log.WithField("print", p.String()).Info("request answered: it is no longer suspected of crashing endpoints")
	sendMessage(h.share.Broadcast, holdMessage{Cleared: []crash.Fingerprint{p}})
	if held {
		h.deleteVerdict(p)
	}
}

// ResendVerdicts sends the verdicts in force once more, for daemons that have missed them.
func (h *Holds) ResendVerdicts(now time.Time) {
	if vs := h.Ledger.Verdicts(now); len(vs) > 0 {
		sendMessage(h.share.SendNeighbours, verdictMessage(now, vs...))
	}
}

// minTrialRetryAfter is the least Retry-After of a request that is held back, so that a running trial
// can end: most answers are complete by then.
const minTrialRetryAfter = 2 * time.Second

// checkHold returns an error for a request that is held back, unless its trial is due and this
// daemon wins the claim to run it.
func (r *run) checkHold(ctx context.Context) *code.Error {
	now := r.Now()
	v, held := r.Holds.Ledger.HeldRequest(now, r.print, r.parts())
	if !held || r.holdTrial && !r.life.MayHaveRun {
		return nil
	}
	if v.Due(now) && !r.life.MayHaveRun && r.Holds.claimTrial(ctx, now, v) {
		r.holdTrial = true
		return nil
	}
	return code.New(code.CrashesEndpoints, "%d endpoints have crashed while running it", v.Crashes).After(max(v.RetryAt().Sub(now), minTrialRetryAfter))
}
