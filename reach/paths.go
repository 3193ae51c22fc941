// SPDX-License-Identifier: MIT

package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// lossFailures is the number of different endpoints to which connections must fail in a row for a loss.
	lossFailures = 3
	// lossTime is how long connections must fail for a loss that no other daemon confirms. By then requests have tried
	// enough endpoints to find the living ones, if most have ended; finalTime is the time for some last probes.
	lossTime  = time.Second
	finalTime = 500 * time.Millisecond
	// failureTTL is how long a failure counts. Without it, endpoints that end over minutes would add up at a daemon
	// whose open connections suffice.
	failureTTL = 5 * time.Second
	// verifyInterval is the least time between two verifications of a service.
	verifyInterval = 500 * time.Millisecond
	// probeInterval is the interval of probes of a service that is lost.
	probeInterval = 200 * time.Millisecond
	// askInterval is the interval of questions to other daemons, of which each round asks askFactor times as many, up to
	// maxAsked in the last: some may have lost the same path. Each of them opens a connection, also if all endpoints have ended.
	askInterval = 300 * time.Millisecond
	askFactor   = 3
	maxAsked    = 8
	// surveySize is the number of endpoints probed at once when one can be reached during a loss. If less than half of
	// them can, other daemons that reach all serve better than the few endpoints in reach of this one.
	surveySize = 8
	// maxProbes bounds the services that are looked at in one step, and maxProbed the endpoints remembered in one round.
	maxProbes = 4
	maxProbed = 64
)

// Paths tracks to which services this daemon has a network path. The zero value is ready to use.
type Paths struct {
	mu       sync.Mutex
	services map[string]*path
	lost     int
	doubtful bool // some service is to be verified, or its loss to be confirmed
}

// path is the state of one service.
type path struct {
	openedAt time.Time // when a connection was last opened
	failed   []string  // endpoints to which connections have failed since, at most lossFailures
	failedAt time.Time // of the first of these failures
	needed   int       // failures needed for a loss
	lostAt   time.Time // zero if the path is not lost

	verify     bool      // further endpoints are to be probed
	verifiedAt time.Time // when they were last probed
	askedAt    time.Time // when other daemons were last asked
	asked      int       // how many
	finalAt    time.Time // when some last endpoints were probed before an unconfirmed loss; zero before
	probedAt   time.Time // when an endpoint was last probed during a loss
	probed     []string  // endpoints probed in the current round during a loss
	reached    []string  // endpoints reached during a loss, since the last survey
	survey     bool      // several endpoints are to be probed at once
	surveyedAt time.Time
}

func (x *path) lost() bool { return !x.lostAt.IsZero() }

// suspected reports whether connections to enough endpoints have failed for a loss.
func (x *path) suspected() bool { return !x.lost() && len(x.failed) > 0 && len(x.failed) >= x.needed }

func (p *Paths) path(service string) *path {
	if p.services == nil {
		p.services = make(map[string]*path)
	}
	x := p.services[service]
	if x == nil {
		x = &path{}
		p.services[service] = x
	}
	return x
}

// Opened records that a connection to an endpoint of a service was opened, and reports whether this ends a loss: half
// of the listed endpoints that are probed must be reached for that, or one if no other daemon serves the requests.
func (p *Paths) Opened(now time.Time, service, endpoint string, listed int, others bool) (regained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.path(service)
	if x.lost() && others && !x.regains(now, endpoint, listed) {
		return false
	}
	regained = x.lost()
	if regained {
		p.lost--
	}
	*x = path{openedAt: now, verifiedAt: x.verifiedAt, failed: x.failed[:0], probed: x.probed[:0]}
	return regained
}

// regains records that an endpoint was reached during a loss, and reports whether these are enough to end it.
func (x *path) regains(now time.Time, endpoint string, listed int) bool {
	if now.Sub(x.surveyedAt) >= verifyInterval {
		x.reached, x.survey, x.surveyedAt = nil, true, now
	}
	if !slices.Contains(x.reached, endpoint) {
		x.reached = append(x.reached, endpoint)
	}
	return len(x.reached) >= (min(listed, surveySize)+1)/2
}

// Failed records that a connection to an endpoint could not be opened, given the number of the service's endpoints.
func (p *Paths) Failed(now time.Time, service, endpoint string, listed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.path(service)
	if x.lost() {
		return
	}
	if now.Sub(x.failedAt) > failureTTL {
		x.failed = x.failed[:0]
	}
	x.needed = min(lossFailures, listed)
	p.doubtful = true
	if slices.Contains(x.failed, endpoint) || len(x.failed) >= lossFailures {
		return
	}
	if len(x.failed) == 0 {
		x.failedAt, x.asked, x.finalAt = now, 0, time.Time{}
	}
	x.failed = append(x.failed, endpoint)
	x.verify = true
}

