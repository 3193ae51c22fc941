// SPDX-License-Identifier: MIT

package soak

import (
	"net/http"
	"regexp"
	"slices"
	"strconv"
)

// maxTakeUps is the number of attempts by which a caller takes a stream up.
const maxTakeUps = 3

// stream is what a caller has of a stream, over its attempts.
type stream struct {
	id       string // of the first attempt
	first    string // id of the attempt that brought the first event
	events   int
	versions []string // that wrote the events, without repeats
	broken   bool     // the last attempt broke off
}

// header sets the headers of an attempt that takes the stream up.
func (s *stream) header(h http.Header) {
	if s.first != "" {
		h.Set("Last-Event-Id", strconv.Itoa(s.events))
		h.Set("Resumes", s.first)
	}
}

// eventOf matches a whole event of the stand-in: its number and the version that wrote it.
var eventOf = regexp.MustCompile(`id: (\d+)\ndata: event \d+ of (v\d+)\n\n`)

// take records the events that an attempt has brought, and returns them without the versions.
func (s *stream) take(attempt, body string) string {
	for _, m := range eventOf.FindAllStringSubmatch(body, -1) {
		if s.first == "" {
			s.first = attempt
		}
		s.events, _ = strconv.Atoi(m[1]) // the expression allows digits only
		if !slices.Contains(s.versions, m[2]) {
			s.versions = append(s.versions, m[2])
		}
	}
	return eventOf.ReplaceAllString(body, "id: $1\ndata: event $1\n\n")
}
