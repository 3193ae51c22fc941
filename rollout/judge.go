// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"
	"math"
	"time"
)

// Tally counts answers of a version. It only grows.
type Tally struct {
	Whole int64 `codec:"n"` // answers that tell of the version, good and bad
	Bad   int64 `codec:"b"` // those of them that failed, or came several times slower
}

// Add returns the sum of two tallies.
func (t Tally) Add(x Tally) Tally { return Tally{t.Whole + x.Whole, t.Bad + x.Bad} }

// Sub returns what a tally has more than an earlier one.
func (t Tally) Sub(x Tally) Tally { return Tally{t.Whole - x.Whole, t.Bad - x.Bad} }

// Counts are the answers of a service's two versions since an order, over all daemons, by route.
type Counts struct {
	Old map[string]Tally            // by route
	New map[string]map[string]Tally // by route and endpoint
}

// Opinion is what the answers say of a new version so far.
type Opinion int

// The opinions.
const (
	Undecided Opinion = iota
	Good              // no worse than the old one on any route, with stated error
	Bad
)

// String returns the opinion's name.
func (o Opinion) String() string { return [...]string{"undecided", "good", "bad"}[o] }

// Finding is an opinion and what it rests on.
type Finding struct {
	Opinion Opinion
	Route   string // that decided, or that is least known
	Why     string
}

// Reason returns the route and what was seen on it.
func (f Finding) Reason() string { return f.Route + ": " + f.Why }

// Test judges a new version by counts that come again and again.
type Test interface {
	Take(now time.Time, c Counts) Finding
}

const (
	// priorWhole and priorBad are answers of the old version that are assumed before any came:
	// two of a hundred are bad.
	priorWhole, priorBad = 25, 0.5
	// leastRate is the share of bad answers that any version is allowed: beside an old one of which
	// none was bad, a single bad answer of each of two endpoints would weigh as much as a
	// version that fails half of its requests.
	leastRate = 0.02
	// leastWorse is by how much more of its answers must be bad for a version to be, and
	// noiseWorse the same as a part of the spread of one answer, where many of the old version's
	// are bad as well: to see 8 in 100 beside 14 takes more answers than a roll-out has.
	leastWorse, noiseWorse = 0.08, 0.6
	// worstRate bounds the rates that are compared.
	worstRate = 0.97
	// badAt is the evidence, as the logarithm of how much more likely the answers are from a
	// bad version, at which it is taken for bad. Each endpoint has a say of voiceMost at the
	// most, so that one or two that have a fault of their own are not the version's; where
	// there are no more, each must have said voiceLeast.
	badAt      = 9.0
	voiceMost  = 4.0
	voiceLeast = 3.5
	// goodAt is the same for a good version, on each route: a bad one is taken for good once
	// in a hundred times.
	goodAt = 4.6
	// sumTimes bounds what speaks for a version, as a multiple of goodAt, so that one that was good
	// for long and turns bad is soon no longer taken for good.
	sumTimes = 1.5
	// doubtShare is the part of badAt from which on a version is under suspicion and not
	// taken for good, whatever was seen before.
	doubtShare = 0.25
	// quickSpan and longSpan are how far back the old version's answers are looked at beside
	// all since the order: what hits both versions is no fault of the new one.
	quickSpan, longSpan = 700 * time.Millisecond, 4 * time.Second
	// spanWhole is how many answers of the whole time weigh into those of a span.
	spanWhole = 10
	// excessMost is the number of bad answers beyond the old version's rate at which a
	// version is rolled back whatever the endpoints say, but for the worst of them if the others
	// show that the fault is its own: a third of those after which the time runs in which it
	// must get nothing more. It finds versions that are bad less often than worse returns.
	excessMost = 15
	// excessSpread is by how many standard deviations that must be beyond chance.
	excessSpread = 3.0
	// routeLeast is how many answers of the old version make a route one that is looked at.
	routeLeast = 5
)

