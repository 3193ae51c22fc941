// SPDX-License-Identifier: MIT

package version

import (
	"maps"
	"time"
)

// Entry is one version of the log: a service set or withdrawn.
type Entry struct {
	Version  int64     `json:"version"`
	Plan     string    `json:"plan"` // the plan that was confirmed
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Service  Service   `json:"service"`
	Withdraw bool      `json:"withdraw,omitempty"`
}

// Row is a service in force and the version that last changed it.
type Row struct {
	Service Service `json:"service"`
	Rev     int64   `json:"rev"`
}

// Config is the configuration at a version. It is never changed once made:
// Apply returns a new one.
type Config struct {
	Version int64            `json:"version"`
	Rows    map[string]Row   `json:"rows"`    // by Service.Key
	Applied map[string]int64 `json:"applied"` // plan to version
}

// Empty returns the configuration before the first entry.
func Empty() *Config {
	return &Config{Rows: make(map[string]Row), Applied: make(map[string]int64)}
}

// appliedKept bounds how many confirmed plans a Config remembers. A plan
// expires long before so many others have been confirmed.
const appliedKept = 4096

// Apply returns the configuration after e, or c itself if e is not the next
// version: a configuration never goes back and never skips one.
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
		if v <= e.Version-appliedKept {
			delete(n.Applied, p)
		}
	}
	return n
}

// Taken returns how many boxes of the shared pool the services hold at most,
// leaving out the service of the given key.
func (c *Config) Taken(except string) int {
	n := 0
	for k, r := range c.Rows {
		if k != except {
			n += r.Service.MaxBoxes
		}
	}
	return n
}

// Lookup finds the service and the route that a partner's callers reach under
// a name.
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
