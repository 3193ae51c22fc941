// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"
	"math"
	"time"
)

// Tally counts answers of a version. Its counts never decrease.
type Tally struct {
	Total int64 `codec:"n"` // answers that count for the analysis, good and bad
	Bad   int64 `codec:"b"` // those that failed or were several times slower than usual
}

// Add returns the sum of two tallies.
func (t Tally) Add(x Tally) Tally { return Tally{t.Total + x.Total, t.Bad + x.Bad} }

// Sub returns the counts since an earlier tally.
func (t Tally) Sub(x Tally) Tally { return Tally{t.Total - x.Total, t.Bad - x.Bad} }

// Counts holds the answers of a service's two versions since the order began, over all daemons.
type Counts struct {
	Old map[string]Tally            // by route
	New map[string]map[string]Tally // by route and endpoint
}

// Opinion is the result of the canary analysis so far.
type Opinion int

// The values of Opinion.
const (
	Undecided Opinion = iota
	Good              // no worse than the old one on any route, at the error rate of goodThreshold
	Bad
)

// String returns the opinion's name.
func (o Opinion) String() string { return [...]string{"undecided", "good", "bad"}[o] }

// Finding is an opinion and the evidence for it.
type Finding struct {
	Opinion Opinion
	Route   string // the route that decided, or an undecided one
	Why     string
}

// Reason returns the route and the evidence on it.
func (f Finding) Reason() string { return f.Route + ": " + f.Why }

// Analyzer compares a new version with the old one. It is given the growing counts again and again.
type Analyzer interface {
	Take(now time.Time, c Counts) Finding
}

const (
	// priorAnswers and priorBad are added to the counts of the old version as a prior: a rate of 2%
	// bad answers.
	priorAnswers, priorBad = 25, 0.5
	// minBaseRate is the lowest rate assumed for the old version. With a lower one, a single bad
	// answer at each of two endpoints would weigh as much as a version that fails half of its
	// requests.
	minBaseRate = 0.02
	// A version is bad if its rate of bad answers is higher than the old one's by minRateIncrease,
	// or by increasePerStdDev standard deviations of one answer if that is more, where the old
	// version has many bad answers too: to tell 8% from 14% takes more answers than a roll-out has.
	minRateIncrease, increasePerStdDev = 0.08, 0.6
	// maxRate bounds the rates that are compared.
	maxRate = 0.97
	// badThreshold is the log-likelihood ratio at which a version is bad. Each endpoint contributes
	// at most maxEndpointEvidence, so that faults of one or two endpoints don't count as the
	// version's. With so few endpoints that they cannot reach the threshold together, each must
	// contribute minEndpointEvidence.
	badThreshold        = 9.0
	maxEndpointEvidence = 4.0
	minEndpointEvidence = 3.5
	// goodThreshold is the same for a good version, on each route: a bad version is found good with
	// a probability of 1%.
	goodThreshold = 4.6
	// goodEvidenceCap bounds the evidence for a version as a multiple of goodThreshold, so that a
	// version that turns bad after a long good time is soon no longer found good.
	goodEvidenceCap = 1.5
	// suspicionShare is the part of badThreshold from which on a version is not found good, whatever
	// the other evidence.
	suspicionShare = 0.25
	// shortWindow and longWindow are the recent windows in which the old version's rate is also
	// taken: a disturbance that affects both versions is not the fault of the new one.
	shortWindow, longWindow = 700 * time.Millisecond, 4 * time.Second
	// windowPrior is the weight, in answers, of the overall rate in the rate of a window.
	windowPrior = 10
	// excessThreshold is the number of bad answers beyond the old version's rate at which a version
	// is rolled back, whatever the evidence by endpoint. The worst endpoint is left out if the
	// others show that the fault is its own. It is a third of the number after which the version
	// must get no more requests within a time limit, and catches versions that are bad less often
	// than badRate.
	excessThreshold = 15
	// excessStdDevs is by how many standard deviations the excess must be beyond chance.
	excessStdDevs = 3.0
	// minRouteAnswers is how many answers of the old version a route needs to be considered.
	minRouteAnswers = 5
)

// smoothedRate is the rate of bad answers with a prior of so many answers, of which some are bad.
func smoothedRate(t Tally, whole, bad float64) float64 {
	return (float64(t.Bad) + bad) / (float64(t.Total) + whole)
}

