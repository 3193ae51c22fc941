// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"time"

	"streambend.example/code"
)

// admit waits until the service's queue admits the request.
func (r *run) admit(ctx context.Context) *code.Error {
	now := r.Now()
	if err := r.endsTooLate(now); err != nil {
		return err
	}
	r.life.apply(eventQueue)
	if !r.pathLost() { // otherwise the daemon that the request is sent through checks it
		r.Holds.awaitKnown(ctx)
		if err := r.checkHold(ctx); err != nil {
			return err
		}
	}
	r.ticket = Ticket{
		Team: r.req.Partner + "/" + r.req.Team, Weight: r.req.Weight, Interactive: r.req.Route.Interactive,
		Priority: r.req.Route.Priority, Target: r.req.target(), Deadline: r.req.Deadline, Expect: r.expect(),
		Least: r.least(now),
	}
	if r.opts.NoFairQueue {
		r.ticket.Team, r.ticket.Interactive, r.ticket.Priority = "", false, 0
	}
	if r.ticket.missesDeadline(now, 0) && now.Before(r.req.Deadline) && r.work.Times.Probe(now, r.req.Route.Name) {
		r.probe, r.ticket.Least = true, 0
	}
	if err := r.work.Queue.Enter(now, &r.ticket); err != nil {
		return err
	}
	if granted := r.awaitGrant(ctx, now); granted {
		return r.ticket.Err()
	}
	r.work.Queue.Leave(r.Now(), &r.ticket)
	if err := r.ticket.Err(); err != nil {
		return err
	}
	if err := r.endsTooLate(r.Now()); err != nil {
		return err
	}
	return code.New(code.DeadlineTooNear, "queued until the deadline was too near").After(r.ticket.Least)
}

// awaitGrant waits until the ticket is granted or refused, or reports false once the request cannot be served in time.
func (r *run) awaitGrant(ctx context.Context, now time.Time) bool {
	timer := time.NewTimer(r.nextCheck(now))
	defer timer.Stop()
	stopping := r.stop.began()
	for {
		select {
		case <-r.ticket.Ready():
			return true
		case <-ctx.Done():
			return false
		case <-stopping:
			stopping = nil
		case <-timer.C:
		}
		now = r.Now()
		if !now.Add(r.ticket.Least).Before(r.req.Deadline) || r.endsTooLate(now) != nil {
			return false
		}
		timer.Reset(r.nextCheck(now))
	}
}

// expect returns the expected service time of the request, 0 if it is not known.
func (r *run) expect() time.Duration {
	if r.req.IsModel() {
		return r.work.Speed.Expect(r.req.expectOut(), r.req.PromptTokens())
	}
	return r.work.Times.Expect(r.req.Route.Name)
}

// least returns the service time that the request surely takes, 0 if it is not known. A stream is not refused for it: that
// its engines are fast again would show only at the end of one that is let through.
func (r *run) least(now time.Time) time.Duration {
	if x := r.req.Relay; x != nil && x.Streaming {
		return 0
	}
	return r.work.Times.Least(now, r.req.Route.Name, r.req.size())
}
