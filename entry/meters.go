// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"path"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/replica"
	"streambend.example/rollout"
)

// meters are the daemon's counters and histograms.
type meters struct {
	registry metrics.Registry
	cut      metrics.Counter   // answers aborted after a part was sent
	left     metrics.Counter   // callers that disconnected before their answer
	failed   metrics.Counter   // failures of endpoints passed on to callers
	whole    metrics.Histogram // milliseconds from arrival to end, of complete answers
	first    metrics.Histogram // milliseconds from sending an attempt to its first event
	asked    metrics.Histogram // milliseconds until another daemon answers a question
	connect  metrics.Histogram // milliseconds from the choice of an endpoint until a connection to it is ready
	write    metrics.Histogram // the same until its first byte is about to be written
	stale    metrics.Counter   // requests admitted with a configuration beyond its bound
	outages  metrics.Counter   // outages of the store that were confirmed
	off      metrics.Histogram // first minus the time predicted by the engine model, in milliseconds
}

// sampleSize is the number of samples in a histogram, which bounds its memory.
const sampleSize = 256

func newMeters() *meters {
	m := &meters{registry: metrics.NewRegistry()}
	m.cut = metrics.GetOrRegisterCounter("answers.cut", m.registry)
	m.left = metrics.GetOrRegisterCounter("callers.left", m.registry)
	m.failed = metrics.GetOrRegisterCounter("answers.endpoint_failure", m.registry)
	m.whole = m.histogram("answers.whole_ms")
	m.first = m.histogram("answers.first_ms")
	m.off = m.histogram("answers.first_off_ms")
	m.asked = m.histogram("peers.answer_ms")
	m.connect = m.histogram("attempts.connect_ms")
	m.write = m.histogram("attempts.write_ms")
	m.stale = metrics.GetOrRegisterCounter("requests.catalog_beyond_bound", m.registry)
	m.outages = metrics.GetOrRegisterCounter("outages.confirmed", m.registry)
	return m
}

// sampleDecay is the decay factor of a histogram, which favours the last minutes.
const sampleDecay = 0.015

func (m *meters) histogram(name string) metrics.Histogram {
	h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	m.registry.Register(name, h)
	return h
}

func (m *meters) answered(took time.Duration) { m.whole.Update(took.Milliseconds()) }

// measured records the time to an answer's first event, and its deviation from the expected time.
func (m *meters) measured(first, expected time.Duration) {
	m.first.Update(first.Milliseconds())
	m.off.Update((first - expected).Milliseconds())
}

// connected records the time from the choice of an endpoint until a connection to it was ready.
func (m *meters) connected(took time.Duration) { m.connect.Update(took.Milliseconds()) }

// firstWritten records the time from the choice of an endpoint until the first byte was written to it.
func (m *meters) firstWritten(took time.Duration) { m.write.Update(took.Milliseconds()) }

// refused counts an error by its code.
func (m *meters) refused(c code.Code) {
	metrics.GetOrRegisterCounter("errors."+c.Entry().Name, m.registry).Inc(1)
}

// invalidEntry counts an invalid endpoint entry.
func (m *meters) invalidEntry(reason string) {
	metrics.GetOrRegisterCounter("endpoints.left_out."+reason, m.registry).Inc(1)
}

// trialAnswer counts an answer during a roll-out; side is "old" or "new".
func (m *meters) trialAnswer(service, side string, t rollout.Tally) {
	name := "rollout." + service + "." + side
	metrics.GetOrRegisterCounter(name+".answers", m.registry).Inc(t.Total)
	metrics.GetOrRegisterCounter(name+".bad", m.registry).Inc(t.Bad)
}

// countingTransport is a transport that counts calls by the last element of their path.
type countingTransport struct {
	http.RoundTripper
	meters *meters
}

// RoundTrip implements http.RoundTripper.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	metrics.GetOrRegisterCounter("calls."+path.Base(r.URL.Path), c.meters.registry).Inc(1)
	return c.RoundTripper.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the wrapped transport, for http.Client.