// rate is the share of bad answers, drawn towards an assumed one while there are few.
func rate(t Tally, whole, bad float64) float64 {
	return (float64(t.Bad) + bad) / (float64(t.Whole) + whole)
}

// worse returns the share of bad answers from which on a version is bad beside an old one.
func worse(p float64) float64 {
	return math.Min(worstRate, p+math.Max(leastWorse, noiseWorse*math.Sqrt(p*(1-p))))
}

// weigh returns how much more likely some answers are at a rate of bad ones than at another, as a
// logarithm.
func weigh(t Tally, p, q float64) float64 {
	good := float64(t.Whole - t.Bad)
	return float64(t.Bad)*math.Log(q/p) + good*math.Log((1-q)/(1-p))
}

// past keeps what the old version had answered on a route at some moments.
type past struct {
	at  []time.Time
	sum []Tally
}

// add notes a sum, and forgets what lies further back than longSpan but for the last of it.
func (p *past) add(now time.Time, sum Tally) {
	p.at, p.sum = append(p.at, now), append(p.sum, sum)
	old := 0
	for old+1 < len(p.at) && now.Sub(p.at[old+1]) >= longSpan {
		old++
	}
	p.at, p.sum = p.at[old:], p.sum[old:]
}

// since returns what was answered within a span.
func (p *past) since(now time.Time, span time.Duration) Tally {
	last := p.sum[len(p.sum)-1]
	for i := len(p.at) - 1; i >= 0; i-- {
		if now.Sub(p.at[i]) >= span {
			return last.Sub(p.sum[i])
		}
	}
	return last
}

// rate returns the old version's share of bad answers: the highest of the whole time, the last
// seconds and the last moment.
func (p *past) rate(now time.Time) float64 {
	all := rate(p.sum[len(p.sum)-1], priorWhole, priorBad)
	r := math.Max(all, leastRate)
	for _, span := range []time.Duration{quickSpan, longSpan} {
		r = math.Max(r, rate(p.since(now, span), spanWhole, spanWhole*all))
	}
	return math.Min(r, worstRate-leastWorse)
}

// routeCase is the evidence on one route.
type routeCase struct {
	old    past
	rate   float64            // the old version's share of bad answers
	sum    float64            // towards bad, bounded below
	voices map[string]float64 // by endpoint, bounded both ways
	known  map[string]Tally   // of each endpoint, as last taken in
	excess map[string]float64 // of each, bad answers beyond the old version's rate
	spread float64            // the variance of those by chance
}

func newRouteCase() *routeCase {
	return &routeCase{voices: make(map[string]float64), known: make(map[string]Tally), excess: make(map[string]float64)}
}

// take takes in what has come since.
func (r *routeCase) take(now time.Time, old Tally, endpoints map[string]Tally) {
	r.old.add(now, old)
	r.rate = r.old.rate(now)
	p, q := r.rate, worse(r.rate)
	for e, t := range endpoints {
		news := t.Sub(r.known[e])
		if news.Whole <= 0 {
			continue
		}
		r.known[e] = t
		w := weigh(news, p, q)
		r.sum = math.Max(r.sum+w, -sumTimes*goodAt)
		r.voices[e] = math.Max(-voiceMost, math.Min(voiceMost, r.voices[e]+w))
		r.excess[e] += float64(news.Bad) - p*float64(news.Whole)
		r.spread += p * (1 - p) * float64(news.Whole)
	}
}

// against returns the evidence that the version is bad, and how much it takes.
func (r *routeCase) against() (evidence, needed float64) {
	for _, v := range r.voices {
		evidence += v
	}
	return evidence, math.Min(badAt, voiceLeast*math.Max(1, float64(len(r.voices))))
}

// bad reports whether the route shows that the version is bad.
func (r *routeCase) bad() bool {
	evidence, needed := r.against()
	return evidence >= needed || excessive(r.beyond(), r.spread)
}

// excessive reports whether there are more bad answers than chance has it.
func excessive(excess, spread float64) bool {
	return excess >= excessMost && excess >= excessSpread*math.Sqrt(spread)
}

