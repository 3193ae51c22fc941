// SPDX-License-Identifier: MIT

package trial

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the counters of callers and endpoints after a trial.
type Report struct {
	Seed  uint64 `json:"seed"`
	Fault string `json:"fault"`

	Accepted          int     `json:"accepted"`
	Complete          int     `json:"complete"`
	Late              int     `json:"late"`
	NotAnswered       int     `json:"not_answered"`
	RefusedNotRun     int     `json:"refused_not_run"`
	RefusedButRan     int     `json:"refused_but_ran"`
	UnknownOutcome    int     `json:"unknown_outcome"` // of non-idempotent requests, reported as unknown
	RanTwice          int     `json:"ran_twice"`
	NotWhole          int     `json:"not_whole"`
	CutByPlannedStop  int     `json:"cut_by_planned_stop"`
	LeavingNewWorkMax float64 `json:"leaving_new_work_max_s"`
	ConfigInForceMax  float64 `json:"config_in_force_max_s"`
	ConfigChanges     int     `json:"config_changes"`
	ConfigReverts     int     `json:"config_reverts"`
	BoxesReclaimed    int     `json:"boxes_reclaimed"`
	StaleOrders       int     `json:"stale_orders_refused"`
	TokensGenerated   int     `json:"tokens_generated"`
	TokensRecomputed  int     `json:"tokens_recomputed"`
	TokensRepeated    int     `json:"tokens_recomputed_by_moves"`
	PrefixReuse       float64 `json:"prefix_reuse"`   // fraction of prompt tokens found in a cache
	BusiestRunner     float64 `json:"busiest_runner"` // requests of the busiest runner divided by the mean; the larger value of both partners
	TokensCached      int     `json:"tokens_cached"`
	TokensPrefilled   int     `json:"tokens_prefilled"`
	Cost              float64 `json:"cost"`
	CostAllOnDemand   float64 `json:"cost_all_on_demand"`
	TTFTP95           float64 `json:"ttft_p95_s"`
	OverheadP50       float64 `json:"overhead_p50_s"`
	OverheadP99       float64 `json:"overhead_p99_s"`
	Moves             int64   `json:"moves"`
	Exports           int64   `json:"exports"`

	Wrong    []string `json:"wrong,omitempty"` // failed checks of the injected faults
	Failures []string `json:"failures,omitempty"`
	Jobs     []JobRow `json:"jobs"`

	mayUnknown   bool // the script allows unknown outcomes
	mayRefuse    bool // the script allows refusals
	expectChange bool // the script changes the configuration
}

// JobRow holds the counters of one kind of request.
type JobRow struct {
	Partner  string  `json:"partner"`
	Route    string  `json:"route"`
	Sent     int     `json:"sent"`
	Complete int     `json:"complete"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused_not_run"`
	Other    int     `json:"other"`
	P95      float64 `json:"answer_p95_s"`
}

// Time limits that Promises checks.
const (
	leavingBound = 3 * time.Second
	inForceBound = 3 * time.Second
)

// Promise is the result of checking one guarantee.
type Promise struct {
	Text string
	Held bool
	Note string
}

// Promises returns the guarantees that must always hold and whether each held.
func (r *Report) Promises() []Promise {
	lost := r.NotAnswered
	if !r.mayUnknown {
		lost += r.UnknownOutcome
	}
	refused := r.RefusedNotRun
	if r.mayRefuse {
		refused = 0
	}
	return []Promise{
		{"P1 an accepted request survives an announced reclaim", lost == 0, fmt.Sprintf("%d not answered, %d unknown, %d boxes reclaimed", r.NotAnswered, r.UnknownOutcome, r.BoxesReclaimed)},
		{"P2 each caller gets the whole answer to its own request", r.NotWhole == 0, fmt.Sprintf("%d not whole", r.NotWhole)},
		{"P3 refused as not run means not run", r.RefusedButRan == 0 && refused == 0, fmt.Sprintf("%d refused, %d of them ran", r.RefusedNotRun, r.RefusedButRan)},
		{"P4 what may not be repeated runs at most once", r.RanTwice == 0, fmt.Sprintf("%d ran twice", r.RanTwice)},
		{"P5 a leaving endpoint gets no new work after a few seconds", r.LeavingNewWorkMax <= leavingBound.Seconds(), fmt.Sprintf("last new work %.2f s after the notice", r.LeavingNewWorkMax)},
		{"P6 a planned stop cuts off no request", r.CutByPlannedStop == 0, fmt.Sprintf("%d cut off", r.CutByPlannedStop)},
		{"P7 a configuration is in force within seconds, never reverts", r.ConfigReverts == 0 && (r.ConfigChanges > 0 || !r.expectChange) && r.ConfigInForceMax <= inForceBound.Seconds(), fmt.Sprintf("in force in %.2f s, %d reverts", r.ConfigInForceMax, r.ConfigReverts)},
	}
}

