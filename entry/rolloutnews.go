// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/rollout"
)

// orderWord is what one daemon tells another of an order.
type orderWord struct {
	Order rollout.Order `codec:"o"`
	Age   time.Duration `codec:"a"` // since it was written, at the least
	Fact  rollout.Fact  `codec:"f"`
	Own   []string      `codec:"w,omitempty"` // the versions that were the service's own before it
}

// endedFor is for how long daemons tell each other again and again that an order has ended: one
// that was cut off counts as reached 4 s after. One that starts hears it with the configuration.
const endedFor = 30 * time.Second

// words returns what is known of orders; all of them, or those that daemons tell each other again.
func (k *rolloutKeeper) words(now time.Time, all bool) (out []orderWord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.known {
		if v.order.Number == 0 || !all && !v.running() && now.Sub(v.since) > endedFor {
			continue
		}
		out = append(out, orderWord{v.order, now.Sub(v.heard), v.fact, v.own})
	}
	return out
}

// again tells others how far orders have come, each second: a daemon that has missed the word of a
// roll-back hears it, and one that hears nothing sends nothing to a version on trial. Where daemons
// are many the readers tell each other, and the rest hear it with each answer of theirs: to tell all
// neighbours cost each of 78 daemons 4.6 KB a second as two services moved.
func (k *rolloutKeeper) again(now time.Time) {
	words := k.words(now, false)
	switch {
	case len(words) == 0:
	case !k.d.many():
		k.d.giveAll(k.d.Hub.Mesh.NeighbourNames(), conn.Payload{Orders: conn.Marshal(words)})
	case k.d.isReader():
		k.d.giveAll(k.d.roster().Beyond, conn.Payload{Orders: conn.Marshal(words)})
	}
}

// tellAll tells all daemons how far an order has come.
func (k *rolloutKeeper) tellAll(service string, o rollout.Order, heard time.Time, f rollout.Fact) {
	o.Service = service
	k.d.Hub.Tell(conn.Payload{Orders: conn.Marshal([]orderWord{{Order: o, Age: clock.Now().Sub(heard), Fact: f}})})
}

// take takes in what another daemon tells.
func (k *rolloutKeeper) take(now time.Time, from string, b []byte) {
	if len(b) == 0 {
		return
	}
	var words []orderWord
	if err := conn.Unmarshal(b, &words); err != nil {
		k.d.log.WithField("part", "rollout").Warnf("word of %s: %v", from, err)
		return
	}
	k.hear(now, now, words)
}

// hear takes in words that were sent at a time.
func (k *rolloutKeeper) hear(now, sent time.Time, words []orderWord) {
	for _, w := range words {
		k.adoptOwn(w)
		k.order(now, sent.Add(-w.Age), w.Order, w.Fact)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.word = now
}

// hearAll takes in all orders that another daemon knew at a version of the store: one that is known
// here from before and is not among them was withdrawn.
func (k *rolloutKeeper) hearAll(sent time.Time, at int64, words []orderWord) {
	k.hear(clock.Now(), sent, words)
	there := make(map[string]bool)
	for _, w := range words {
		there[w.Order.Service] = true
	}
	for _, service := range k.ordered() {
		if !there[service] && k.orderedBefore(service, at) {
			k.withdraw(service)
		}
	}
}

// orderedBefore reports whether a service's order was written by a version of the store.
func (k *rolloutKeeper) orderedBefore(service string, at int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.of(service).order.Number <= at
}

// adoptOwn takes over which versions are a service's own from a daemon that has known them for
// longer: among those found by one that starts within a roll-out they cannot be told apart.
func (k *rolloutKeeper) adoptOwn(w orderWord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v := k.of(w.Order.Service); v.own == nil {
		v.own = w.Own
	}
}

// codeOf returns the number of an error.
func codeOf(err error) code.Code { return code.From(err).Code }
