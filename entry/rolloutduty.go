// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/capacity"
	"streambend.example/clock"
	"streambend.example/platform"
	"streambend.example/rollout"
	"streambend.example/version"
)

// rolloutTable is the store table with the progress of each service's order.
const rolloutTable = "streambend-rollout"

// rolloutRow is the value of a service's row. The lease holder writes it and the operator's status in
// one transaction, on condition that the row is unchanged since it was read. So an order has one
// outcome, and a holder that has not noticed the end of its lease writes nothing.
type rolloutRow struct {
	Number int64         `json:"order"`
	Target string        `json:"target"`
	Stage  rollout.Stage `json:"stage"`
	Own    []string      `json:"own"`
	Epoch  int64         `json:"epoch"` // of the holder's lease
	Why    string        `json:"why,omitempty"`
}

// rolloutDuty advances and ends orders. It relies on the table, not on this daemon's memory.
type rolloutDuty struct {
	d    *Daemon
	rows map[string]storedRollout // as last read or written
}

// storedRollout is a row with its version in the store, which is 0 if the row does not exist.
type storedRollout struct {
	rolloutRow
	version int64
}

// begin starts a lease term.
func (x *rolloutDuty) begin() { x.rows = make(map[string]storedRollout) }

// step processes each order that is running, or whose outcome may not be in the operator's status yet.
func (x *rolloutDuty) step(ctx context.Context, u *duties) {
	for _, service := range x.d.rollouts.ordered() {
		if err := x.service(ctx, u, service); err != nil {
			x.d.log.WithFields(logrus.Fields{"part": "rollout", "service": service}).Warnf("order not processed: %v", err)
		}
	}
}

// service advances the order of one service, and records a new stage in the store.
func (x *rolloutDuty) service(ctx context.Context, u *duties, service string) error {
	row, read := x.rows[service]
	state, fact, own, ok := x.d.rollouts.state(clock.Now(), service)
	if !ok {
		return nil
	}
	if !read {
		var err error
		if row, err = x.read(ctx, service); err != nil {
			return err
		}
		x.rows[service] = row
	}
	if row.Number > fact.Number {
		return nil // the row belongs to a newer order, not known here yet
	}
	if row.Number == fact.Number && row.Stage.Ended() {
		x.d.rollouts.applyFact(clock.Now(), service, row.fact())
		return nil
	}
	next := rolloutRow{Number: fact.Number, Target: fact.Target, Own: own, Stage: rollout.Watching}
	if row.Number == fact.Number {
		state.Stage = row.Stage
		next.Own = row.Own
		next.Stage, next.Why = rollout.Next(clock.Now(), state)
	} else {
		next.Own = row.ownAfter(own)
		if x.isOnlyVersion(fact.Target, next.Own) {
			next.Stage, next.Why = rollout.Completed, "it is the service's version already"
		}
	}
	if fact.Stage == rollout.RolledBack {
		next.Stage, next.Why = rollout.RolledBack, fact.Why
	}
	if row.Number == next.Number && row.Stage == next.Stage {
		x.d.rollouts.applyFact(clock.Now(), service, row.fact())
		return nil
	}
	return x.write(ctx, u, service, row, next)
}

// isOnlyVersion reports whether a version is the service's only own version.
func (x *rolloutDuty) isOnlyVersion(target string, own []string) bool {
	return len(own) == 1 && own[0] == target
}

// ownAfter returns the service's own versions after the row's order, or found if the row has none.
func (r rolloutRow) ownAfter(found []string) []string {
	switch {
	case r.Stage == rollout.Completed:
		return []string{r.Target}
	case len(r.Own) > 0:
		return r.Own
	}
	return found
}

func (r rolloutRow) fact() rollout.OrderState {
	return rollout.OrderState{Number: r.Number, Target: r.Target, Stage: r.Stage, Why: r.Why}
}

func (x *rolloutDuty) read(ctx context.Context, service string) (h storedRollout, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	r, _, ok, err := x.d.store.Row(ctx, rolloutTable, "", service)
	if err != nil || !ok {
		return h, err
	}
	h.version = r.Version
	return h, errors.Wrapf(json.Unmarshal(r.Value, &h.rolloutRow), "entry: decode row of the roll-out of %s", service)
}

