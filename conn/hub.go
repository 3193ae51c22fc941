// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/platform"
)

// PeerPath is where a daemon takes links.
const PeerPath = "/peer"

const (
	maxFrame   = 4 << 20
	sendQueue  = 256
	dialLimit  = 2 * time.Second
	clockSlack = 5 * time.Minute // between the boxes' clocks, for signatures
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
	askRetries = 2
	idleLink   = 30 * time.Second
)

// AskHandler answers another daemon's question.
type AskHandler func(ctx context.Context, from, kind string, body []byte) ([]byte, error)

// ask is a question to one daemon, or its answer.
type ask struct {
	ID     uint64 `codec:"i"`
	Kind   string `codec:"k,omitempty"`
	Body   []byte `codec:"b,omitempty"`
	Answer bool   `codec:"a,omitempty"`
	Error  string `codec:"e,omitempty"`
}

// Traffic counts what a Hub has sent and received.
type Traffic struct {
	SentBytes     int64
	SentFrames    int64
	ReceivedBytes int64
}

// Hub moves a Mesh's frames over WebSockets. The links are signed with a
// secret that all daemons share.
type Hub struct {
	Mesh   *Mesh
	self   Member
	secret []byte
	log    *logrus.Entry
	take   func(now time.Time, d Delivery)
	answer AskHandler
	client *http.Client

	sentBytes, sentFrames, gotBytes atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	dialing map[string]*dialState
	wanting map[string]time.Time // since when a link is missing
	asks    map[uint64]chan *ask
	nextAsk uint64
	blocked map[string]bool // for fault tests: no link with these
}

type dialState struct {
	busy  bool
	fails int
	next  time.Time
}

// link is one WebSocket to a member.
type link struct {
	peer Member
	ws   *websocket.Conn
	out  chan []byte
	dead chan struct{}
	once sync.Once
	idle time.Time // when it was last wanted
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.dead)
		l.ws.CloseNow()
	})
}

// NewHub returns a hub that keeps the links the mesh wants. Deliveries go to
// take, questions to answer.
func NewHub(mesh *Mesh, self Member, n platform.Network, secret string, log *logrus.Logger, take func(time.Time, Delivery), answer AskHandler) *Hub {
	h := &Hub{
		Mesh: mesh, self: self, secret: []byte(secret), log: log.WithField("part", "link"), take: take, answer: answer,
		client: platform.HTTPClient(n, 0), links: make(map[string]*link), dialing: make(map[string]*dialState), wanting: make(map[string]time.Time),
		asks: make(map[uint64]chan *ask), blocked: make(map[string]bool),
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

// Close ends all links at once.
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

// Traffic returns the counts so far.
func (h *Hub) Traffic() Traffic {
	return Traffic{SentBytes: h.sentBytes.Load(), SentFrames: h.sentFrames.Load(), ReceivedBytes: h.gotBytes.Load()}
}

// Block ends and refuses links with a member, for tests of cut networks.
func (h *Hub) Block(name string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blocked[name] = on
	if l := h.links[name]; on && l != nil {
		l.close()
	}
}

// Tell floods a payload to all daemons.
func (h *Hub) Tell(p Payload) { h.send(h.Mesh.Tell(p)) }

// Give sends a payload to one neighbour.
func (h *Hub) Give(name string, p Payload) { h.send([]Send{h.Mesh.Give(name, p)}) }

// Leave tells all daemons that this one stops, and leaves the frames a moment
// to go out.
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
			// A neighbour that takes nothing is worse than none: the digests
			// bring it up to date once it is back.
			l.close()
		}
	}
}

// sign returns the signature of words under the shared secret.
func (h *Hub) sign(words ...string) string {
	mac := hmac.New(sha256.New, h.secret)
	for _, w := range words {
		fmt.Fprintf(mac, "%d:%s,", len(w), w)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// The headers of a link's handshake.
const (
	headMember = "Streambend-Member"
	headNonce  = "Streambend-Nonce"
	headTime   = "Streambend-Time"
	headSign   = "Streambend-Sign"
)

// connect dials the wanted members that have no link, and closes links that
// have not been wanted for a while. Of two members the one with the lower name
// dials; the other only if that has not happened.
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
		case wanted[name]:
			l.idle = now
		case now.Sub(l.idle) > idleLink:
			l.close()
		}
	}
	for name := range h.wanting {
		if !wanted[name] || h.links[name] != nil {
			delete(h.wanting, name)
		}
	}
}

