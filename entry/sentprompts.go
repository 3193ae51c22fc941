// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"streambend.example/conn"
	"streambend.example/request"
)

// Daemons inform each other of the prompts that they send to engines. In a small fleet each informs all
// others directly. In a large one each informs its zone's reader, and the readers forward that to each other
// and to their zones.

const (
	// sendsBatchDelay is how long prompts are batched before others are informed; it is short compared with the
	// time that an engine takes to process a prompt.
	sendsBatchDelay = 15 * time.Millisecond
	// relayBatchDelay is the same for a reader that forwards prompts of others. A frame costs a weak box more than
	// its content: with 25 ms, 83 daemons took a fifth more processor time over a day.
	relayBatchDelay = 60 * time.Millisecond
	// maxBatchedSends bounds a batch; the oldest are dropped, since engines have read them first.
	maxBatchedSends = 512
)

// sentBy holds the prompts sent by one daemon.
type sentBy struct {
	From  uint32               `codec:"d"` // number of the sending daemon, so that it does not count its own prompts again
	Sends []request.SentPrompt `codec:"s"`
}

// daemonNumber returns the number of a daemon in a sentBy. Two daemons with the same number only miss each
// other's prompts.
func daemonNumber(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// sendQueue batches the prompts that other daemons are to be informed of.
type sendQueue struct {
	mu     sync.Mutex
	own    []request.SentPrompt
	zone   []sentBy // from daemons of this zone
	beyond []sentBy // from the readers of other zones
	wake   chan struct{}
}

func (q *sendQueue) add(s request.SentPrompt) {
	q.mu.Lock()
	q.own = newestSends(append(q.own, s))
	q.mu.Unlock()
	q.signal()
}

// relay queues prompts of other daemons, for a reader to forward.
func (q *sendQueue) relay(in []sentBy, zone bool) {
	q.mu.Lock()
	if zone {
		q.zone = newestSends(append(q.zone, in...))
	} else {
		q.beyond = newestSends(append(q.beyond, in...))
	}
	q.mu.Unlock()
	q.signal()
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// newestSends returns the newest elements, at most maxBatchedSends.
func newestSends[T any](in []T) []T { return in[max(0, len(in)-maxBatchedSends):] }

// take returns and clears the batches by destination: what this zone has sent goes to all, what others have
// sent only to this zone.
func (q *sendQueue) take(self uint32) (zone, beyond []sentBy) {
	q.mu.Lock()
	defer q.mu.Unlock()
	zone, beyond = q.zone, q.beyond
	if len(q.own) > 0 {
		zone = append(zone, sentBy{From: self, Sends: q.own})
	}
	q.own, q.zone, q.beyond = nil, nil, nil
	return zone, beyond
}

// broadcastSends informs others of the prompts sent, a short while after the first of each batch.
func (d *Daemon) broadcastSends(ctx context.Context) {
	self := daemonNumber(d.Self.Name)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.sends.wake:
		}
		many := d.largeFleet()
		if many && d.isReader() {
			sleep(ctx, relayBatchDelay)
		} else {
			sleep(ctx, sendsBatchDelay)
		}
		zone, beyond := d.sends.take(self)
		if many {
			d.relaySends(zone, beyond)
		} else {
			d.sendBatch(d.Hub.Mesh.NeighbourNames(), zone)
		}
	}
}

// sendsDelay returns the longest delay until other daemons know of a prompt.
func (d *Daemon) sendsDelay() time.Duration {
	if d.largeFleet() {
		return sendsBatchDelay + 2*relayBatchDelay
	}
	return sendsBatchDelay
}

// sendBatch sends the same batch to each of some daemons.
func (d *Daemon) sendBatch(to []string, sends []sentBy) {
	if len(sends) == 0 || len(to) == 0 {
		return
	}
	b := conn.Marshal(sends)
	for _, name := range to {
		d.Hub.SendTo(name, conn.Payload{Sends: b})
	}
}

// relaySends sends batches to the zone's reader or, if this daemon is the reader, to the zone's daemons and
// the readers of the other zones.
func (d *Daemon) relaySends(zone, beyond []sentBy) {
	r := d.roster()
	if r.Known && r.Reader.Name != d.Self.Name {
		d.sendBatch([]string{r.Reader.Name}, zone)
		return
	}
	d.sendBatch(r.Beyond, zone)
	d.sendBatch(d.zonePeers(), append(zone, beyond...))
}

// zonePeers returns the other daemons of this daemon's zone.
func (d *Daemon) zonePeers() (names []string) {
	for _, m := range d.roster().members {
		if m.Zone == d.Self.Zone && m.Name != d.Self.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// receiveSends applies the prompts that others have sent.
func (d *Daemon) receiveSends(now time.Time, in conn.Delivery) {
	var sends []sentBy
	if err := conn.Unmarshal(in.Payload.Sends, &sends); err != nil {
		d.log.WithField("part", "sends").Warnf("invalid prompts from %s: %v", in.From, err)
		return
	}
	self := daemonNumber(d.Self.Name)
	for _, by := range sends {
		if by.From == self {
			continue
		}
		for _, s := range by.Sends {
			d.Server.Works.RecordSent(now, s)
		}
	}
	if d.largeFleet() && d.isReader() {
		d.sends.relay(sends, d.inZone(in.From))
	}
}

// inZone reports whether a daemon is in this daemon's zone.
func (d *Daemon) inZone(name string) bool {
	for _, m := range d.Hub.Mesh.Members() {
		if m.Name == name {
			return m.Zone == d.Self.Zone
		}
	}
	return false
}
