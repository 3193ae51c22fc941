// SPDX-License-Identifier: MIT

package capacity

import "time"

const (
	// firmHold and spotHold are how long fewer endpoints must have been wanted
	// until they are given up: one that is needed again takes seconds to start.
	// Those on demand are dear and are held less long.
	firmHold = 1500 * time.Millisecond
	spotHold = 8 * time.Second
)

// Hold keeps plans from giving endpoints up that are soon wanted again. The zero
// value is ready.
type Hold struct {
	fewer map[Kind]time.Time // since when fewer are wanted than there are
}

// Settle returns the plan with what there is in place of fewer, until fewer were
// wanted for long enough.
func (h *Hold) Settle(now time.Time, plan []Order, have map[Kind]int) []Order {
	if h.fewer == nil {
		h.fewer = make(map[Kind]time.Time)
	}
	for i, o := range plan {
		n := have[o.Kind]
		if o.Count >= n {
			delete(h.fewer, o.Kind)
			continue
		}
		since, ok := h.fewer[o.Kind]
		if !ok {
			since = now
			h.fewer[o.Kind] = now
		}
		hold := firmHold
		if o.Reclaimable {
			hold = spotHold
		}
		if now.Sub(since) < hold {
			plan[i].Count = n
		}
	}
	return plan
}
