// SPDX-License-Identifier: MIT

package version_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"streambend.example/code"
	"streambend.example/internal/standin"
	"streambend.example/seam"
	"streambend.example/version"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const pool = 40

func service(partner, name string, boxes int) version.Service {
	return version.Service{
		Partner: partner, Name: name, Kind: version.Plain, Zones: []string{"silom", "bangna"}, Class: "web",
		MinBoxes: 1, MaxBoxes: boxes, PerBox: 8, HourlyBound: 100,
		Routes: []version.Route{{Name: name}},
	}
}

func market() version.Market {
	return version.Market{Pool: pool, Prices: []seam.Price{
		{Zone: "silom", Class: "web", Reclaimable: true, Hourly: 1},
		{Zone: "bangna", Class: "web", Reclaimable: true, Hourly: 2},
		{Zone: "silom", Class: "web", Hourly: 5},
	}}
}

// logMachine is the state machine of a property test in which several daemons with
// their own views use one log.
type logMachine struct {
	table   *standin.Memory
	log     version.Log
	configs []*version.Config
	plans   []version.Plan
	now     time.Time
}

func (m *logMachine) fault(t *rapid.T) {
	m.table.Faults.Set(standin.Fault{
		Down:      rapid.IntRange(0, 3).Draw(t, "down") == 0,
		LoseEvery: rapid.IntRange(0, 3).Draw(t, "lose"),
	})
}

func (m *logMachine) plan(t *rapid.T) {
	partner := rapid.SampledFrom([]string{"office", "podwave"}).Draw(t, "partner")
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	view := rapid.SampledFrom(m.configs).Draw(t, "view")
	s := service(partner, name, rapid.IntRange(1, 20).Draw(t, "boxes"))
	withdraw := rapid.IntRange(0, 5).Draw(t, "withdraw") == 0
	p, err := version.MakePlan(m.now, view, market(), "op", s, withdraw)
	if err == nil {
		m.plans = append(m.plans, p)
	}
}

func (m *logMachine) confirm(t *rapid.T) {
	if len(m.plans) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.configs)-1).Draw(t, "daemon")
	p := rapid.SampledFrom(m.plans).Draw(t, "plan")
	before := m.configs[i]
	c, _, err := m.log.Confirm(context.Background(), m.now, before, pool, p)
	if c.Version < before.Version {
		t.Fatalf("version decreased from %d to %d", before.Version, c.Version)
	}
	m.configs[i] = c
	if err == nil && c.Applied[p.ID] == 0 {
		t.Fatalf("confirmed plan is not in the configuration")
	}
	if err != nil && code.Of(err).Ran() == code.NotRun && c.Applied[p.ID] != 0 {
		t.Fatalf("%v, but the plan is in the configuration", err)
	}
}

func (m *logMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
}

// check replays the log and verifies that versions have no gaps, each plan occurs once,
// the pool is not exceeded and no view is ahead of the table.
func (m *logMachine) check(t *rapid.T) {
	m.table.Faults.Set(standin.Fault{})
	c, entries, err := m.log.Advance(context.Background(), version.Empty())
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for i, e := range entries {
		if e.Version != int64(i+1) || seen[e.Plan] {
			t.Fatalf("entry %d has version %d, plan seen before: %t", i, e.Version, seen[e.Plan])
		}
		seen[e.Plan] = true
	}
	if taken := c.ReservedBoxes(""); taken > pool {
		t.Fatalf("%d boxes taken of %d", taken, pool)
	}
	for _, v := range m.configs {
		if v.Version > c.Version {
			t.Fatalf("view at version %d is ahead of the table at %d", v.Version, c.Version)
		}
	}
}

func TestLogWithRacesAndLostResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &logMachine{table: standin.NewMemory(), now: start, configs: []*version.Config{version.Empty(), version.Empty(), version.Empty()}}
		m.log = version.Log{Table: m.table}
		t.Repeat(map[string]func(*rapid.T){"fault": m.fault, "plan": m.plan, "confirm": m.confirm, "wait": m.wait, "": m.check})
	})
}

func TestConfirmIsIdempotentAfterLostResponse(t *testing.T) {
	table := standin.NewMemory()
	log := version.Log{Table: table}
	p, err := version.MakePlan(start, version.Empty(), market(), "op", service("office", "a", 4), false)
	require.NoError(t, err)
	table.Faults.Set(standin.Fault{LoseEvery: 1})
	first, _, err := log.Confirm(t.Context(), start, version.Empty(), pool, p)
	require.NoError(t, err)
	second, _, err := log.Confirm(t.Context(), start, version.Empty(), pool, p)
	require.NoError(t, err)
	assert.Equal(t, int64(1), first.Version)
	assert.Equal(t, int64(1), second.Version)
}

