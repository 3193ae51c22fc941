// SPDX-License-Identifier: MIT

package outage

import "time"

// Status is the outcome of a query to another daemon for its reads of the store.
type Status int

// Outcomes of a query.
const (
	Silent   Status = iota // no answer in time
	Absent                 // no process accepts connections at the daemon's address
	Starting               // it holds nothing yet
	Failing                // its reads fail
	Limited                // its reads are rejected for the rate of all daemons' reads, so that the store serves others
	OK                     // its reads succeed
	Empty                  // its reads succeed, but the store holds no configuration yet
)

// String returns the outcome's name.
func (s Status) String() string {
	return [...]string{"silent", "absent", "starting", "failing", "limited", "ok", "empty"}[s]
}

// Report is the outcome of a query to another daemon.
type Report struct {
	Status  Status
	Served  bool // its own reads succeed, the last a short time ago
	Asked   time.Time
	Catalog time.Time // when its catalog is known to have been current
	Listed  time.Time // the same of its list of endpoints
}

// ReportTime selects one of the moments of a Report.
type ReportTime func(Report) time.Time

// Moments of the catalog and of the list of endpoints.
var (
	CatalogTime ReportTime = func(r Report) time.Time { return r.Catalog }
	ListTime    ReportTime = func(r Report) time.Time { return r.Listed }
)
