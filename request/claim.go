// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"streambend.example/seam"
)

const claimPart = "claim"

// maxStored bounds the answer kept with a claim; the table's own bound is
// 400 KB for an item.
const maxStored = 256 << 10

// releasedKept bounds how many claims given up are remembered.
const releasedKept = 16384

// ClaimRow is the value of a claim's item.
type ClaimRow struct {
	Holder   string    `json:"holder"` // the daemon's start that may run it
	Body     uint64    `json:"body"`   // hash of the request's body
	At       time.Time `json:"at"`
	Answered bool      `json:"answered,omitempty"`
	TooLarge bool      `json:"too_large,omitempty"`
	Answer   *Snapshot `json:"answer,omitempty"`
}

// ClaimState is what became of an attempt to claim.
type ClaimState int

// The states of a claim.
const (
	ClaimTaken    ClaimState = iota // ours: the request may be sent, once
	ClaimAnswered                   // it has run; the answer is in the row
	ClaimHeld                       // another daemon, or an earlier call, has it
	ClaimDown                       // the table cannot tell; nothing may be sent
)

// Claim is the outcome of Take.
type Claim struct {
	State ClaimState
	Row   ClaimRow
	rev   int64
	key   seam.Key
}

// Claims keeps the rows that make an unrepeatable request run at most once.
type Claims struct {
	Self  string // unique to this start of the daemon
	Table seam.Table

	mu       sync.Mutex
	released *simplelru.LRU[string, bool] // claims given up before sending
	taken    *simplelru.LRU[string, bool] // claims that may have been sent
}

// NewClaims returns the claims of a daemon.
func NewClaims(self string, t seam.Table) *Claims {
	// A release that is forgotten makes a repeat unknown, never a second run.
	released, _ := simplelru.NewLRU[string, bool](releasedKept, nil)
	taken, _ := simplelru.NewLRU[string, bool](releasedKept, nil)
	return &Claims{Self: self, Table: t, released: released, taken: taken}
}

// Take claims the request of a name before its first byte is sent.
func (c *Claims) Take(ctx context.Context, now time.Time, name string, body uint64) Claim {
	return c.put(ctx, now, Claim{key: seam.Key{Part: claimPart, Sort: name}}, body)
}

// Over takes a claim over from a holder that has said it did not run it.
func (c *Claims) Over(ctx context.Context, now time.Time, from Claim) Claim {
	return c.put(ctx, now, from, from.Row.Body)
}

func (c *Claims) put(ctx context.Context, now time.Time, from Claim, body uint64) Claim {
	cl := Claim{State: ClaimTaken, key: from.key, rev: from.rev + 1, Row: ClaimRow{Holder: c.Self, Body: body, At: now}}
	v, err := json.Marshal(cl.Row)
	if err != nil {
		return Claim{State: ClaimDown, key: from.key}
	}
	err = seam.Put(ctx, c.Table, uuid.NewString(), seam.Write{Key: from.key, Rev: from.rev, Value: v})
	switch {
	case err == nil:
		c.mark(from.key.Sort)
		return cl
	case errors.Is(err, seam.ErrConflict):
		return c.read(ctx, from.key)
	default:
		// The row may stand although the table could not say so. Nothing is
		// sent, and whoever finds the row is told that; but an earlier call
		// of this name may have been.
		if !c.remembered(from.key.Sort) {
			c.remember(from.key.Sort)
		}
		return Claim{State: ClaimDown, key: from.key}
	}
}

func (c *Claims) read(ctx context.Context, key seam.Key) Claim {
	it, err := c.Table.Get(ctx, key)
	if err != nil {
		return Claim{State: ClaimDown, key: key}
	}
	cl := Claim{State: ClaimHeld, key: key, rev: it.Rev}
	if err := json.Unmarshal(it.Value, &cl.Row); err != nil {
		return Claim{State: ClaimDown, key: key}
	}
	if cl.Row.Answered {
		cl.State = ClaimAnswered
	}
	return cl
}

func (c *Claims) remember(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released.Add(name, true)
	c.taken.Remove(name)
}

func (c *Claims) forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released.Remove(name)
}

// remembered reports whether this daemon may have sent the request of a name.
func (c *Claims) remembered(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken.Contains(name)
}

func (c *Claims) mark(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released.Remove(name)
	c.taken.Add(name, true)
}

// Released reports whether this daemon gave up the claim of a name before it
// sent anything. It answers the daemon that finds the row.
func (c *Claims) Released(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released.Contains(name)
}

// Release gives a claim up whose request was not sent.
func (c *Claims) Release(ctx context.Context, cl Claim) {
	c.remember(cl.key.Sort)
	w := seam.Write{Key: cl.key, Rev: cl.rev, Delete: true}
	if c.Table.Write(ctx, uuid.NewString(), w) == nil {
		c.forget(cl.key.Sort)
	}
}

// Store keeps the answer with the claim, so that a repeated call gets it.
func (c *Claims) Store(ctx context.Context, cl Claim, s Snapshot) error {
	row := cl.Row
	row.Answered, row.Answer = true, &s
	v, err := json.Marshal(row)
	if err == nil && len(v) > maxStored {
		row.Answer, row.TooLarge = nil, true
		v, err = json.Marshal(row)
	}
	if err != nil {
		return errors.Wrap(err, "request: claim")
	}
	return seam.Put(ctx, c.Table, uuid.NewString(), seam.Write{Key: cl.key, Rev: cl.rev, Value: v})
}
