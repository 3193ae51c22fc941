// SPDX-License-Identifier: MIT

package seam

import (
	"context"
	"time"
)

// BoxState is the lifecycle state of a box.
type BoxState int

// The states of a box in the list.
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

// Box is an endpoint box as in the platform's list.
type Box struct {
	ID          string
	Token       string // start token of its order
	Partner     string
	Service     string
	Zone        string
	Class       string
	Address     string // host:port of its endpoint
	State       BoxState
	Deadline    time.Time // when a leaving box is stopped; zero otherwise
	Reclaimable bool
	Price       float64 // per hour, in the platform's currency
}

// BoxPage is a response of the box list. Boxes is nil if nothing has changed since the sequence
// number of the query.
type BoxPage struct {
	Seq   int64
	Boxes []Box
}

// BoxList is the platform's list of live and leaving boxes, which lags behind.
type BoxList interface {
	List(ctx context.Context, since int64) (BoxPage, error)
}

// StartOrder is an order of one box. Orders with the same Token start only one box.
type StartOrder struct {
	Token       string
	Partner     string
	Service     string
	Zone        string
	Class       string
	Reclaimable bool
}

// Price is the current price of a class in a zone.
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

// ErrRefused says that the cloud has no box of this kind available now.
var ErrRefused = refusedError{}

type refusedError struct{}

func (refusedError) Error() string { return "seam: start refused" }

// Cloud is the API that starts and stops boxes.
type Cloud interface {
	// Start starts a box, or returns ErrRefused.
	Start(ctx context.Context, o StartOrder) (Box, error)
	// Stop stops a box; epoch is the fencing token of the lease that permits orders.
	Stop(ctx context.Context, box string, epoch int64) error
	Prices(ctx context.Context) ([]Price, error)
	Notices(ctx context.Context) ([]Notice, error)
}

// Objects is the object store.
type Objects interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put creates the object, or returns ErrConflict if the name is taken.
	Put(ctx context.Context, name string, value []byte) error
}
