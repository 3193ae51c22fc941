// SPDX-License-Identifier: MIT

package version

import (
	"fmt"
	"math"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/seam"
)

// PlanLife is the time within which a plan can be confirmed.
const PlanLife = 15 * time.Minute

// Base is a service that a plan is based on, with the version that last changed it; 0 if it
// did not exist.
type Base struct {
	Key string `json:"key"`
	Rev int64  `json:"rev"`
}

// Boxes is a number of boxes of one kind.
type Boxes struct {
	Zone        string  `json:"zone"`
	Class       string  `json:"class"`
	Reclaimable bool    `json:"reclaimable"`
	Count       int     `json:"count"`
	Hourly      float64 `json:"hourly"` // price per box and hour
}

// Plan is the proposed result of an intent. It takes effect only when confirmed.
type Plan struct {
	ID         string    `json:"id"`
	Partner    string    `json:"partner"`
	Author     string    `json:"author"`
	Service    Service   `json:"service"`
	Withdraw   bool      `json:"withdraw,omitempty"`
	Version    int64     `json:"version"` // version of the configuration it is based on
	Bases      []Base    `json:"bases"`
	Boxes      []Boxes   `json:"boxes"`
	HourlyLow  float64   `json:"hourly_low"`
	HourlyHigh float64   `json:"hourly_high"`
	Attainment float64   `json:"attainment"` // expected fraction of responses within the target
	Pool       int       `json:"pool"`       // boxes reserved in the shared pool
	PoolLeft   int       `json:"pool_left"`  // boxes of the shared pool left for other services
	Changes    []string  `json:"changes"`
	Expires    time.Time `json:"expires"`
}

// Market holds the prices and the pool size that plans are made from.
type Market struct {
	Prices []seam.Price
	Pool   int // boxes in the shared pool
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Validate returns a code.BadIntent error that names every invalid field.
func (s Service) Validate() error {
	err := validate.Struct(s)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		var msg string
		for _, f := range fields {
			msg += fmt.Sprintf("; %s must be %s %s", f.Namespace(), f.Tag(), f.Param())
		}
		return code.New(code.BadIntent, "%s", msg[2:])
	}
	if err != nil {
		return code.New(code.BadIntent, "%v", err)
	}
	seen := make(map[string]bool)
	for _, r := range s.Routes {
		if seen[r.Name] {
			return code.New(code.BadIntent, "route %s stands twice", r.Name)
		}
		seen[r.Name] = true
		if r.Target.Duration < 0 || r.Deadline.Duration < 0 {
			return code.New(code.BadIntent, "route %s has a negative time", r.Name)
		}
	}
	return nil
}

// MakePlan returns the plan for an intent, based on the configuration c.
func MakePlan(now time.Time, c *Config, m Market, author string, s Service, withdraw bool) (Plan, error) {
	key := s.Key()
	old, exists := c.Rows[key]
	if withdraw {
		if !exists {
			return Plan{}, code.New(code.NoSuchIntent, "%s", key)
		}
		s = old.Service
	} else if err := s.Validate(); err != nil {
		return Plan{}, err
	}
	p := Plan{
		ID: uuid.NewString(), Partner: s.Partner, Author: author, Service: s, Withdraw: withdraw, Version: c.Version,
		Bases: []Base{{Key: key, Rev: old.Rev}}, Expires: now.Add(PlanLife), Attainment: 1,
		PoolLeft: m.Pool - c.ReservedBoxes(key), Changes: describeChanges(old, exists, s, withdraw),
	}
	if withdraw {
		return p, nil
	}
	p.Pool = s.MaxBoxes
	p.PoolLeft -= s.MaxBoxes
	if err := checkRoutes(c, s); err != nil {
		return Plan{}, err
	}
	if p.PoolLeft < 0 {
		return Plan{}, code.New(code.PoolExceeded, "%s asks for %d boxes, the pool has %d left", key, s.MaxBoxes, p.PoolLeft+s.MaxBoxes)
	}
	if err := estimate(&p, m.Prices); err != nil {
		return Plan{}, err
	}
	return p, nil
}

