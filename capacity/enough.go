// SPDX-License-Identifier: MIT

package capacity

import (
	"math"
	"time"
)

const (
	// maxWaitShare is the part of the shortest target that a prompt may wait on average until an
	// engine processes it.
	maxWaitShare = 0.1
	// maxBlindShare is the part of the shortest target that a prompt may wait on average for prompts
	// of other daemons that its sender did not know of yet.
	maxBlindShare = 0.25
	// arrivalSCV is the squared coefficient of variation of the time between two requests: requests
	// arrive in bursts of about three.
	arrivalSCV = 3
	// headroom covers the growth of the load until ordered endpoints serve: a load that rises by a
	// third within 20 s grows by 5% a second.
	headroom = 1.1
	// slotUse is the share of the slots that should be in use.
	slotUse = 0.75
	// minReadSCV is the least squared coefficient of variation assumed for processing times, as an
	// estimate from a few is unreliable.
	minReadSCV = 2
	// maxEndpoints ends the search for a number of endpoints.
	maxEndpoints = 1 << 14
)

// Load describes the load of a service.
type Load struct {
	Busy       float64       // endpoints that would process prompts all the time
	SlotLoad   float64       // endpoints whose slots would all be in use
	Read       time.Duration // mean time to process a prompt; 0 if unknown
	ReadSCV    float64       // squared coefficient of variation of that time
	StateDelay time.Duration // delay after which daemons know of the prompts that others send
	Target     time.Duration // shortest target of the service's routes; 0 if there is none
}

// RequiredEndpoints returns the number of endpoints that serve a load within its target.
func RequiredEndpoints(l Load) int {
	busy := headroom * l.Busy
	n := max(1, int(math.Ceil(l.SlotLoad/slotUse)), int(math.Floor(busy))+1)
	if l.Read <= 0 || l.Target <= 0 {
		return n
	}
	n = max(n, int(math.Ceil(busy*float64(l.StateDelay)/(maxBlindShare*float64(l.Target)))))
	for n < maxEndpoints && Wait(n, busy, l.Read, l.ReadSCV) > time.Duration(maxWaitShare*float64(l.Target)) {
		n++
	}
	return n
}

// Wait returns the mean wait of a prompt at n endpoints that share the load of busy ones, by
// Sakasegawa's approximation for queues with several servers and general arrival and service times.
func Wait(n int, busy float64, read time.Duration, spread float64) time.Duration {
	use := busy / float64(n)
	if use >= 1 {
		return math.MaxInt64
	}
	variability := (arrivalSCV + math.Max(spread, minReadSCV)) / 2
	queue := math.Pow(use, math.Sqrt(2*float64(n+1))-1) / (float64(n) * (1 - use))
	return time.Duration(variability * queue * float64(read))
}
