// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/platform"
	"streambend.example/rollout"
)

// takeRows applies the operator's orders. If the rows are the whole table, an order that is missing
// from them was withdrawn.
func (k *rolloutController) takeRows(now time.Time, rows []platform.Row, whole bool) {
	there := make(map[string]bool)
	for _, r := range rows {
		service, ok := platform.RolloutService(r)
		if !ok {
			continue
		}
		there[service] = !r.Removed
		if r.Removed {
			k.withdraw(service)
			continue
		}
		o, err := platform.ReadRollout(r)
		if err != nil {
			k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": service, "version": r.Version}).Warnf("invalid order ignored: %v", err)
			k.d.meters.refused(codeOf(err))
			continue
		}
		k.applyOrder(now, now, o, rollout.OrderState{})
	}
	if !whole {
		return
	}
	for _, service := range k.ordered() {
		if !there[service] {
			k.withdraw(service)
		}
	}
}

// ordered returns the services that have an order.
func (k *rolloutController) ordered() (out []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, v := range k.services {
		if v.order.Number != 0 {
			out = append(out, name)
		}
	}
	return out
}

// withdraw records that the operator has removed an order, and rolls it back unless it has ended.
func (k *rolloutController) withdraw(service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.services[service]
	if v == nil || v.order.Number == 0 || v.withdrawn {
		return
	}
	v.withdrawn = true
	if v.running() {
		f := v.fact
		f.Stage, f.Why = rollout.RolledBack, "withdrawn"
		k.advance(clock.Now(), service, v, f)
	}
}