// checkRoutes rejects route names that another service of the partner uses.
func checkRoutes(c *Config, s Service) error {
	for _, r := range s.Routes {
		other, _, ok := c.Lookup(s.Partner, r.Name)
		if ok && other.Key() != s.Key() {
			return code.New(code.BadIntent, "route %s belongs to service %s already", r.Name, other.Name)
		}
	}
	return nil
}

// estimate sets the boxes, cost and attainment of a plan from the placement policy.
func estimate(p *Plan, prices []seam.Price) error {
	s := p.Service
	in := PlaceInput{Service: s, Need: s.MinBoxes, Prices: prices}
	low := allocate(in, Ours)
	if len(low) == 0 {
		return code.New(code.BadIntent, "no price is known for class %s in zones %v", s.Class, s.Zones)
	}
	total, worst := 0, 0
	for _, k := range low {
		p.Boxes = append(p.Boxes, Boxes{Zone: k.Zone, Class: k.Class, Reclaimable: k.Reclaimable, Count: k.Count, Hourly: k.Hourly})
		p.HourlyLow += float64(k.Count) * k.Hourly
		total += k.Count
		worst = max(worst, k.Count)
	}
	in.Need = s.MaxBoxes
	for _, k := range allocate(in, Ours) {
		p.HourlyHigh += float64(k.Count) * k.Hourly
	}
	if p.HourlyLow > s.HourlyBound {
		return code.New(code.CostBound, "%d boxes cost %.2f an hour, the bound is %.2f", total, p.HourlyLow, s.HourlyBound)
	}
	p.HourlyHigh = math.Min(p.HourlyHigh, s.HourlyBound)
	p.Attainment = expectedAttainment(s, total, worst)
	return nil
}

// expectedAttainment returns the fraction of an hour in which the target is met if the
// largest zone is lost once: interactive work is affected only while the remaining boxes
// cannot carry it and replacements start.
func expectedAttainment(s Service, total, worst int) float64 {
	const hourShareOfReplacement = 120.0 / 3600
	need := float64(s.MinBoxes) * s.Interactive
	rest := float64(total - worst)
	if need == 0 || rest >= need {
		return 1
	}
	return 1 - hourShareOfReplacement*(1-rest/need)
}

func describeChanges(old Row, exists bool, s Service, withdraw bool) []string {
	switch {
	case withdraw:
		return []string{fmt.Sprintf("withdraw %s (up to %d boxes)", s.Key(), s.MaxBoxes)}
	case !exists:
		return []string{fmt.Sprintf("new service %s", s.Key())}
	}
	var out []string
	o := old.Service
	if o.MinBoxes != s.MinBoxes || o.MaxBoxes != s.MaxBoxes {
		out = append(out, fmt.Sprintf("boxes %d..%d to %d..%d", o.MinBoxes, o.MaxBoxes, s.MinBoxes, s.MaxBoxes))
	}
	if fmt.Sprint(o.Zones) != fmt.Sprint(s.Zones) {
		out = append(out, fmt.Sprintf("zones %v to %v", o.Zones, s.Zones))
	}
	if o.HourlyBound != s.HourlyBound {
		out = append(out, fmt.Sprintf("hourly bound %.2f to %.2f", o.HourlyBound, s.HourlyBound))
	}
	if o.FirstToken != s.FirstToken || fmt.Sprint(o.Routes) != fmt.Sprint(s.Routes) {
		out = append(out, "routes and targets")
	}
	return out
}

// Check returns an error if a plan can no longer be committed on top of c.
func Check(now time.Time, c *Config, pool int, p Plan) error {
	if now.After(p.Expires) {
		return code.New(code.PlanExpired, "plan %s ended at %s", p.ID, p.Expires.Format(time.RFC3339))
	}
	for _, b := range p.Bases {
		if rev := c.Rows[b.Key].Rev; rev != b.Rev {
			return code.New(code.Conflict, "%s was changed by version %d; the plan read %d", b.Key, rev, b.Rev)
		}
	}
	if p.Withdraw {
		return nil
	}
	if err := checkRoutes(c, p.Service); err != nil {
		return code.New(code.Conflict, "%v", err)
	}
	if left := pool - c.ReservedBoxes(p.Service.Key()); p.Service.MaxBoxes > left {
		return code.New(code.PoolExceeded, "%d boxes asked for, %d left in the pool", p.Service.MaxBoxes, left)
	}
	return nil
}
