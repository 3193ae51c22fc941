// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"streambend.example/version"
)

// Comparison is the report of a trial with one policy.
type Comparison struct {
	Name   string  `json:"name"`
	What   string  `json:"what"` // description of the situation
	Report *Report `json:"report"`
}

// Bench holds the results of "streambend bench".
type Bench struct {
	Trials    []Comparison `json:"trials"`
	Placement []Outcome    `json:"placement"`
}

// situation is a set of options under which policies are compared.
type situation struct {
	what     string
	policies []string
	set      func(*Options)
}

func situations() []situation {
	return []situation{
		{"routing at equal load, no fault", []string{"ours", "random", "least-loaded"}, func(o *Options) {
			o.Span, o.Script = 20*time.Second, []Step{}
		}},
		{"a zone's reclaim under twice the load", []string{"ours", "restart", "resume", "export"}, func(o *Options) {
			o.Span, o.Rate, o.Script = 8*time.Second, 2, []Step{{At: 0.6, Event: "reclaim"}}
		}},
		{"twice the sustainable load on a quarter of the boxes", []string{"ours", "no-limit", "no-fair-queue"}, func(o *Options) {
			o.Span, o.Rate, o.Boxes, o.SetDeadline, o.Script = 15*time.Second, 2.4, 0.23, true, []Step{}
		}},
		{"bad endpoints", []string{"ours", "no-budget"}, func(o *Options) {
			o.Span, o.Script = 10*time.Second, []Step{{At: 0.1, Event: "bad-endpoint"}}
		}},
	}
}

// Compare runs the default policy and the baselines with the same seed, one trial after
// the other.
func Compare(ctx context.Context, o Options, hours int, logs, progress io.Writer) (*Bench, error) {
	b := &Bench{}
	for _, s := range situations() {
		for _, p := range s.policies {
			fmt.Fprintf(progress, "%s: %s\n", s.what, p)
			x := o
			x.Policy = p
			s.set(&x)
			r, err := Run(ctx, x, logs)
			if err != nil {
				return nil, err
			}
			b.Trials = append(b.Trials, Comparison{Name: p, What: s.what, Report: r})
		}
	}
	for _, p := range []version.Policy{version.Ours, version.OnDemand, version.Greedy, version.Spread} {
		fmt.Fprintf(progress, "placement: %s\n", p)
		out, _ := AtAttainment(p, 0.99, hours)
		b.Placement = append(b.Placement, out)
	}
	return b, nil
}

// Print writes human-readable tables.
func (b *Bench) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	what := ""
	for _, c := range b.Trials {
		if c.What != what {
			what = c.What
			fmt.Fprintf(t, "\n%s\npolicy\taccepted\tin target\tlate\tnot answered\trefused\tprefix reuse\tbusiest\trecomputed\tby moves\tfirst token p95\tcost\n", what)
		}
		r := c.Report
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%d\t%d\t%.3f s\t%.4f\n", c.Name, r.Accepted, r.Complete, r.Late,
			r.NotAnswered+r.UnknownOutcome, r.RefusedNotRun, r.PrefixReuse, r.BusiestRunner, r.TokensRecomputed, r.TokensRepeated, r.TTFTP95, r.Cost)
	}
	fmt.Fprintf(t, "\nplacement, recorded hours, 0.99 of the interactive work at once\npolicy\tattains\tdone in the hour\tboxes over demand\tcost an hour\n")
	for _, o := range b.Placement {
		fmt.Fprintf(t, "%s\t%.4f\t%.3f\t%.1f\t%.2f\n", o.Policy, o.Attainment, o.Done, o.Extra, o.Cost)
	}
	t.Flush()
}
