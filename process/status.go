// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"streambend.example/seam"
	"streambend.example/version"
)

type leaseStatus struct {
	Service string `json:"service"`
	Holder  string `json:"holder"`
	Epoch   int64  `json:"epoch"`
	Mine    bool   `json:"mine"`
}

type endpointStatus struct {
	Box         string  `json:"box"`
	Service     string  `json:"service"`
	Zone        string  `json:"zone"`
	Class       string  `json:"class"`
	Reclaimable bool    `json:"reclaimable"`
	State       string  `json:"state"` // of the box
	Load        string  `json:"load"`  // load class
	Requests    int     `json:"requests"`
	Ejected     bool    `json:"ejected"`
	Hourly      float64 `json:"hourly"`
}

type serviceStatus struct {
	Service     string  `json:"service"`
	Boxes       int     `json:"boxes"`
	Demand      int     `json:"demand"`
	Running     int     `json:"running"` // in this daemon
	Queued      int     `json:"queued"`  // in this daemon
	Limit       int     `json:"limit"`   // in this daemon
	Hourly      float64 `json:"hourly"`
	HourlyBound float64 `json:"hourly_bound"`
}

type refusedStatus struct {
	Service string          `json:"service"`
	Kind    version.BoxKind `json:"kind"`
	Until   time.Time       `json:"until"`
}

// Status is the state of the system as one daemon reports it to operators.
type Status struct {
	Daemon    string           `json:"daemon"`
	Ready     bool             `json:"ready"`
	Version   int64            `json:"version"`
	Daemons   []memberVersion  `json:"daemons"`
	Services  []serviceStatus  `json:"services"`
	Endpoints []endpointStatus `json:"endpoints"`
	Leases    []leaseStatus    `json:"leases"`
	Refused   []refusedStatus  `json:"refused_starts"`
	Prices    []seam.Price     `json:"prices"`
}

func (o *operators) serveStatus(ctx context.Context, who Operator, _ *http.Request) (any, error) {
	d, now := o.d, time.Now()
	cfg := d.Config()
	st := Status{
		Daemon: d.Self.Name, Ready: d.ready.Load(), Version: cfg.Version, Daemons: d.versions(ctx),
		Services: []serviceStatus{}, Endpoints: []endpointStatus{}, Leases: []leaseStatus{}, Refused: []refusedStatus{},
		Prices: o.market(ctx).Prices,
	}
	boxes := make(map[string]seam.Box)
	for _, b := range d.fleet.snapshot() {
		boxes[b.ID] = b
	}
	for _, row := range cfg.Rows {
		if row.Service.Partner == who.Partner {
			st.add(now, d, row.Service, boxes)
		}
	}
	for key, row := range cfg.Rows {
		if row.Service.Partner == who.Partner {
			st.Leases = append(st.Leases, d.placer.status(ctx, key))
			st.Refused = append(st.Refused, d.placer.refusedStarts(now, key)...)
		}
	}
	slices.SortFunc(st.Leases, func(a, b leaseStatus) int { return strings.Compare(a.Service, b.Service) })
	return st, nil
}

func (st *Status) add(now time.Time, d *Daemon, s version.Service, boxes map[string]seam.Box) {
	w := d.Server.Works.Get(&s)
	running, queued := w.Queue.State()
	ss := serviceStatus{
		Service: s.Key(), Demand: d.fleet.demandOf(now, s.Key()), Running: running, Queued: queued,
		Limit: w.Queue.Limit.Allowed(), HourlyBound: s.HourlyBound,
	}
	for _, t := range w.Pool.Targets() {
		class, load := t.Class(now)
		b := boxes[t.ID]
		ss.Boxes++
		ss.Hourly += b.Price
		st.Endpoints = append(st.Endpoints, endpointStatus{
			Box: t.ID, Service: s.Key(), Zone: t.Zone, Class: b.Class, Reclaimable: t.Reclaimable, State: b.State.String(),
			Load: class.String(), Requests: load, Ejected: t.Ejected(), Hourly: b.Price,
		})
	}
	st.Services = append(st.Services, ss)
}

// refusedStarts returns the kinds of box whose starts are backed off after a refusal by the cloud.
func (l *placer) refusedStarts(now time.Time, key string) []refusedStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []refusedStatus
	if s := l.shards[key]; s != nil {
		for k, t := range s.refused {
			if now.Before(t) {
				out = append(out, refusedStatus{Service: key, Kind: k, Until: t})
			}
		}
	}
	return out
}
