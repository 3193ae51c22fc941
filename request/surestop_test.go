// SPDX-License-Identifier: MIT

package request_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/code"
	"streambend.example/request"
	"streambend.example/version"
)

// usualStreams returns streams of 12 to 30 events, whose callers expect the given tokens and name the given most.
func usualStreams(tokens, most int, repeated bool) (out []streamAsk) {
	for i := range 40 {
		out = append(out, streamAsk{events: 12 + i*7%19, tokens: tokens, most: most, repeated: repeated})
	}
	return out
}

// A stopping daemon took streams by their callers' estimates, which were too low, and cut them.
func TestAStoppingServerTakesNoStreamThatMayOutlastIt(t *testing.T) {
	const usual, most = 125, 955
	for name, c := range map[string]struct {
		estimate int
		before   []streamAsk
		repeated bool
		strict   time.Duration
	}{
		"estimates right at the median":     {estimate: usual, before: usualStreams(usual, most, false)},
		"estimates five times too low":      {estimate: usual / 5, before: usualStreams(usual, most, false)},
		"all estimates five times too low":  {estimate: usual / 5, before: usualStreams(usual/5, most, false)},
		"no estimates":                      {before: usualStreams(0, most, false)},
		"nothing before":                    {estimate: usual},
		"rests of streams before":           {estimate: usual, before: append(usualStreams(usual, most, false), streamAsk{events: 76, tokens: usual, most: most, has: request.PositionAfter(70)})},
		"streams that may be repeated":      {estimate: usual, before: usualStreams(usual, most, true), repeated: true, strict: 2400 * time.Millisecond},
		"the same without estimates":        {before: usualStreams(0, most, true), repeated: true, strict: 2400 * time.Millisecond},
		"such streams with nothing before":  {estimate: usual, repeated: true, strict: 2400 * time.Millisecond},
		"streams that are repeated at once": {estimate: usual, before: usualStreams(usual, most, true), repeated: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := streamStop{before: c.before, strict: c.strict}
				p.play(t, []streamAsk{{events: 76, tokens: c.estimate, most: most, repeated: c.repeated}})
				t.Logf("%v sent, %v served, %d cut, %d of them sent late", p.sent, p.served, p.cut, p.strictly)
				assert.Zero(t, p.strictly)
				if c.strict == 0 {
					assert.Zero(t, p.cut)
				}
				assert.Less(t, p.longest, 50*time.Millisecond)
			})
		})
	}
}

// Streams that surely end in time are not refused for others that may not.
func TestAStoppingServerTakesStreamsThatSurelyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		short := streamAsk{events: 12, tokens: 60}
		p := streamStop{before: append(usualStreams(125, 955, false), short, short, short)}
		p.play(t, []streamAsk{short})
		t.Logf("%v sent, %v served", p.sent, p.served)
		assert.Zero(t, p.cut)
		assert.GreaterOrEqual(t, p.served[12], 50) // those sent over 2.6 s before the end
	})
}

// A plain call that may not be repeated was taken by the short past of its route, and cut.
func TestAStoppingServerTakesNoCallThatMayOutlastIt(t *testing.T) {
	for _, wait := range []time.Duration{1500 * time.Millisecond, 15 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			long := false
			w := newRelayWorld(t, request.Defaults(), func(_ http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if long {
					time.Sleep(wait)
				}
			})
			ask := func(ctx context.Context, id string) *code.Error {
				now := time.Now()
				return w.server.Relay(ctx, &request.Request{
					ID: id, Service: w.service, Route: version.Route{Name: "call"}, Arrived: now, Deadline: now.Add(wait), Unrepeatable: true,
					Path: "/call", Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"),
					Relay: &request.Relay{Codec: relayCodec{id}, Out: httptest.NewRecorder(), Host: "some.example", Attempts: 2},
				})
			}
			for i := range 30 {
				assert.Nil(t, ask(t.Context(), fmt.Sprint("before-", i)))
			}
			long = true
			const grace = 7600 * time.Millisecond
			w.server.EndBy(time.Now().Add(grace), time.Now().Add(grace))
			ctx, kill := context.WithTimeout(t.Context(), grace)
			defer kill()
			var wg sync.WaitGroup
			for i := range 30 {
				wg.Go(func() {
					began := time.Now()
					switch err := ask(ctx, fmt.Sprint("late-", i)); {
					case wait > grace:
						assert.Equal(t, code.Draining, err.Code)
						assert.Less(t, time.Since(began), 50*time.Millisecond)
					case err != nil:
						assert.NotEqual(t, code.Draining, err.Code)
					}
				})
				time.Sleep(150 * time.Millisecond)
			}
			wg.Wait()
			time.Sleep(wait) // the endpoint ends
		})
	}
}
