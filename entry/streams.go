// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/request"
	"streambend.example/resume"
	"streambend.example/version"
)

const (
	// recordHolders is the number of other daemons that hold the record of a stream. With two thirds of 9 to 80 daemons
	// killed at one moment, 0.97 and more of the records remain.
	recordHolders = 8
	// askedHolders is the number of daemons that are asked for a record. It exceeds recordHolders, as daemons that have
	// joined since may rank among the first.
	askedHolders = recordHolders + 2
	// maxRecords bounds the records that a daemon holds, at some 200 bytes each.
	maxRecords = 1 << 16
	// lifeFactor is the longest time for which a stream can be taken up, in timeouts of its route: each attempt is held
	// for a timeout at most, and callers give up at their deadline.
	lifeFactor = 2
)

// streamVersions shares with the other daemons which version of a service has begun a stream, so that a caller's next
// attempt, which may come to any daemon, goes on at that version.
type streamVersions struct {
	d       *Daemon
	tracker *resume.Tracker
	outbox  recordOutbox
	saved   *savedStreams
	lookups metrics.Histogram // milliseconds until the version of a stream taken up is known, or known to be unknown
	catalog atomic.Pointer[version.Catalog]
	holders atomic.Pointer[holderChoice]

	takenUp, unknown, published atomic.Int64
}

// holderChoice is the choice of holders among some members.
type holderChoice struct {
	members []conn.Member
	others  *resume.Holders
}

func newStreamVersions(d *Daemon) *streamVersions {
	s := &streamVersions{d: d, tracker: resume.NewTracker(maxRecords, lifeTime(nil), d.Site().First)}
	s.saved = newSavedStreams(d)
	s.outbox = recordOutbox{d: d, batches: make(map[string]*recordBatch)}
	s.lookups = d.meters.histogram("streams.lookup_ms")
	return s
}

// lifeTime returns the longest time for which a stream can be taken up after its first event.
func lifeTime(c *version.Catalog) time.Duration {
	longest := time.Duration(0)
	if c != nil {
		for i := range c.Routes {
			if r := &c.Routes[i]; r.Streaming && r.Repeat != version.RepeatNever {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return lifeFactor * cmp.Or(longest, defaultTimeout)
}

// others returns the choice of holders among the other daemons.
func (s *streamVersions) others() *resume.Holders {
	members := s.d.Hub.Mesh.Members()
	if h := s.holders.Load(); h != nil && len(h.members) == len(members) && len(members) > 0 && &h.members[0] == &members[0] {
		return h.others
	}
	var names []string
	for _, m := range members {
		if m.Name != s.d.Self.Name {
			names = append(names, m.Name)
		}
	}
	h := &holderChoice{members, resume.NewHolders(names)}
	s.holders.Store(h)
	return h.others
}

// observe records the versions of a service's endpoints, and returns those that may get requests.
func (s *streamVersions) observe(now time.Time, service string, pool *request.Pool) (settled []string) {
	if c := s.d.catalog.get(); s.catalog.Swap(c) != c {
		s.tracker.SetLife(lifeTime(c))
	}
	age, _ := s.d.runners.fresh.Age(now) // before the list, which is then no older
	settled, publish := s.tracker.Observe(now, now.Add(-age), service, pool.ListedVersions())
	for version, keys := range publish {
		for _, k := range keys {
			s.publish(k, version)
		}
	}
	return settled
}

// streamID returns the id of the request that has begun, or begins, a request's stream.
func streamID(r *request.Request) string {
	if r.Relay.Resumes != "" {
		return r.Relay.Resumes
	}
	return r.ID
}

func streamKey(r *request.Request, id string) resume.Key {
	return resume.NewKey(r.Team, r.Service.Name, r.Route.Name, id)
}

// track records at which version the stream of a request begins or goes on, once its first event has come.
func (s *streamVersions) track(r *request.Request, id string) {
	k, service := streamKey(r, id), r.Service.Name
	r.Relay.OnBound = func(version string) {
		if s.tracker.Begin(clock.Now(), service, k, version) {
			s.publish(k, version)
		}
	}
	r.Relay.OnWhole = func() {
		s.tracker.Whole(k)
		s.saved.set.Remove(k)
	}
}

// publish sends a record to its holders, and to the store.
func (s *streamVersions) publish(k resume.Key, version string) {
	s.published.Add(1)
	now := clock.Now()
	s.saved.set.Add(now, k, version, now.Add(lifeTime(s.catalog.Load())))
	for _, name := range s.others().Of(k, recordHolders) {
		s.outbox.add(name, k, version)
	}
}

// begin prepares a request for a stream. One that takes a stream up is bound to the version that began it, or refused.
func (s *streamVersions) begin(ctx context.Context, o *inboundRequest) *code.Error {
	s.track(o.req, streamID(o.req))
	if !o.takesUp() {
		return nil
	}
	s.takenUp.Add(1)
	began := clock.Now()
	l := s.lookUp(ctx, o.req)
	clock.Refresh()
	took := clock.Since(began)
	s.lookups.Update(took.Milliseconds())
	s.log(o, l, took)
	if !l.Known() {
		s.unknown.Add(1)
		return code.New(code.VersionUnknown, "the version that began stream %q is not known: %d of %d daemons asked have answered", o.call.Resumes, l.answered, l.asked)
	}
	o.req.Relay.Binding = request.BoundTo(l.Version)
	return nil
}

func (s *streamVersions) log(o *inboundRequest, l lookup, took time.Duration) {
	if !s.d.log.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	s.d.log.WithFields(logrus.Fields{
		"part": "streams", "request": o.call.ID, "resumes": o.call.Resumes, "service": o.req.Service.Name, "route": o.route.Name, "team": o.req.Team,
		"endpoint_version": l.Version, "source": l.Source.String(), "asked": l.asked, "answered": l.answered, "took_ms": took.Milliseconds(),
	}).Info("stream taken up")
}
