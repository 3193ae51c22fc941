// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"streambend.example/seam"
)

// Machine is the endpoint that runs on a box.
type Machine interface {
	Address() string
	Notice(now time.Time) // a reclaim has been announced
	Kill()
}

// Cloud is the cloud API and the lagging box list.
type Cloud struct {
	// Launch starts the endpoint of a box.
	Launch func(seam.Box) Machine
	Boot   time.Duration // from order to live
	Lag    time.Duration // how late the list is

	mu      sync.Mutex
	prices  []seam.Price
	boxes   map[string]*cloudBox
	tokens  map[string]string
	refuse  map[string]bool // by zone/class/reclaimable
	history []listed
	refused int
}

type cloudBox struct {
	box     seam.Box
	machine Machine
	started time.Time
	ended   time.Time
}

type listed struct {
	at   time.Time
	page seam.BoxPage
}

// NewCloud returns a cloud with the given prices.
func NewCloud(prices []seam.Price) *Cloud {
	return &Cloud{
		prices: prices, boxes: make(map[string]*cloudBox),
		tokens: make(map[string]string), refuse: make(map[string]bool),
	}
}

func slotName(zone, class string, reclaimable bool) string {
	return fmt.Sprintf("%s/%s/%t", zone, class, reclaimable)
}

// Refuse makes starts of a kind fail, or lets them through again.
func (c *Cloud) Refuse(zone, class string, reclaimable, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse[slotName(zone, class, reclaimable)] = on
}

// Refused returns how many starts were refused.
func (c *Cloud) Refused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// boxName names the box of an order. The name follows from the order and not from
// when it came: daemons order at the same time, and the names decide which
// endpoint a prompt's head belongs to.
func boxName(token string) string { return fmt.Sprintf("box-%08x", uint32(xxhash.Sum64String(token))) }

// Start implements the order; the same token has one effect.
func (c *Cloud) Start(now time.Time, o seam.StartOrder) (seam.Box, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.tokens[o.Token]; ok {
		return c.boxes[id].box, true
	}
	if c.refuse[slotName(o.Zone, o.Class, o.Reclaimable)] {
		c.refused++
		return seam.Box{}, false
	}
	b := seam.Box{
		ID: boxName(o.Token), Token: o.Token, Partner: o.Partner, Service: o.Service,
		Zone: o.Zone, Class: o.Class, Reclaimable: o.Reclaimable, State: seam.BoxStarting, Price: c.price(o),
	}
	cb := &cloudBox{box: b, started: now}
	c.boxes[b.ID], c.tokens[o.Token] = cb, b.ID
	live := func() {
		m := c.Launch(b)
		c.mu.Lock()
		defer c.mu.Unlock()
		if cb.box.State == seam.BoxGone {
			m.Kill()
			return
		}
		cb.box.Address, cb.machine = m.Address(), m
		if cb.box.State == seam.BoxStarting {
			cb.box.State = seam.BoxLive
		}
		c.record(time.Now())
	}
	if c.Boot == 0 {
		go live()
	} else {
		time.AfterFunc(c.Boot, live)
	}
	c.record(now)
	return b, true
}

func (c *Cloud) price(o seam.StartOrder) float64 {
	for _, p := range c.prices {
		if p.Zone == o.Zone && p.Class == o.Class && p.Reclaimable == o.Reclaimable {
			return p.Hourly
		}
	}
	return 0
}

// Reclaim gives notice to the reclaimable boxes that match, and ends them
// when it has run out. It returns how many there are.
func (c *Cloud) Reclaim(now time.Time, notice time.Duration, match func(seam.Box) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, cb := range c.boxes {
		up := cb.box.State == seam.BoxLive || cb.box.State == seam.BoxStarting
		if !up || !cb.box.Reclaimable || !match(cb.box) {
			continue
		}
		n++
		cb.box.State, cb.box.Deadline = seam.BoxLeaving, now.Add(notice)
		if cb.machine != nil {
			cb.machine.Notice(now)
		}
		id := cb.box.ID
		time.AfterFunc(notice, func() { c.end(time.Now(), id) })
	}
	c.record(now)
	return n
}

func (c *Cloud) end(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cb := c.boxes[id]
	if cb == nil || cb.box.State == seam.BoxGone {
		return
	}
	cb.box.State, cb.ended = seam.BoxGone, now
	if cb.machine != nil {
		cb.machine.Kill()
	}
	c.record(now)
}

// record keeps the list as of now; the caller holds the lock.
func (c *Cloud) record(now time.Time) {
	var p seam.BoxPage
	if n := len(c.history); n > 0 {
		p.Seq = c.history[n-1].page.Seq
	}
	p.Seq++
	for _, cb := range c.boxes {
		p.Boxes = append(p.Boxes, cb.box)
	}
	sort.Slice(p.Boxes, func(i, j int) bool { return p.Boxes[i].ID < p.Boxes[j].ID })
	c.history = append(c.history, listed{at: now, page: p})
}

// List returns the list as it stood Lag ago.
func (c *Cloud) List(now time.Time, since int64) seam.BoxPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.history) - 1; i >= 0; i-- {
		if h := c.history[i]; now.Sub(h.at) >= c.Lag {
			if h.page.Seq == since {
				return seam.BoxPage{Seq: since}
			}
			return h.page
		}
	}
	return seam.BoxPage{}
}

// Boxes returns all boxes as they are, without lag.
func (c *Cloud) Boxes() []seam.Box {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []seam.Box
	for _, cb := range c.boxes {
		out = append(out, cb.box)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Cost returns what the boxes have cost up to now at their price, and what
// the same boxes would have cost on demand.
func (c *Cloud) Cost(now time.Time) (paid, onDemand float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cb := range c.boxes {
		end := now
		if !cb.ended.IsZero() {
			end = cb.ended
		}
		h := end.Sub(cb.started).Hours()
		paid += h * cb.box.Price
		onDemand += h * c.price(seam.StartOrder{Zone: cb.box.Zone, Class: cb.box.Class})
	}
	return paid, onDemand
}

// ServeHTTP answers what cloud.HTTP asks.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	var out any
	switch r.URL.Path {
	case "/start":
		var o seam.StartOrder
		json.NewDecoder(r.Body).Decode(&o)
		b, ok := c.Start(now, o)
		if !ok {
			w.WriteHeader(http.StatusInsufficientStorage)
			return
		}
		out = b
	case "/stop":
		var o struct{ Box string }
		json.NewDecoder(r.Body).Decode(&o)
		c.end(now, o.Box)
	case "/prices":
		c.mu.Lock()
		out = append([]seam.Price(nil), c.prices...)
		c.mu.Unlock()
	case "/notices":
		out = c.notices()
	case "/boxes":
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		out = c.List(now, since)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	json.NewEncoder(w).Encode(out)
}

func (c *Cloud) notices() []seam.Notice {
	out := []seam.Notice{}
	for _, b := range c.Boxes() {
		if b.State == seam.BoxLeaving {
			out = append(out, seam.Notice{Box: b.ID, Deadline: b.Deadline})
		}
	}
	return out
}

// SetLag changes how late the list is.
func (c *Cloud) SetLag(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Lag = d
}
