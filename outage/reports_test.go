// SPDX-License-Identifier: MIT

package outage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/outage"
)

const bound = 2 * time.Second

// recorder records reports asked at times relative to now, of daemons whose data is of one age.
type recorder struct {
	outage.Reports
	now time.Time
}

func (r *recorder) report(s outage.Status, age time.Duration, names ...string) {
	at := r.now.Add(-age)
	for _, name := range names {
		r.Record(name, outage.Report{Status: s, Asked: r.now, Catalog: at, Listed: at})
	}
}

func (r *recorder) judge(f outage.Fleet) outage.Verdict {
	return r.Judge(r.now, f, outage.ListTime, bound)
}

func TestAnOutageIsConfirmedByPeerReports(t *testing.T) {
	fleet := outage.Fleet{Readers: []string{"a", "b"}, Others: 2}
	now := time.Now()
	old, young := now.Add(-3*time.Second), now.Add(-time.Second)
	var o outage.Reports
	record := func(name string, r outage.Status, after time.Duration, catalog, listed time.Time) {
		o.Record(name, outage.Report{Status: r, Asked: now.Add(after), Catalog: catalog, Listed: listed})
	}
	confirmed := func(of outage.ReportTime) bool { return o.Judge(now, fleet, of, bound).Confirmed }
	assert.False(t, confirmed(outage.ListTime), "no report yet")
	record("a", outage.Failing, 0, old, old)
	assert.False(t, confirmed(outage.ListTime), "one report is missing")
	record("b", outage.OK, 0, old, young)
	assert.True(t, confirmed(outage.CatalogTime), "its catalog is as old")
	assert.False(t, confirmed(outage.ListTime), "the store serves one")
	record("b", outage.Silent, time.Millisecond, time.Time{}, time.Time{})
	assert.False(t, confirmed(outage.ListTime), "no answer does not make its data older")
	record("b", outage.Failing, 2*time.Millisecond, old, young)
	assert.False(t, confirmed(outage.ListTime), "it has younger data from others")
	record("b", outage.Failing, 3*time.Millisecond, old, old)
	assert.True(t, confirmed(outage.ListTime))
	record("b", outage.OK, 0, young, young)
	assert.True(t, confirmed(outage.ListTime), "an answer to an older query")
	record("c", outage.OK, 0, young, young)
	assert.False(t, confirmed(outage.ListTime), "a daemon with younger data disproves it")
	record("c", outage.OK, time.Millisecond, old, old)
	record("a", outage.Silent, 4*time.Millisecond, time.Time{}, time.Time{})
	record("b", outage.Silent, 4*time.Millisecond, time.Time{}, time.Time{})
	assert.False(t, confirmed(outage.ListTime), "missing answers may be a fault of this daemon's own link")
	record("a", outage.Failing, 5*time.Millisecond, old, old)
	assert.False(t, o.Judge(now.Add(bound), fleet, outage.ListTime, bound).Confirmed, "reports expire after 1.35 s")
}

// Silence counted as a report of a failure.
func TestSilentReadersConfirmNothing(t *testing.T) {
	fleet := outage.Fleet{Readers: []string{"r1", "r2", "r3", "r4"}, Others: 11}
	for answering := range 5 {
		r := recorder{now: time.Now()}
		r.report(outage.Silent, 0, fleet.Readers...)
		r.report(outage.Failing, 3*time.Second, fleet.Readers[:answering]...)
		r.report(outage.Failing, 3*time.Second, "d1", "d2", "d3", "d4")
		v := r.judge(fleet)
		assert.Equal(t, answering > 2, v.Confirmed, "%d of 4 readers answer", answering)
		if !v.Confirmed {
			assert.Equal(t, outage.ReadersSilent, v.Reason)
		}
	}
}

// A reader that was not asked is like a silent one.
func TestReadersThatWereNotAskedConfirmNothing(t *testing.T) {
	r := recorder{now: time.Now()}
	r.report(outage.Failing, 3*time.Second, "d1", "d2", "d3", "d4")
	assert.Equal(t, outage.Verdict{Reason: outage.ReadersSilent, By: "r1"}, r.judge(outage.Fleet{Readers: []string{"r1"}, Others: 5}))
}

