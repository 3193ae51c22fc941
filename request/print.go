// SPDX-License-Identifier: MIT

package request

import (
	"encoding/binary"
	"time"

	"streambend.example/crash"
)

// Print returns a fingerprint of the request's content. It is the same when the
// caller retries, at any daemon.
func (r *Request) Print() crash.Fingerprint {
	host := ""
	if r.Relay != nil {
		host = r.Relay.Host
	}
	return crash.FingerprintOf([]byte(r.Partner), []byte(r.Team), []byte(host), []byte(r.Method), []byte(r.Path), r.Body)
}

// PartPrints returns fingerprints of the parts of the request's prompt, but the last, which no other request has. They are
// of the service and not of a team: its engines crash on a part whoever sends it.
func (r *Request) PartPrints() []crash.Fingerprint {
	if r.Relay == nil || len(r.Relay.Parts) < 2 {
		return nil
	}
	shared := r.Relay.Parts[:min(len(r.Relay.Parts)-1, crash.MaxParts)]
	out := make([]crash.Fingerprint, len(shared))
	for i, p := range shared {
		out[i] = crash.FingerprintOf([]byte("part of a prompt"), []byte(r.Service.Key()), binary.BigEndian.AppendUint64(nil, p.ID))
	}
	return out
}

// parts returns the fingerprints of the parts of the prompt.
func (r *run) parts() []crash.Fingerprint {
	if r.partPrints == nil {
		r.partPrints = r.req.PartPrints()
	}
	return r.partPrints
}

// flight describes the request for the report of a crash of the endpoint that it is at. Its parts are no suspects if the
// endpoint has survived the beginning of the answer.
func (r *run) flight(now time.Time) crash.Flight {
	f := crash.Flight{Print: r.print, For: now.Sub(r.started)}
	if r.first == 0 || now.Sub(r.started.Add(r.first)) < crash.SurvivalTime {
		f.Parts = r.parts()
	}
	return f
}

// reportSurvival reports once for each attempt that the endpoint has survived the beginning of its answer.
func (r *run) reportSurvival(now, begun time.Time) {
	if r.survived || !r.Holds.Ledger.Suspects() {
		return
	}
	r.survived = true
	if parts := r.parts(); len(parts) > 0 {
		r.Holds.reportSurvival(now, crash.Survival{Parts: parts, Age: now.Sub(begun)})
	}
}
