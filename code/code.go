// SPDX-License-Identifier: MIT

package code

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Code is a numbered result of a request or command.
type Code int

// The codes. A number never changes its meaning.
const (
	OK Code = 0

	BadBody         Code = 1001
	BodyTooLarge    Code = 1002
	NoSuchService   Code = 1003
	BadHeader       Code = 1004
	UnknownToken    Code = 1005
	NotSupported    Code = 1006
	KeyReused       Code = 1007
	QueueFull       Code = 1101
	DeadlineTooNear Code = 1102
	NoEndpoint      Code = 1103
	RetryBudget     Code = 1104
	Draining        Code = 1105
	ClaimStore      Code = 1106
	StillRunning    Code = 1107
	Isolated        Code = 1108
	TeamShare       Code = 1109
	Overloaded      Code = 1110

	CrashesEndpoints Code = 1111
	AtLimits         Code = 1112
	NoPath           Code = 1113
	VersionUnknown   Code = 1114
	VersionGone      Code = 1115

	UnknownOutcome Code = 1201
	NotWhole       Code = 1202
	CallerLate     Code = 1203
	EndpointAnswer Code = 1204
	HandedOver     Code = 1205

	BadIntent      Code = 2001
	NotYours       Code = 2002
	NoSuchIntent   Code = 2003
	NoSuchPlan     Code = 2004
	PlanExpired    Code = 2005
	Conflict       Code = 2006
	PoolExceeded   Code = 2007
	CostBound      Code = 2008
	StoreDown      Code = 2009
	OutcomeUnclear Code = 2010
	BadOrder       Code = 2011

	BadSettings   Code = 3001
	UnknownField  Code = 3002
	BadCommand    Code = 3003
	NoAnswer      Code = 3004
	NoSuchRequest Code = 3005

	PromiseBroken Code = 4001
)

// Ran says whether a request may have reached an endpoint.
type Ran int

// The values of Ran.
const (
	NotRun Ran = iota
	RanUnknown
	RanWhole
)

// String returns the value of the Streambend-Ran header.
func (r Ran) String() string {
	return [...]string{"not-run", "unknown", "whole"}[r]
}

// Entry describes one Code for users.
type Entry struct {
	Code   Code
	Name   string
	Status int // HTTP status
	Ran    Ran
	Text   string
}

// Table lists every Code in ascending order.
func Table() []Entry { return entries[:] }

