// SPDX-License-Identifier: MIT

package pace

import (
	"strconv"
	"time"
)

// Feedback is what an endpoint's answer announces about the endpoint itself.
type Feedback struct {
	PerSecond float64        // requests a second that it accepts from all daemons together, if Limited
	Limited   bool           // the answer announces a rate limit
	Malformed bool           // the announced limit is not a number
	Leaving   bool           // it is shutting down
	Brittle   bool           // it falls over if it has to reject requests for want of room
	Backoff   time.Duration  // how long the daemon must not send it requests; 0 for not at all
	Bad       []InvalidValue // announced values that are invalid
}

// InvalidValue is an invalid value that an endpoint sent.
type InvalidValue struct{ What, Value string }

// The kinds of invalid values.
const (
	InvalidLimit   = "limit"
	InvalidLeaving = "word of leaving"
	InvalidBackoff = "time of rest"
	InvalidBrittle = "bound on rejections"
)

// maxBackoff is the longest accepted time without requests: a single wrong figure could otherwise
// take an endpoint out of use.
const maxBackoff = 10 * time.Minute

// Validated returns s without out-of-range values, which are added to Bad.
func (s Feedback) Validated() Feedback {
	if s.Limited {
		named := s.PerSecond
		if s.PerSecond, s.Limited = ValidRate(named); !s.Limited {
			s.Malformed = true
			s.Bad = append(s.Bad, InvalidValue{InvalidLimit, strconv.FormatFloat(named, 'g', -1, 64)})
		}
	}
	if s.Backoff > maxBackoff {
		s.Bad = append(s.Bad, InvalidValue{InvalidBackoff, s.Backoff.String()})
		s.Backoff = 0
	}
	return s
}
