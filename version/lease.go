// SPDX-License-Identifier: MIT

package version

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"streambend.example/seam"
)

const leasePart = "lease"

// LeaseRow is the value of a lease's item.
type LeaseRow struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"` // increases with each change of holder; the fencing token
	Free   bool   `json:"free,omitempty"`
}

// ReadLease returns the lease row of a shard, or an empty row if it has never been held.
func ReadLease(ctx context.Context, t seam.Table, shard string) (LeaseRow, error) {
	var row LeaseRow
	it, err := t.Get(ctx, seam.Key{Part: leasePart, Sort: shard})
	if errors.Is(err, seam.ErrNotFound) {
		return row, nil
	}
	if err != nil {
		return row, err
	}
	return row, errors.Wrapf(json.Unmarshal(it.Value, &row), "version: lease %s", shard)
}

// Lease is one daemon's view of the lease of one shard. Clocks are not compared
// between boxes: a holder measures the term from before its write, a challenger
// from after its read, each on its own monotonic clock.
type Lease struct {
	Shard  string
	Self   string // holder id, unique to this start of the daemon
	Term   time.Duration
	Margin time.Duration // the holder stops this long before its term ends

	// Abandoned is an epoch whose holder has announced, by other means than the
	// table, that it has stopped acting.
	Abandoned int64

	previous  LeaseRow // the row that this daemon last took over from
	row       LeaseRow
	rev       int64
	observed  time.Time // a time after rev was first read; zero until the next Step
	heldUntil time.Time
}

// Held reports whether this daemon holds the lease at now, and the epoch of the lease. It
// must be called again before each fenced command.
func (l *Lease) Held(now time.Time) (epoch int64, ok bool) {
	return l.row.Epoch, l.row.Holder == l.Self && now.Before(l.heldUntil)
}

// Ends returns the end of this daemon's term, including the margin, as challengers observe it.
func (l *Lease) Ends() time.Time { return l.heldUntil.Add(l.Margin) }

// Replaced returns the previous holder when this daemon last acquired the lease; empty if there was none.
func (l *Lease) Replaced() LeaseRow { return l.previous }

// Holder returns the lease row that was last read or written.
func (l *Lease) Holder() LeaseRow { return l.row }

func (l *Lease) key() seam.Key { return seam.Key{Part: leasePart, Sort: l.Shard} }

// Step reads the lease, and renews or acquires it if that is due. now must be taken
// before the call.
func (l *Lease) Step(ctx context.Context, now time.Time, t seam.Table) error {
	if l.observed.IsZero() {
		// The read that returned this revision has completed, however long it
		// took, and the holder's term began before it.
		l.observed = now
	}
	if _, held := l.Held(now); !held || l.rev == 0 {
		if err := l.read(ctx, now, t); err != nil {
			return err
		}
	}
	next, due := l.next(now)
	if !due {
		return nil
	}
	return l.write(ctx, now, t, next)
}

// next returns the row to write, and false if no write is due.
func (l *Lease) next(now time.Time) (LeaseRow, bool) {
	if _, held := l.Held(now); held {
		return l.row, true
	}
	stale := !l.observed.IsZero() && now.Sub(l.observed) >= l.Term
	left := l.row.Epoch > 0 && l.row.Epoch <= l.Abandoned
	if l.rev == 0 || l.row.Free || left || l.row.Holder == l.Self || stale {
		return LeaseRow{Holder: l.Self, Epoch: l.row.Epoch + 1}, true
	}
	return LeaseRow{}, false
}

func (l *Lease) read(ctx context.Context, now time.Time, t seam.Table) error {
	it, err := t.Get(ctx, l.key())
	if errors.Is(err, seam.ErrNotFound) {
		l.row, l.rev, l.observed = LeaseRow{}, 0, time.Time{}
		return nil
	}
	if err != nil {
		return err
	}
	if it.Rev == l.rev {
		return nil
	}
	var row LeaseRow
	if err := json.Unmarshal(it.Value, &row); err != nil {
		return errors.Wrapf(err, "version: lease %s", l.Shard)
	}
	if row.Holder != l.row.Holder || row.Epoch != l.row.Epoch {
		l.heldUntil = time.Time{}
	}
	l.row, l.rev, l.observed = row, it.Rev, time.Time{}
	return nil
}

func (l *Lease) write(ctx context.Context, now time.Time, t seam.Table, row LeaseRow) error {
	v, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "version: lease")
	}
	err = seam.Put(ctx, t, uuid.NewString(), seam.Write{Key: l.key(), Rev: l.rev, Value: v})
	switch {
	case err == nil:
		if row.Epoch != l.row.Epoch {
			l.previous = l.row
		}
		l.row, l.rev, l.observed = row, l.rev+1, now
		l.heldUntil = now.Add(l.Term - l.Margin)
		return nil
	case errors.Is(err, seam.ErrConflict):
		// Another daemon wrote first: the lease is lost, whatever the clock says.
		l.heldUntil, l.rev = time.Time{}, 0
		return l.read(ctx, now, t)
	default:
		// The outcome of the write is unknown: the next step reads before it
		// writes, and the term still counts from the last confirmed write.
		l.rev = 0
		return err
	}
}

// Drop ends this daemon's term immediately, without writing to the table.
func (l *Lease) Drop() { l.heldUntil = time.Time{} }

// Release frees the lease, so that the next holder need not wait for the end of the term.
func (l *Lease) Release(ctx context.Context, now time.Time, t seam.Table) error {
	if _, held := l.Held(now); !held {
		return nil
	}
	row := l.row
	row.Free = true
	l.heldUntil = time.Time{}
	return l.write(ctx, now.Add(-l.Term), t, row)
}
