// SPDX-License-Identifier: MIT

package mechanism

import (
	"fmt"
	"io"
	"strings"

	"streambend.example/code"
)

// Name identifies a mechanism.
type Name int

// The mechanisms.
const (
	StartTime Name = iota
	QueueModel
	BlindTime
	SpareByPrice
	MakeBeforeBreak
	ScaleHold
	EarlyStart
	PatientFeed
	Admission
	RereadCost
	SetApart
	SentWords
	SilenceWatch
	SlowEjection
	EnginePlaces
	PlaceQueue
	CallTime
	SavedStreams
	count
)

// texts holds each mechanism's name in settings and what it does.
var texts = [count]struct{ name, what string }{
	StartTime:       {"start-time", "an engine's time to a first event has a part that no prompt's length changes"},
	QueueModel:      {"queue-model", "endpoints by the expected wait for them, not by a share of their time"},
	BlindTime:       {"blind-time", "more endpoints where daemons hear late of the prompts that others send"},
	SpareByPrice:    {"spare-by-price", "spare reclaimable endpoints by their price, not twice as many as are needed"},
	MakeBeforeBreak: {"make-before-break", "endpoints on demand are kept until reclaimable ones have answered"},
	EarlyStart:      {"early-start", "a service of a system that starts for the first time is ordered before its endpoints are counted"},
	PatientFeed:     {"patient-feed", "the store is asked for the catalog half as often where no key stops to hold with its age"},
	Admission:       {"admission", "streams that would wait too long for an engine are refused at once"},
	RereadCost:      {"reread-cost", "engines that keep a prompt's shared parts are preferred beyond the time they save"},
	SetApart:        {"set-apart", "prompts that hold others up go to engines set apart for them"},
	SentWords:       {"sent-words", "daemons tell each other of the prompts that they send"},
	SilenceWatch:    {"silence-watch", "what may be repeated goes elsewhere when its endpoint is silent"},
	SlowEjection:    {"slow-ejection", "plain endpoints that are far slower than the others get nothing for a while"},
	EnginePlaces:    {"engine-places", "prompts go where places are free, by what all daemons have sent"},
	PlaceQueue:      {"place-queue", "what waits for a place at an engine is reckoned to wait behind what others have sent there, and refused if that is too long"},
	CallTime:        {"call-time", "plain calls of few endpoints go where they are expected to end first, not where the last report counts fewest"},
	SavedStreams:    {"saved-streams", "which version began a stream is kept in the store as well, for when all daemons end at once"},
	ScaleHold:       {"scale-hold", "fewer endpoints are ordered only once fewer were wanted for a while"},
}

// String returns the mechanism's name in settings.
func (n Name) String() string {
	if n < 0 || n >= count {
		return fmt.Sprintf("mechanism(%d)", int(n))
	}
	return texts[n].name
}

// Set is a bit set of the mechanisms that are switched off.
type Set uint64

// On reports whether a mechanism is switched on.
func (s Set) On(n Name) bool { return s&(1<<n) == 0 }

// Without returns the set with a further mechanism switched off.
func (s Set) Without(n Name) Set { return s | 1<<n }

// String returns the names of the mechanisms that are switched off, separated by commas.
func (s Set) String() string {
	var off []string
	for n := range count {
		if !s.On(n) {
			off = append(off, n.String())
		}
	}
	return strings.Join(off, ",")
}

// Parse returns the set in which the mechanisms of these names are switched off. An unknown name is
// a code.BadSettings error.
func Parse(names []string) (Set, error) {
	var s Set
	for _, name := range names {
		n, ok := find(name)
		if !ok {
			return 0, code.New(code.BadSettings, "no mechanism is called %q; --mechanisms lists them", name)
		}
		s = s.Without(n)
	}
	return s, nil
}

func find(name string) (Name, bool) {
	for n := range count {
		if texts[n].name == name {
			return n, true
		}
	}
	return 0, false
}

// List writes a line with the name and effect of each mechanism.
func List(w io.Writer) {
	for _, t := range texts {
		fmt.Fprintf(w, "%-18s %s\n", t.name, t.what)
	}
}
