// SPDX-License-Identifier: MIT

package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"streambend.example/rollout"
)

// fault describes what is wrong with a version, or with endpoints whatever their version.
type fault struct {
	fails   float64 // share of its answers that fail
	slow    float64 // factor by which its answers are slower
	part    float64 // share of its answers that are slower; 0 for all
	from    float64 // part of the order's time after which the fault begins
	route   int     // the only route with the fault; -1 for all
	loaded  bool    // only at endpoints with at least half the load of the old ones
	grey    float64 // share of all endpoints that fail 0.4 of their answers, from 0.4 to 0.7 of the time
	greyAll bool    // all endpoints fail 0.45 of their answers, from 0.4 to 0.7 of the time
	busy    bool    // all endpoints are slow from 0.4 to 0.7 of the time
}

// simulation is one roll-out without daemons: requests arrive, go to one of the versions, and
// their results are counted with the delay at which daemons exchange them.
type simulation struct {
	fault
	daemons int
	rates   []float64       // requests a second of each route
	takes   []time.Duration // time until an answer is complete, by route
	base    []float64       // share of the old version's answers that are bad, by route
	old     int             // endpoints
	used    int             // new endpoints in use while the version is compared
	length  time.Duration   // of the order
	cap     rollout.Cap
	share   func(r *rand.Rand, c rollout.Cap) rollout.Share
	test    func() rollout.Analyzer
}

// outcome is the result of a simulated roll-out.
type outcome struct {
	end     rollout.Stage
	endAt   time.Duration
	decided time.Duration // time from the first bad answer of a bad version to the end
	exposed int           // requests sent to the new version before the deadline
	asked   int           // all requests of the service before the deadline
	bad     int           // bad answers that the version caused
	late    int           // requests sent to it later than allowed after the 50th bad answer
	finding rollout.Finding
	stageAt time.Duration
}

// broken reports whether the cap was exceeded, as it applies to a bad version.
func (o outcome) broken(c rollout.Cap) bool {
	return float64(o.exposed) > c.Share*float64(o.asked)+c.Slack || o.late > 0
}

// request is a request under way.
type request struct {
	at                  time.Duration // when its answer is complete and counted
	reported            time.Duration // when the analysis learns of it
	route, endpoint     int
	new, bad, byVersion bool
}

const (
	simStep = 25 * time.Millisecond
	simEnd  = 30 * time.Second // after the deadline
	bootMin = 3500 * time.Millisecond
	bootMax = 5 * time.Second
	// slowAt is the factor over the usual time from which on an answer counts as slow, and slowBase
	// the share of the old version's answers that do.
	slowAt   = 1.75
	slowBase = 0.01
)

