// SPDX-License-Identifier: MIT

package version

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/seam"
)

const (
	logPart          = "config"
	pointerPart      = "config-snapshot"
	pointerSort      = "latest"
	tailPageSize     = 100
	snapshotInterval = 64 // versions between two snapshots
	commitAttempts   = 8  // attempts to write the next version before Confirm returns a conflict
)

// Log is the configuration log, stored in the platform's table with snapshots in the
// object store.
type Log struct {
	Table   seam.Table
	Objects seam.Objects // nil disables snapshots
}

// sortKey pads a version with zeros, since the store sorts keys bytewise.
func sortKey(v int64) string { return fmt.Sprintf("%020d", v) }

func snapshotName(v int64) string { return "config/" + sortKey(v) }

// Tail returns up to tailLimit entries after a version, oldest first.
func (l Log) Tail(ctx context.Context, after int64) ([]Entry, error) {
	items, err := l.Table.Query(ctx, logPart, sortKey(after), tailPageSize)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(items))
	for _, it := range items {
		var e Entry
		if err := json.Unmarshal(it.Value, &e); err != nil {
			return nil, errors.Wrapf(err, "version: entry %s", it.Key.Sort)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Advance applies all newer entries in the table to a configuration, and returns the
// result and these entries.
func (l Log) Advance(ctx context.Context, c *Config) (*Config, []Entry, error) {
	var all []Entry
	for {
		entries, err := l.Tail(ctx, c.Version)
		if err != nil {
			return c, all, err
		}
		before := c.Version
		for _, e := range entries {
			c = c.Apply(e)
		}
		all = append(all, entries...)
		if len(entries) < tailPageSize || c.Version == before {
			return c, all, nil
		}
	}
}

// Load returns the newest configuration, from the newest snapshot, if any, and the
// entries after it.
func (l Log) Load(ctx context.Context) (*Config, error) {
	c := Empty()
	if s, err := l.snapshot(ctx); err == nil {
		c = s
	}
	c, _, err := l.Advance(ctx, c)
	return c, err
}

// snapshotPointer is the value of the item that refers to the newest snapshot.
type snapshotPointer struct {
	Version int64 `json:"version"`
}

func (l Log) snapshot(ctx context.Context) (*Config, error) {
	if l.Objects == nil {
		return nil, seam.ErrNotFound
	}
	it, err := l.Table.Get(ctx, seam.Key{Part: pointerPart, Sort: pointerSort})
	if err != nil {
		return nil, err
	}
	var p snapshotPointer
	if err := json.Unmarshal(it.Value, &p); err != nil {
		return nil, errors.Wrap(err, "version: pointer")
	}
	b, err := l.Objects.Get(ctx, snapshotName(p.Version))
	if err != nil {
		return nil, err
	}
	c := Empty()
	return c, errors.Wrap(json.Unmarshal(b, c), "version: snapshot")
}

// Snapshot writes the configuration to the object store if a snapshot is due, and
// updates the pointer. Any daemon may do so at any time: the content of a version is
// unique, and the pointer only increases.
func (l Log) Snapshot(ctx context.Context, c *Config) error {
	if l.Objects == nil || c.Version == 0 || c.Version%snapshotInterval != 0 {
		return nil
	}
	b, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "version: snapshot")
	}
	if err := l.Objects.Put(ctx, snapshotName(c.Version), b); err != nil && !errors.Is(err, seam.ErrConflict) {
		return err
	}
	key := seam.Key{Part: pointerPart, Sort: pointerSort}
	it, err := l.Table.Get(ctx, key)
	if err != nil && !errors.Is(err, seam.ErrNotFound) {
		return err
	}
	var p snapshotPointer
	if err == nil && json.Unmarshal(it.Value, &p) == nil && p.Version >= c.Version {
		return nil
	}
	v, _ := json.Marshal(snapshotPointer{Version: c.Version})
	return seam.Put(ctx, l.Table, uuid.NewString(), seam.Write{Key: key, Rev: it.Rev, Value: v})
}

// commitNonce returns the idempotency key for writing a plan as a version. It is the same
// on every daemon.
func commitNonce(plan string, v int64) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "%s/%d", plan, v)).String()
}

// Confirm commits a plan and returns the resulting configuration and the entries since c.
// It is idempotent for a plan that is already committed. The errors are code.Conflict and
// the others of Check, code.StoreDown if nothing was written, and code.OutcomeUnclear if
// the table's response was lost.
func (l Log) Confirm(ctx context.Context, now time.Time, c *Config, pool int, p Plan) (*Config, []Entry, error) {
	var all []Entry
	for range commitAttempts {
		next, fresh, err := l.Advance(ctx, c)
		c, all = next, append(all, fresh...)
		if err != nil {
			return c, all, code.New(code.StoreDown, "%v", err).After(time.Second)
		}
		if _, done := c.Applied[p.ID]; done {
			return c, all, nil
		}
		if err := Check(now, c, pool, p); err != nil {
			return c, all, err
		}
		e := Entry{Version: c.Version + 1, Plan: p.ID, Author: p.Author, At: now, Service: p.Service, Withdraw: p.Withdraw}
		v, err := json.Marshal(e)
		if err != nil {
			return c, all, errors.Wrap(err, "version: entry")
		}
		w := seam.Write{Key: seam.Key{Part: logPart, Sort: sortKey(e.Version)}, Value: v}
		err = seam.Put(ctx, l.Table, commitNonce(p.ID, e.Version), w)
		switch {
		case err == nil:
			return c.Apply(e), append(all, e), nil
		case errors.Is(err, seam.ErrConflict):
			continue // another change was committed first; read it and check again
		case seam.Ambiguous(err):
			return c, all, code.New(code.OutcomeUnclear, "%v", err).After(time.Second)
		default:
			return c, all, code.New(code.StoreDown, "%v", err).After(time.Second)
		}
	}
	return c, all, code.New(code.Conflict, "lost %d races for the next version", commitAttempts)
}
