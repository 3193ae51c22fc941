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
)

// link is a WebSocket connection to a member.
type link struct {
	peer       Member
	ws         *websocket.Conn
	out        chan Frame
	dead       chan struct{}
	once       sync.Once
	lastNeeded time.Time   // when the link was last wanted or used
	used       atomic.Bool // a request or response has been sent since then
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.dead)
		l.ws.CloseNow()
	})
}

// sign returns the HMAC of words under the shared secret. Length prefixes keep them apart.
func (h *Hub) sign(words ...string) string {
	mac := hmac.New(sha256.New, h.secret)
	for _, w := range words {
		fmt.Fprintf(mac, "%d:%s,", len(w), w)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// Sign returns the signature of a message to another daemon outside a link.
func (h *Hub) Sign(message string) string { return h.sign("message", message) }

// Signed reports whether a daemon that shares the secret has signed a message.
func (h *Hub) Signed(message, signature string) bool {
	return hmac.Equal([]byte(h.Sign(message)), []byte(signature))
}

// Headers of the link handshake.
const (
	headMember = "Streambend-Member"
	headNonce  = "Streambend-Nonce"
	headTime   = "Streambend-Time"
	headSign   = "Streambend-Sign"
)

// open dials a member, verifies its signature and starts the link.
func (h *Hub) open(m Member) error {
	ctx, cancel := context.WithTimeout(h.ctx, dialTimeout)
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

// verify checks the signature of the remote side and returns its member record.
func (h *Hub) verify(role string, head http.Header, nonce string) (Member, error) {
	me, at := head.Get(headMember), head.Get(headTime)
	if !hmac.Equal([]byte(h.sign(role, me, nonce, at)), []byte(head.Get(headSign))) {
		return Member{}, errors.New("conn: wrong signature")
	}
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil || time.Since(time.UnixMilli(ms)).Abs() > maxClockSkew {
		return Member{}, errors.New("conn: signature timestamp is invalid or outside the clock skew limit")
	}
	b, err := hex.DecodeString(me)
	if err != nil {
		return Member{}, errors.Wrap(err, "conn: member")
	}
	var m Member
	return m, Unmarshal(b, &m)
}

// ServeHTTP accepts a link from another daemon.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nonce := r.Header.Get(headNonce)
	peer, err := h.verify("dial", r.Header, nonce)
	if err != nil {
		h.log.Warnf("link: handshake rejected: %v", err)
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if h.ctx.Err() != nil {
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

// run starts the goroutines of a link. It closes an older link to the same member.
func (h *Hub) run(peer Member, ws *websocket.Conn) {
	ws.SetReadLimit(maxFrame)
	l := &link{peer: peer, ws: ws, out: make(chan Frame, sendQueue), dead: make(chan struct{}), lastNeeded: time.Now()}
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
	greeting := h.Mesh.Up(time.Now(), peer) // under h.mu, as Down is, so that calls have the order of the links
	h.wg.Add(2)
	h.mu.Unlock()
	h.send(greeting)
	go func() {
		defer h.wg.Done()
		h.write(l)
	}()
	go func() {
		defer h.wg.Done()
		h.read(l)
		l.close()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.links[peer.Name] == l {
			delete(h.links, peer.Name)
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
			ctx, cancel := context.WithTimeout(h.ctx, dialTimeout)
			err := l.ws.Write(ctx, websocket.MessageBinary, f.Bytes)
			cancel()
			if err != nil {
				l.close()
				return
			}
			h.sent[f.Kind].Add(int64(len(f.Bytes)))
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
		h.receivedBytes.Add(int64(len(f)))
		h.receive(l, f)
	}
}

func (h *Hub) receive(l *link, f []byte) {
	now := time.Now()
	var m message
	if decode(f, &m) == nil && m.Ask != nil {
		h.handleAsk(l, m.Ask)
		return
	}
	out, in, err := h.Mesh.Receive(now, l.peer.Name, f)
	if err != nil {
		h.log.Warnf("link: invalid frame from %s: %v", l.peer.Name, err)
		return
	}
	h.send(out)
	for _, d := range in {
		h.deliver(now, d)
	}
}
