// SPDX-License-Identifier: MIT

package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"streambend.example/code"
)

// DescribeRequest returns the decisions on one request, one sentence per log line, or nothing if no
// line names the request. For a stream that its caller has taken up these are the decisions on all its
// requests, each after the one before.
func (l *Log) DescribeRequest(request string) (out []string) {
	for _, r := range l.requestsOfStream(request) {
		out = append(out, l.describeOne(r)...)
	}
	return out
}

// requestsOfStream returns the request, or all requests of its stream, in order of their first lines.
func (l *Log) requestsOfStream(request string) []string {
	first := request
	for _, x := range l.Lines {
		if x.Request == request && x.Resumes != "" {
			first = x.Resumes
			break
		}
	}
	var out []string
	for _, x := range l.Lines {
		if (x.Request == first || x.Resumes == first) && x.Request != "" && !slices.Contains(out, x.Request) {
			out = append(out, x.Request)
		}
	}
	if !slices.Contains(out, request) {
		out = append(out, request)
	}
	return out
}

func (l *Log) describeOne(request string) []string {
	var out []string
	var began time.Duration
	for _, x := range l.Lines {
		if x.Request != request {
			continue
		}
		if len(out) == 0 {
			began = x.At
			out = append(out, fmt.Sprintf("request %s, service %s, route %s, team %s", request, orNotTold(x.Service), orNotTold(x.Route), orNotTold(x.Team)))
		}
		out = append(out, fmt.Sprintf("%s  +%-8s %s: %s", formatTime(x.At), (x.At-began).Round(time.Millisecond), x.Box, x.sentence()))
	}
	return out
}

// messageDetail returns the details after the kind of a message, which ends at the first ": ".
func messageDetail(text string) string {
	_, after, _ := strings.Cut(text, ": ")
	return after
}

func orNotTold(s string) string {
	if s == "" {
		return "not told"
	}
	return s
}

// formatTime formats a time since midnight.
func formatTime(at time.Duration) string {
	return time.Time{}.Add(at).Format("15:04:05.000")
}

// sentence returns a sentence that describes a line about a request.
func (x Line) sentence() string {
	switch kind, _, _ := strings.Cut(x.Text, ":"); kind {
	case "routed":
		return x.routedSentence()
	case "attempt ended":
		s := fmt.Sprintf("attempt %d at %s has ended (%s): %s; then: %s", x.Attempt, x.Endpoint, x.Ending, messageDetail(x.Text), x.Then)
		if x.MayHaveRun {
			s += "; it may have run there"
		}
		return s
	case "answered":
		if x.FirstEvent > 0 {
			return fmt.Sprintf("answered whole; first event after %s, %s expected", x.FirstEvent, x.FirstExpected)
		}
		return "answered whole"
	case "answered with an error":
		s := fmt.Sprintf("the caller is told %d (%s): %s", x.Status, code.Code(x.Code), messageDetail(x.Text))
		if x.RetryAfter > 0 {
			s += fmt.Sprintf("; it may come back after %s", x.RetryAfter)
		}
		return s + fmt.Sprintf("; by configuration %d, known to be the newest %s ago", x.Version, x.CatalogAge)
	case "ended":
		return fmt.Sprintf("not served: %s (%s; run: %s)", messageDetail(x.Text), code.Code(x.Code), x.Ran)
	case "forwarded":
		return fmt.Sprintf("sent through %s, as this daemon has no path to the endpoints; %s left", x.Daemon, x.TimeLeft)
	case "forward ended":
		return fmt.Sprintf("not served through %s (%s): %s; then: %s", x.Daemon, x.Ending, messageDetail(x.Text), x.Then)
	case "stream taken up":
		if x.EndpointVersion == "" {
			return fmt.Sprintf("takes up stream %s, whose version is not known: %d of %d daemons asked have answered", orNotTold(x.Resumes), x.Answered, x.Asked)
		}
		return fmt.Sprintf("takes up stream %s, of version %s (%s)", orNotTold(x.Resumes), x.EndpointVersion, x.Source)
	case "taken over from another daemon":
		return fmt.Sprintf("taken over from %s", x.Daemon)
	case "ejected":
		return fmt.Sprintf("endpoint %s is kept out for a while: %s", x.Endpoint, messageDetail(x.Text))
	}
	return x.Text
}

// routedSentence describes where an attempt was sent, and why.
func (x Line) routedSentence() string {
	s := fmt.Sprintf("attempt %d is sent to %s in %s (%s), with load %d there", x.Attempt+1, x.Endpoint, x.Zone, x.Why, x.Load)
	if x.EndpointVersion != "" {
		s = fmt.Sprintf("attempt %d is sent to %s, version %s, in %s (%s), with load %d there", x.Attempt+1, x.Endpoint, x.EndpointVersion, x.Zone, x.Why, x.Load)
	}
	if x.AfterEvent > 0 {
		s += fmt.Sprintf(", to go on after event %d", x.AfterEvent)
	}
	if x.LoadAge >= 0 {
		s += fmt.Sprintf(" as of %s ago", x.LoadAge)
	}
	if x.QueueWait > 0 || x.PrefillTime > 0 {
		s += fmt.Sprintf("; %s until its prompt's turn, %s to read the %d tokens not kept", x.QueueWait, x.PrefillTime, x.UncachedTokens)
	}
	return s + fmt.Sprintf("; %s left", x.TimeLeft)
}