// badRate returns the rate of bad answers from which on a version is bad if the old one has the rate
// p.
func badRate(p float64) float64 {
	return math.Min(maxRate, p+math.Max(minRateIncrease, increasePerStdDev*math.Sqrt(p*(1-p))))
}

// logLikelihoodRatio returns the log-likelihood ratio of a tally for the rate q of bad answers
// against the rate p.
func logLikelihoodRatio(t Tally, p, q float64) float64 {
	good := float64(t.Total - t.Bad)
	return float64(t.Bad)*math.Log(q/p) + good*math.Log((1-q)/(1-p))
}

// history holds recent totals of the old version on a route.
type history struct {
	at     []time.Time
	totals []Tally
}

// add records a total, and drops those older than longWindow except the newest of them.
func (p *history) add(now time.Time, sum Tally) {
	p.at, p.totals = append(p.at, now), append(p.totals, sum)
	old := 0
	for old+1 < len(p.at) && now.Sub(p.at[old+1]) >= longWindow {
		old++
	}
	p.at, p.totals = p.at[old:], p.totals[old:]
}

// within returns the answers in a window that ends now.
func (p *history) within(now time.Time, span time.Duration) Tally {
	last := p.totals[len(p.totals)-1]
	for i := len(p.at) - 1; i >= 0; i-- {
		if now.Sub(p.at[i]) >= span {
			return last.Sub(p.totals[i])
		}
	}
	return last
}

// baseRate returns the old version's rate of bad answers: the highest of the whole time and the two
// recent windows.
func (p *history) baseRate(now time.Time) float64 {
	all := smoothedRate(p.totals[len(p.totals)-1], priorAnswers, priorBad)
	r := math.Max(all, minBaseRate)
	for _, span := range []time.Duration{shortWindow, longWindow} {
		r = math.Max(r, smoothedRate(p.within(now, span), windowPrior, windowPrior*all))
	}
	return math.Min(r, maxRate-minRateIncrease)
}

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	old        history
	rate       float64            // the old version's rate of bad answers
	evidence   float64            // pooled log-likelihood ratio for a bad version, bounded below
	byEndpoint map[string]float64 // log-likelihood ratio of each endpoint, bounded both ways
	counts     map[string]Tally   // last counts of each endpoint
	excess     map[string]float64 // bad answers of each endpoint beyond the old version's rate
	variance   float64            // variance of the total excess by chance
}

func newRouteEvidence() *routeEvidence {
	return &routeEvidence{byEndpoint: make(map[string]float64), counts: make(map[string]Tally), excess: make(map[string]float64)}
}

// update adds the answers since the last call.
func (r *routeEvidence) update(now time.Time, old Tally, endpoints map[string]Tally) {
	r.old.add(now, old)
	r.rate = r.old.baseRate(now)
	p, q := r.rate, badRate(r.rate)
	for e, t := range endpoints {
		added := t.Sub(r.counts[e])
		if added.Total <= 0 {
			continue
		}
		r.counts[e] = t
		w := logLikelihoodRatio(added, p, q)
		r.evidence = math.Max(r.evidence+w, -goodEvidenceCap*goodThreshold)
		r.byEndpoint[e] = math.Max(-maxEndpointEvidence, math.Min(maxEndpointEvidence, r.byEndpoint[e]+w))
		r.excess[e] += float64(added.Bad) - p*float64(added.Total)
		r.variance += p * (1 - p) * float64(added.Total)
	}
}

// evidenceAgainst returns the evidence that the version is bad, and the threshold for it.
func (r *routeEvidence) evidenceAgainst() (evidence, needed float64) {
	for _, v := range r.byEndpoint {
		evidence += v
	}
	return evidence, math.Min(badThreshold, minEndpointEvidence*math.Max(1, float64(len(r.byEndpoint))))
}

// bad reports whether the route shows that the version is bad.
func (r *routeEvidence) bad() bool {
	evidence, needed := r.evidenceAgainst()
	return evidence >= needed || exceedsChance(r.totalExcess(), r.variance)
}

// exceedsChance reports whether there are more bad answers than chance explains.
func exceedsChance(excess, spread float64) bool {
	return excess >= excessThreshold && excess >= excessStdDevs*math.Sqrt(spread)
}

