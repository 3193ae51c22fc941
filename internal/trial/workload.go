// SPDX-License-Identifier: MIT

package trial

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"streambend.example/internal/standin"
	"streambend.example/seam"
	"streambend.example/version"
)

// The partners, the box classes, and the size of the box pool.
const (
	office    = "office"
	podwave   = "podwave"
	gpuClass  = "gpu"
	webClass  = "web"
	poolBoxes = 80
)

var (
	bangkok = []string{"bangna", "chatuchak", "silom", "lat-krabang"}
	manila  = []string{"makati-a", "makati-b", "pasig-c", "taguig-d"}
)

// job describes one kind of request and its load.
type job struct {
	partner      string
	route        string
	team         string
	perSecond    float64
	words        int // length of the shared document at the start of the prompt
	documents    int
	tokens       int // requested tokens; 0 for a plain request
	stream       bool
	chat         bool
	unrepeatable bool
	method       string
	target       time.Duration
}

func jobs() []job {
	return []job{
		{partner: office, route: "filing-digest", team: "disclosure", perSecond: 4, words: 600, documents: 60, tokens: 500, stream: true, target: 12 * time.Second},
		{partner: office, route: "quote-explainer", team: "mobile-app", perSecond: 14, words: 120, documents: 150, tokens: 40, stream: true, chat: true, target: 3 * time.Second},
		{partner: office, route: "ticker-tag", team: "newsroom", perSecond: 6, words: 120, documents: 150, tokens: 8, unrepeatable: true, target: 3 * time.Second},
		{partner: office, route: "portal", team: "brokers", perSecond: 18, method: "GET", target: time.Second},
		{partner: office, route: "portal", team: "call-centre", perSecond: 3, method: "POST", unrepeatable: true, target: time.Second},
		{partner: podwave, route: "show-notes", team: "producers", perSecond: 2, words: 1500, documents: 60, tokens: 700, target: 20 * time.Second},
		{partner: podwave, route: "chapter-markers", team: "producers", perSecond: 4, words: 1500, documents: 60, tokens: 80, stream: true, target: 10 * time.Second},
		{partner: podwave, route: "ad-tag", team: "ads", perSecond: 4, words: 1500, documents: 60, tokens: 8, unrepeatable: true, target: 5 * time.Second},
		{partner: podwave, route: "player", team: "listeners", perSecond: 18, method: "GET", target: time.Second},
		{partner: podwave, route: "player", team: "sponsors", perSecond: 3, method: "POST", unrepeatable: true, target: time.Second},
	}
}

func span(d time.Duration) version.Duration { return version.Duration{Duration: d} }

// services returns the intents that the operators submit.
func services() []version.Service {
	notRun := []int{429, 503}
	return []version.Service{
		{
			Partner: office, Name: "llm", Kind: version.Model, Model: "sec-8b", Weigh: version.WeighLatency,
			FirstToken: span(400 * time.Millisecond), Zones: bangkok, Class: gpuClass, MinBoxes: 9, MaxBoxes: 18,
			PerBox: 16, HourlyBound: 60, Interactive: 0.5, ChecksFence: true, NotRunStatuses: notRun,
			Routes: []version.Route{
				{Name: "filing-digest", Priority: 20, Target: span(12 * time.Second), Deadline: span(40 * time.Second)},
				{Name: "quote-explainer", Priority: 1, Interactive: true, Target: span(3 * time.Second), Deadline: span(10 * time.Second)},
				{Name: "ticker-tag", Priority: 5, Interactive: true, Unrepeatable: true, Target: span(3 * time.Second), Deadline: span(10 * time.Second)},
			},
		},
		{
			Partner: office, Name: "portal", Kind: version.Plain, Zones: bangkok, Class: webClass, MinBoxes: 4, MaxBoxes: 6,
			PerBox: 64, HourlyBound: 10, Interactive: 1, FirstToken: span(200 * time.Millisecond), NotRunStatuses: notRun,
			Routes: []version.Route{{Name: "portal", Interactive: true, Unrepeatable: true, Target: span(time.Second), Deadline: span(5 * time.Second)}},
		},
		{
			Partner: podwave, Name: "llm", Kind: version.Model, Model: "pod-13b", Weigh: version.WeighRecompute,
			FirstToken: span(time.Second), Zones: manila, Class: gpuClass, MinBoxes: 18, MaxBoxes: 30,
			PerBox: 16, HourlyBound: 120, Interactive: 0.3, NotRunStatuses: notRun, AffinityBytes: 4096,
			Routes: []version.Route{
				{Name: "show-notes", Priority: 30, Target: span(20 * time.Second), Deadline: span(60 * time.Second)},
				{Name: "chapter-markers", Priority: 20, Target: span(10 * time.Second), Deadline: span(30 * time.Second)},
				{Name: "ad-tag", Priority: 5, Interactive: true, Unrepeatable: true, Target: span(5 * time.Second), Deadline: span(10 * time.Second)},
			},
		},
		{
			Partner: podwave, Name: "player", Kind: version.Plain, Zones: manila, Class: webClass, MinBoxes: 4, MaxBoxes: 6,
			PerBox: 64, HourlyBound: 10, Interactive: 1, FirstToken: span(200 * time.Millisecond), NotRunStatuses: notRun,
			Routes: []version.Route{{Name: "player", Interactive: true, Unrepeatable: true, Target: span(time.Second), Deadline: span(5 * time.Second)}},
		},
	}
}

// scaled returns the intents with a fraction of the boxes; unless it is 1, their number is fixed.
func scaled(share float64) []version.Service {
	out := services()
	if share == 1 {
		return out
	}
	for i := range out {
		n := max(1, int(float64(out[i].MinBoxes)*share))
		out[i].MinBoxes, out[i].MaxBoxes = n, n
	}
	return out
}

// prices returns the price of each kind of box, with random reclaimable prices per zone.
func prices(rng *rand.Rand) []seam.Price {
	var out []seam.Price
	for _, z := range append(append([]string{}, bangkok...), manila...) {
		for _, full := range []seam.Price{{Class: gpuClass, Hourly: 4}, {Class: webClass, Hourly: 0.4}} {
			full.Zone = z
			spot := full
			spot.Reclaimable, spot.Hourly = true, full.Hourly*(0.25+0.2*rng.Float64())
			out = append(out, full, spot)
		}
	}
	return out
}

// engine returns the engine configuration of the trial's runners.
func engine(svc version.Service) standin.EngineConfig {
	return standin.EngineConfig{
		Batch: 16, Step: 5 * time.Millisecond, BatchSlowdown: 1, Prefill: 20000, CacheBlocks: 900,
		Lag: 200 * time.Millisecond, Transfer: 20000, ChecksFence: svc.ChecksFence,
	}
}

// document returns the shared text at the start of prompts.
func document(route string, n, words int) string {
	var sb strings.Builder
	for i := range words {
		fmt.Fprintf(&sb, "%s%d.%d ", route[:2], n, i)
	}
	return sb.String()
}
