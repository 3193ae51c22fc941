// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/request"
	"streambend.example/resume"
)

// Questions between daemons about the versions of streams.
const (
	tellRecords = "stream-records" // takes records
	askRecord   = "stream-version" // returns what is known of a stream
)

const (
	// recordBatchDelay is how long records for a daemon are batched after those before were sent. The first ones are
	// sent at once, so that they arrive before a daemon that fails soon after has lost them.
	recordBatchDelay = 10 * time.Millisecond
	// recordTimeout is the timeout for sending records to a daemon.
	recordTimeout = 500 * time.Millisecond
	// lookupTimeout bounds the wait for the holders of a record, some of which may just have failed.
	lookupTimeout = 80 * time.Millisecond
	// maxBatchedRecords bounds the records that wait for a daemon; the oldest are dropped.
	maxBatchedRecords = 4096
)

// recordMessage holds the concatenated keys of streams by the version that began them.
type recordMessage struct {
	Keys map[string][]byte `codec:"k"`
}

// recordQuery asks what a daemon knows of a stream.
type recordQuery struct {
	Key     []byte `codec:"k,omitempty"` // empty if the caller has not named the stream
	Service string `codec:"s"`
}

// recordReply is the answer to a recordQuery.
type recordReply struct {
	Version string        `codec:"v,omitempty"`
	Source  resume.Source `codec:"s,omitempty"`
}

// recordOutbox sends records to their holders, in batches for each of them.
type recordOutbox struct {
	d       *Daemon
	mu      sync.Mutex
	batches map[string]*recordBatch // by daemon; of those to which a batch is being sent
}

type batchedRecord struct {
	key     resume.Key
	version string
}

// recordBatch holds the records that wait for a daemon.
type recordBatch struct{ waiting []batchedRecord }

// add queues a record for a daemon.
func (o *recordOutbox) add(daemon string, k resume.Key, version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.batches[daemon]
	if b != nil {
		b.waiting = append(b.waiting, batchedRecord{k, version})
		b.waiting = b.waiting[max(0, len(b.waiting)-maxBatchedRecords):]
		return
	}
	if o.d.ctx.Err() != nil {
		return
	}
	b = &recordBatch{waiting: []batchedRecord{{k, version}}}
	o.batches[daemon] = b
	o.d.run(func() { o.drain(daemon, b) })
}

// drain sends a daemon's records until none waits.
func (o *recordOutbox) drain(daemon string, b *recordBatch) {
	for {
		o.mu.Lock()
		out := b.waiting
		b.waiting = nil
		if len(out) == 0 || o.d.ctx.Err() != nil {
			delete(o.batches, daemon)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		m := recordMessage{make(map[string][]byte)}
		for _, r := range out {
			m.Keys[r.version] = append(m.Keys[r.version], r.key[:]...)
		}
		ctx, cancel := context.WithTimeout(o.d.ctx, recordTimeout)
		o.d.Hub.Ask(ctx, daemon, tellRecords, conn.Marshal(m)) // the other holders have the record if this one fails
		cancel()
		sleep(o.d.ctx, recordBatchDelay)
	}
}

var errRecordLength = errors.New("entry: stream record of a wrong length")

// receive stores the records that another daemon sends.
func (s *streamVersions) receive(body []byte) error {
	var m recordMessage
	if err := conn.Unmarshal(body, &m); err != nil {
		return err
	}
	now := clock.Now()
	for version, keys := range m.Keys {
		if len(keys)%len(resume.Key{}) != 0 {
			return errRecordLength
		}
		for ; len(keys) > 0; keys = keys[len(resume.Key{}):] {
			s.tracker.Receive(now, resume.Key(keys[:len(resume.Key{})]), version)
		}
	}
	return nil
}

// known returns what this daemon knows of a stream.
func (s *streamVersions) known(now time.Time, q recordQuery) resume.Knowledge {
	var k *resume.Key
	if len(q.Key) == len(resume.Key{}) {
		k = (*resume.Key)(q.Key)
	}
	age, _ := s.d.runners.fresh.Age(now) // without a list nothing has been observed either
	return s.tracker.Known(now, age, q.Service, k)
}

// answer answers what this daemon knows of a stream.
func (s *streamVersions) answer(body []byte) ([]byte, error) {
	var q recordQuery
	if err := conn.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if n := len(q.Key); n != 0 && n != len(resume.Key{}) {
		return nil, errRecordLength
	}
	return conn.Marshal(recordReply(s.known(clock.Now(), q))), nil
}

// lookup is what was learned of a stream's version, and from how many daemons.
type lookup struct {
	resume.Knowledge
	asked, answered int
}

// lookUp finds the version that began the stream which a request takes up. It asks the holders of the stream's record
// unless this daemon has it. If the caller has not named the stream, only certainty counts, of this daemon or another.
func (s *streamVersions) lookUp(ctx context.Context, r *request.Request) (l lookup) {
	q := recordQuery{Service: r.Service.Name}
	k, wanted := streamKey(r, streamID(r)), resume.Certain
	if r.Relay.Resumes != "" {
		q.Key, wanted = k[:], resume.Record
	}
	saved := s.saved.done
	select {
	case <-saved:
		saved = nil
	default:
	}
	if l.Knowledge = s.known(clock.Now(), q); l.Source >= wanted {
		return l
	}
	holders := s.others().Of(k, askedHolders)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	replies := s.ask(ctx, holders, q)
	l.asked = len(holders)
	for awaited := len(holders); (awaited > 0 || saved != nil) && l.Source < wanted; {
		select {
		case <-saved:
			saved = nil
			l.Knowledge = l.Merge(s.known(clock.Now(), q))
		case a := <-replies:
			awaited--
			if a != nil {
				l.answered++
				l.Knowledge = l.Merge(resume.Knowledge(*a))
			}
		case <-ctx.Done():
			return l
		}
	}
	return l
}

// ask asks daemons for what they know. Each sends a reply, nil if it has failed or runs an earlier version of this program.
func (s *streamVersions) ask(ctx context.Context, daemons []string, q recordQuery) <-chan *recordReply {
	replies := make(chan *recordReply, len(daemons))
	body := conn.Marshal(q)
	for _, name := range daemons {
		s.d.run(func() {
			a := new(recordReply)
			b, err := s.d.Hub.Ask(ctx, name, askRecord, body)
			if err == nil {
				err = conn.Unmarshal(b, a)
			}
			if err != nil {
				a = nil
			}
			replies <- a
		})
	}
	return replies
}
