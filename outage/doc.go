// SPDX-License-Identifier: MIT

// Package outage decides whether the platform's store fails for all daemons, so that no data younger than a daemon's own
// can be had and its bound on the age of data is lifted.
//
// A daemon's own failed reads prove nothing, as they also fail while its link is congested. Reports holds the outcomes of
// its queries to other daemons:
//
//	reports.Record(name, outage.Report{Status: outage.Failing, Asked: sent, Catalog: at, Listed: at})
//	if reports.Judge(now, fleet, outage.ListTime, bound).Confirmed { ... }
//
// Only answers count. A daemon that does not answer may be one that the store serves; so may one that is rejected for the
// rate of all daemons' reads. The package does no input or output; callers pass the current time.
package outage
