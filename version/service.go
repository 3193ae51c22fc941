// SPDX-License-Identifier: MIT

package version

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	d.Duration = v
	return errors.Wrap(err, "version: duration")
}

// Kind is what the endpoints of a service run.
type Kind string

// Service kinds.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Weight selects the metric that a service optimizes first.
type Weight string

// Weights: the Office uses latency, Podwave recompute.
const (
	WeighLatency   Weight = "latency"
	WeighRecompute Weight = "recompute"
)

// Route is a name by which callers address a service, with its own targets: the model
// name of a completion request, or the first segment of a plain service's path.
type Route struct {
	Name         string   `json:"name" validate:"required,max=64"`
	Interactive  bool     `json:"interactive"`
	Unrepeatable bool     `json:"unrepeatable"` // applies to the POST and PATCH requests of a plain service
	Priority     int      `json:"priority" validate:"gte=0,lte=100"`
	Target       Duration `json:"target"`   // latency target for the complete response
	Deadline     Duration `json:"deadline"` // default if the caller sets none
}

// Service is the content of an intent: the service to run, its zones, latency target
// and cost bounds.
type Service struct {
	Partner string  `json:"partner" validate:"required,max=64"`
	Name    string  `json:"name" validate:"required,max=64,excludesall=/ "`
	Kind    Kind    `json:"kind" validate:"oneof=model plain"`
	Model   string  `json:"model,omitempty" validate:"max=128"` // model name used by the engine
	Routes  []Route `json:"routes" validate:"required,min=1,max=64,dive"`
	Weigh   Weight  `json:"weigh" validate:"omitempty,oneof=latency recompute"`

	FirstToken  Duration `json:"first_token"`                                      // latency target
	Zones       []string `json:"zones" validate:"required,min=1,max=64,unique"`    // availability zones
	Class       string   `json:"class" validate:"required"`                        // machine class
	MinBoxes    int      `json:"min_boxes" validate:"gte=1,lte=10000"`             // minimum, also without load
	MaxBoxes    int      `json:"max_boxes" validate:"gtefield=MinBoxes,lte=10000"` // maximum, reserved in the shared pool
	PerBox      int      `json:"per_box" validate:"gte=1,lte=100000"`              // concurrent requests per box at the latency target
	HourlyBound float64  `json:"hourly_bound" validate:"gt=0"`                     // maximum cost per hour
	Interactive float64  `json:"interactive" validate:"gte=0,lte=1"`               // fraction of the work that is interactive

	AffinityBytes  int   `json:"affinity_bytes" validate:"gte=0,lte=65536"` // bytes of the prompt start that identify the prefix; 0 for 2048
	ChecksFence    bool  `json:"checks_fence"`
	NotRunStatuses []int `json:"not_run_statuses,omitempty" validate:"max=16"` // HTTP statuses that mean that an endpoint did not start the request
}

// Key returns partner/name, which identifies a service in the log.
func (s Service) Key() string { return s.Partner + "/" + s.Name }

// Route returns the route with the given name.
func (s *Service) Route(name string) (Route, bool) {
	for _, r := range s.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}
