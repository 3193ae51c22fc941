// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/crash"
	"streambend.example/pace"
	"streambend.example/quota"
	"streambend.example/version"
)

// For each team with a limit, one daemon grants units to all: in a small fleet any of them, in a large one a
// zone's reader. A daemon asks it unless the team is far from its limit.

const (
	// askUnits is the query for units of a team's limit.
	askUnits = "units"
	// unitsTimeout is the timeout of that query. A request waits for it, and a second daemon may have to be asked.
	unitsTimeout = 200 * time.Millisecond
	// grantersAsked is how many daemons are asked before an even share of the limit is used.
	grantersAsked = 2
	// fullLimitWait is how long a request waits at a daemon that has just started, and may use only its own
	// share of the team's limit, for the report that lets it use the whole limit. The report arrives
	// 20 to 60 ms after a daemon is ready, and a refusal costs the caller an attempt.
	fullLimitWait = 150 * time.Millisecond
)

// teamLimiter admits requests under the limits of teams.
type teamLimiter struct {
	d     *Daemon
	peers unresponsivePeers

	local, granted, booked, refused, shared, claimed atomic.Int64 // decisions, for the metrics
}

func newTeamLimiter(d *Daemon) teamLimiter { return teamLimiter{d: d} }

// teamDecision is a decision under a team's limit.
type teamDecision struct {
	quota.Grant
	Owner string // the daemon that decided; empty for this one alone
}

// maxHold is the longest time for which a request is held here until its units are available, instead of being
// refused with a booking: its caller need not come back, and has but a few attempts.
const maxHold = 500 * time.Millisecond

// admit decides on a request that costs units, after it has held it for the time of a short booking. The key
// identifies the request over its repeats, and wait is the longest wait that is of use to its caller.
func (k *teamLimiter) admit(ctx context.Context, l quota.Limit, units float64, key uint64, wait time.Duration) teamDecision {
	d := k.decide(ctx, l, units, key, wait)
	if !d.Booked || d.Wait > maxHold {
		return d
	}
	passed, stop := after(d.Wait)
	defer stop()
	select {
	case <-passed:
	case <-ctx.Done():
		return d
	}
	return k.decide(ctx, l, units, key, max(wait-d.Wait, 0))
}

// decide is admit without the wait.
func (k *teamLimiter) decide(ctx context.Context, l quota.Limit, units float64, key uint64, wait time.Duration) teamDecision {
	if l.Rate <= 0 {
		return teamDecision{Grant: quota.Grant{OK: true}}
	}
	f, now := k.d.fleet(), clock.Now()
	if k.d.quotas.AdmitLocal(now, l, units, f.LimitShare(), f.Sharers()) {
		k.local.Add(1)
		return teamDecision{Grant: quota.Grant{OK: true}}
	}
	q := quota.Query{Units: units, Key: key, Wait: wait}
	d, ok := k.askOwners(ctx, l, q)
	if !ok && f.Uninformed() && now.Sub(k.d.began) < startupPeriod {
		k.awaitReport()
		d, ok = k.askOwners(ctx, l, q)
	}
	switch {
	case ok:
		k.count(d.Grant)
		return d
	case ctx.Err() != nil:
		return teamDecision{} // the caller has left
	}
	k.shared.Add(1)
	f = k.d.fleet()
	draw := pace.HashFraction(xxhash.Sum64String(l.Team), k.d.Self.Name)
	after, ok := k.d.quotas.AdmitShare(clock.Now(), l, units, draw, f.Sharers())
	return teamDecision{Grant: quota.Grant{OK: ok, Wait: after}}
}

// askOwners asks the daemons that may grant; ok is false if none decides.
func (k *teamLimiter) askOwners(ctx context.Context, l quota.Limit, q quota.Query) (d teamDecision, ok bool) {
	for _, owner := range k.owners(l.Team) {
		if g, ok := k.ask(ctx, owner, l, q); ok {
			return teamDecision{g, owner}, true
		}
	}
	return d, false
}

// awaitReport waits until this daemon has a report of what others admit, at most for fullLimitWait.
func (k *teamLimiter) awaitReport() {
	passed, stop := after(fullLimitWait)
	defer stop()
	select {
	case <-k.d.contact.reported:
	case <-passed:
	}
}

func (k *teamLimiter) count(g quota.Grant) {
	switch {
	case g.OK:
		k.granted.Add(1)
	case g.Booked:
		k.booked.Add(1)
	default:
		k.refused.Add(1)
	}
}

// owners returns the daemons that may grant a team's units, in the order in which they are asked.
func (k *teamLimiter) owners(team string) (out []string) {
	names := k.d.granters()
	hash := xxhash.Sum64String(team)
	for range grantersAsked {
		owner := pace.Owner(hash, names)
		if owner == "" {
			break
		}
		out = append(out, owner)
		names = slices.DeleteFunc(names, func(n string) bool { return n == owner })
	}
	return out
}

