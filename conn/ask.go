// SPDX-License-Identifier: MIT

package conn

import (
	"context"

	"github.com/pkg/errors"
)

// AskHandler handles a request from another daemon and returns the response body.
type AskHandler func(ctx context.Context, from, kind string, body []byte) ([]byte, error)

// ask is a request to one daemon, or the response to it.
type ask struct {
	ID     uint64 `codec:"i"`
	Kind   string `codec:"k,omitempty"`
	Body   []byte `codec:"b,omitempty"`
	Answer bool   `codec:"a,omitempty"`
	Error  string `codec:"e,omitempty"`
}

func (h *Hub) handleAsk(l *link, a *ask) {
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
		h.enqueue(h.ctx, l, message{Ask: reply})
	}()
}

func (h *Hub) enqueue(ctx context.Context, l *link, m message) {
	l.used.Store(true)
	select {
	case l.out <- frameOf(m):
	case <-l.dead:
	case <-ctx.Done():
	}
}

// Ask sends a request to one daemon and waits for the response. It opens a link if there is none.
func (h *Hub) Ask(ctx context.Context, name, kind string, body []byte) ([]byte, error) {
	var last error
	for range askAttempts {
		l, err := h.linkTo(ctx, name)
		if err != nil {
			last = err
			continue
		}
		b, err := h.askOnLink(ctx, l, kind, body)
		if err == nil {
			return b, nil
		}
		last = err
	}
	return nil, last
}

func (h *Hub) askOnLink(ctx context.Context, l *link, kind string, body []byte) ([]byte, error) {
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
	h.enqueue(ctx, l, message{Ask: &ask{ID: id, Kind: kind, Body: body}})
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

// linkTo returns the link to a member, and dials the member if there is none.
func (h *Hub) linkTo(ctx context.Context, name string) (*link, error) {
	h.mu.Lock()
	l := h.links[name]
	h.mu.Unlock()
	if l != nil {
		return l, nil
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
