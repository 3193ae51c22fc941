// SPDX-License-Identifier: MIT

package capacity

import "time"

const (
	// onDemandDelay and reclaimableDelay are how long fewer endpoints must have been wanted before
	// any is given up, as one that is needed again takes seconds to start. Those on demand are
	// expensive and given up sooner.
	onDemandDelay    = 1500 * time.Millisecond
	reclaimableDelay = 8 * time.Second
)

// Stabilizer delays the release of endpoints that may soon be needed again. The zero value is ready.
type Stabilizer struct {
	fewerSince map[Kind]time.Time // since when fewer are wanted than exist
}

// Settle returns the plan, but keeps the current number of endpoints of a kind until fewer have been
// wanted for long enough.
func (h *Stabilizer) Settle(now time.Time, plan []Order, have map[Kind]int) []Order {
	if h.fewerSince == nil {
		h.fewerSince = make(map[Kind]time.Time)
	}
	for i, o := range plan {
		n := have[o.Kind]
		if o.Count >= n {
			delete(h.fewerSince, o.Kind)
			continue
		}
		since, ok := h.fewerSince[o.Kind]
		if !ok {
			since = now
			h.fewerSince[o.Kind] = now
		}
		delay := onDemandDelay
		if o.Reclaimable {
			delay = reclaimableDelay
		}
		if now.Sub(since) < delay {
			plan[i].Count = n
		}
	}
	return plan
}
