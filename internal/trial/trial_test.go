// SPDX-License-Identifier: MIT

package trial_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
	"streambend.example/internal/trial"
)

// virtual runs a trial in virtual time on an in-memory network.
func virtual(t *testing.T, o trial.Options) *trial.Report {
	var r *trial.Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		o.Net = standin.NewNet()
		r, err = trial.Run(t.Context(), o, io.Discard)
		require.NoError(t, err)
	})
	return r
}

func TestEveryFaultHoldsEveryPromise(t *testing.T) {
	for _, fault := range trial.Faults() {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			o := trial.DefaultOptions()
			o.Fault, o.Rate, o.Span = fault, 0.4, 10*time.Second
			r := virtual(t, o)
			assert.Empty(t, r.Wrong)
			for _, p := range r.Promises() {
				assert.True(t, p.Held, "%s: %s %v", p.Text, p.Note, r.Failures)
			}
		})
	}
}

// TestPrefixReuse compares the prefix cache hits of routing policies at equal load without faults.
func TestPrefixReuse(t *testing.T) {
	var ours, random *trial.Report
	t.Run("trials", func(t *testing.T) {
		for policy, to := range map[string]**trial.Report{"ours": &ours, "random": &random} {
			t.Run(policy, func(t *testing.T) {
				t.Parallel()
				o := trial.DefaultOptions()
				o.Policy, o.Span, o.Script = policy, 40*time.Second, []trial.Step{}
				*to = virtual(t, o)
			})
		}
	})
	t.Logf("ours reuse %.3f, busiest %.2f, recomputed %d; random %.3f, %.2f, %d",
		ours.PrefixReuse, ours.BusiestRunner, ours.TokensRecomputed, random.PrefixReuse, random.BusiestRunner, random.TokensRecomputed)
	assert.GreaterOrEqual(t, ours.PrefixReuse, 3*random.PrefixReuse)
	assert.LessOrEqual(t, ours.BusiestRunner, 1.3)
}

// TestMovesRecomputeLittle compares the tokens recomputed by moves and by restarts when a zone on each
// side is reclaimed under twice the default load. It uses four seeds, since a single reclaim moves only
// about ten streams, too few to compare.
func TestMovesRecomputeLittle(t *testing.T) {
	const seeds = 4
	var ours, restart [seeds]*trial.Report
	t.Run("trials", func(t *testing.T) {
		for policy, to := range map[string]*[seeds]*trial.Report{"ours": &ours, "restart": &restart} {
			for seed := range seeds {
				t.Run(policy, func(t *testing.T) {
					t.Parallel()
					o := trial.DefaultOptions()
					o.Seed, o.Policy, o.Span, o.Rate = uint64(seed+1), policy, 8*time.Second, 2
					o.Script = []trial.Step{{At: 0.6, Event: "reclaim"}}
					to[seed] = virtual(t, o)
					assert.True(t, to[seed].Held(), "%v", to[seed].Promises())
				})
			}
		}
	})
	moved, again := 0, 0
	for seed := range seeds {
		t.Logf("seed %d: ours %d moves, %d tokens again; restart %d, %d", seed+1,
			ours[seed].Moves, ours[seed].TokensRepeated, restart[seed].Moves, restart[seed].TokensRepeated)
		moved += ours[seed].TokensRepeated
		again += restart[seed].TokensRepeated
	}
	assert.LessOrEqual(t, 4*moved, again)
}

// overload runs a trial with a quarter of the boxes and without scaling.
func overload(t *testing.T, rate, floodFactor float64) *trial.Report {
	o := trial.DefaultOptions()
	o.Span, o.Rate, o.FloodFactor, o.Boxes, o.Script = 24*time.Second, rate, floodFactor, 0.23, []trial.Step{}
	o.SetDeadline = true
	return virtual(t, o)
}

// goodput returns the tokens of the Office's language-model requests that completed within
// their target.
func goodput(r *trial.Report) int {
	sum := 0
	for _, j := range r.Jobs {
		sum += j.Complete * map[string]int{"filing-digest": 500, "quote-explainer": 40, "ticker-tag": 8}[j.Route]
	}
	return sum
}

func TestOverload(t *testing.T) {
	loads := []struct{ rate, flood float64 }{{0.7, 1}, {1.2, 1}, {2.4, 1}, {0.7, 8}}
	reports := make([]*trial.Report, len(loads))
	t.Run("trials", func(t *testing.T) {
		for i, l := range loads {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				reports[i] = overload(t, l.rate, l.flood)
			})
		}
	})
	for i, r := range reports {
		t.Logf("rate %.1f flood %.0f: goodput %d tokens, first token p95 %.2f s", loads[i].rate, loads[i].flood, goodput(r), r.TTFTP95)
		for _, j := range r.Jobs {
			t.Logf("   %-16s %4d: in target %4d, late %3d, refused %3d, p95 %.2f s", j.Route, j.Sent, j.Complete, j.Late, j.Refused, j.P95)
		}
		assert.Zero(t, r.NotAnswered+r.NotWhole+r.RanTwice+r.RefusedButRan)
	}
	peak := max(goodput(reports[0]), goodput(reports[1]))
	assert.GreaterOrEqual(t, float64(goodput(reports[2])), 0.9*float64(peak), "goodput at twice the sustainable load")
	for _, j := range reports[3].Jobs {
		if j.Route != "filing-digest" {
			assert.GreaterOrEqual(t, float64(j.Complete), 0.95*float64(j.Sent), "%s while another team floods", j.Route)
		}
	}
}