func sinceStart(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// run runs the simulation.
func (v simulation) run(r *rand.Rand) (o outcome) {
	shares := make([]rollout.Share, v.daemons)
	for i := range shares {
		shares[i] = v.share(r, v.cap)
	}
	test := v.test()
	grey := make(map[string]bool)
	isGrey := func(e string) bool {
		if _, ok := grey[e]; !ok {
			grey[e] = r.Float64() < v.grey
		}
		return grey[e]
	}
	boots := make([]time.Duration, v.used)
	for i := range boots {
		boots[i] = bootMin + time.Duration(r.Float64()*float64(bootMax-bootMin))
	}
	span := rollout.Span{Stage: rollout.Watching, Deadline: sinceStart(v.length)}
	counts := rollout.Counts{Old: map[string]rollout.Tally{}, New: map[string]map[string]rollout.Tally{}}
	var inFlight []request
	var firstBad, fiftiethBad time.Duration
	var idleFrom time.Duration = -1
	analyzedAt := time.Duration(0)
	oldLoad := make(map[string]int)
	newLoad := make(map[int]int)
	for now := time.Duration(0); now < v.length+simEnd; now += simStep {
		for i, rate := range v.rates {
			for n := poisson(r, rate*simStep.Seconds()); n > 0; n-- {
				d := r.IntN(v.daemons)
				ready := v.ready(now, boots)
				capped := span.Capped(sinceStart(now))
				toNew := false
				if span.Stage == rollout.Completed {
					toNew = true
				} else if span.Stage == rollout.Watching || span.Stage == rollout.Shifting {
					a := rollout.Ask{Route: fmt.Sprint(i), Expect: v.takes[i]}
					toNew = shares[d].Take(sinceStart(now), span, a)
					if toNew && ready == 0 {
						shares[d].Return(a)
						toNew = false
					}
				}
				if now < v.length {
					o.asked++
					if toNew {
						o.exposed++
					}
				}
				if toNew && fiftiethBad > 0 && now > fiftiethBad+v.cap.RollbackTime {
					o.late++
				}
				x := request{route: i, new: toNew}
				ep := fmt.Sprint("old", r.IntN(v.old))
				use := max(ready, 1)
				if span.Stage >= rollout.Shifting && !capped {
					use = v.old
				}
				if toNew {
					x.endpoint = r.IntN(use)
					ep = fmt.Sprint("new", x.endpoint)
					newLoad[x.endpoint]++
				} else {
					oldLoad[ep]++
				}
				x.bad, x.byVersion = v.drawAnswer(r, now, i, toNew, isGrey(ep), newLoad[x.endpoint], len(inFlight))
				took := time.Duration(float64(v.takes[i]) * (0.5 + r.Float64()))
				x.at = now + took
				x.reported = x.at + 100*time.Millisecond + time.Duration(r.Float64()*float64(600*time.Millisecond))
				inFlight = append(inFlight, x)
			}
		}
		pending := inFlight[:0]
		busy := 0
		for _, x := range inFlight {
			if x.at <= now && x.at > now-simStep {
				if x.new {
					newLoad[x.endpoint]--
				}
				if x.new && x.byVersion {
					o.bad++
					if firstBad == 0 {
						firstBad = now
					}
					if o.bad == 50 {
						fiftiethBad = now
					}
				}
			}
			if x.at > now && !x.new {
				busy++
			}
			if x.reported > now {
				pending = append(pending, x)
				continue
			}
			count(counts, x)
		}
		inFlight = pending
		if busy > 0 {
			idleFrom = -1
		} else if idleFrom < 0 {
			idleFrom = now
		}
		if now-analyzedAt < 250*time.Millisecond {
			continue
		}
		analyzedAt = now
		s := rollout.State{Span: span, Finding: test.Take(sinceStart(now), counts), Ready: v.ready(now, boots), Enough: v.used, Busy: busy, Since: sinceStart(o.stageAt)}
		if idleFrom >= 0 {
			s.IdleFrom = sinceStart(idleFrom)
		}
		next, _ := rollout.Next(sinceStart(now), s)
		if span.Stage != next {
			o.stageAt = now
		}
		span.Stage = next
		o.finding = s.Finding
		if next.Ended() && o.end == rollout.Unknown {
			o.end, o.endAt = next, now
			o.decided = now - firstBad
			if next == rollout.RolledBack {
				return o
			}
		}
		if o.end == rollout.Completed && now > o.endAt+8*time.Second {
			return o
		}
	}
	if o.end == rollout.Unknown {
		o.end = span.Stage
	}
	return o
}

func (v simulation) ready(now time.Duration, boots []time.Duration) (n int) {
	for _, b := range boots {
		if now >= b {
			n++
		}
	}
	return n
}

// drawAnswer draws whether an answer is bad, and whether the version caused that.
func (v simulation) drawAnswer(r *rand.Rand, now time.Duration, route int, isNew, grey bool, load, flying int) (bad, made bool) {
	part := float64(now) / float64(v.length)
	bad = r.Float64() < v.base[route] || r.Float64() < slowBase
	middle := part > 0.4 && part < 0.7
	if grey && middle && r.Float64() < 0.4 || v.greyAll && middle && r.Float64() < 0.45 || v.busy && middle && r.Float64() < 0.5 {
		bad = true
	}
	wrong := isNew && part >= v.from && (v.route < 0 || v.route == route)
	if v.loaded && float64(load) < 0.5*float64(flying)/float64(v.old) {
		wrong = false
	}
	if !wrong {
		return bad, false
	}
	if r.Float64() < v.fails {
		return true, true
	}
	if v.slow > 0 && r.Float64() < math.Max(v.part, ifZero(v.part, 1)) {
		// Answer times vary by a third: draw whether this one exceeds the bound.
		if v.slow*math.Exp(0.3*r.NormFloat64()) > slowAt {
			return true, true
		}
		return bad, true
	}
	return bad, false
}

func ifZero(x, y float64) float64 {
	if x == 0 {
		return y
	}
	return 0
}

func count(c rollout.Counts, x request) {
	t := rollout.Tally{Total: 1}
	if x.bad {
		t.Bad = 1
	}
	route := fmt.Sprint(x.route)
	if !x.new {
		c.Old[route] = c.Old[route].Add(t)
		return
	}
	if c.New[route] == nil {
		c.New[route] = make(map[string]rollout.Tally)
	}
	e := fmt.Sprint(x.endpoint)
	c.New[route][e] = c.New[route][e].Add(t)
}

// poisson draws from a Poisson distribution.
func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// hashed is a Share that sends a fixed part of the requests, drawn by a hash of each, without
// counting. The share left over while endpoints start is lost, and routes get it by their traffic,
// so that a rare one is observed least. The table compares it with Bucket.
type hashed struct {
	cap  rollout.Cap
	draw func() float64 // hash of the request, uniform in [0, 1)
}

func (h *hashed) Take(now time.Time, s rollout.Span, _ rollout.Ask) bool {
	switch {
	case s.Stage == rollout.Shifting && !s.Capped(now):
		return true
	case s.Stage == rollout.Watching, s.Stage == rollout.Shifting:
		return h.draw() < h.cap.Share
	}
	return false
}

func (h *hashed) Return(rollout.Ask) {}

func (h *hashed) Unsent(rollout.Ask) {}
