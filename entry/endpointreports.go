// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/request"
)

// Daemons share what endpoints report about themselves in answers. In a small fleet each sends it to all
// others. In a large one each sends it to its zone's reader, and the readers forward it to each other and to
// their zones a few times a second: flooded over all links, the reports of a few dozen engines that pause
// again and again would exceed all other traffic of a daemon.

// reportSet holds the newest report of each endpoint.
type reportSet map[uint64]request.EndpointState

func (s reportSet) add(w request.EndpointState) { s[w.Endpoint] = s[w.Endpoint].With(w) }

// list returns the reports of some sets, one set after the other.
func list(sets ...reportSet) (out []request.EndpointState) {
	for _, s := range sets {
		for _, w := range s {
			out = append(out, w)
		}
	}
	return out
}

// reportExchange exchanges endpoints' reports with other daemons. Without them each daemon would learn the
// same from the endpoint itself sooner or later, by a request that is lost or exceeds a limit.
type reportExchange struct {
	d *Daemon

	mu       sync.Mutex
	known    reportSet // of endpoints that are not in this daemon's list
	zone     reportSet // to be sent to all: received by this daemon or by those whose reader it is
	beyond   reportSet // to be sent to the zone whose reader this daemon is
	lastSent time.Time // when reports were sent last
}

func newReportExchange(d *Daemon) reportExchange {
	return reportExchange{d: d, known: make(reportSet), zone: make(reportSet), beyond: make(reportSet)}
}

// maxUnlistedReports bounds the reports that are kept of endpoints not in the list.
const maxUnlistedReports = 1024

// queue queues a new report of an endpoint. It is sent with the next tick, as the answers that an endpoint
// gives at one time all report the same.
func (k *reportExchange) queue(w request.EndpointState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.zone.add(w)
}

// reportBatchDelay is how long reports are batched in a large fleet: a frame costs more than its content.
const reportBatchDelay = 200 * time.Millisecond

// flush sends the queued reports to other daemons.
func (k *reportExchange) flush(now time.Time) {
	many := k.d.largeFleet()
	k.mu.Lock()
	if many && now.Sub(k.lastSent) < reportBatchDelay {
		k.mu.Unlock()
		return
	}
	k.lastSent = now
	zone, both := list(k.zone), list(k.zone, k.beyond)
	clear(k.zone)
	clear(k.beyond)
	k.mu.Unlock()
	r := k.d.roster()
	switch {
	case len(both) == 0:
	case !many:
		k.sendReports(k.d.Hub.Mesh.NeighbourNames(), zone)
	case !k.d.isReader():
		k.sendReports([]string{r.Reader.Name}, zone)
	default:
		k.sendReports(r.Beyond, zone)
		k.sendReports(k.d.zonePeers(), both)
	}
}

func (k *reportExchange) sendReports(to []string, words []request.EndpointState) {
	if len(words) > 0 {
		k.d.sendToAll(to, conn.Payload{Words: conn.Marshal(words)})
	}
}

// receive takes in another daemon's reports, and queues them to be forwarded if this daemon is a reader.
func (k *reportExchange) receive(now time.Time, from string, b []byte) {
	if len(b) == 0 {
		return
	}
	var words []request.EndpointState
	if err := conn.Unmarshal(b, &words); err != nil {
		k.d.log.WithField("part", "endpoints").Warnf("invalid endpoint reports from %s: %v", from, err)
		return
	}
	pass := k.d.largeFleet() && k.d.isReader()
	inZone := pass && k.d.inZone(from)
	for _, w := range words {
		k.merge(now, w)
		k.mu.Lock()
		switch {
		case inZone:
			k.zone.add(w)
		case pass:
			k.beyond.add(w)
		}
		k.mu.Unlock()
	}
}

// merge merges a report and returns what is then known of the endpoint.
func (k *reportExchange) merge(now time.Time, w request.EndpointState) request.EndpointState {
	if t := k.d.Server.Works.ByHash(w.Endpoint); t != nil {
		t.MergeState(now, w, k.d.Site().Bounds.Drain)
		return t.State(now)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.known) >= maxUnlistedReports {
		clear(k.known)
	}
	w.Rest = 0 // the rest may be over by the time the endpoint is listed
	k.known.add(w)
	return k.known[w.Endpoint]
}

// applyPending applies earlier reports to an endpoint that has been listed just now, for the first time or
// again. It returns the endpoint, which may be nil.
func (k *reportExchange) applyPending(t *request.Target) *request.Target {
	if t == nil {
		return nil
	}
	k.mu.Lock()
	w, ok := k.known[t.Hash()]
	delete(k.known, t.Hash())
	k.mu.Unlock()
	now := clock.Now()
	if w = w.With(t.State(now)); ok || w.Leaves {
		t.MergeState(now, w, k.d.Site().Bounds.Drain)
	}
	return t
}
