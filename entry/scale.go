// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/platform"
	"streambend.example/version"
)

const (
	// scaleTable is the store's table of what services were found with.
	scaleTable = "streambend-scale"
	// orderAgain is how long an order that was taken is waited for.
	orderAgain = 6 * time.Second
	// drySpell is how long after a refusal a kind in a zone is asked for again.
	drySpell = 2 * time.Second
	// countAfter is how long after the first list of endpoints they are counted:
	// each writes itself to the store once a heartbeat, and all were just started
	// where the daemons were.
	countAfter = 3 * time.Second
	// safeShare is the share of the endpoints a service was found with that is
	// kept by endpoints that cannot be reclaimed, when there are too few others.
	safeShare = 0.5
	// swapShare is the share that must be there as reclaimable ones before
	// endpoints that cannot be reclaimed are given up.
	swapShare = 0.7
)

// ScaleKind is one kind of endpoint of a service in a zone.
type ScaleKind struct {
	Zone        string
	Reclaimable bool
}

// ScaleState is what is known of a service's endpoints.
type ScaleState struct {
	Scaling version.Scaling
	Base    map[string]int          // endpoints by zone that the service was found with
	Live    map[ScaleKind]int       // that take requests
	Ordered map[ScaleKind]int       // last order; missing for none
	Refused map[ScaleKind]time.Time // until when a kind is not to be had
}

// ScaleOrder is a number of endpoints of a kind.
type ScaleOrder struct {
	ScaleKind
	Count int
}

// PlanScale decides how many endpoints of each kind a service should have:
// reclaimable ones in every zone, and others only as far as too few of those are
// to be had.
func PlanScale(now time.Time, s ScaleState) []ScaleOrder {
	var out []ScaleOrder
	zones := slices.Sorted(maps.Keys(s.Scaling.ZonePrices))
	total, spot := 0, 0
	for _, z := range zones {
		total += s.Base[z]
		spot += s.Live[ScaleKind{z, true}]
		want := min(max(s.Base[z], s.Scaling.Least), s.Scaling.Most)
		out = append(out, ScaleOrder{ScaleKind{z, true}, want})
	}
	firm := 0
	if float64(spot) < swapShare*float64(total) {
		firm = max(0, int(math.Ceil(safeShare*float64(total)))-spot)
	}
	return append(out, planFirm(s, zones, firm)...)
}

// planFirm spreads endpoints that cannot be reclaimed over the cheapest zones,
// keeping those that are there already.
func planFirm(s ScaleState, zones []string, firm int) []ScaleOrder {
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int {
		la, lb := s.Live[ScaleKind{a, false}], s.Live[ScaleKind{b, false}]
		if (la > 0) != (lb > 0) {
			if la > 0 {
				return -1
			}
			return 1
		}
		switch pa, pb := s.Scaling.ZonePrices[a], s.Scaling.ZonePrices[b]; {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	var out []ScaleOrder
	for _, z := range byPrice {
		room := max(0, s.Scaling.Most-s.Live[ScaleKind{z, true}])
		n := min(firm, room)
		firm -= n
		out = append(out, ScaleOrder{ScaleKind{z, false}, n})
	}
	return out
}

// scaleDuty orders endpoints.
type scaleDuty struct {
	d     *Daemon
	state map[string]*serviceScale
}

type serviceScale struct {
	base    map[string]int
	ordered map[ScaleKind]scaleOrdered
	refused map[ScaleKind]time.Time
}

type scaleOrdered struct {
	count int
	at    time.Time
}

func newScaleDuty(d *Daemon) scaleDuty { return scaleDuty{d: d, state: make(map[string]*serviceScale)} }

// begin starts a term: what an earlier holder has ordered is not known.
func (x *scaleDuty) begin() { clear(x.state) }

// step sends the orders that are due.
func (x *scaleDuty) step(ctx context.Context, f platform.Fence, u *duties) {
	c := x.d.catalog.get()
	if c == nil || !x.d.runners.knownFor(time.Now(), countAfter) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.Backend)) {
		if b := c.Backend[name]; b.Scaling != nil {
			x.service(ctx, f, u, b)
		}
	}
}