func TestConfirmOnChangedBaseIsAConflict(t *testing.T) {
	log := version.Log{Table: standin.NewMemory()}
	a, err := version.MakePlan(start, version.Empty(), market(), "op", service("office", "a", 4), false)
	require.NoError(t, err)
	b, err := version.MakePlan(start, version.Empty(), market(), "op", service("office", "a", 5), false)
	require.NoError(t, err)
	_, _, err = log.Confirm(t.Context(), start, version.Empty(), pool, a)
	require.NoError(t, err)
	_, _, err = log.Confirm(t.Context(), start, version.Empty(), pool, b)
	assert.Equal(t, code.Conflict, code.Of(err))
	_, _, err = log.Confirm(t.Context(), start.Add(version.PlanLife+time.Second), version.Empty(), pool, b)
	assert.Equal(t, code.PlanExpired, code.Of(err))
}

func TestLoadFromSnapshotEqualsFullLog(t *testing.T) {
	table, objects := standin.NewMemory(), &standin.MemoryObjects{}
	log := version.Log{Table: table, Objects: objects}
	c := version.Empty()
	for i := range 70 {
		p, err := version.MakePlan(start, c, market(), "op", service("office", "a", 1+i%9), false)
		require.NoError(t, err)
		c, _, err = log.Confirm(t.Context(), start, c, pool, p)
		require.NoError(t, err)
		require.NoError(t, log.Snapshot(t.Context(), c))
	}
	before := table.Units().Reads
	fromSnapshot, err := log.Load(t.Context())
	require.NoError(t, err)
	reads := table.Units().Reads - before
	whole, err := version.Log{Table: table}.Load(t.Context())
	require.NoError(t, err)
	assert.Equal(t, whole, fromSnapshot)
	assert.Less(t, reads, 20, "Load reads only the pointer and the tail")
	// Load falls back to the full log if the object store is down.
	objects.Faults.Set(standin.Fault{Down: true})
	again, err := log.Load(t.Context())
	require.NoError(t, err)
	assert.Equal(t, whole, again)
}

func TestInvalidIntentErrors(t *testing.T) {
	_, err := version.MakePlan(start, version.Empty(), market(), "op", version.Service{Partner: "office", Kind: "other"}, false)
	require.Equal(t, code.BadIntent, code.Of(err))
	for _, field := range []string{"Name", "Kind", "Routes", "Zones", "Class", "MinBoxes", "PerBox", "HourlyBound"} {
		assert.Contains(t, err.Error(), "Service."+field)
	}
	dear := service("office", "a", 4)
	dear.HourlyBound = 0.5
	_, err = version.MakePlan(start, version.Empty(), market(), "op", dear, false)
	assert.Equal(t, code.CostBound, code.Of(err))
	_, err = version.MakePlan(start, version.Empty(), market(), "op", service("office", "a", pool+1), false)
	assert.Equal(t, code.PoolExceeded, code.Of(err))
	_, err = version.MakePlan(start, version.Empty(), market(), "op", version.Service{Partner: "office", Name: "x"}, true)
	assert.Equal(t, code.NoSuchIntent, code.Of(err))
}

// headLog is the baseline of BenchmarkLogUnits: a log with a head row and an item for
// each version, written in one transaction.
type headLog struct{ table seam.Table }

func (h headLog) commit(ctx context.Context, n int) error {
	head := seam.Key{Part: "head", Sort: "head"}
	it, err := h.table.Get(ctx, head)
	if err != nil && err != seam.ErrNotFound {
		return err
	}
	v := []byte(fmt.Sprint(n))
	return h.table.Write(ctx, fmt.Sprintf("commit-%d", n),
		seam.Write{Key: head, Rev: it.Rev, Value: v},
		seam.Write{Key: seam.Key{Part: "config", Sort: fmt.Sprintf("%020d", it.Rev+1)}, Value: v})
}

// BenchmarkLogUnits compares the table units and calls per commit of both logs.
func BenchmarkLogUnits(b *testing.B) {
	for b.Loop() {
		const n = 100
		head, numbered := standin.NewMemory(), standin.NewMemory()
		log, c := version.Log{Table: numbered}, version.Empty()
		for i := range n {
			if err := (headLog{head}).commit(b.Context(), i); err != nil {
				b.Fatal(err)
			}
			p, _ := version.MakePlan(start, c, market(), "op", service("office", "a", 4), false)
			var err error
			if c, _, err = log.Confirm(b.Context(), start, c, pool, p); err != nil {
				b.Fatal(err)
			}
		}
		h, m := head.Units(), numbered.Units()
		b.ReportMetric(float64(h.Writes)/n, "head-writes/commit")
		b.ReportMetric(float64(m.Writes)/n, "numbered-writes/commit")
		b.ReportMetric(float64(h.Calls)/n, "head-calls/commit")
		b.ReportMetric(float64(m.Calls)/n, "numbered-calls/commit")
	}
}
