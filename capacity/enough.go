// SPDX-License-Identifier: MIT

package capacity

import (
	"math"
	"time"
)

const (
	// waitShare is the part of the shortest target that a prompt may wait on
	// average until an engine reads it.
	waitShare = 0.1
	// blindShare is the part of the shortest target that a prompt may wait on
	// average for others which were sent to its engine unheard of.
	blindShare = 0.25
	// arrivalSpread is the squared variation of the time between two requests:
	// callers come in clumps of about three.
	arrivalSpread = 3
	// headroom covers what the load grows by until what is ordered serves: a
	// tide of a third within 20 s grows by 5% a second.
	headroom = 1.1
	// placeUse is the share of their places that are to be taken.
	placeUse = 0.75
	// leastSpread is the squared variation of reading times that is taken while
	// few are known.
	leastSpread = 2
	// enoughMost ends the search for a number of endpoints.
	enoughMost = 1 << 14
)

// Load is what is asked of a service.
type Load struct {
	Busy   float64       // endpoints that would read prompts all the time
	Places float64       // endpoints whose places would all be taken
	Read   time.Duration // the mean time to read a prompt; 0 if not known
	Spread float64       // the squared variation of that time
	Blind  time.Duration // how late daemons hear of the prompts that others send
	Target time.Duration // the shortest among the service's routes; 0 if there is none
}

// Enough returns how many endpoints serve a load within its target.
func Enough(l Load) int {
	busy := headroom * l.Busy
	n := max(1, int(math.Ceil(l.Places/placeUse)), int(math.Floor(busy))+1)
	if l.Read <= 0 || l.Target <= 0 {
		return n
	}
	n = max(n, int(math.Ceil(busy*float64(l.Blind)/(blindShare*float64(l.Target)))))
	for n < enoughMost && Wait(n, busy, l.Read, l.Spread) > time.Duration(waitShare*float64(l.Target)) {
		n++
	}
	return n
}

// Wait returns the mean wait of a prompt at so many endpoints that share a load
// of busy endpoints' reading, by the approximation of Sakasegawa for queues with
// several servers and any variation of arrivals and service.
func Wait(n int, busy float64, read time.Duration, spread float64) time.Duration {
	use := busy / float64(n)
	if use >= 1 {
		return math.MaxInt64
	}
	variation := (arrivalSpread + math.Max(spread, leastSpread)) / 2
	queue := math.Pow(use, math.Sqrt(2*float64(n+1))-1) / (float64(n) * (1 - use))
	return time.Duration(variation * queue * float64(read))
}
