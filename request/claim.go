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

// maxRowBytes is the maximum size in bytes of the row of a claim with its answer. The
// table's own limit is 400 KB per item.
const maxRowBytes = 256 << 10

// maxRemembered is the maximum number of released claims, and of taken ones, that are remembered.
const maxRemembered = 16384

// ClaimRow is the value of a claim's row in the table.
type ClaimRow struct {
	Holder   string    `json:"holder"` // the daemon, including its start, that may run the request
	Body     uint64    `json:"body"`   // hash of the request's body
	At       time.Time `json:"at"`
	Answered bool      `json:"answered,omitempty"`
	TooLarge bool      `json:"too_large,omitempty"`
	Answer   *Snapshot `json:"answer,omitempty"`
}

// ClaimState is the result of an attempt to claim a request.
type ClaimState int

// The results of an attempt to claim.
const (
	ClaimTaken    ClaimState = iota // claimed by this call: the request may be sent once
	ClaimAnswered                   // the request has run; the answer is in the row
	ClaimHeld                       // claimed by another daemon or an earlier call
	ClaimDown                       // the table is unavailable; nothing may be sent
)

// Claim is the result of Take.
type Claim struct {
	State ClaimState
	Row   ClaimRow
	rev   int64
	key   seam.Key
}

// Claims manages the rows that ensure that an unrepeatable request runs at most once.
type Claims struct {
	Self  string // unique to this start of the daemon
	Table seam.Table

	mu       sync.Mutex
	released *simplelru.LRU[string, bool] // claims released before sending
	taken    *simplelru.LRU[string, bool] // claims whose request may have been sent
}

// NewClaims returns the claims of a daemon.
func NewClaims(self string, t seam.Table) *Claims {
	// A forgotten release makes the outcome of a repeat unknown, but never causes a second run.
	released, _ := simplelru.NewLRU[string, bool](maxRemembered, nil)
	taken, _ := simplelru.NewLRU[string, bool](maxRemembered, nil)
	return &Claims{Self: self, Table: t, released: released, taken: taken}
}

// Take claims the request of a name. It must be called before the first byte is sent.
func (c *Claims) Take(ctx context.Context, now time.Time, name string, body uint64) Claim {
	return c.put(ctx, now, Claim{key: seam.Key{Part: claimPart, Sort: name}}, body)
}

// TakeOver takes over the claim of a holder that reported not to have run it.
func (c *Claims) TakeOver(ctx context.Context, now time.Time, from Claim) Claim {
	return c.put(ctx, now, from, from.Row.Body)
}

// put writes the row of a claim if it is still at the revision of from.
func (c *Claims) put(ctx context.Context, now time.Time, from Claim, body uint64) Claim {
	cl := Claim{State: ClaimTaken, key: from.key, rev: from.rev + 1, Row: ClaimRow{Holder: c.Self, Body: body, At: now}}
	v, err := json.Marshal(cl.Row)
	if err != nil {
		return Claim{State: ClaimDown, key: from.key}
	}
	err = seam.Put(ctx, c.Table, uuid.NewString(), seam.Write{Key: from.key, Rev: from.rev, Value: v})
	switch {
	case err == nil:
		c.recordTaken(from.key.Sort)
		return cl
	case errors.Is(err, seam.ErrConflict):
		return c.read(ctx, from.key)
	default:
		// The row may have been written although the call failed. Nothing is sent,
		// so the claim is remembered as released for a daemon that finds the row,
		// unless an earlier call of this name may have been sent.
		if !c.mayHaveSent(from.key.Sort) {
			c.recordReleased(from.key.Sort)
		}
		return Claim{State: ClaimDown, key: from.key}
	}
}

// read returns the existing claim of a key.
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

// recordReleased records a claim as released.
func (c *Claims) recordReleased(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released.Add(name, true)
	c.taken.Remove(name)
}

// forgetReleased removes the record of a released claim.
func (c *Claims) forgetReleased(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released.Remove(name)
}

// mayHaveSent reports whether this daemon may have sent the request of a name.
func (c *Claims) mayHaveSent(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken.Contains(name)
}

// recordTaken records a claim as taken.
func (c *Claims) recordTaken(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released.Remove(name)
	c.taken.Add(name, true)
}

// Released reports whether this daemon released the claim of a name before
// sending anything. It answers a daemon that has found the row.
func (c *Claims) Released(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released.Contains(name)
}

// Release deletes the claim of a request that was not sent.
func (c *Claims) Release(ctx context.Context, cl Claim) {
	c.recordReleased(cl.key.Sort)
	w := seam.Write{Key: cl.key, Rev: cl.rev, Delete: true}
	if c.Table.Write(ctx, uuid.NewString(), w) == nil {
		c.forgetReleased(cl.key.Sort)
	}
}

// Store stores the answer in the row of the claim, so that a repeated call gets it.
func (c *Claims) Store(ctx context.Context, cl Claim, s Snapshot) error {
	row := cl.Row
	row.Answered, row.Answer = true, &s
	v, err := json.Marshal(row)
	if err == nil && len(v) > maxRowBytes {
		row.Answer, row.TooLarge = nil, true
		v, err = json.Marshal(row)
	}
	if err != nil {
		return errors.Wrap(err, "request: claim")
	}
	return seam.Put(ctx, c.Table, uuid.NewString(), seam.Write{Key: cl.key, Rev: cl.rev, Value: v})
}
