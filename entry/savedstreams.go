// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/binary"
	"math"
	"sync/atomic"
	"time"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/mechanism"
	"streambend.example/platform"
	"streambend.example/resume"
)

const (
	// streamTable is the store table of the records of streams, a row for each daemon.
	streamTable = "streambend-streams"
	// maxSavedStreams bounds the streams of a row, which may have 65,536 bytes.
	maxSavedStreams = 2048
	// saveInterval is how often a daemon writes its row, at most: streams that began later are lost if all daemons end.
	saveInterval = 500 * time.Millisecond
	// savePerMember lengthens the interval in a large fleet, so that all daemons together make 40 calls a second at most.
	savePerMember = 25 * time.Millisecond
	// loadRetry is how often a daemon that starts tries to read the rows.
	loadRetry = 500 * time.Millisecond
)

// savedRow is a daemon's row.
type savedRow struct {
	At      time.Duration     `codec:"a"` // clock of the store when it was written
	Streams map[string][]byte `codec:"s"` // by version: for each one its key and the milliseconds for which it can be taken up
}

// savedBytes is the size of a stream in a row.
const savedBytes = len(resume.Key{}) + 4

// add adds a record to the row.
func (r *savedRow) add(x resume.SavedRecord) {
	b := append(r.Streams[x.Version], x.Key[:]...)
	r.Streams[x.Version] = binary.BigEndian.AppendUint32(b, uint32(min(x.Left.Milliseconds(), math.MaxUint32)))
}

// records returns the streams of the row that can still be taken up some time after it was written.
func (r *savedRow) records(age time.Duration) (out []resume.SavedRecord) {
	for version, b := range r.Streams {
		for ; len(b) >= savedBytes; b = b[savedBytes:] {
			left := time.Duration(binary.BigEndian.Uint32(b[len(resume.Key{}):]))*time.Millisecond - age
			if left > 0 {
				out = append(out, resume.SavedRecord{Key: resume.Key(b[:len(resume.Key{})]), Version: version, Left: left})
			}
		}
	}
	return out
}

// savedStreams keeps the records of this daemon's streams in the store, for the case in which no daemon is left that holds them.
// Daemons that start read those of all.
type savedStreams struct {
	d       *Daemon
	set     resume.Saved
	done    chan struct{} // closed once the rows have been read, or need not be
	began   time.Duration // clock of the store at the start of the daemon's clock, once the rows have been read
	read    atomic.Int64  // streams
	written atomic.Int64  // rows
}

func newSavedStreams(d *Daemon) *savedStreams {
	return &savedStreams{d: d, set: resume.Saved{Most: maxSavedStreams}, done: make(chan struct{})}
}

// run reads the rows of all daemons, and then writes this one's.
func (s *savedStreams) run(ctx context.Context) {
	first := s.d.Site().First
	if first || !s.d.without.On(mechanism.SavedStreams) {
		close(s.done)
	}
	if !s.d.without.On(mechanism.SavedStreams) {
		return
	}
	// At the first start of the system there is nothing to read before there is something to write.
	for ; first && ctx.Err() == nil; sleep(ctx, s.interval()) {
		if records, ok := s.set.Take(clock.Now()); ok && len(records) > 0 {
			s.set.Retry()
			break
		}
	}
	for ; ctx.Err() == nil && !s.load(ctx); sleep(ctx, loadRetry) {
	}
	if !first {
		close(s.done)
	}
	for ; ctx.Err() == nil; sleep(ctx, s.interval()) {
		s.write(ctx)
	}
}

// interval returns the time between two writes.
func (s *savedStreams) interval() time.Duration {
	return max(saveInterval, time.Duration(len(s.d.Hub.Mesh.Members()))*savePerMember)
}

// load reads the rows, and reports whether that succeeded. The daemon's own row is written anew later, so what it holds is
// taken over.
func (s *savedStreams) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	p, err := s.d.store.AllRows(ctx, streamTable, "")
	if err != nil {
		s.d.log.WithField("part", "streams").Warnf("records of streams not read: %v", err)
		return false
	}
	now := clock.Now()
	s.began = p.Clock - now.Sub(s.d.began)
	for _, r := range p.Rows {
		var row savedRow
		if err := conn.Unmarshal(r.Value, &row); err != nil {
			s.d.log.WithField("part", "streams").Warnf("records of streams of %s not read: %v", r.Key, err)
			continue
		}
		for _, x := range row.records(max(p.Clock-row.At, 0)) {
			s.d.streams.tracker.Restore(now, x)
			s.read.Add(1)
			if r.Key == s.d.Self.Name {
				s.set.Add(now, x.Key, x.Version, now.Add(x.Left))
			}
		}
	}
	s.d.log.WithField("part", "streams").Infof("%d records of streams read, of %d daemons", s.read.Load(), len(p.Rows))
	return true
}

// write writes the daemon's row if a stream has begun since.
func (s *savedStreams) write(ctx context.Context) {
	now := clock.Now()
	records, ok := s.set.Take(now)
	if !ok {
		return
	}
	row := savedRow{At: s.began + now.Sub(s.d.began), Streams: make(map[string][]byte)}
	for _, x := range records {
		row.add(x)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	_, err := s.d.store.Apply(ctx, platform.Change{Write: []platform.Row{{Table: streamTable, Key: s.d.Self.Name, Value: conn.Marshal(row)}}})
	if err != nil {
		s.set.Retry()
		s.d.log.WithField("part", "streams").Warnf("records of streams not written: %v", err)
		return
	}
	s.written.Add(1)
}