// write writes the next row and the operator's status. The row is read again before the next step in
// any case, as a write may have been applied though its answer was lost.
func (x *rolloutDuty) write(ctx context.Context, u *duties, service string, row storedRollout, next rolloutRow) error {
	f, until, ok := u.mayCall(clock.Now())
	if !ok {
		return nil
	}
	from := row.Stage
	if row.Number != next.Number {
		from = rollout.Unknown // the row belongs to an earlier order
	}
	if !rollout.Allowed(from, next.Stage) {
		return errors.Errorf("entry: an order cannot go from stage %q to %q", from, next.Stage)
	}
	next.Epoch = f.Token
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "entry: encode row of a roll-out")
	}
	status, err := platform.StatusRow(service, next.Target, next.Stage)
	if err != nil {
		return err
	}
	delete(x.rows, service)
	ctx, cancel := context.WithTimeout(ctx, min(storeCallTimeout, until.Sub(clock.Now())))
	defer cancel()
	_, err = x.d.store.Apply(ctx, platform.Change{
		If:    []platform.Condition{{Table: rolloutTable, Key: service, Version: row.version}},
		Write: []platform.Row{{Table: rolloutTable, Key: service, Value: value}, status},
	})
	if err != nil {
		return err
	}
	x.d.log.WithFields(logrus.Fields{
		"part": "rollout", "service": service, "target": next.Target, "order": next.Number, "stage": next.Stage.String(), "epoch": next.Epoch, "why": next.Why,
	}).Info("status of an order written")
	x.d.rollouts.applyDecision(clock.Now(), service, next.fact())
	return nil
}

// load reads from the store the progress of orders whose stage is unknown, once the daemon knows the
// other members. In a large fleet only the readers do; the rest learn from them. Without it, when all
// daemons restarted after a completed order, the only version got no requests until one of them held
// the lease.
func (k *rolloutController) load(ctx context.Context) {
	if k.active.Load() == 0 || !k.d.contact.counted.Load() || k.d.largeFleet() && !k.d.isReader() {
		return
	}
	for _, service := range k.unknown() {
		row, err := k.d.duties.rollout.read(ctx, service)
		if err != nil {
			k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": service}).Warnf("progress of an order not read: %v", err)
			continue
		}
		k.applyFact(clock.Now(), service, row.fact())
	}
}

// unknown returns the services whose order has an unknown stage.
func (k *rolloutController) unknown() (out []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, v := range k.services {
		if v.order.Number != 0 && v.fact.Stage == rollout.Unknown {
			out = append(out, name)
		}
	}
	return out
}

// state returns the input for the lease holder's decision on a service's order. The order names one
// version, also if the service has several own versions.
func (k *rolloutController) state(now time.Time, service string) (s rollout.State, f rollout.OrderState, own []string, ok bool) {
	c := k.d.catalog.get()
	if c == nil || !c.Names(service) {
		return s, f, nil, false
	}
	pool := k.d.work(service).Pool
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.services[service]
	if v == nil || v.order.Number == 0 {
		return s, f, nil, false
	}
	s = rollout.State{
		Span: v.span(), Finding: v.finding, Ready: pool.Ready(rollout.Trial), Enough: k.enough(service, pool.Ready(rollout.Own)),
		Busy: k.d.tallies.Running(now, oldVersionKey(pool.Service)), IdleFrom: v.idleSince, Since: v.stageSince, Withdrawn: v.withdrawn,
	}
	return s, v.fact, v.own, true
}

// enough returns how many ready endpoints the new version needs before it gets all requests.
func (k *rolloutController) enough(service string, old int) int {
	c := k.d.catalog.get()
	b, ok := c.Backend[service]
	if !ok || b.Scaling == nil {
		return max(1, old)
	}
	return max(1, min(old, k.d.duties.scale.enough(b)))
}

// enough returns how many endpoints the current demand for a service needs, or 0 if it is unknown.
func (x *scaleDuty) enough(b version.Backend) int {
	w := x.demand[b.Name]
	if w == nil || !w.Seen {
		return 0
	}
	return capacity.RequiredEndpoints(x.load(b, w))
}

// applyDecision applies a stage that this daemon has written as the lease holder, and broadcasts it.
func (k *rolloutController) applyDecision(now time.Time, service string, f rollout.OrderState) {
	k.mu.Lock()
	v := k.lookup(service)
	fresh := k.advance(now, service, v, f)
	o, heard := v.order, v.writtenBy
	k.mu.Unlock()
	if fresh {
		k.broadcast(service, o, heard, f)
	}
}