var entries = [...]Entry{
	{OK, "ok", http.StatusOK, RanWhole, "The answer is whole."},
	{BadBody, "bad-body", http.StatusBadRequest, NotRun, "The body is not what the path takes."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, "The body is larger than the setting allows."},
	{NoSuchService, "no-such-service", http.StatusNotFound, NotRun, "No service of the caller's partner has this name."},
	{BadHeader, "bad-header", http.StatusBadRequest, NotRun, "A header's value cannot be read."},
	{UnknownToken, "unknown-token", http.StatusUnauthorized, NotRun, "The bearer token belongs to no team or operator."},
	{NotSupported, "not-supported", http.StatusBadRequest, NotRun, "The request asks for something that cannot survive a move, such as n > 1."},
	{KeyReused, "key-reused", http.StatusUnprocessableEntity, NotRun, "The idempotency key was used with another body."},
	{QueueFull, "queue-full", http.StatusTooManyRequests, NotRun, "The queue of the service is full; come back after Retry-After."},
	{DeadlineTooNear, "deadline-too-near", http.StatusServiceUnavailable, NotRun, "The answer could not be ready before the deadline."},
	{NoEndpoint, "no-endpoint", http.StatusServiceUnavailable, NotRun, "No endpoint of the service takes work."},
	{RetryBudget, "retry-budget", http.StatusServiceUnavailable, NotRun, "The retry budget of the service is spent."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, "The daemon is stopping; send the request again."},
	{ClaimStore, "claim-store", http.StatusServiceUnavailable, NotRun, "The table cannot be reached, so an unrepeatable request cannot be claimed."},
	{StillRunning, "still-running", http.StatusConflict, NotRun, "This call was not run: the earlier request with this key still runs."},
	{Isolated, "isolated", http.StatusServiceUnavailable, NotRun, "The daemon has neither table nor peers and its configuration may be old."},
	{TeamShare, "team-share", http.StatusTooManyRequests, NotRun, "The team is over its share while others wait."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, NotRun, "Too much is waiting at the endpoints for an answer in time; come back after Retry-After."},
	{CrashesEndpoints, "crashes-endpoints", http.StatusServiceUnavailable, NotRun, "Endpoints have crashed under this very request before, or under others with a part of its prompt; it is not run before Retry-After."},
	{AtLimits, "at-limits", http.StatusServiceUnavailable, NotRun, "Each endpoint that could take the request has said that it takes no more for now; come back after Retry-After."},
	{NoPath, "no-path", http.StatusServiceUnavailable, NotRun, "The daemon reaches no endpoint of the service, and no other daemon takes the request over; come back after Retry-After."},
	{VersionUnknown, "version-unknown", http.StatusServiceUnavailable, NotRun, "Several versions of the service may have begun the stream that the caller takes up, and no daemon that was reached knows which; begin a new stream."},
	{VersionGone, "version-gone", http.StatusServiceUnavailable, NotRun, "No endpoint is left of the version that began the stream; begin a new stream."},
	{UnknownOutcome, "unknown-outcome", http.StatusBadGateway, RanUnknown, "The request may have run; an unrepeatable one is never run again."},
	{NotWhole, "not-whole", http.StatusBadGateway, RanUnknown, "No endpoint gave a whole answer in time."},
	{CallerLate, "late", http.StatusGatewayTimeout, RanUnknown, "The deadline passed while the request ran."},
	{EndpointAnswer, "endpoint-refused", http.StatusBadGateway, RanUnknown, "The endpoint answered with an error."},
	{HandedOver, "handed-over", http.StatusBadGateway, RanUnknown, "The daemon stopped; reconnect with the key and the last event id."},
	{BadIntent, "bad-intent", http.StatusBadRequest, NotRun, "The intent has a wrong field."},
	{NotYours, "not-yours", http.StatusForbidden, NotRun, "It belongs to the other partner, or the role may not do this."},
	{NoSuchIntent, "no-such-intent", http.StatusNotFound, NotRun, "The partner has no intent of this name."},
	{NoSuchPlan, "no-such-plan", http.StatusNotFound, NotRun, "The partner has no plan of this name."},
	{PlanExpired, "plan-expired", http.StatusGone, NotRun, "The plan's time has run out; submit the intent again."},
	{Conflict, "conflict", http.StatusConflict, NotRun, "What the plan was based on has changed; a fresh plan is in the answer."},
	{PoolExceeded, "pool-exceeded", http.StatusConflict, NotRun, "The shared pool has too few boxes left."},
	{CostBound, "cost-bound", http.StatusUnprocessableEntity, NotRun, "The target cannot be met under the cost bound."},
	{StoreDown, "store-down", http.StatusServiceUnavailable, NotRun, "The platform's table cannot be reached; nothing was changed."},
	{OutcomeUnclear, "outcome-unclear", http.StatusBadGateway, RanUnknown, "The table's answer was lost; confirm again, twice is one change."},
	{BadOrder, "bad-order", http.StatusBadRequest, NotRun, "An order to move a service to a version cannot be read; the one before stays in force."},
	{BadSettings, "bad-settings", http.StatusBadRequest, NotRun, "A setting has a wrong value."},
	{UnknownField, "unknown-field", http.StatusBadRequest, NotRun, "A setting's name is not known."},
	{BadCommand, "bad-command", http.StatusBadRequest, NotRun, "The command line cannot be read."},
	{NoAnswer, "no-answer", http.StatusBadGateway, RanUnknown, "The daemon did not answer the command line."},
	{NoSuchRequest, "no-such-request", http.StatusNotFound, NotRun, "No line of the logs names the request."},
	{PromiseBroken, "promise-broken", http.StatusInternalServerError, RanUnknown, "A trial found a promise broken."},
}

// Entry returns the entry of c in Table, or a generic entry for an unknown number.
func (c Code) Entry() Entry {
	for _, e := range entries {
		if e.Code == c {
			return e
		}
	}
	return Entry{Code: c, Name: "unnumbered", Status: http.StatusInternalServerError, Ran: RanUnknown}
}

// String returns the number and the short name.
func (c Code) String() string { return fmt.Sprintf("%d %s", int(c), c.Entry().Name) }

// Ran says whether a request that ended with c may have run.
func (c Code) Ran() Ran { return c.Entry().Ran }

// Error is an error that carries a Code.
type Error struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // zero if a retry does not help
}

// Error returns the number, the name and the message.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Message }

// New returns an Error with a formatted message.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...)}
}

// After sets the time after which the caller may retry, and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Of returns the Code that err carries: OK for nil, and UnknownOutcome for an error without one, as
// the request may have run.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}

// From returns the Error in err's chain, or an UnknownOutcome error with its text.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(UnknownOutcome, "%v", err)
}
