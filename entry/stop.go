// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"
)

const (
	// unreadyWait is how long the balancer needs to send no more connections:
	// two checks a second apart, and their way.
	unreadyWait = 2400 * time.Millisecond
	// stopMargin is left of the grace period for the last bytes.
	stopMargin = 400 * time.Millisecond
	// leavePause lets the last frames go out.
	leavePause = 100 * time.Millisecond
)

// Stop stops the daemon as planned: unready, then closed to new connections,
// then finished, then gone.
func (d *Daemon) Stop(ctx context.Context) {
	began := time.Now()
	d.stopping.Store(true)
	d.judgeReady(began)
	d.callers.SetKeepAlivesEnabled(false)
	d.duties.release(ctx)
	ctx, cancel := context.WithDeadline(ctx, began.Add(d.Site().Bounds.Grace-stopMargin))
	defer cancel()
	sleep(ctx, unreadyWait)
	err := d.callers.Shutdown(ctx)
	d.gossip(time.Now())
	d.Hub.Leave(time.Now())
	sleep(context.Background(), leavePause)
	d.log.WithField("part", "process").Infof("stop: after %s, %v", time.Since(began).Round(time.Millisecond), err)
	d.Kill()
}

// Kill ends the daemon without notice to anyone.
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
	d.outside.CloseIdleConnections()
}