// granters returns the daemons that may grant for all: in a large fleet the readers, since all daemons have links
// to those.
func (d *Daemon) granters() (names []string) {
	if r := d.roster(); d.largeFleet() && r.Known {
		names = append(names, r.Reader.Name)
		return append(names, r.Beyond...)
	}
	for _, m := range d.Hub.Mesh.Members() {
		names = append(names, m.Name)
	}
	return names
}

// ask asks a daemon for units; ok is false if it does not decide.
func (k *teamLimiter) ask(ctx context.Context, owner string, l quota.Limit, q quota.Query) (g quota.Grant, ok bool) {
	if owner == k.d.Self.Name {
		return k.grant(clock.Now(), l, q)
	}
	if k.peers.skip(clock.Now(), owner) {
		return g, false
	}
	asking, cancel := context.WithTimeout(ctx, unitsTimeout)
	defer cancel()
	b, err := k.d.Hub.Ask(asking, owner, askUnits, conn.Marshal(unitsQuery{l.Team, q.Units, q.Key, q.Wait}))
	var a unitsAnswer
	if err == nil {
		err = conn.Unmarshal(b, &a)
	}
	if err != nil && ctx.Err() != nil {
		return g, false // the caller has left, which says nothing of the owner
	}
	if err != nil {
		k.peers.mark(clock.Now(), owner)
		k.d.log.WithFields(logrus.Fields{"part": "quota", "owner": owner, "team": l.Team, "error": err}).
			Info("no answer to a query for units: another daemon is asked, or an even share of the limit is used")
		return g, false
	}
	if !a.Decided {
		return g, false
	}
	if a.OK {
		k.d.quotas.RecordGranted(clock.Now(), l, q.Units, k.d.share())
	}
	return quota.Grant{OK: a.OK, Booked: a.Booked, Wait: a.Wait}, true
}

// grant decides as the owner; ok is false if this daemon has just started and does not know what others have
// admitted, unless there is no other.
func (k *teamLimiter) grant(now time.Time, l quota.Limit, q quota.Query) (g quota.Grant, ok bool) {
	f := k.d.fleet()
	if f.Uninformed() {
		return g, false
	}
	share := 1.0
	if f.InMinority() {
		share = f.LimitShare() // the others may have chosen another owner
	}
	g = k.d.quotas.Grant(now, l, q, share)
	if g.Claimed {
		k.claimed.Add(1)
	}
	return g, true
}

// unitsQuery asks for units of a team's limit.
type unitsQuery struct {
	Team  string        `codec:"t"`
	Units float64       `codec:"u"`
	Key   uint64        `codec:"k"`
	Wait  time.Duration `codec:"w"`
}

// unitsAnswer is the decision on a unitsQuery, unless the answering daemon can't decide.
type unitsAnswer struct {
	Decided bool          `codec:"d,omitempty"`
	OK      bool          `codec:"o,omitempty"`
	Booked  bool          `codec:"b,omitempty"`
	Wait    time.Duration `codec:"w,omitempty"`
}

// answer answers another daemon's query for units.
func (k *teamLimiter) answer(from string, body []byte) ([]byte, error) {
	var w unitsQuery
	if err := conn.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	var a unitsAnswer
	if l, known := k.limit(w.Team); known {
		g, ok := k.grant(clock.Now(), l, quota.Query{Asker: from, Units: w.Units, Key: w.Key, Wait: w.Wait})
		a = unitsAnswer{ok, g.OK, g.Booked, g.Wait}
	}
	return conn.Marshal(a), nil
}

// limit returns the limit of a team as this daemon knows it.
func (k *teamLimiter) limit(team string) (l quota.Limit, known bool) {
	if c := k.d.catalog.get(); c != nil {
		if t := c.TenantNamed(team); t != nil {
			return limitOf(t), true
		}
	}
	return l, false
}

// limitOf returns the limit of a team.
func limitOf(t *version.Tenant) quota.Limit {
	return quota.Limit{Team: t.Name, Rate: t.Rate, Burst: t.Burst}
}

// requestKey returns the key of a request under its team's limit: the same for each repeat at any daemon.
func requestKey(p crash.Fingerprint) uint64 { return binary.LittleEndian.Uint64(p[:]) }

const (
	// honouredFraction is the fraction of the time until its deadline for which a caller honours Retry-After.
	honouredFraction = 1.0 / 3
	// usefulFraction is the fraction of the time until its target after which a request can still be answered in
	// time.
	usefulFraction = 0.8
)

// usefulWait returns the longest wait that is of use to a caller with so much time left until its deadline, for an
// answer within a target; 0 for no target.
func usefulWait(left, target time.Duration) time.Duration {
	wait := time.Duration(honouredFraction * float64(left))
	if target > 0 {
		wait = min(wait, time.Duration(usefulFraction*float64(target)))
	}
	return wait
}
