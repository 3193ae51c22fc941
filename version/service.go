// SPDX-License-Identifier: MIT

package version

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written as text, such as "250ms".
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

// The kinds of service.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Weight says which measure a service counts most.
type Weight string

// The weights: latency for the Office, recompute for Podwave.
const (
	WeighLatency   Weight = "latency"
	WeighRecompute Weight = "recompute"
)

// Route is a name under which callers reach a service, with its own targets:
// the model's name of a completion, or the first part of a plain path.
type Route struct {
	Name         string   `json:"name" validate:"required,max=64"`
	Interactive  bool     `json:"interactive"`
	Unrepeatable bool     `json:"unrepeatable"` // of a plain service: its POST and PATCH calls
	Priority     int      `json:"priority" validate:"gte=0,lte=100"`
	Target       Duration `json:"target"`   // for the whole answer
	Deadline     Duration `json:"deadline"` // when the caller names none
}

// Service is what an intent asks for: which service runs, where, at what
// latency target and under which cost bounds.
type Service struct {
	Partner string  `json:"partner" validate:"required,max=64"`
	Name    string  `json:"name" validate:"required,max=64,excludesall=/ "`
	Kind    Kind    `json:"kind" validate:"oneof=model plain"`
	Model   string  `json:"model,omitempty" validate:"max=128"` // the engine's name of the model
	Routes  []Route `json:"routes" validate:"required,min=1,max=64,dive"`
	Weigh   Weight  `json:"weigh" validate:"omitempty,oneof=latency recompute"`

	FirstToken  Duration `json:"first_token"`                                      // latency target
	Zones       []string `json:"zones" validate:"required,min=1,max=64,unique"`    // availability zones
	Class       string   `json:"class" validate:"required"`                        // machine class
	MinBoxes    int      `json:"min_boxes" validate:"gte=1,lte=10000"`             // held even without load
	MaxBoxes    int      `json:"max_boxes" validate:"gtefield=MinBoxes,lte=10000"` // taken from the shared pool
	PerBox      int      `json:"per_box" validate:"gte=1,lte=100000"`              // requests a box runs together at the target
	HourlyBound float64  `json:"hourly_bound" validate:"gt=0"`                     // cost an hour, at the most
	Interactive float64  `json:"interactive" validate:"gte=0,lte=1"`               // share of the work that cannot wait

	AffinityBytes  int   `json:"affinity_bytes" validate:"gte=0,lte=65536"` // prompt head that names the prefix; 0 for 2048
	ChecksFence    bool  `json:"checks_fence"`
	NotRunStatuses []int `json:"not_run_statuses,omitempty" validate:"max=16"` // statuses by which an endpoint says that it did not start
}

// Key returns partner/name, which names a service within the log.
func (s Service) Key() string { return s.Partner + "/" + s.Name }

// Route returns the route of the given name.
func (s *Service) Route(name string) (Route, bool) {
	for _, r := range s.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}
