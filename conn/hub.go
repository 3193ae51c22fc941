// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/seam"
)

// PeerPath is the HTTP path at which a daemon accepts links.
const PeerPath = "/peer"

const (
	maxFrame        = 4 << 20
	sendQueue       = 256
	dialTimeout     = 2 * time.Second
	maxClockSkew    = 5 * time.Minute // between boxes, when signatures are checked
	minDialBackoff  = 100 * time.Millisecond
	maxDialBackoff  = 5 * time.Second
	askAttempts     = 2
	idleLinkTimeout = 30 * time.Second // after which a link is closed that is neither wanted nor used
)

// Traffic holds the counters of what a Hub has sent and received.
type Traffic struct {
	SentBytes     int64
	SentFrames    int64
	ReceivedBytes int64
	Sent          [FrameKinds]int64 // bytes, by kind of frame
}

// Hub carries the frames of a Mesh over WebSockets. Link handshakes are signed
// with a secret that all daemons share.
type Hub struct {
	Mesh    *Mesh
	self    Member
	secret  []byte
	log     *logrus.Entry
	deliver func(now time.Time, d Delivery)
	answer  AskHandler
	client  *http.Client

	sentFrames, receivedBytes atomic.Int64
	sent                      [FrameKinds]atomic.Int64 // bytes

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	links        map[string]*link
	dialing      map[string]*dialState
	missingSince map[string]time.Time // when the link was first found missing
	asks         map[uint64]chan *ask
	nextAsk      uint64
}

type dialState struct {
	busy  bool
	fails int
	next  time.Time
}

// NewHub starts a hub that maintains the links the mesh wants. It passes received
// payloads to take and requests to answer.
func NewHub(mesh *Mesh, self Member, n seam.Network, secret string, log *logrus.Logger, take func(time.Time, Delivery), answer AskHandler) *Hub {
	h := &Hub{
		Mesh: mesh, self: self, secret: []byte(secret), log: log.WithField("part", "link"), deliver: take, answer: answer,
		client: seam.HTTPClient(n, 0), links: make(map[string]*link), dialing: make(map[string]*dialState), missingSince: make(map[string]time.Time),
		asks: make(map[uint64]chan *ask),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		tick := time.NewTicker(mesh.timing.Beat / 4)
		defer tick.Stop()
		for {
			select {
			case <-h.ctx.Done():
				return
			case now := <-tick.C:
				h.send(mesh.Tick(now))
				h.connect(now)
			}
		}
	}()
	return h
}

// Close closes all links without draining them.
func (h *Hub) Close() {
	h.cancel()
	h.mu.Lock()
	for _, l := range h.links {
		l.close()
	}
	h.mu.Unlock()
	h.wg.Wait()
	h.client.CloseIdleConnections()
}

// Traffic returns the current counters.
func (h *Hub) Traffic() Traffic {
	t := Traffic{SentFrames: h.sentFrames.Load(), ReceivedBytes: h.receivedBytes.Load()}
	for k := range h.sent {
		t.Sent[k] = h.sent[k].Load()
		t.SentBytes += t.Sent[k]
	}
	return t
}

// Broadcast broadcasts a payload to all daemons.
func (h *Hub) Broadcast(p Payload) { h.send(h.Mesh.Broadcast(p)) }

// SendTo sends a payload to one neighbour.
func (h *Hub) SendTo(name string, p Payload) { h.send([]Send{h.Mesh.Give(name, p)}) }

// Leave announces to all daemons that this one stops as planned. It queues the
// frames and does not wait until they are sent.
func (h *Hub) Leave(now time.Time) { h.send(h.Mesh.Leave(now)) }

func (h *Hub) send(out []Send) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range out {
		l := h.links[s.To]
		if l == nil {
			continue
		}
		select {
		case l.out <- s.Frame:
		default:
			// The send queue is full: drop the slow neighbour. The digest
			// exchange brings it up to date once it reconnects.
			l.close()
		}
	}
}

// connect dials wanted members that have no link, and closes links that have been
// unwanted and unused for idleLinkTimeout. Of two members the one with the lower name
// dials; the other dials only if that has not happened in time.
func (h *Hub) connect(now time.Time) {
	wanted := make(map[string]bool)
	for _, m := range h.Mesh.Wanted() {
		wanted[m.Name] = true
		if h.self.Name < m.Name || h.overdue(now, m.Name) {
			h.dial(now, m)
		}
	}
	if m, ok := h.Mesh.Retry(now); ok {
		h.dial(now, m)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, l := range h.links {
		switch {
		case wanted[name] || l.used.Swap(false):
			l.lastNeeded = now
		case now.Sub(l.lastNeeded) > idleLinkTimeout:
			l.close()
		}
	}
	for name := range h.missingSince {
		if !wanted[name] || h.links[name] != nil {
			delete(h.missingSince, name)
		}
	}
}

// overdue reports whether a link has been missing for so long that this side
// dials although the other side should.
func (h *Hub) overdue(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[name] != nil {
		return false
	}
	since, ok := h.missingSince[name]
	if !ok {
		h.missingSince[name] = now
	}
	return ok && now.Sub(since) > 2*h.Mesh.timing.Beat
}

// Join dials a member known only by its address, to join the overlay at startup.
func (h *Hub) Join(now time.Time, address string) {
	if address != h.self.Address {
		h.dial(now, Member{Name: "@" + address, Address: address})
	}
}

func (h *Hub) dial(now time.Time, m Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.dialing[m.Name]
	if d == nil {
		d = &dialState{}
		h.dialing[m.Name] = d
	}
	if h.links[m.Name] != nil || d.busy || now.Before(d.next) || h.ctx.Err() != nil {
		return
	}
	d.busy = true
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		err := h.open(m)
		h.Mesh.RecordDial(m.Name, Refused(err))
		h.mu.Lock()
		d.busy = false
		d.fails++
		if err == nil {
			d.fails = 0
		}
		wait := min(minDialBackoff<<min(d.fails, 10), maxDialBackoff)
		d.next = time.Now().Add(wait/2 + time.Duration(jitter()*float64(wait)/2))
		fails := d.fails
		h.mu.Unlock()
		if fails == 3 {
			h.log.Infof("link: member %s is unreachable: %v", m.Name, err)
			h.send(h.Mesh.Suspect(time.Now(), m.Name))
		}
	}()
}
