// SPDX-License-Identifier: MIT

package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"streambend.example/rollout"
)

// fault is what is wrong with a version, or with endpoints whatever their version.
type fault struct {
	fails   float64 // share of the answers that fail
	slow    float64 // times slower
	part    float64 // of the answers that are slower; 0 for all
	from    float64 // part of the order's time from which on
	route   int     // the only one; -1 for all
	loaded  bool    // only at endpoints that are as loaded as the old ones
	grey    float64 // share of all endpoints that fail 0.4 of their answers, from 0.4 to 0.7 of the time
	greyAll bool    // all endpoints fail 0.45 of theirs, from 0.4 to 0.7 of the time
	busy    bool    // all endpoints are slow from 0.4 to 0.7 of the time
}

// virtual is one roll-out without daemons: requests come, go to one version or the other, and
// what came of them is counted at daemons that others hear of late.
type virtual struct {
	fault
	daemons int
	rates   []float64       // requests a second of each route
	takes   []time.Duration // until an answer is whole
	base    []float64       // share of the old version's answers that are bad
	old     int             // endpoints
	used    int             // new endpoints that are used while the version is watched
	length  time.Duration   // of the order
	cap     rollout.Cap
	share   func(r *rand.Rand, c rollout.Cap) rollout.Share
	test    func() rollout.Test
}

// outcome is what became of a virtual roll-out.
type outcome struct {
	end     rollout.Stage
	endAt   time.Duration
	decided time.Duration // after the first bad answer of a bad version
	exposed int           // requests at the new version until the deadline
	asked   int           // and all of the service
	bad     int           // answers that the version made bad
	late    int           // requests sent to it later than allowed after the 50th of them
	finding rollout.Finding
	stageAt time.Duration
}

// broken reports whether the cap was broken, as it binds for a bad version.
func (o outcome) broken(c rollout.Cap) bool {
	return float64(o.exposed) > c.Share*float64(o.asked)+c.Slack || o.late > 0
}

// sent is a request on its way.
type sent struct {
	at             time.Duration // when its answer is whole and counted
	known          time.Duration // when those who weigh it hear of it
	route, at2     int
	new, bad, made bool
}

const (
	simStep = 25 * time.Millisecond
	simEnd  = 30 * time.Second // after the deadline
	bootMin = 3500 * time.Millisecond
	bootMax = 5 * time.Second
	// slowAt is from how many times the usual on an answer counts as slow, and slowBase how many
	// of the old version's do.
	slowAt   = 1.75
	slowBase = 0.01
)

func sinceStart(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// play plays a roll-out.
func (v virtual) play(r *rand.Rand) (o outcome) {
	shares := make([]rollout.Share, v.daemons)
	for i := range shares {
		shares[i] = v.share(r, v.cap)
	}
	test := v.test()
	grey := make(map[string]bool)
	greyOf := func(e string) bool {
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
	var flying []sent
	var firstBad, fifty time.Duration
	var idleFrom time.Duration = -1
	told := time.Duration(0)
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
				if toNew && fifty > 0 && now > fifty+v.cap.Back {
					o.late++
				}
				x := sent{route: i, new: toNew}
				ep := fmt.Sprint("old", r.IntN(v.old))
				use := max(ready, 1)
				if span.Stage >= rollout.Shifting && !capped {
					use = v.old
				}
				if toNew {
					x.at2 = r.IntN(use)
					ep = fmt.Sprint("new", x.at2)
					newLoad[x.at2]++
				} else {
					oldLoad[ep]++
				}
				x.bad, x.made = v.judge(r, now, i, toNew, greyOf(ep), newLoad[x.at2], len(flying))
				took := time.Duration(float64(v.takes[i]) * (0.5 + r.Float64()))
				x.at = now + took
				x.known = x.at + 100*time.Millisecond + time.Duration(r.Float64()*float64(600*time.Millisecond))
				flying = append(flying, x)
			}
		}
		left := flying[:0]
		busy := 0
		for _, x := range flying {
			if x.at <= now && x.at > now-simStep {
				if x.new {
					newLoad[x.at2]--
				}
				if x.new && x.made {
					o.bad++
					if firstBad == 0 {
						firstBad = now
					}
					if o.bad == 50 {
						fifty = now
					}
				}
			}
			if x.at > now && !x.new {
				busy++
			}
			if x.known > now {
				left = append(left, x)
				continue
			}
			count(counts, x)
		}
		flying = left
		if busy > 0 {
			idleFrom = -1
		} else if idleFrom < 0 {
			idleFrom = now
		}
		if now-told < 250*time.Millisecond {
			continue
		}
		told = now
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

func (v virtual) ready(now time.Duration, boots []time.Duration) (n int) {
	for _, b := range boots {
		if now >= b {
			n++
		}
	}
	return n
}

// judge draws whether an answer is bad, and whether the version made it so.
func (v virtual) judge(r *rand.Rand, now time.Duration, route int, isNew, grey bool, load, flying int) (bad, made bool) {
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
		// An answer's time varies by a third: how likely it passes the bound.
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

func count(c rollout.Counts, x sent) {
	t := rollout.Tally{Whole: 1}
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
	e := fmt.Sprint(x.at2)
	c.New[route][e] = c.New[route][e].Add(t)
}

// poisson draws how many come where so many are expected.
func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// hashed is a Share by a fixed part of the requests, drawn by a hash of each: nothing is
// counted. What is not spent while endpoints start is lost, and each route gets its share of the
// traffic, so that a rare one is seen least. The table compares it with the bucket.
type hashed struct {
	cap  rollout.Cap
	draw func() float64 // of the request, even between 0 and 1
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
