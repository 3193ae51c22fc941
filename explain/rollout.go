// SPDX-License-Identifier: MIT

package explain

import (
	"fmt"
	"strings"
	"time"
)

// rolloutPart is the value of Line.Part in lines about roll-outs.
const rolloutPart = "rollout"

// rolloutStep is one step of an order, merged from the lines of all boxes that logged it.
type rolloutStep struct {
	first, last Line
	boxes       map[string]bool
}

// DescribeRollout describes the orders to move a service to a version, one sentence per step, or returns
// nothing if no line mentions one. A step logged by several boxes appears once, with the delay
// until the last of them logged it.
func (l *Log) DescribeRollout(service string) []string {
	turns := make(map[string]*rolloutStep)
	var order []*rolloutStep
	for _, x := range l.Lines {
		if x.Part != rolloutPart || x.Service != service {
			continue
		}
		text, _, _ := strings.Cut(x.Text, ":")
		key := fmt.Sprint(text, x.Order, x.Stage)
		t := turns[key]
		if t == nil {
			t = &rolloutStep{first: x, boxes: make(map[string]bool)}
			turns[key] = t
			order = append(order, t)
		}
		t.last = x
		t.boxes[x.Box] = true
	}
	var out []string
	for _, t := range order {
		s := fmt.Sprintf("%s  %s: %s", formatTime(t.first.At), t.first.Box, t.first.rolloutSentence())
		if n := len(t.boxes); n > 1 {
			s += fmt.Sprintf(" (%d boxes, the last %s later)", n, (t.last.At - t.first.At).Round(time.Millisecond))
		}
		out = append(out, s)
	}
	return out
}

// rolloutSentence returns a sentence that describes a roll-out line.
func (x Line) rolloutSentence() string {
	s := x.Text
	switch kind, _, _ := strings.Cut(x.Text, ":"); kind {
	case "order to move a service to a version":
		s = fmt.Sprintf("order %d asks for version %s within %s", x.Order, x.Target, x.For)
	case "order has moved on":
		s = fmt.Sprintf("order %d, version %s: %s, after %s", x.Order, x.Target, x.Stage, x.After)
	case "status of an order written":
		s = fmt.Sprintf("order %d, version %s: the operator reads that it is %s", x.Order, x.Target, x.Stage)
	}
	if x.Why != "" {
		s += ": " + x.Why
	}
	return s
}
