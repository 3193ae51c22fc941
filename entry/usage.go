// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/platform"
)

const (
	// usageTable is the store table of the usage reports, one row per window.
	usageTable = "streambend-usage"
	// reportDelay is the delay of a report after the end of its window. By then the tallies of all
	// daemons have arrived, and a failed report can be sent again before it is late.
	reportDelay = 1800 * time.Millisecond
	// reportBacklog is how many windows before the current one a new lease holder starts to report.
	reportBacklog = 3
	// reportRetention is for how many windows the reports stay in the store.
	reportRetention = 12
)

// usageDuty reports how many requests of each team began in each window. The counts of a window are
// committed to the store before they are sent, so that every report of a window is the same.
type usageDuty struct {
	d    *Daemon
	next int64          // the window to report next
	done map[int64]bool // windows already reported
}

// begin starts a lease term.
func (u *usageDuty) begin(now time.Time) {
	if first := u.d.window(now) - reportBacklog; first > u.next {
		u.next = first
	}
}

// step reports the windows that are due.
func (u *usageDuty) step(ctx context.Context, x *duties) {
	for ; u.due(clock.Now()); u.next++ {
		if _, _, ok := x.mayCall(clock.Now()); !ok {
			return
		}
		if err := u.report(ctx, x, u.next); err != nil {
			u.d.log.WithFields(logrus.Fields{"part": "usage", "window": u.next}).Warnf("usage not reported, will be retried: %v", err)
			return
		}
	}
}

// due reports whether the next window ended at least reportDelay ago.
func (u *usageDuty) due(now time.Time) bool {
	end := time.Unix(0, (u.next+1)*u.d.Site().Bounds.UsageWindow.Nanoseconds())
	return !u.d.wall.At(now).Before(end.Add(reportDelay))
}

// report commits and sends the report of a window.
func (u *usageDuty) report(ctx context.Context, x *duties, window int64) error {
	body, err := u.commit(ctx, window)
	if err != nil {
		return err
	}
	return x.call(ctx, func(ctx context.Context, f platform.Fence) error {
		if err := u.d.cloud.ReportUsage(ctx, f, body); err != nil {
			return err
		}
		u.d.log.WithFields(logrus.Fields{"part": "usage", "window": window, "fence": f.Token, "report": string(body)}).Info("reported")
		return nil
	})
}

// commit returns the report of a window from the store, after storing this daemon's if there is none.
func (u *usageDuty) commit(ctx context.Context, window int64) ([]byte, error) {
	body, err := platform.EncodeUsage(platform.Usage{Window: window, Counts: u.d.tallies.Window(window)})
	if err != nil {
		return nil, err
	}
	key := strconv.FormatInt(window, 10)
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err = u.d.store.Apply(call, platform.Change{
		If:     []platform.Condition{{Table: usageTable, Key: key}},
		Write:  []platform.Row{{Table: usageTable, Key: key, Value: body}},
		Remove: []platform.Row{{Table: usageTable, Key: strconv.FormatInt(window-reportRetention, 10)}},
	})
	if err == nil {
		return body, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return nil, err
	}
	row, _, ok, err := u.d.store.Row(call, usageTable, "", key)
	if err != nil || !ok {
		return nil, errors.Wrap(err, "entry: read usage report from the store")
	}
	return row.Value, nil
}
