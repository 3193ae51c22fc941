// SPDX-License-Identifier: MIT

package version

import (
	"maps"
	"time"
)

// Entry is one version of the configuration log: it sets or withdraws a service.
type Entry struct {
	Version  int64     `json:"version"`
	Plan     string    `json:"plan"` // id of the confirmed plan
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Service  Service   `json:"service"`
	Withdraw bool      `json:"withdraw,omitempty"`
}

// Row is an active service and the version that last changed it.
type Row struct {
	Service Service `json:"service"`
	Rev     int64   `json:"rev"`
}

// Config is the configuration at a version. It is immutable: Apply returns a new one.
type Config struct {
	Version int64            `json:"version"`
	Rows    map[string]Row   `json:"rows"`    // by Service.Key
	Applied map[string]int64 `json:"applied"` // plan to version
}

// Empty returns the configuration before the first entry.
func Empty() *Config {
	return &Config{Rows: make(map[string]Row), Applied: make(map[string]int64)}
}

// maxAppliedPlans is the number of confirmed plans that a Config retains. A plan expires
// long before that many others have been confirmed.
const maxAppliedPlans = 4096

// Apply returns the configuration after e, or c itself if e is not the next version:
// versions never decrease and are never skipped.
func (c *Config) Apply(e Entry) *Config {
	if e.Version != c.Version+1 {
		return c
	}
	n := &Config{Version: e.Version, Rows: maps.Clone(c.Rows), Applied: maps.Clone(c.Applied)}
	if e.Withdraw {
		delete(n.Rows, e.Service.Key())
	} else {
		n.Rows[e.Service.Key()] = Row{Service: e.Service, Rev: e.Version}
	}
	n.Applied[e.Plan] = e.Version
	for p, v := range n.Applied {
		if v <= e.Version-maxAppliedPlans {
			delete(n.Applied, p)
		}
	}
	return n
}

// ReservedBoxes returns the maximum number of boxes that the services may use of the shared
// pool, without the service with key except.
func (c *Config) ReservedBoxes(except string) int {
	n := 0
	for k, r := range c.Rows {
		if k != except {
			n += r.Service.MaxBoxes
		}
	}
	return n
}

// Lookup returns the service and the route of a partner with the given route name.
func (c *Config) Lookup(partner, name string) (Service, Route, bool) {
	for _, r := range c.Rows {
		if r.Service.Partner != partner {
			continue
		}
		if rt, ok := r.Service.Route(name); ok {
			return r.Service, rt, true
		}
	}
	return Service{}, Route{}, false
}
