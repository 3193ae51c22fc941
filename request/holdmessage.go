// SPDX-License-Identifier: MIT

package request

import (
	"time"

	"streambend.example/conn"
	"streambend.example/crash"
)

// holdMessage is the message that daemons exchange about requests that crash endpoints.
type holdMessage struct {
	End      *crash.EndpointCrash `codec:"e,omitempty"`
	Verdicts []wireVerdict        `codec:"v,omitempty"`
	Cleared  []crash.Fingerprint  `codec:"c,omitempty"`
	Ended    []crash.Fingerprint  `codec:"x,omitempty"` // verdicts that have ended without an answer to their content
	Survived *crash.Survival      `codec:"s,omitempty"` // for the daemons that collect ends of endpoints
	Watch    []crash.Fingerprint  `codec:"w,omitempty"` // parts of which daemons report that endpoints survive them
}

// wireVerdict is a verdict as encoded on a link. Times are relative to the present, as the
// boxes' clocks differ.
type wireVerdict struct {
	Print  crash.Fingerprint   `codec:"p"`
	Ends   int                 `codec:"n"`
	Trials int                 `codec:"t,omitempty"`
	Next   time.Duration       `codec:"a"`
	Left   time.Duration       `codec:"l"`
	With   []crash.Fingerprint `codec:"w,omitempty"`
}

// verdictMessage returns the message for verdicts.
func verdictMessage(now time.Time, vs ...crash.Verdict) (n holdMessage) {
	for _, v := range vs {
		n.Verdicts = append(n.Verdicts, wireVerdict{v.Print, v.Crashes, v.Trials, v.NextTrial.Sub(now), v.Until.Sub(now), v.With})
	}
	return n
}

func (w wireVerdict) verdict(now time.Time) crash.Verdict {
	return crash.Verdict{Print: w.Print, Crashes: w.Ends, Trials: w.Trials, NextTrial: now.Add(w.Next), Until: now.Add(w.Left), With: w.With}
}

// sendMessage encodes and sends a message, unless way is nil.
func sendMessage(way func(conn.Payload), n holdMessage) {
	if way != nil {
		way(conn.Payload{Crashes: conn.Marshal(n)})
	}
}

// Receive processes a message from another daemon.
func (h *Holds) Receive(now time.Time, from string, p conn.Payload) {
	if len(p.Crashes) == 0 {
		return
	}
	var n holdMessage
	if err := conn.Unmarshal(p.Crashes, &n); err != nil {
		h.log.Warnf("crash report from %s is malformed: %v", from, err)
		return
	}
	if (n.End != nil || n.Survived != nil) && h.share.Forward != nil {
		h.share.Forward(from, p)
	}
	if n.End != nil {
		h.recordEnd(now, *n.End)
	}
	if n.Survived != nil {
		h.recordSurvival(now, *n.Survived)
	}
	if len(n.Ended) > 0 {
		h.Ledger.End(now, n.Ended)
	}
	if len(n.Watch) > 0 {
		h.Ledger.Watch(now, n.Watch)
	}
	for _, w := range n.Verdicts {
		h.applyVerdict(now, from, w.verdict(now))
	}
	for _, p := range n.Cleared {
		_, held := h.Ledger.Held(now, p)
		h.Ledger.Clear(now, p)
		if held {
			h.deleteVerdict(p) // the daemon that cleared it may not know of the row
		}
	}
}

// holdState is what a daemon tells one that has started.
type holdState struct {
	Verdicts []wireVerdict `codec:"v,omitempty"`
	Known    bool          `codec:"k,omitempty"`
}

// State returns the verdicts in force, encoded for a daemon that has started.
func (h *Holds) State(now time.Time) []byte {
	return conn.Marshal(holdState{verdictMessage(now, h.Ledger.Verdicts(now)...).Verdicts, h.Known()})
}

// ApplyState applies another daemon's State. It reports whether that daemon knew all verdicts.
func (h *Holds) ApplyState(now time.Time, from string, body []byte) (known bool, err error) {
	var s holdState
	if err := conn.Unmarshal(body, &s); err != nil {
		return false, err
	}
	for _, w := range s.Verdicts {
		h.applyVerdict(now, from, w.verdict(now))
	}
	return s.Known, nil
}

// applyVerdict processes a verdict from another daemon or the table. If the request was recently answered
// here, the verdict is cleared everywhere instead.
func (h *Holds) applyVerdict(now time.Time, from string, v crash.Verdict) {
	_, known := h.Ledger.Held(now, v.Print)
	if h.Ledger.Merge(now, v) {
		if h.Ledger.Ended(now, v) {
			h.endVerdicts([]crash.Fingerprint{v.Print}, "verdict from "+from+" has ended here")
			return
		}
		h.log.WithField("print", v.Print.String()).Infof("request held back by %s was recently answered here: verdict cleared", from)
		sendMessage(h.share.Broadcast, holdMessage{Cleared: []crash.Fingerprint{v.Print}})
		h.deleteVerdict(v.Print)
		return
	}
	if !known {
		h.log.WithField("print", v.Print.String()).Infof("request held back on a verdict from %s: it has crashed %d endpoints", from, v.Crashes)
	}
}