// overdue reports whether a link has been wanted in vain for so long that we
// dial although the other side should.
func (h *Hub) overdue(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[name] != nil {
		return false
	}
	since, ok := h.wanting[name]
	if !ok {
		h.wanting[name] = now
	}
	return ok && now.Sub(since) > 2*h.Mesh.timing.Beat
}

// Greet dials a member by address alone, for the start.
func (h *Hub) Greet(now time.Time, address string) {
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
	if h.links[m.Name] != nil || h.blocked[m.Name] || d.busy || now.Before(d.next) || h.ctx.Err() != nil {
		return
	}
	d.busy = true
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		err := h.open(m)
		h.mu.Lock()
		d.busy = false
		d.fails++
		if err == nil {
			d.fails = 0
		}
		wait := min(firstRetry<<min(d.fails, 10), lastRetry)
		d.next = time.Now().Add(wait/2 + time.Duration(jitter()*float64(wait)/2))
		fails := d.fails
		h.mu.Unlock()
		if fails == 3 {
			h.log.Infof("link: %s cannot be reached: %v", m.Name, err)
			h.send(h.Mesh.Suspect(time.Now(), m.Name))
		}
	}()
}

// open dials a member and starts the link.
func (h *Hub) open(m Member) error {
	ctx, cancel := context.WithTimeout(h.ctx, dialLimit)
	defer cancel()
	nonce := rand.Text()
	at := strconv.FormatInt(time.Now().UnixMilli(), 10)
	me := hex.EncodeToString(Marshal(h.self))
	head := http.Header{headMember: {me}, headNonce: {nonce}, headTime: {at}, headSign: {h.sign("dial", me, nonce, at)}}
	ws, resp, err := websocket.Dial(ctx, "ws://"+m.Address+PeerPath, &websocket.DialOptions{HTTPClient: h.client, HTTPHeader: head})
	if err != nil {
		return errors.Wrap(err, "conn: dial")
	}
	peer, err := h.verify("take", resp.Header, nonce)
	if err != nil {
		ws.CloseNow()
		return err
	}
	h.run(peer, ws)
	return nil
}

// verify checks the signature of the other side and returns who it is.
func (h *Hub) verify(role string, head http.Header, nonce string) (Member, error) {
	me, at := head.Get(headMember), head.Get(headTime)
	if !hmac.Equal([]byte(h.sign(role, me, nonce, at)), []byte(head.Get(headSign))) {
		return Member{}, errors.New("conn: wrong signature")
	}
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil || time.Since(time.UnixMilli(ms)).Abs() > clockSlack {
		return Member{}, errors.New("conn: signature of another time")
	}
	b, err := hex.DecodeString(me)
	if err != nil {
		return Member{}, errors.Wrap(err, "conn: member")
	}
	var m Member
	return m, Unmarshal(b, &m)
}

// ServeHTTP takes a link from another daemon.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nonce := r.Header.Get(headNonce)
	peer, err := h.verify("dial", r.Header, nonce)
	if err != nil {
		h.log.Warnf("link: refused: %v", err)
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	h.mu.Lock()
	refuse := h.blocked[peer.Name] || h.ctx.Err() != nil
	h.mu.Unlock()
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	at := strconv.FormatInt(time.Now().UnixMilli(), 10)
	me := hex.EncodeToString(Marshal(h.self))
	w.Header().Set(headMember, me)
	w.Header().Set(headTime, at)
	w.Header().Set(headSign, h.sign("take", me, nonce, at))
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	h.run(peer, ws)
}