// Held reports whether every guarantee held.
func (r *Report) Held() bool {
	return len(r.Wrong) == 0 && !slices.ContainsFunc(r.Promises(), func(p Promise) bool { return !p.Held })
}

// Print writes a human-readable report.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "partner\troute\tsent\tin target\tlate\trefused\tother\tp95")
	for _, j := range r.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f s\n", j.Partner, j.Route, j.Sent, j.Complete, j.Late, j.Refused, j.Other, j.P95)
	}
	t.Flush()
	fmt.Fprintf(w, "\naccepted %d, in target %d, late %d, not answered %d, refused as not run %d, unknown %d\n",
		r.Accepted, r.Complete, r.Late, r.NotAnswered, r.RefusedNotRun, r.UnknownOutcome)
	fmt.Fprintf(w, "tokens generated %d, recomputed %d (%d by moves), prompt tokens found cached %.0f%%, busiest runner %.2f of the mean\n",
		r.TokensGenerated, r.TokensRecomputed, r.TokensRepeated, 100*r.PrefixReuse, r.BusiestRunner)
	fmt.Fprintf(w, "first token p95 %.3f s (interactive), overhead p50 %.2f ms, p99 %.2f ms (plain calls)\n",
		r.TTFTP95, r.OverheadP50*1000, r.OverheadP99*1000)
	fmt.Fprintf(w, "cost %.4f, the same boxes on demand %.4f; moves %d, with KV cache %d\n\n", r.Cost, r.CostAllOnDemand, r.Moves, r.Exports)
	for _, p := range r.Promises() {
		word := "held  "
		if !p.Held {
			word = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", word, p.Text, p.Note)
	}
	t.Flush()
	for _, f := range append(slices.Clone(r.Wrong), r.Failures...) {
		fmt.Fprintln(w, "  "+f)
	}
}

// maxFailures is the maximum number of failed requests listed in a report.
const maxFailures = 8

// count aggregates the results of the callers.
func (r *Report) count(results []*result) {
	ttft, over := newHistogram(), newHistogram()
	rows := make(map[string]*JobRow)
	times := make(map[string]*hdrhistogram.Histogram)
	var order []string
	slices.SortFunc(results, func(a, b *result) int { return a.began.Compare(b.began) })
	for _, x := range results {
		key := x.r.partner + "/" + x.r.route
		if rows[key] == nil {
			rows[key] = &JobRow{Partner: x.r.partner, Route: x.r.route}
			times[key] = newHistogram()
			order = append(order, key)
		}
		r.countResult(rows[key], x)
		if x.whole {
			record(times[key], x.ended.Sub(x.began))
		}
		if x.r.stream && x.r.chat && !x.first.IsZero() {
			record(ttft, x.first.Sub(x.began))
		}
		if x.r.tokens == 0 && x.whole && x.attempts == 1 {
			record(over, x.overhead)
		}
	}
	slices.Sort(order)
	for _, key := range order {
		rows[key].P95 = quantile(times[key], 95)
		r.Jobs = append(r.Jobs, *rows[key])
	}
	r.TTFTP95 = quantile(ttft, 95)
	r.OverheadP50, r.OverheadP99 = quantile(over, 50), quantile(over, 99)
}

func (r *Report) countResult(row *JobRow, x *result) {
	row.Sent++
	if x.falselyRefused {
		r.RefusedButRan++
	}
	if x.cutByStop {
		r.CutByPlannedStop++
	}
	if x.refused {
		r.RefusedNotRun++
		row.Refused++
		r.addFailure(x, "refused")
		return
	}
	r.Accepted++
	switch {
	case x.wrong:
		r.NotWhole++
	case x.whole && x.ended.Sub(x.began) <= x.r.target:
		r.Complete++
		row.Complete++
		return
	case x.whole:
		r.Late++
		row.Late++
		return
	case x.unknown && x.r.unrepeatable:
		r.UnknownOutcome++
	default:
		r.NotAnswered++
	}
	row.Other++
	r.addFailure(x, "failed")
}

func (r *Report) addFailure(x *result, what string) {
	if len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, fmt.Sprintf("%s %s after %d tries: %.300s", x.r.id, what, x.attempts, x.last))
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(max(1, d.Microseconds()))
}

// quantile returns a quantile, given in percent, in seconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}
