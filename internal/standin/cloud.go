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

// Machine is the endpoint process that runs on a box.
type Machine interface {
	Address() string
	Notice(now time.Time) // a reclaim has been announced
	Kill()
}

// Cloud simulates the cloud API and its delayed list of boxes.
type Cloud struct {
	// Launch starts the endpoint process of a box.
	Launch func(seam.Box) Machine
	Boot   time.Duration // from a start order until the box is live
	Lag    time.Duration // delay of the box list

	mu            sync.Mutex
	prices        []seam.Price
	boxes         map[string]*cloudBox
	tokens        map[string]string
	refusedKinds  map[string]bool // keyed by zone/class/reclaimable
	history       []boxListSnapshot
	refusedStarts int
}

type cloudBox struct {
	box     seam.Box
	machine Machine
	started time.Time
	ended   time.Time
}

type boxListSnapshot struct {
	at   time.Time
	page seam.BoxPage
}

// NewCloud returns a cloud with the given prices.
func NewCloud(prices []seam.Price) *Cloud {
	return &Cloud{
		prices: prices, boxes: make(map[string]*cloudBox),
		tokens: make(map[string]string), refusedKinds: make(map[string]bool),
	}
}

func boxKindKey(zone, class string, reclaimable bool) string {
	return fmt.Sprintf("%s/%s/%t", zone, class, reclaimable)
}

// Refuse makes start orders of a zone, class and reclaimability fail while on is true.
func (c *Cloud) Refuse(zone, class string, reclaimable, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedKinds[boxKindKey(zone, class, reclaimable)] = on
}

// Refused returns the number of refused start orders.
func (c *Cloud) Refused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedStarts
}

// boxName derives the ID of a box from the token of its start order rather than from arrival order:
// daemons send orders concurrently, and the IDs decide which endpoint a prompt prefix is routed to.
func boxName(token string) string { return fmt.Sprintf("box-%08x", uint32(xxhash.Sum64String(token))) }

// Start executes a start order. It is idempotent by token: a repeated token returns the same box.
func (c *Cloud) Start(now time.Time, o seam.StartOrder) (seam.Box, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.tokens[o.Token]; ok {
		return c.boxes[id].box, true
	}
	if c.refusedKinds[boxKindKey(o.Zone, o.Class, o.Reclaimable)] {
		c.refusedStarts++
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

// Reclaim gives notice to the reclaimable boxes that match and terminates them when the notice
// period ends. It returns the number of boxes.
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

// record appends the current box list to the history; the caller holds the lock.
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
	c.history = append(c.history, boxListSnapshot{at: now, page: p})
}

// List returns the box list as it was Lag ago, without boxes if its sequence number is since.
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

// Boxes returns the current state of all boxes, without lag.
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

// Cost returns what the boxes have cost until now at their own prices, and what they would have cost
// at the on-demand price.
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

// ServeHTTP serves the requests that cloud.HTTP sends.
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

// SetLag sets the delay of the box list.
func (c *Cloud) SetLag(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Lag = d
}
