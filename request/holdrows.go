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
	// holdPartition is the partition of the table that stores verdicts.
	holdPartition = "held-back"
	// holdCallTimeout is the timeout of a call to the table. A request waits for it while its trial is claimed.
	holdCallTimeout = 500 * time.Millisecond
	// holdRetryInterval is the interval between retries of an update of the table.
	holdRetryInterval = time.Second
	// holdQueryLimit is the maximum number of verdicts read by a query.
	holdQueryLimit = 256
)

// rowVerdict is a verdict as stored in the table. Times are absolute, in Unix milliseconds, since
// a row may outlive all daemons that knew it.
type rowVerdict struct {
	Ends   int   `json:"ends"`
	Trials int   `json:"trials"`
	Next   int64 `json:"next_ms"`
	Until  int64 `json:"until_ms"`

	With []string `json:"with,omitempty"` // further parts that a prompt must have
}

// wallClock returns the wall-clock time.
func (h *Holds) wallClock(now time.Time) time.Time {
	if h.share.WallClock == nil {
		return now
	}
	return h.share.WallClock(now)
}

// encodeVerdict encodes a verdict for the table.
func (h *Holds) encodeVerdict(now time.Time, v crash.Verdict) []byte {
	day := h.wallClock(now)
	at := func(t time.Time) int64 { return day.Add(t.Sub(now)).UnixMilli() }
	w := rowVerdict{Ends: v.Crashes, Trials: v.Trials, Next: at(v.NextTrial), Until: at(v.Until)}
	for _, p := range v.With {
		w.With = append(w.With, p.String())
	}
	b, _ := json.Marshal(w) // a struct of numbers and texts always encodes
	return b
}

// decodeVerdict decodes a verdict encoded by encodeVerdict.
func (h *Holds) decodeVerdict(now time.Time, it seam.Item) (crash.Verdict, error) {
	p, err := crash.ParseFingerprint(it.Key.Sort)
	if err != nil {
		return crash.Verdict{}, err
	}
	var w rowVerdict
	if err := json.Unmarshal(it.Value, &w); err != nil {
		return crash.Verdict{}, errors.Wrapf(err, "request: verdict on %s", p)
	}
	day := h.wallClock(now)
	at := func(ms int64) time.Time { return now.Add(time.UnixMilli(ms).Sub(day)) }
	v := crash.Verdict{Print: p, Crashes: w.Ends, Trials: w.Trials, NextTrial: at(w.Next), Until: at(w.Until)}
	for _, text := range w.With {
		with, err := crash.ParseFingerprint(text)
		if err != nil {
			return crash.Verdict{}, err
		}
		v.With = append(v.With, with)
	}
	return v, nil
}

func holdKey(p crash.Fingerprint) seam.Key { return seam.Key{Part: holdPartition, Sort: p.String()} }

// LoadVerdicts applies the verdicts stored in the table and sends them to the neighbours. It reports
// whether the table could be read. Expired verdicts are deleted.
func (h *Holds) LoadVerdicts(ctx context.Context) bool {
	if h.share.Table == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	items, err := h.share.Table.Query(ctx, holdPartition, "", holdQueryLimit)
	if err != nil {
		h.log.Warnf("reading verdicts from the table failed: %v", err)
		return false
	}
	now := h.now()
	for _, it := range items {
		v, err := h.decodeVerdict(now, it)
		switch {
		case err != nil:
			h.log.Warnf("verdict %s in the table is malformed: %v", it.Key.Sort, err)
		case !v.Until.After(now):
			h.deleteVerdict(v.Print)
		default:
			h.applyVerdict(now, "the table", v)
		}
	}
	h.SetKnown()
	h.ResendVerdicts(now)
	return true
}

// storeVerdict stores a verdict in the table, unless it has one for the request.
func (h *Holds) storeVerdict(v crash.Verdict) {
	h.retryInBackground(func(ctx context.Context, now time.Time) error {
		if _, held := h.Ledger.Held(now, v.Print); !held {
			return nil
		}
		err := seam.Put(ctx, h.share.Table, uuid.NewString(), seam.Write{Key: holdKey(v.Print), Value: h.encodeVerdict(now, v)})
		if errors.Is(err, seam.ErrConflict) {
			return nil // another daemon has stored the same verdict
		}
		return err
	})
}

// deleteVerdict deletes a verdict from the table, unless the request is held back again.
func (h *Holds) deleteVerdict(p crash.Fingerprint) {
	h.retryInBackground(func(ctx context.Context, now time.Time) error {
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

// retryInBackground retries an update of the table in the background until it succeeds or the daemon ends.
func (h *Holds) retryInBackground(do func(ctx context.Context, now time.Time) error) {
	if h.share.Table == nil {
		return
	}
	go func() {
		for h.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(h.ctx, holdCallTimeout)
			err := do(ctx, h.now())
			cancel()
			if err == nil {
				return
			}
			h.log.Warnf("updating a verdict in the table failed: %v", err)
			select {
			case <-h.ctx.Done():
			case <-time.After(holdRetryInterval):
			}
		}
	}()
}

// claimTrial reports whether this daemon may run the trial of a request that is held back. A conditional
// write to the table ensures that only one daemon does.
func (h *Holds) claimTrial(ctx context.Context, now time.Time, v crash.Verdict) bool {
	if h.share.Table == nil || !h.claiming.CompareAndSwap(false, true) {
		return false
	}
	defer h.claiming.Store(false)
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	w := seam.Write{Key: holdKey(v.Print)}
	it, err := h.share.Table.Get(ctx, w.Key)
	if err == nil {
		w.Rev = it.Rev
		var stored crash.Verdict
		if stored, err = h.decodeVerdict(now, it); err == nil {
			h.Ledger.Merge(now, stored)
			v, _ = h.Ledger.Held(now, v.Print)
		}
	}
	if err != nil && !errors.Is(err, seam.ErrNotFound) || !v.Due(now) {
		return false
	}
	v = v.Tried(now)
	w.Value = h.encodeVerdict(now, v)
	if err := seam.Put(ctx, h.share.Table, uuid.NewString(), w); err != nil {
		return false // another daemon runs the trial, or the table is unavailable
	}
	h.Ledger.Merge(now, v)
	sendMessage(h.share.Broadcast, verdictMessage(now, v))
	h.log.WithField("print", v.Print.String()).Infof("trial %d of a request that is held back", v.Trials)
	return true
}
