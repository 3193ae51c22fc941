// SPDX-License-Identifier: MIT

package seam

import (
	"context"
	"time"
)

// BoxState is where a box is in its life.
type BoxState int

// The states of a box on the list.
const (
	BoxStarting BoxState = iota
	BoxLive
	BoxLeaving
	BoxGone
)

// String returns the state's name.
func (s BoxState) String() string {
	return [...]string{"starting", "live", "leaving", "gone"}[s]
}

// Box is one endpoint box as the platform's list shows it.
type Box struct {
	ID          string
	Token       string // the start token it was ordered with
	Partner     string
	Service     string
	Zone        string
	Class       string
	Address     string // host:port of its endpoint
	State       BoxState
	Deadline    time.Time // when a leaving box ends; zero if not leaving
	Reclaimable bool
	Price       float64 // per hour, in the platform's currency
}

// BoxPage is an answer of the box list. Boxes is nil when nothing has
// changed since the sequence number asked for.
type BoxPage struct {
	Seq   int64
	Boxes []Box
}

// BoxList is the platform's lagging list of live and leaving boxes.
type BoxList interface {
	List(ctx context.Context, since int64) (BoxPage, error)
}

// StartOrder asks the cloud for one box. The same Token has one effect.
type StartOrder struct {
	Token       string
	Partner     string
	Service     string
	Zone        string
	Class       string
	Reclaimable bool
}

// Price is what one class costs in one zone now.
type Price struct {
	Zone        string
	Class       string
	Reclaimable bool
	Hourly      float64 // per hour, in the platform's currency
}

// Notice announces that a box will be reclaimed.
type Notice struct {
	Box      string
	Deadline time.Time
}

// ErrRefused says that the cloud has no box of this kind now.
var ErrRefused = refused{}

type refused struct{}

func (refused) Error() string { return "seam: start refused" }

// Cloud orders boxes.
type Cloud interface {
	// Start orders a box, or returns ErrRefused.
	Start(ctx context.Context, o StartOrder) (Box, error)
	// Stop ends a box; epoch is the fence of the ordering lease.
	Stop(ctx context.Context, box string, epoch int64) error
	Prices(ctx context.Context) ([]Price, error)
	Notices(ctx context.Context) ([]Notice, error)
}

// Objects is the object store.
type Objects interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes the object once; ErrConflict if the name is taken.
	Put(ctx context.Context, name string, value []byte) error
}
