// SPDX-License-Identifier: MIT

package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"streambend.example/code"
)

// Key identifies one row of counts: a second and a route.
type Key struct {
	Second int // seconds since midnight
	Route  string
}

// Count holds the outcomes of a route's requests that ended in one second. Only logged
// requests count: a daemon writes at most 200 lines per second.
type Count struct {
	Key
	Answered    int               // with a complete answer
	Retries     int               // retries
	Failed      map[code.Code]int // error answers by code
	FirstEvents []time.Duration
	Delays      []time.Duration // delay of the first event beyond the expected time
}

// CountOutcomes counts requests by second and route and sorts the counts by both.
func (l *Log) CountOutcomes() []Count {
	counts := make(map[Key]*Count)
	for _, x := range l.Lines {
		if x.Request == "" {
			continue
		}
		k := Key{int(x.At / time.Second), x.Route}
		c := counts[k]
		if c == nil {
			c = &Count{Key: k, Failed: make(map[code.Code]int)}
			counts[k] = c
		}
		c.add(x)
	}
	var out []Count
	for _, c := range counts {
		if c.Answered+c.Retries+len(c.Failed) > 0 {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), strings.Compare(a.Route, b.Route))
	})
	return out
}

func (c *Count) add(x Line) {
	switch {
	case x.Text == "answered":
		c.Answered++
		if x.FirstEvent > 0 {
			c.FirstEvents = append(c.FirstEvents, x.FirstEvent)
			c.Delays = append(c.Delays, x.FirstEvent-x.FirstExpected)
		}
	case x.Text == "routed" && x.Attempt > 0:
		c.Retries++
	case strings.HasPrefix(x.Text, "answered with an error"):
		c.Failed[code.Code(x.Code)]++
	}
}

// median returns the median, or 0 for an empty list.
func median(in []time.Duration) time.Duration {
	if len(in) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(in))
	return s[len(s)/2]
}

// Print writes counts as a table.
func Print(out io.Writer, counts []Count) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "second\troute\tanswered\tagain\tfirst event\tlater than expected\ttold an error")
	for _, c := range counts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", time.Time{}.Add(time.Duration(c.Second)*time.Second).Format("15:04:05"),
			orNotTold(c.Route), c.Answered, c.Retries, formatMedian(c.FirstEvents), formatMedian(c.Delays), c.formatErrors())
	}
	return w.Flush()
}

func formatMedian(in []time.Duration) string {
	if len(in) == 0 {
		return "-"
	}
	return median(in).String()
}

// formatErrors lists the error codes sent to callers, the most frequent first.
func (c Count) formatErrors() string {
	codes := slices.SortedFunc(maps.Keys(c.Failed), func(a, b code.Code) int {
		return cmp.Or(cmp.Compare(c.Failed[b], c.Failed[a]), cmp.Compare(a, b))
	})
	out := make([]string, 0, len(codes))
	for _, x := range codes {
		out = append(out, fmt.Sprintf("%s x%d", x, c.Failed[x]))
	}
	return strings.Join(out, ", ")
}