// Suspect records that an endpoint gave no sign of life on an open connection. If no connection has been opened lately,
// some endpoints are probed.
func (p *Paths) Suspect(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.path(service); now.Sub(x.openedAt) > verifyInterval && !x.lost() {
		x.verify, p.doubtful = true, true
	}
}

// Confirmed records that another daemon reaches an endpoint to which connections fail here, and reports whether the
// service is lost by this.
func (p *Paths) Confirmed(now time.Time, service string) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.services[service]
	if x == nil || !x.suspected() {
		return false
	}
	p.lose(now, x)
	return true
}

// lose marks a service as lost, and has others probed to which no connection was opened meanwhile. The caller holds the
// lock.
func (p *Paths) lose(now time.Time, x *path) {
	x.lostAt, x.verify = now, false
	x.probed = append(x.probed[:0], x.failed...)
	p.lost++
	for _, other := range p.services {
		if other.openedAt.Before(x.failedAt) && !other.lost() {
			other.verify, p.doubtful = true, true
		}
	}
}

// Lost reports whether the service is lost.
func (p *Paths) Lost(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == 0 {
		return false
	}
	x := p.services[service]
	return x != nil && x.lost()
}

// LostServices returns the number of lost services.
func (p *Paths) LostServices() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Probe is an endpoint to which a connection is to be opened, to learn whether there is a path.
type Probe struct{ Service, Endpoint string }

// Question asks some other daemons whether they reach an endpoint.
type Question struct {
	Probe
	Daemons int // how many to ask
}

// Steps is what is due now.
type Steps struct {
	Probes    []Probe
	Questions []Question
	Lost      []string // services that are lost from now on
}

// Next returns what is due, given a function that returns the endpoints of a service in random order. A service without
// endpoints is not lost.
func (p *Paths) Next(now time.Time, listed func(service string) []string) (s Steps) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == 0 && !p.doubtful {
		return s
	}
	p.doubtful = false
	looked := 0
	for service, x := range p.services {
		if x.suspected() && !x.finalAt.IsZero() && now.Sub(x.finalAt) >= finalTime {
			p.lose(now, x)
			s.Lost = append(s.Lost, service)
		}
		p.doubtful = p.doubtful || x.verify || x.suspected()
		if looked >= maxProbes || !x.due(now) {
			continue
		}
		looked++
		all := listed(service)
		if len(all) == 0 {
			p.forget(service)
			continue
		}
		x.next(now, service, all, &s)
	}
	return s
}

// due reports whether something is to be done for the service now.
func (x *path) due(now time.Time) bool {
	switch {
	case x.lost():
		return x.survey || now.Sub(x.probedAt) >= probeInterval
	case x.suspected():
		return x.asked < maxAsked && now.Sub(x.askedAt) >= askInterval || x.finalAt.IsZero() && now.Sub(x.failedAt) >= lossTime
	}
	return x.verify && now.Sub(x.verifiedAt) >= verifyInterval
}

// next adds what is due for the service: during a loss one probe, of an endpoint that has not failed first, or a survey;
// before it a question to other daemons, or a few probes.
func (x *path) next(now time.Time, service string, listed []string, s *Steps) {
	switch {
	case x.survey:
		x.survey = false
		x.probe(service, without(listed, x.reached, surveySize-len(x.reached)), s)
	case x.lost():
		next := without(listed, x.probed, 1)
		if len(next) == 0 || len(x.probed) >= maxProbed {
			next, x.probed = listed[:1], nil
		}
		x.probed, x.probedAt = append(x.probed, next...), now
		s.Probes = append(s.Probes, Probe{service, next[0]})
	case x.suspected() && x.finalAt.IsZero() && now.Sub(x.failedAt) >= lossTime:
		x.finalAt = now
		x.probe(service, without(listed, x.failed, lossFailures), s)
	case x.suspected():
		x.asked, x.askedAt, x.verify = min(max(1, askFactor*x.asked), maxAsked), now, false
		s.Questions = append(s.Questions, Question{Probe{service, x.failed[0]}, x.asked})
	default:
		x.verify, x.verifiedAt = false, now
		x.probe(service, without(listed, x.failed, lossFailures-len(x.failed)), s)
	}
}

// probe adds probes of endpoints.
func (x *path) probe(service string, endpoints []string, s *Steps) {
	for _, endpoint := range endpoints {
		s.Probes = append(s.Probes, Probe{service, endpoint})
	}
}

// forget drops the state of a service.
func (p *Paths) forget(service string) {
	if p.services[service].lost() {
		p.lost--
	}
	delete(p.services, service)
}

// without returns at most the first n names of a list that another does not contain.
func without(list, skip []string, n int) (out []string) {
	for _, name := range list {
		if len(out) >= n {
			break
		}
		if !slices.Contains(skip, name) {
			out = append(out, name)
		}
	}
	return out
}
