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

	"streambend.example/internal/standin"
	"streambend.example/seam"
	"streambend.example/version"
)

func newLease(name string) *version.Lease {
	return &version.Lease{Shard: "s", Self: name, Term: 6 * time.Second, Margin: time.Second}
}

// slowTable advances the time within a call, before and after its effect, and lets
// another daemon act during the call.
type slowTable struct {
	seam.Table
	now    *time.Time
	before time.Duration
	after  time.Duration
	during func()
}

func (s *slowTable) delay() {
	*s.now = s.now.Add(s.before)
	if f := s.during; f != nil {
		s.during = nil
		f()
	}
}

func (s *slowTable) Get(ctx context.Context, k seam.Key) (seam.Item, error) {
	s.delay()
	it, err := s.Table.Get(ctx, k)
	*s.now = s.now.Add(s.after)
	return it, err
}

func (s *slowTable) Write(ctx context.Context, nonce string, ws ...seam.Write) error {
	s.delay()
	err := s.Table.Write(ctx, nonce, ws...)
	*s.now = s.now.Add(s.after)
	return err
}

// Daemons pause and their table calls are delayed or lost at random. No two daemons ever hold
// the lease at the same time, and no epoch has two holders.
func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		memory := standin.NewMemory()
		table := &slowTable{Table: memory, now: &now}
		leases := []*version.Lease{newLease("a"), newLease("b"), newLease("c")}
		epochs := make(map[int64]string)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				l := rapid.SampledFrom(leases).Draw(t, "daemon")
				table.before = time.Duration(rapid.IntRange(0, 4000).Draw(t, "before")) * time.Millisecond
				table.after = time.Duration(rapid.IntRange(0, 4000).Draw(t, "after")) * time.Millisecond
				memory.Faults.Set(standin.Fault{Down: rapid.IntRange(0, 4).Draw(t, "down") == 0, LoseEvery: rapid.IntRange(0, 3).Draw(t, "lose")})
				if other := rapid.SampledFrom(leases).Draw(t, "other"); other != l {
					table.during = func() { other.Step(context.Background(), now, memory) }
				}
				l.Step(context.Background(), now, table)
				table.during = nil
			},
			"release": func(t *rapid.T) {
				table.before, table.after = 0, 0
				rapid.SampledFrom(leases).Draw(t, "daemon").Release(context.Background(), now, table)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, l := range leases {
					epoch, ok := l.Held(now)
					if !ok {
						continue
					}
					holders++
					if by := epochs[epoch]; by != "" && by != l.Self {
						t.Fatalf("epoch %d held by %s and %s", epoch, by, l.Self)
					}
					epochs[epoch] = l.Self
				}
				if holders > 1 {
					t.Fatalf("%d holders at %s", holders, now.Sub(start))
				}
			},
		})
	})
}

func TestLeaseIsTakenAfterItsHolderDies(t *testing.T) {
	now, table := start, standin.NewMemory()
	a, b := newLease("a"), newLease("b")
	require.NoError(t, a.Step(t.Context(), now, table))
	_, held := a.Held(now)
	require.True(t, held)
	var took time.Duration
	for ; took < 20*time.Second; took += 500 * time.Millisecond {
		require.NoError(t, b.Step(t.Context(), now.Add(took), table))
		if _, ok := b.Held(now.Add(took)); ok {
			break
		}
	}
	assert.LessOrEqual(t, took, 7*time.Second)
	epoch, _ := b.Held(now.Add(took))
	assert.Equal(t, int64(2), epoch)
	_, held = a.Held(now.Add(took))
	assert.False(t, held)
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	table := standin.NewMemory()
	a, b := newLease("a"), newLease("b")
	require.NoError(t, a.Step(t.Context(), start, table))
	require.NoError(t, b.Step(t.Context(), start, table))
	require.NoError(t, a.Release(t.Context(), start, table))
	require.NoError(t, b.Step(t.Context(), start, table))
	_, held := b.Held(start)
	assert.True(t, held, fmt.Sprint(b.Holder()))
}

// Replaced returns the previous holder even on the first read, and also for a daemon that has
// held the lease before, since another may have held it in between.
func TestReplacedIsPreviousHolder(t *testing.T) {
	now, table := start, standin.NewMemory()
	a, b := newLease("a"), newLease("b")
	require.NoError(t, a.Step(t.Context(), now, table))
	assert.Empty(t, a.Replaced().Holder, "the lease had no holder before")
	require.NoError(t, a.Release(t.Context(), now, table))
	require.NoError(t, b.Step(t.Context(), now, table))
	assert.Equal(t, "a", b.Replaced().Holder)
	require.NoError(t, b.Release(t.Context(), now, table))
	require.NoError(t, a.Step(t.Context(), now, table))
	_, held := a.Held(now)
	require.True(t, held)
	assert.Equal(t, "b", a.Replaced().Holder)
	now = now.Add(time.Second)
	require.NoError(t, a.Step(t.Context(), now, table))
	assert.Equal(t, "b", a.Replaced().Holder, "a renewal does not change Replaced")
}