func (c countingTransport) CloseIdleConnections() {
	if t, ok := c.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// gauge registers a gauge whose value is computed when it is read.
func (m *meters) gauge(name string, f func() int64) {
	m.registry.Register(name, metrics.NewFunctionalGauge(f))
}

// ServeHTTP implements http.Handler and writes all metrics as text.
func (m *meters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(m.registry, w)
}

// gauges registers gauges for values that other components count.
func (d *Daemon) gauges() {
	c := &d.Server.Count
	for name, f := range map[string]func() int64{
		"requests.accepted": c.Accepted.Load, "requests.complete": c.Complete.Load, "requests.late": c.Late.Load,
		"requests.refused": c.Refused.Load, "requests.unknown": c.Unknown.Load, "attempts.retries": c.Retries.Load, "attempts.denied": c.Denied.Load,
		"attempts.cut_off": c.CutOff.Load,
		"dials.opened":     d.Server.Client.Dials.Opened.Load, "dials.failed": d.Server.Client.Dials.Failed.Load,
		"paths.lost": func() int64 { return int64(d.forwards.paths.LostServices()) }, "attempts.forwarded": c.Forwarded.Load,
		"requests.list_beyond_bound": c.Unbound.Load,
		"requests.taken_over":        d.forwards.takenOver.Load,
		"endpoints.ejected":          func() int64 { return int64(d.Server.Works.Ejected()) },
		"plain.by_report":            c.PlainByReport.Load, "plain.by_mean": c.PlainByMean.Load, "plain.by_counts": c.PlainByCounts.Load,
		"second_runs.limited":    func() int64 { return int64(d.secondRuns.limit.Services()) },
		"endpoints.ended":        d.Server.Holds.Ended.Load,
		"requests.held_back":     func() int64 { return int64(len(d.Server.Holds.Ledger.Verdicts(clock.Now()))) },
		"prompt_parts.suspected": func() int64 { return int64(d.Server.Holds.Ledger.SuspectedParts()) },
		"links.sent_bytes":       func() int64 { return d.Hub.Traffic().SentBytes },
		"streams.taken_up":       d.streams.takenUp.Load, "streams.unknown": d.streams.unknown.Load, "streams.published": d.streams.published.Load,
		"streams.restored": d.streams.saved.read.Load, "streams.rows_written": d.streams.saved.written.Load,
		"streams.records": func() int64 { return int64(d.streams.tracker.Records()) },
		"limits.granted":  d.limits.granted.Load, "limits.refused": d.limits.refused.Load, "limits.by_share": d.limits.shared.Load,
		"quota.local": d.teams.local.Load, "quota.granted": d.teams.granted.Load, "quota.booked": d.teams.booked.Load,
		"quota.refused": d.teams.refused.Load, "quota.by_share": d.teams.shared.Load, "quota.claimed": d.teams.claimed.Load,
		"memory.held_bytes": d.buffers.Used, "memory.bound_bytes": d.buffers.Size,
		"answers.streamed": d.buffers.Streamed.Load, "callers.stalled": d.inbound.Stalled,
		"endpoints.limited": func() int64 { return int64(d.Server.Works.Limited()) },
		"members":           func() int64 { return int64(len(d.Hub.Mesh.Members())) },
		"catalog.age_ms":    ageGauge(&d.catalog.fresh),
		"endpoints.age_ms":  ageGauge(d.runners.fresh),
		"catalog.version": func() int64 {
			if c := d.catalog.get(); c != nil {
				return c.Version
			}
			return 0
		},
	} {
		d.meters.gauge(name, f)
	}
	for k := range conn.FrameKinds {
		d.meters.gauge("links.sent_bytes."+conn.FrameKind(k).String(), func() int64 { return d.Hub.Traffic().Sent[k] })
	}
}

// ageGauge returns a function that returns an age in milliseconds, or -1 if there is none.
func ageGauge(f *replica.Freshness) func() int64 {
	return func() int64 {
		if age, ok := f.Age(clock.Now()); ok {
			return age.Milliseconds()
		}
		return -1
	}
}