// beyond returns the bad answers beyond the old version's rate, without those of the worst of
// several endpoints where the fault is shown to be its own.
func (r *routeCase) beyond() (sum float64) {
	worst := ""
	for e, x := range r.excess {
		sum += x
		if worst == "" || x > r.excess[worst] {
			worst = e
		}
	}
	if x := r.excess[worst]; x > 0 && r.ownFault(worst) {
		sum -= x
	}
	return sum
}

// ownFault reports whether the answers of the other endpoints show that they do not fail as often as an
// endpoint. Where they have hardly answered, its fault may be the version's.
func (r *routeCase) ownFault(endpoint string) bool {
	var others Tally
	for e, t := range r.known {
		if e != endpoint {
			others = others.Add(t)
		}
	}
	t := r.known[endpoint]
	q := math.Max(worse(r.rate), math.Min(worstRate, float64(t.Bad)/float64(t.Whole)))
	return weigh(others, r.rate, q) <= -goodAt
}

// good reports whether the route shows that it is no worse than the old one.
func (r *routeCase) good() bool {
	evidence, needed := r.against()
	return r.sum <= -goodAt && evidence < doubtShare*needed
}

// routeCases are the cases of a service's routes, by name. The zero value is ready.
type routeCases map[string]*routeCase

// take takes in a route's counts, and returns its case.
func (s *routeCases) take(now time.Time, name string, c Counts) *routeCase {
	if *s == nil {
		*s = make(routeCases)
	}
	r := (*s)[name]
	if r == nil {
		r = newRouteCase()
		(*s)[name] = r
	}
	r.take(now, c.Old[name], c.New[name])
	return r
}

// Voices is a Test by the answers' likelihood on each route, in which each endpoint has a bounded
// say. The say is bounded below as well, so that a version that turns bad after it has been good
// for a while is found as soon. The zero value is ready.
type Voices struct {
	routes routeCases
}

// Take implements Test.
func (v *Voices) Take(now time.Time, c Counts) Finding {
	f := Finding{Opinion: Good}
	looked, excess, spread := 0, 0.0, 0.0
	for name, old := range c.Old {
		r := v.routes.take(now, name, c)
		excess, spread = excess+r.beyond(), spread+r.spread
		switch {
		case r.bad():
			return Finding{Bad, name, r.text()}
		case old.Whole < routeLeast:
			continue
		case !r.good():
			f = Finding{Undecided, name, r.text()}
		}
		looked++
	}
	switch {
	case excessive(excess, spread):
		return Finding{Bad, "all routes", fmt.Sprintf("%.0f bad answers more than the old version's", excess)}
	case looked == 0:
		f.Opinion = Undecided
	}
	return f
}

// text tells what was seen on the route.
func (r *routeCase) text() string {
	var sum Tally
	for _, t := range r.known {
		sum = sum.Add(t)
	}
	old := r.old.sum[len(r.old.sum)-1]
	evidence, needed := r.against()
	return fmt.Sprintf("%d of %d bad at %d new endpoints, %d of %d at the old, evidence %.1f of %.1f, for it %.1f of %.1f",
		sum.Bad, sum.Whole, len(r.known), old.Bad, old.Whole, evidence, needed, -r.sum, goodAt)
}

// Pooled is a Test by the sequential probability ratio of all answers of a route together, with
// the same errors and no memory of what came first. Whatever befalls one endpoint counts for the
// version. The zero value is ready.
type Pooled struct {
	routes routeCases
}

// Take implements Test.
func (p *Pooled) Take(now time.Time, c Counts) Finding {
	f := Finding{Opinion: Good}
	for name, old := range c.Old {
		r := p.routes.take(now, name, c)
		if r.sum >= badAt {
			return Finding{Bad, name, r.text()}
		}
		if old.Whole >= routeLeast && r.sum > -goodAt {
			f = Finding{Undecided, name, r.text()}
		}
	}
	if len(c.Old) == 0 {
		f.Opinion = Undecided
	}
	return f
}