// run starts the goroutines of a link. Of two links with the same member the
// newer one stays.
func (h *Hub) run(peer Member, ws *websocket.Conn) {
	ws.SetReadLimit(maxFrame)
	l := &link{peer: peer, ws: ws, out: make(chan []byte, sendQueue), dead: make(chan struct{}), idle: time.Now()}
	h.mu.Lock()
	if h.ctx.Err() != nil {
		h.mu.Unlock()
		ws.CloseNow()
		return
	}
	if old := h.links[peer.Name]; old != nil {
		old.close()
	}
	h.links[peer.Name] = l
	h.wg.Add(2)
	h.mu.Unlock()
	h.send(h.Mesh.Up(time.Now(), peer))
	go func() {
		defer h.wg.Done()
		h.write(l)
	}()
	go func() {
		defer h.wg.Done()
		h.read(l)
		l.close()
		h.mu.Lock()
		last := h.links[peer.Name] == l
		if last {
			delete(h.links, peer.Name)
		}
		h.mu.Unlock()
		if last {
			h.Mesh.Down(peer.Name)
		}
	}()
}

func (h *Hub) write(l *link) {
	for {
		select {
		case <-l.dead:
			return
		case f := <-l.out:
			ctx, cancel := context.WithTimeout(h.ctx, dialLimit)
			err := l.ws.Write(ctx, websocket.MessageBinary, f)
			cancel()
			if err != nil {
				l.close()
				return
			}
			h.sentBytes.Add(int64(len(f)))
			h.sentFrames.Add(1)
		}
	}
}

func (h *Hub) read(l *link) {
	for {
		_, f, err := l.ws.Read(h.ctx)
		if err != nil {
			return
		}
		h.gotBytes.Add(int64(len(f)))
		h.receive(l, f)
	}
}

func (h *Hub) receive(l *link, f []byte) {
	now := time.Now()
	var m message
	if decode(f, &m) == nil && m.Ask != nil {
		h.takeAsk(l, m.Ask)
		return
	}
	out, in, err := h.Mesh.Receive(now, l.peer.Name, f)
	if err != nil {
		h.log.Warnf("link: frame of %s: %v", l.peer.Name, err)
		return
	}
	h.send(out)
	for _, d := range in {
		h.take(now, d)
	}
}

func (h *Hub) takeAsk(l *link, a *ask) {
	if a.Answer {
		h.mu.Lock()
		ch := h.asks[a.ID]
		delete(h.asks, a.ID)
		h.mu.Unlock()
		if ch != nil {
			ch <- a
		}
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		body, err := h.answer(h.ctx, l.peer.Name, a.Kind, a.Body)
		reply := &ask{ID: a.ID, Answer: true, Body: body}
		if err != nil {
			reply.Error = err.Error()
		}
		h.push(l, encode(message{Ask: reply}))
	}()
}

func (h *Hub) push(l *link, f []byte) {
	select {
	case l.out <- f:
	case <-l.dead:
	}
}

// Ask asks one daemon, over a link opened for it if there is none.
func (h *Hub) Ask(ctx context.Context, name, kind string, body []byte) ([]byte, error) {
	var last error
	for range askRetries {
		l, err := h.linkTo(ctx, name)
		if err != nil {
			last = err
			continue
		}
		b, err := h.askOver(ctx, l, kind, body)
		if err == nil {
			return b, nil
		}
		last = err
	}
	return nil, last
}

func (h *Hub) askOver(ctx context.Context, l *link, kind string, body []byte) ([]byte, error) {
	ch := make(chan *ask, 1)
	h.mu.Lock()
	h.nextAsk++
	id := h.nextAsk
	h.asks[id] = ch
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.asks, id)
		h.mu.Unlock()
	}()
	h.push(l, encode(message{Ask: &ask{ID: id, Kind: kind, Body: body}}))
	select {
	case a := <-ch:
		if a.Error != "" {
			return nil, errors.New(a.Error)
		}
		return a.Body, nil
	case <-l.dead:
		return nil, errors.New("conn: the link closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// linkTo returns the link with a member, and dials it if there is none.
func (h *Hub) linkTo(ctx context.Context, name string) (*link, error) {
	h.mu.Lock()
	l, blocked := h.links[name], h.blocked[name]
	h.mu.Unlock()
	if l != nil {
		return l, nil
	}
	if blocked {
		return nil, errors.New("conn: blocked")
	}
	for _, m := range h.Mesh.Members() {
		if m.Name != name {
			continue
		}
		if err := h.open(m); err != nil {
			return nil, err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if l := h.links[name]; l != nil {
			return l, nil
		}
		return nil, errors.New("conn: the link closed")
	}
	return nil, errors.Errorf("conn: no member %s", name)
}
