// SPDX-License-Identifier: MIT

package request

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"streambend.example/crash"
	"streambend.example/seam"
)

const (
	// holdPart is the partition of the table that stores verdicts.
	holdPart = "held-back"
	// holdCall is the timeout of a call to the table. A request waits for it while its trial is claimed.
	holdCall = 500 * time.Millisecond
	// holdPause is the interval between retries of an update of the table.
	holdPause = time.Second
	// holdRows is the maximum number of verdicts read by a query.
	holdRows = 256
)

// rowVerdict is a verdict as stored in the table. Times are absolute, in Unix milliseconds, since
// a row may outlive all daemons that knew it.
type rowVerdict struct {
	Ends   int   `json:"ends"`
	Trials int   `json:"trials"`
	Next   int64 `json:"next_ms"`
	Until  int64 `json:"until_ms"`
}

// day returns the wall-clock time.
func (h *Holds) day(now time.Time) time.Time {
	if h.share.Day == nil {
		return now
	}
	return h.share.Day(now)
}

// row encodes a verdict for the table.
func (h *Holds) row(now time.Time, v crash.Verdict) []byte {
	day := h.day(now)
	at := func(t time.Time) int64 { return day.Add(t.Sub(now)).UnixMilli() }
	b, _ := json.Marshal(rowVerdict{v.Ends, v.Trials, at(v.Next), at(v.Until)}) // a struct of numbers always encodes
	return b
}

// verdictOf decodes a verdict encoded by row.
func (h *Holds) verdictOf(now time.Time, it seam.Item) (crash.Verdict, error) {
	p, err := crash.ParsePrint(it.Key.Sort)
	if err != nil {
		return crash.Verdict{}, err
	}
	var w rowVerdict
	if err := json.Unmarshal(it.Value, &w); err != nil {
		return crash.Verdict{}, errors.Wrapf(err, "request: verdict on %s", p)
	}
	day := h.day(now)
	at := func(ms int64) time.Time { return now.Add(time.UnixMilli(ms).Sub(day)) }
	return crash.Verdict{Print: p, Ends: w.Ends, Trials: w.Trials, Next: at(w.Next), Until: at(w.Until)}, nil
}

func holdKey(p crash.Print) seam.Key { return seam.Key{Part: holdPart, Sort: p.String()} }

// Load applies the verdicts stored in the table and sends them to the neighbours. It reports
// whether the table could be read. Expired verdicts are deleted.
func (h *Holds) Load(ctx context.Context) bool {
	if h.share.Table == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, holdCall)
	defer cancel()
	items, err := h.share.Table.Query(ctx, holdPart, "", holdRows)
	if err != nil {
		h.log.Warnf("reading verdicts from the table failed: %v", err)
		return false
	}
	now := h.now()
	for _, it := range items {
		v, err := h.verdictOf(now, it)
		switch {
		case err != nil:
			h.log.Warnf("verdict %s in the table is malformed: %v", it.Key.Sort, err)
		case !v.Until.After(now):
			h.drop(v.Print)
		default:
			h.hear(now, "the table", v)
		}
	}
	h.Again(now)
	return true
}

// keep stores a verdict in the table, unless it has one for the request.
func (h *Holds) keep(v crash.Verdict) {
	h.untilDone(func(ctx context.Context, now time.Time) error {
		if _, held := h.Ledger.Held(now, v.Print); !held {
			return nil
		}
		err := seam.Put(ctx, h.share.Table, uuid.NewString(), seam.Write{Key: holdKey(v.Print), Value: h.row(now, v)})
		if errors.Is(err, seam.ErrConflict) {
			return nil // another daemon has stored the same verdict
		}
		return err
	})
}

// drop deletes a verdict from the table, unless the request is held back again.
func (h *Holds) drop(p crash.Print) {
	h.untilDone(func(ctx context.Context, now time.Time) error {
		if _, held := h.Ledger.Held(now, p); held {
			return nil
		}
		it, err := h.share.Table.Get(ctx, holdKey(p))
		if errors.Is(err, seam.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		err = h.share.Table.Write(ctx, uuid.NewString(), seam.Write{Key: it.Key, Rev: it.Rev, Delete: true})
		if errors.Is(err, seam.ErrConflict) {
			return nil // another daemon has deleted or replaced it
		}
		return err
	})
}

// untilDone retries an update of the table in the background until it succeeds or the daemon ends.
func (h *Holds) untilDone(do func(ctx context.Context, now time.Time) error) {
	if h.share.Table == nil {
		return
	}
	go func() {
		for h.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(h.ctx, holdCall)
			err := do(ctx, h.now())
			cancel()
			if err == nil {
				return
			}
			h.log.Warnf("updating a verdict in the table failed: %v", err)
			select {
			case <-h.ctx.Done():
			case <-time.After(holdPause):
			}
		}
	}()
}

// claim reports whether this daemon may run the trial of a request that is held back. A conditional
// write to the table ensures that only one daemon does.
func (h *Holds) claim(ctx context.Context, now time.Time, v crash.Verdict) bool {
	if h.share.Table == nil || !h.claiming.CompareAndSwap(false, true) {
		return false
	}
	defer h.claiming.Store(false)
	ctx, cancel := context.WithTimeout(ctx, holdCall)
	defer cancel()
	w := seam.Write{Key: holdKey(v.Print)}
	it, err := h.share.Table.Get(ctx, w.Key)
	if err == nil {
		w.Rev = it.Rev
		var kept crash.Verdict
		if kept, err = h.verdictOf(now, it); err == nil {
			h.Ledger.Hear(now, kept)
			v, _ = h.Ledger.Held(now, v.Print)
		}
	}
	if err != nil && !errors.Is(err, seam.ErrNotFound) || !v.Due(now) {
		return false
	}
	v = v.Tried(now)
	w.Value = h.row(now, v)
	if err := seam.Put(ctx, h.share.Table, uuid.NewString(), w); err != nil {
		return false // another daemon runs the trial, or the table is unavailable
	}
	h.Ledger.Hear(now, v)
	send(h.share.Tell, newsOf(now, v))
	h.log.WithField("print", v.Print.String()).Infof("trial %d of a request that is held back", v.Trials)
	return true
}
