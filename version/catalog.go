// SPDX-License-Identifier: MIT

package version

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeat is the retry rule of a route.
type Repeat int

// Retry rules of a route.
const (
	RepeatNever  Repeat = iota // may run at most once
	RepeatAlways               // may run any number of times
	RepeatResume               // a stream that may be resumed at another endpoint
)

// String returns the rule's name.
func (r Repeat) String() string { return [...]string{"never", "always", "resume"}[r] }

// PathRoute routes requests for a host and a path prefix to one or more services.
type PathRoute struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Streaming bool
	Repeat    Repeat
	Public    bool          // accepts requests without an API key
	Timeout   time.Duration // maximum duration of a request
	Target    time.Duration // latency target: a response within it counts in full
	Pause     time.Duration // longest acceptable pause between events of a stream
	Attempts  int           // maximum number of endpoints tried per request
	Priority  int           // 0 is the most urgent
	Split     []Share
}

// Share is a service's weight in the traffic split of a route.
type Share struct {
	Service string
	Weight  float64
}

// Scaling holds the limits on the number of endpoints of a service per zone, and
// their prices per second.
type Scaling struct {
	Least      int
	Most       int
	Startup    time.Duration      // from the order of an endpoint to its first request
	SpotPrice  float64            // price of a reclaimable endpoint as a fraction of the zone's price
	ZonePrices map[string]float64 // relative price by availability zone
}

// Backend is a service in the catalog.
type Backend struct {
	Name        string
	Engine      bool
	Slots       int      // concurrent requests of an engine
	CacheTokens int      // KV cache size of an engine in tokens
	Scaling     *Scaling // nil if this system does not scale the service
}

// Tenant is a team with its API keys and quota.
type Tenant struct {
	Name        string
	Keys        []string
	Priority    int // overrides the route's priority if HasPriority
	HasPriority bool
	Rate        float64 // per second, in tokens or requests; 0 for no limit
	Burst       float64 // burst above the rate
	Tokens      bool    // the quota counts tokens instead of requests
	PlainTokens int     // cost of a request without token counts
}

// CallerLimits holds the size limits and timeouts for callers.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Catalog is the operator's complete ingress configuration at a version. It is
// immutable after Index.
type Catalog struct {
	Version int64
	Routes  []PathRoute
	Backend map[string]Backend
	Tenants []Tenant
	Limits  CallerLimits

	routesByHost map[string][]*PathRoute // sorted by descending prefix length
	tenantsByKey map[string]*Tenant
	serviceNames map[string]bool // names of services defined or used by a route
}

// Index builds the lookup tables of the catalog and returns it.
func (c *Catalog) Index() *Catalog {
	c.routesByHost = make(map[string][]*PathRoute)
	c.serviceNames = make(map[string]bool, len(c.Backend))
	for name := range c.Backend {
		c.serviceNames[name] = true
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
		for _, s := range r.Split {
			c.serviceNames[s.Service] = true
		}
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *PathRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.tenantsByKey = make(map[string]*Tenant)
	for i := range c.Tenants {
		for _, k := range c.Tenants[i].Keys {
			c.tenantsByKey[k] = &c.Tenants[i]
		}
	}
	return c
}

// Names reports whether the catalog defines a service or a route uses it.
func (c *Catalog) Names(service string) bool { return c.serviceNames[service] }

// Match returns the route with the longest prefix for a host and path, or nil.
func (c *Catalog) Match(host, path string) *PathRoute {
	host = strings.ToLower(host)
	routes, ok := c.routesByHost[host]
	if name, _, cut := strings.Cut(host, ":"); !ok && cut {
		routes = c.routesByHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether routes that are not public require an API key.
func (c *Catalog) Keyed() bool { return len(c.Tenants) > 0 }

// Tenant returns the team that owns an API key, or nil.
func (c *Catalog) Tenant(key string) *Tenant { return c.tenantsByKey[key] }

// TenantNamed returns the team with the given name, or nil.
func (c *Catalog) TenantNamed(name string) *Tenant {
	for i := range c.Tenants {
		if c.Tenants[i].Name == name {
			return &c.Tenants[i]
		}
	}
	return nil
}

// waitFractions holds the fraction of the shortest target that requests may spend queueing,
// by descending urgency of their priority: under overload the less urgent requests are
// rejected first.
var waitFractions = [...]float64{0.8, 0.6, 0.45}

// WaitLimit returns how long a stream of the route may queue before its engine starts it,
// or 0 for no limit. It is based on the shortest target among the routes of the service
// that are at least as urgent, so that these are not rejected while it is served.
func (c *Catalog) WaitLimit(r *PathRoute, service string) time.Duration {
	if !r.Streaming || r.Target <= 0 {
		return 0
	}
	target := r.Target
	ahead := make(map[int]bool)
	for i := range c.Routes {
		o := &c.Routes[i]
		if !o.Streaming || o.Target <= 0 || !o.routesTo(service) || o.Priority > r.Priority {
			continue
		}
		target = min(target, o.Target)
		if o.Priority < r.Priority {
			ahead[o.Priority] = true
		}
	}
	return time.Duration(waitFractions[min(len(ahead), len(waitFractions)-1)] * float64(target))
}

// ShortestTarget returns the shortest target among the streaming routes of a
// service, or 0 if there is none.
func (c *Catalog) ShortestTarget(service string) time.Duration {
	var target time.Duration
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Streaming && r.Target > 0 && r.routesTo(service) && (target == 0 || r.Target < target) {
			target = r.Target
		}
	}
	return target
}

func (r *PathRoute) routesTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
}

// Pick selects the service for a request by a hash of the request id, so that retries
// within a daemon select the same service.
func (r *PathRoute) Pick(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	const steps = 1 << 20
	at := float64(xxhash.Sum64String(id)%steps) / steps * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Route converts r to the Route type that all kinds of ingress share.
func (r *PathRoute) Route() Route {
	return Route{
		Name: r.Name, Interactive: true, Unrepeatable: r.Repeat == RepeatNever, Priority: r.Priority,
		Target: Duration{r.Target}, Deadline: Duration{r.Timeout},
	}
}

// Service converts b to the Service type that all kinds of ingress share.
func (b Backend) Service() Service {
	kind := Plain
	if b.Engine {
		kind = Model
	}
	return Service{Name: b.Name, Kind: kind, PerBox: max(b.Slots, 1)}
}
