// SPDX-License-Identifier: MIT

package request_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"streambend.example/code"
	"streambend.example/request"
)

// TestClassifyNeverAllowsASecondRun checks that, for any outcome of an attempt, an unrepeatable request
// that may have started is not sent again, and that "not run" is never reported wrongly.
func TestClassifyNeverAllowsASecondRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := request.AttemptOutcome{
			Ending:       request.Ending(rapid.IntRange(int(request.EndedComplete), int(request.EndedCallerGone)).Draw(t, "ending")),
			Unrepeatable: rapid.Bool().Draw(t, "unrepeatable"),
			Budget:       rapid.Bool().Draw(t, "budget"),
			GiveUpAt:     start.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "left")) * time.Second),
		}
		begun := a.Ending != request.EndedUnsent && a.Ending != request.EndedRefused
		a.MayHaveRun = begun || rapid.Bool().Draw(t, "tainted")
		v := request.Classify(start, a)
		if v.Action == request.Retry && a.Unrepeatable && begun {
			t.Fatalf("an unrepeatable request is retried after %s", a.Ending)
		}
		if v.Action == request.Refuse && a.MayHaveRun {
			t.Fatalf("refused as not run after %s", a.Ending)
		}
		if v.Action == request.Refuse && v.Code.Ran() != code.NotRun {
			t.Fatalf("refused with %s", v.Code)
		}
		if v.Action == request.Finish && a.Ending != request.EndedComplete {
			t.Fatalf("complete after %s", a.Ending)
		}
		if v.Action == request.GiveUp && v.Code.Ran() == code.NotRun {
			t.Fatalf("given up with %s", v.Code)
		}
	})
}

func TestPlanMoves(t *testing.T) {
	deadline := start.Add(2 * time.Second)
	stakes := []request.StreamState{
		{Context: 500, Left: 50, Rate: 100},                // finishes in half a second
		{Context: 4000, Left: 1000, Rate: 100},             // a large context
		{Context: 60000, Left: 1000, Rate: 100},            // too large for the bandwidth
		{Context: 50, Left: 1000, Rate: 100},               // a small context
		{Context: 4000, Left: 1000, Rate: 1, Pinned: true}, // must not move
		{Context: 700}, // remaining tokens unknown
	}
	moves := request.PlanMoves(start, deadline, stakes, request.MoveParams{Policy: request.MoveOurs, Transfer: 20000})
	var kinds []string
	for _, m := range moves {
		kinds = append(kinds, m.Kind.String())
		if m.Kind != request.StayAndFinish {
			assert.False(t, m.At.Before(start))
			assert.Less(t, m.At.Sub(start), time.Second+time.Millisecond, "time is left to start elsewhere")
		}
	}
	assert.Equal(t, []string{"finish", "export", "resume", "resume", "finish", "export"}, kinds)
}

func TestLoadClassHysteresis(t *testing.T) {
	assert.Equal(t, request.Unknown, request.ClassOf(request.Idle, 3, 0))
	c := request.Idle
	changes := 0
	for i := range 100 {
		next := request.ClassOf(c, 12-i%2, 16) // around the threshold of busy
		if next != c {
			changes++
		}
		c = next
	}
	assert.Equal(t, 1, changes)
	assert.Equal(t, request.Full, request.ClassOf(request.Busy, 17, 16))
	assert.Equal(t, request.Idle, request.ClassOf(request.Full, 0, 16))
}

func FuzzModelBody(f *testing.F) {
	f.Add(request.CompletionPath, []byte(`{"model":"digest","prompt":"a","max_tokens":2}`))
	f.Add(request.CompletionPath, []byte(`{"model":"digest","prompt":[1,2]}`))
	f.Add(request.ChatPath, []byte(`{"model":"digest","messages":[{"role":"user","content":[{"type":"text"}]}]}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		m, name, err := request.ParseModel(path, body)
		switch {
		case err != nil && code.Of(err) != code.BadBody && code.Of(err) != code.NotSupported:
			t.Fatal(err)
		case err == nil && (name == "" || m.Max < 0):
			t.Fatalf("accepted: %q", body)
		}
	})
}