func (x *scaleDuty) service(ctx context.Context, f platform.Fence, u *duties, b version.Backend) {
	live := x.live(b.Name)
	s := x.state[b.Name]
	if s == nil {
		base, err := x.base(ctx, b.Name, live)
		if err != nil {
			x.d.log.WithFields(logrus.Fields{"part": "scale", "service": b.Name}).Warnf("first numbers: %v", err)
			return
		}
		s = &serviceScale{base: base, ordered: make(map[ScaleKind]scaleOrdered), refused: make(map[ScaleKind]time.Time)}
		x.state[b.Name] = s
	}
	now := time.Now()
	plan := PlanScale(now, ScaleState{Scaling: *b.Scaling, Base: s.base, Live: live})
	for _, o := range plan {
		if !s.due(now, o, live[o.ScaleKind]) {
			continue
		}
		if _, ok := u.mayAct(time.Now()); !ok {
			return
		}
		x.order(ctx, f, b.Name, s, o)
	}
}

// due reports whether an order is to be sent now.
func (s *serviceScale) due(now time.Time, o ScaleOrder, live int) bool {
	if now.Before(s.refused[o.ScaleKind]) {
		return false
	}
	last, ok := s.ordered[o.ScaleKind]
	if !ok {
		return o.Count > 0 || live > 0
	}
	if last.count != o.Count {
		return true
	}
	return live != o.Count && now.Sub(last.at) >= orderAgain
}

func (x *scaleDuty) order(ctx context.Context, f platform.Fence, service string, s *serviceScale, o ScaleOrder) {
	call, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	err := x.d.cloud.Scale(call, f, platform.Order{Service: service, Zone: o.Zone, Count: o.Count, Reclaimable: o.Reclaimable})
	now := time.Now()
	fields := logrus.Fields{"part": "scale", "service": service, "zone": o.Zone, "reclaimable": o.Reclaimable, "count": o.Count, "fence": f.Token}
	if err != nil {
		s.refused[o.ScaleKind] = now.Add(drySpell)
		if !errors.Is(err, platform.ErrNoneToHave) {
			x.d.log.WithFields(fields).Warnf("order failed: %v", err)
			return
		}
	}
	s.ordered[o.ScaleKind] = scaleOrdered{o.Count, now}
	x.d.log.WithFields(fields).Infof("ordered: %v", err)
}

// live counts the endpoints of a service that take requests.
func (x *scaleDuty) live(service string) map[ScaleKind]int {
	out := make(map[ScaleKind]int)
	for _, r := range x.d.runners.all() {
		if r.Service == service && !r.Leaving {
			out[ScaleKind{r.Zone, r.Reclaimable}]++
		}
	}
	return out
}

// base returns by zone how many endpoints the service was found with: the first
// holder ever writes it down.
func (x *scaleDuty) base(ctx context.Context, service string, live map[ScaleKind]int) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*answerLimit)
	defer cancel()
	rows, err := x.d.store.Rows(ctx, scaleTable, service, "")
	if err != nil {
		return nil, err
	}
	out := make(map[string]int)
	if len(rows.Rows) == 0 {
		change := platform.Change{}
		for k, n := range live {
			out[k.Zone] += n
		}
		for z, n := range out {
			change.If = append(change.If, platform.Condition{Table: scaleTable, Part: service, Key: z})
			change.Write = append(change.Write, platform.Row{Table: scaleTable, Part: service, Key: z, Value: []byte(strconv.Itoa(n))})
		}
		if len(change.Write) == 0 {
			return out, nil
		}
		_, err := x.d.store.Apply(ctx, change)
		return out, err
	}
	for _, r := range rows.Rows {
		n, err := strconv.Atoi(string(r.Value))
		if err != nil {
			return nil, errors.Wrapf(err, "entry: number of %s in %s", service, r.Key)
		}
		out[r.Key] = n
	}
	return out, nil
}