// Readers that have ended neither attest an outage nor speak against one.
func TestEndedReadersDoNotCount(t *testing.T) {
	fleet := outage.Fleet{Readers: []string{"r1", "r2", "r3"}, Others: 5}
	r := recorder{now: time.Now()}
	r.report(outage.Absent, 0, fleet.Readers...)
	assert.False(t, r.judge(fleet).Confirmed)
	r.report(outage.Failing, 3*time.Second, "d1")
	assert.Equal(t, outage.FewAnswers, r.judge(fleet).Reason, "two are left")
	r.report(outage.Failing, 3*time.Second, "d2")
	assert.True(t, r.judge(fleet).Confirmed)
}

// A store that rejects reads for their rate serves others.
func TestAStoreThatLimitsReadsIsUp(t *testing.T) {
	r := recorder{now: time.Now()}
	r.report(outage.Failing, 3*time.Second, "a", "b", "c")
	fleet := outage.Fleet{Readers: []string{"a", "b"}, Others: 4}
	assert.True(t, r.judge(fleet).Confirmed)
	r.report(outage.Limited, 3*time.Second, "d")
	assert.Equal(t, outage.Verdict{Reason: outage.StoreLimits, By: "d"}, r.judge(fleet))
}

// Readers whose answers from the store were long on their way, and another one whose reads failed, attested an outage.
func TestAReaderThatIsServedDisprovesAnOutage(t *testing.T) {
	r := recorder{now: time.Now()}
	r.report(outage.Failing, 3*time.Second, "a", "c")
	r.report(outage.OK, 3*time.Second, "b")
	fleet := outage.Fleet{Readers: []string{"a", "b"}, Others: 4}
	assert.True(t, r.judge(fleet).Confirmed, "a reader that has not read yet knows nothing")
	at := r.now.Add(-3 * time.Second)
	r.Record("b", outage.Report{Status: outage.OK, Served: true, Asked: r.now, Catalog: at, Listed: at})
	assert.Equal(t, outage.Verdict{Reason: outage.ReaderServed, By: "b"}, r.judge(fleet))
	fleet.Readers = []string{"a"}
	assert.True(t, r.judge(fleet).Confirmed, "one that reads now and then may not have read since")
	fleet.Own = outage.Own{Served: true}
	assert.Equal(t, outage.ReaderServed, r.judge(fleet).Reason)
}

// Daemons that have just started hold nothing, and answer.
func TestStartingReadersAnswer(t *testing.T) {
	r := recorder{now: time.Now()}
	fleet := outage.Fleet{Readers: []string{"a", "b"}, Others: 3}
	r.Record("a", outage.Report{Status: outage.Starting, Asked: r.now})
	r.Record("b", outage.Report{Status: outage.Starting, Asked: r.now})
	r.report(outage.OK, 3*time.Second, "c")
	assert.Equal(t, outage.NoneFails, r.judge(fleet).Reason)
	r.report(outage.Failing, 3*time.Second, "c")
	assert.True(t, r.judge(fleet).Confirmed)
}

// In an outage of 986 daemons, a query of each to all readers in each interval is 2,191 a second at each of six.
func TestDaemonsThatAnswerAreQueriedLessOften(t *testing.T) {
	const interval = 450 * time.Millisecond
	readers := []string{"a", "b", "c", "d"}
	r := recorder{now: time.Now()}
	assert.Equal(t, readers, r.ToQuery(r.now, readers, nil))
	r.report(outage.Failing, 3*time.Second, readers...)
	r.report(outage.Silent, 0, "d")
	assert.Equal(t, []string{"d"}, r.ToQuery(r.now.Add(interval), readers, nil))
	assert.Equal(t, readers, r.ToQuery(r.now.Add(2*interval), readers, nil))
}

// Eight daemons whose four readers were killed refused a third of the requests of two seconds: until these were
// suspected, three others answered too seldom.
func TestOthersAreQueriedInPlaceOfEndedReaders(t *testing.T) {
	readers, others := []string{"a", "b"}, []string{"b", "c", "d", "e", "f"}
	r := recorder{now: time.Now()}
	assert.Equal(t, []string{"a", "b", "c"}, r.ToQuery(r.now, readers, others))
	r.report(outage.Absent, 0, "a", "b", "c")
	assert.Equal(t, []string{"d", "e", "f"}, r.ToQuery(r.now, readers, others))
}
