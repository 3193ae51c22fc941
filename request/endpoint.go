// SPDX-License-Identifier: MIT

package request

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint describes an endpoint, as listed.
type Endpoint struct {
	ID          string // the box
	Born        int64  // start of this instance in Unix milliseconds; 0 if not known
	Service     string // partner/name
	Version     string // of its software
	Zone        string
	Address     string // host:port
	Reclaimable bool
	Slots       int       // concurrency; 0 if not known
	Memory      int       // KV memory of an engine in tokens; 0 if not known
	SlowUntil   time.Time // end of its warm-up, while it is slow; zero for none
}

// Start identifies the instance (the process start) of the endpoint, so that facts about an earlier
// instance, such as the prompts it caches or that it has ended, are not applied to the current one.
func (e Endpoint) Start() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "#" + strconv.FormatInt(e.Born, 10)
}

// Hash returns a compact identifier of the endpoint's instance.
func (e Endpoint) Hash() uint64 { return xxhash.Sum64String(e.Start()) }
