// SPDX-License-Identifier: MIT

package explain

import (
	"fmt"
	"strings"
	"time"
)

// rolloutPart is the part of a daemon that writes of roll-outs.
const rolloutPart = "rollout"

// turn is one step of an order, as the boxes that tell of it saw it.
type turn struct {
	first, last Line
	boxes       map[string]bool
}

// Rollout returns how the orders to move a service to a version went, a sentence a line, or nothing
// if no line tells of one. A step that many boxes have taken is told once, with how long it took
// until the last of them had.
func (l *Log) Rollout(service string) []string {
	turns := make(map[string]*turn)
	var order []*turn
	for _, x := range l.Lines {
		if x.Part != rolloutPart || x.Service != service {
			continue
		}
		text, _, _ := strings.Cut(x.Text, ":")
		key := fmt.Sprint(text, x.Order, x.Stage)
		t := turns[key]
		if t == nil {
			t = &turn{first: x, boxes: make(map[string]bool)}
			turns[key] = t
			order = append(order, t)
		}
		t.last = x
		t.boxes[x.Box] = true
	}
	var out []string
	for _, t := range order {
		s := fmt.Sprintf("%s  %s: %s", clock(t.first.At), t.first.Box, t.first.turned())
		if n := len(t.boxes); n > 1 {
			s += fmt.Sprintf(" (%d boxes, the last %s later)", n, (t.last.At - t.first.At).Round(time.Millisecond))
		}
		out = append(out, s)
	}
	return out
}

// turned says in plain words what a line tells of a roll-out.
func (x Line) turned() string {
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
