// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"streambend.example/conn"
	"streambend.example/request"
)

const (
	// sendsPause is how long prompts are gathered before the others are told:
	// short beside the time that a prompt takes to be read.
	sendsPause = 15 * time.Millisecond
	// sendsMost bounds what is gathered; the oldest are the first to be read.
	sendsMost = 256
)

// sendQueue gathers the prompts that this daemon has sent to engines.
type sendQueue struct {
	mu    sync.Mutex
	queue []request.Sent
	wake  chan struct{}
}

func (q *sendQueue) add(s request.Sent) {
	q.mu.Lock()
	if len(q.queue) >= sendsMost {
		q.queue = q.queue[1:]
	}
	q.queue = append(q.queue, s)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *sendQueue) take() []request.Sent {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.queue
	q.queue = nil
	return out
}

// tellSends tells the neighbours of the prompts sent, a short while after the
// first of them.
func (d *Daemon) tellSends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.sends.wake:
		}
		sleep(ctx, sendsPause)
		if d.many() {
			d.sends.take() // the others take a prompt's home from its head alone
			continue
		}
		b := conn.Marshal(d.sends.take())
		for _, name := range d.Hub.Mesh.NeighbourNames() {
			d.Hub.Give(name, conn.Payload{Sends: b})
		}
	}
}

// hearSends takes in the prompts that a neighbour has sent.
func (d *Daemon) hearSends(now time.Time, in conn.Delivery) {
	var sends []request.Sent
	if err := conn.Unmarshal(in.Payload.Sends, &sends); err != nil {
		d.log.WithField("part", "sends").Warnf("of %s: %v", in.From, err)
		return
	}
	for _, s := range sends {
		d.Server.Works.HearSent(now, s)
	}
}
