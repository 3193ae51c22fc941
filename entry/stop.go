// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"streambend.example/clock"
)

const (
	// unreadyWait is how long the balancer may still send new connections: two checks one second
	// apart, and their network time.
	unreadyWait = 2400 * time.Millisecond
	// stopMargin is the part of the grace period reserved for the last bytes.
	stopMargin = 400 * time.Millisecond
	// idleCheck is how often idle connections are closed.
	idleCheck = 50 * time.Millisecond
	// leavePause is the time for the last frames to be sent.
	leavePause = 100 * time.Millisecond
)

// Stop shuts the daemon down gracefully: it becomes unready, closes idle connections, stops accepting
// new ones, finishes the running requests within the grace period, and leaves the mesh.
func (d *Daemon) Stop(ctx context.Context) {
	began := time.Now()
	d.stopping.Store(true)
	d.Server.EndBy(clock.Now().Add(unreadyWait), clock.Now().Add(d.Site().Bounds.Grace-stopMargin))
	d.updateReady(clock.Now())
	d.inbound.Drain()
	d.inbound.CloseIdle(began)
	freeing := ctx
	d.run(func() { d.duties.release(freeing) }) // in the background, as it waits for a running call
	ctx, cancel := context.WithDeadline(ctx, began.Add(d.Site().Bounds.Grace-stopMargin))
	defer cancel()
	unready, cancelWait := context.WithTimeout(ctx, unreadyWait)
	d.closeIdle(unready, false)
	cancelWait()
	d.callerListener.Close() // only the listener; the server goes on with its connections
	open := d.closeIdle(ctx, true)
	late := d.Server.Wait(ctx) // for requests that were taken over from other daemons, which have no connection of a caller
	d.gossip(clock.Now())
	d.Hub.Leave(time.Now())
	sleep(context.Background(), leavePause)
	d.log.WithField("part", "process").Infof("stop: after %s, %d connections still active, end of running requests: %v", time.Since(began).Round(time.Millisecond), open, late)
	d.Kill()
}

// closeIdle closes connections as they become idle until ctx ends, or until none is left if untilNone
// is set. It returns how many are still open.
func (d *Daemon) closeIdle(ctx context.Context, untilNone bool) (open int) {
	for {
		open = d.inbound.CloseIdle(time.Now())
		if ctx.Err() != nil || untilNone && open == 0 {
			return open
		}
		sleep(ctx, idleCheck)
	}
}

// Kill ends the daemon at once, without draining or notifying others.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.cancel()
	d.callers.Close()
	d.Server.Kill()
	d.checks.Close()
	d.peers.Close()
	d.Hub.Close()
	d.wg.Wait()
	d.Server.Client.Close()
	d.forwards.client.Close()
	d.externalClient.CloseIdleConnections()
}
