// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"streambend.example/conn"
	"streambend.example/request"
)

const (
	// holdsResendPeriod is the period at which held-back requests are sent to the neighbours again.
	holdsResendPeriod = time.Second
	// failureBroadcastRate (per second) and failureBroadcastBurst limit the endpoint failures that a
	// daemon broadcasts. When a zone of 200 endpoints loses power, each of 380 daemons has about 7
	// requests there; unlimited broadcasts over 16 links would cost each daemon 1.3 MB.
	failureBroadcastRate  = 2
	failureBroadcastBurst = 3
)

// holdShare returns the functions that share held-back requests with other daemons, over the
// mesh and through the table.
func (d *Daemon) holdShare() request.HoldTransport {
	ends := rate.NewLimiter(failureBroadcastRate, failureBroadcastBurst)
	return request.HoldTransport{
		Table:     d.tables.claim,
		Broadcast: func(p conn.Payload) { d.Hub.Broadcast(p) },
		ReportEnd: func(p conn.Payload) {
			if ends.AllowN(time.Now(), 1) {
				d.Hub.Broadcast(p)
			}
		},
		SendNeighbours: func(p conn.Payload) {
			for _, name := range d.Hub.Mesh.NeighbourNames() {
				d.Hub.SendTo(name, p)
			}
		},
	}
}

// loadHolds reads the requests held back by earlier daemons from the table, retrying until it succeeds.
func (d *Daemon) loadHolds(ctx context.Context) {
	for ctx.Err() == nil && !d.Server.Holds.LoadVerdicts(ctx) {
		sleep(ctx, seedPeriod)
	}
}
