// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"streambend.example/outage"
	"streambend.example/replica"
)

// outageLog logs when data of this daemon begins and ceases to be used beyond its bound, with the reports that decided
// it, and counts it.
type outageLog struct {
	d    *Daemon
	used [2]bool // the catalog, the list of endpoints
}

// update compares the present state with that of the last call.
func (l *outageLog) update(now time.Time) {
	d := l.d
	l.record(now, 0, "catalog", &d.catalog.fresh, outage.CatalogTime, d.Site().Bounds.Configuration)
	l.record(now, 1, "endpoints", d.runners.fresh, outage.ListTime, d.listBound())
}

func (l *outageLog) record(now time.Time, table int, name string, held *replica.Freshness, of outage.ReportTime, bound time.Duration) {
	age, known := held.Age(now)
	used := known && age > bound && l.d.outageFor(now, held, of, bound)
	if l.used[table] == used {
		return
	}
	l.used[table] = used
	if used {
		l.d.meters.outages.Inc(1)
	}
	v := l.d.judgeOutage(now, of, bound)
	l.d.log.WithFields(logrus.Fields{
		"part": "outage", "table": name, "confirmed": used, "age_ms": age.Milliseconds(), "bound_ms": bound.Milliseconds(),
		"why": v.Reason.String(), "by": v.By, "failing_feeds": l.d.failingFeeds.Load(), "limited_feeds": l.d.limitedFeeds.Load(), "reports": l.d.reports.Describe(now, of),
	}).Warn("outage of the store confirmed or ended: the bound on the age of what is held is lifted or holds again")
}