// totalExcess returns the bad answers beyond the old version's rate, without those of the worst
// endpoint if the fault is shown to be its own.
func (r *routeEvidence) totalExcess() (sum float64) {
	worst := ""
	for e, x := range r.excess {
		sum += x
		if worst == "" || x > r.excess[worst] {
			worst = e
		}
	}
	if x := r.excess[worst]; x > 0 && r.isOutlier(worst) {
		sum -= x
	}
	return sum
}

// isOutlier reports whether the answers of the other endpoints show that they fail less often than
// this one. If they have hardly answered, the fault may be the version's.
func (r *routeEvidence) isOutlier(endpoint string) bool {
	var others Tally
	for e, t := range r.counts {
		if e != endpoint {
			others = others.Add(t)
		}
	}
	t := r.counts[endpoint]
	q := math.Max(badRate(r.rate), math.Min(maxRate, float64(t.Bad)/float64(t.Total)))
	return logLikelihoodRatio(others, r.rate, q) <= -goodThreshold
}

// good reports whether the route shows that the version is no worse than the old one.
func (r *routeEvidence) good() bool {
	evidence, needed := r.evidenceAgainst()
	return r.evidence <= -goodThreshold && evidence < suspicionShare*needed
}

// evidenceByRoute holds the evidence on each route of a service. The zero value is ready.
type evidenceByRoute map[string]*routeEvidence

// update adds a route's counts and returns its evidence.
func (s *evidenceByRoute) update(now time.Time, name string, c Counts) *routeEvidence {
	if *s == nil {
		*s = make(evidenceByRoute)
	}
	r := (*s)[name]
	if r == nil {
		r = newRouteEvidence()
		(*s)[name] = r
	}
	r.update(now, c.Old[name], c.New[name])
	return r
}

// ClampedSPRT is an Analyzer: a sequential probability ratio test on each route in which the evidence of
// each endpoint is bounded. It is bounded below as well, so that a version that turns bad after a
// good time is found as fast. The zero value is ready.
type ClampedSPRT struct {
	routes evidenceByRoute
}

// Take implements Analyzer.
func (v *ClampedSPRT) Take(now time.Time, c Counts) Finding {
	f := Finding{Opinion: Good}
	considered, excess, spread := 0, 0.0, 0.0
	for name, old := range c.Old {
		r := v.routes.update(now, name, c)
		excess, spread = excess+r.totalExcess(), spread+r.variance
		switch {
		case r.bad():
			return Finding{Bad, name, r.summary()}
		case old.Total < minRouteAnswers:
			continue
		case !r.good():
			f = Finding{Undecided, name, r.summary()}
		}
		considered++
	}
	switch {
	case exceedsChance(excess, spread):
		return Finding{Bad, "all routes", fmt.Sprintf("%.0f bad answers more than the old version's", excess)}
	case considered == 0:
		f.Opinion = Undecided
	}
	return f
}

// summary describes the answers and the evidence on the route.
func (r *routeEvidence) summary() string {
	var sum Tally
	for _, t := range r.counts {
		sum = sum.Add(t)
	}
	old := r.old.totals[len(r.old.totals)-1]
	evidence, needed := r.evidenceAgainst()
	return fmt.Sprintf("%d of %d bad at %d new endpoints, %d of %d at the old, evidence %.1f of %.1f, for it %.1f of %.1f",
		sum.Bad, sum.Total, len(r.counts), old.Bad, old.Total, evidence, needed, -r.evidence, goodThreshold)
}

// PooledSPRT is an Analyzer: a sequential probability ratio test of all answers of a route together,
// with the same error rates. A fault of one endpoint counts against the version. The zero value is
// ready.
type PooledSPRT struct {
	routes evidenceByRoute
}

// Take implements Analyzer.
func (p *PooledSPRT) Take(now time.Time, c Counts) Finding {
	f := Finding{Opinion: Good}
	for name, old := range c.Old {
		r := p.routes.update(now, name, c)
		if r.evidence >= badThreshold {
			return Finding{Bad, name, r.summary()}
		}
		if old.Total >= minRouteAnswers && r.evidence > -goodThreshold {
			f = Finding{Undecided, name, r.summary()}
		}
	}
	if len(c.Old) == 0 {
		f.Opinion = Undecided
	}
	return f
}
