// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/platform"
	"streambend.example/rollout"
)

// takeRows takes in the operator's orders. Of a whole reading, what is missing was withdrawn.
func (k *rolloutKeeper) takeRows(now time.Time, rows []platform.Row, whole bool) {
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
			k.d.log.WithFields(logrus.Fields{"part": "rollout", "service": service, "version": r.Version}).Warnf("order left out: %v", err)
			k.d.meters.refused(codeOf(err))
			continue
		}
		k.order(now, now, o, rollout.Fact{})
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
func (k *rolloutKeeper) ordered() (out []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, v := range k.known {
		if v.order.Number != 0 {
			out = append(out, name)
		}
	}
	return out
}

// withdraw notes that the operator has taken an order back: it is rolled back, unless it has ended.
func (k *rolloutKeeper) withdraw(service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.known[service]
	if v == nil || v.order.Number == 0 || v.gone {
		return
	}
	v.gone = true
	if v.running() {
		f := v.fact
		f.Stage, f.Why = rollout.RolledBack, "withdrawn"
		k.advance(clock.Now(), service, v, f)
	}
}
