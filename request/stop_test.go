// SPDX-License-Identifier: MIT

package request_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/code"
	"streambend.example/request"
	"streambend.example/version"
)

// serveEvents answers with as many events as the query says, one each 100 ms.
func serveEvents(out http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	var last, events int
	fmt.Sscan(r.Header.Get(lastEventID), &last)
	fmt.Sscan(r.URL.RawQuery, &events)
	for i := last + 1; i <= events && r.Context().Err() == nil; i++ {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(out, "id: %d\ndata: x\n\n", i)
		out.(http.Flusher).Flush()
	}
}

const eventTokenCount = 5

// streamAsk is a request for a stream.
type streamAsk struct {
	id       string
	events   int
	tokens   int // that its caller expects
	most     int // that its caller names as the most; 0 for tokens
	has      request.Position
	repeated bool // the stream may be repeated
}

// stream relays a request for a stream, and returns the events that arrived.
func (w *relayWorld) stream(ctx context.Context, a streamAsk) (events int, err *code.Error) {
	out, now := httptest.NewRecorder(), time.Now()
	if a.most == 0 {
		a.most = a.tokens
	}
	err = w.server.Relay(ctx, &request.Request{
		ID: a.id, Service: w.service, Route: version.Route{Name: "stream"}, Arrived: now, Deadline: now.Add(15 * time.Second), Unrepeatable: !a.repeated,
		Path: fmt.Sprint("/stream?", a.events), Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"),
		Relay: &request.Relay{Codec: relayCodec{a.id}, Out: out, Host: "some.example", Attempts: 2, Streaming: true, OutTokens: a.tokens, MostTokens: a.most, CallerEstimate: a.tokens, Position: a.has},
	})
	return strings.Count(out.Body.String(), "id: "), err
}

// streamStop plays a stop of a server that has served streams before, and counts what callers get.
type streamStop struct {
	before   []streamAsk   // one after the other
	strict   time.Duration // after the stop
	sent     map[int]int   // by number of events
	served   map[int]int
	cut      int
	strictly int           // of those sent after strict
	longest  time.Duration // until a refusal
}

func (p *streamStop) play(t *testing.T, asks []streamAsk) {
	w := newRelayWorld(t, request.Defaults(), serveEvents)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, a := range p.before {
		a.id = fmt.Sprint("before-", i)
		wg.Go(func() { w.stream(t.Context(), a) })
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	ctx, kill := context.WithCancel(t.Context())
	const grace = 7600 * time.Millisecond
	w.server.EndBy(time.Now().Add(p.strict), time.Now().Add(grace))
	time.AfterFunc(grace, kill)
	p.sent, p.served = make(map[int]int), make(map[int]int)
	for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
		for i, a := range asks {
			a.id = fmt.Sprint("stop-", at, "-", i)
			wg.Go(func() {
				began := time.Now()
				events, err := w.stream(ctx, a)
				mu.Lock()
				defer mu.Unlock()
				p.sent[a.events]++
				switch {
				case err == nil:
					p.served[a.events]++
				case events > 0 || err.Code.Ran() != code.NotRun:
					p.cut++
					if at > p.strict {
						p.strictly++
					}
				default:
					p.longest = max(p.longest, time.Since(began))
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second) // endpoints notice that their callers have left
}

// A long stream was taken by a stopping daemon, as streams of its route had been short, and cut at its end.
func TestAStoppingServerJudgesAStreamByItsOwnSize(t *testing.T) {
	short, long := streamAsk{events: 5, tokens: 5 * eventTokenCount}, streamAsk{events: 76, tokens: 76 * eventTokenCount}
	rest := streamAsk{events: 76, tokens: 76 * eventTokenCount, has: request.PositionAfter(74)}
	unsized := streamAsk{events: 76}
	repeat := func(n int, asks ...streamAsk) (out []streamAsk) {
		for range n {
			out = append(out, asks...)
		}
		return out
	}
	for name, c := range map[string]struct{ before, asks []streamAsk }{
		"short ones before":         {repeat(30, short), []streamAsk{short, long}},
		"both before":               {repeat(30, short, long), []streamAsk{short, long}},
		"long ones before":          {repeat(30, long), []streamAsk{long}},
		"rests of long ones before": {append(repeat(30, short), repeat(30, rest)...), []streamAsk{short, long}},
		"few before":                {repeat(1, short), []streamAsk{short, long}},
		"one long among many short, which say the same": {append(repeat(60, streamAsk{events: 5, tokens: 380}), long), []streamAsk{long}},
		"without sizes":                         {append(repeat(60, streamAsk{events: 5}), unsized), []streamAsk{unsized}},
		"short ones before, one without a size": {repeat(30, short), []streamAsk{short, unsized}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := streamStop{before: c.before}
				p.play(t, c.asks)
				t.Logf("%v sent, %v served, %d cut", p.sent, p.served, p.cut)
				assert.Zero(t, p.cut)
				assert.GreaterOrEqual(t, float64(p.served[5]), 0.95*float64(p.sent[5]))
				assert.Less(t, p.longest, 50*time.Millisecond)
			})
		})
	}
}

// A request that waited in the queue while its daemon began to stop was refused only once its turn came.
func TestAQueuedRequestThatCannotEndIsRefusedAsItsServerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, request.Defaults(), serveEvents)
		w.server.Works.Get(&w.service).Queue.Limit.Fix(1)
		ctx, kill := context.WithCancel(t.Context())
		defer kill()
		var wg sync.WaitGroup
		var refused []time.Time
		var mu sync.Mutex
		for i := range 8 {
			wg.Go(func() {
				if _, err := w.stream(ctx, streamAsk{id: fmt.Sprint("id-", i), events: 76, tokens: 380}); err != nil && err.Code == code.Draining {
					mu.Lock()
					defer mu.Unlock()
					refused = append(refused, time.Now())
				}
			})
		}
		time.Sleep(2 * time.Second)
		began := time.Now()
		w.server.EndBy(began, began.Add(7600*time.Millisecond))
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		assert.Len(t, refused, 7)
		mu.Unlock()
		wg.Wait()
	})
}

// A second attempt that a stopping daemon could not end was cut, where an error at once lets the caller ask another daemon.
func TestAStoppingServerRepeatsNoAttemptThatCannotEnd(t *testing.T) {
	for _, events := range []int{5, 76} {
		synctest.Test(t, func(t *testing.T) {
			const known = 60
			var arrived atomic.Int64
			w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
				if arrived.Add(1) == known+1 {
					time.Sleep(400 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}
				serveEvents(out, r)
			})
			ask := func(id string, events int) *code.Error {
				_, err := w.stream(t.Context(), streamAsk{id: id, events: events, tokens: events * eventTokenCount, repeated: true})
				return err
			}
			for i := range known {
				assert.Nil(t, ask(fmt.Sprint("before-", i), []int{5, 76}[i%2]))
			}
			began := time.Now()
			time.AfterFunc(200*time.Millisecond, func() { w.server.EndBy(began, began.Add(4*time.Second)) })
			err := ask("a", events)
			if events == 5 {
				assert.Nil(t, err)
				return
			}
			assert.NotNil(t, err)
			assert.Less(t, time.Since(began), time.Second)
			assert.EqualValues(t, known+1, arrived.Load())
			time.Sleep(time.Second) // the endpoint notices that its caller has left
		})
	}
}

// Streams that had become slower were taken by their time from before, and cut at the end of a planned stop.
func TestAStoppingServerSeesThatEndpointsHaveSlowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pace := 100 * time.Millisecond
		w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			for i := 1; i <= 20 && r.Context().Err() == nil; i++ {
				time.Sleep(pace)
				fmt.Fprintf(out, "id: %d\ndata: x\n\n", i)
				out.(http.Flusher).Flush()
			}
		})
		for i := range 40 {
			_, err := w.stream(t.Context(), streamAsk{id: fmt.Sprint("before-", i), events: 20, tokens: 100})
			assert.Nil(t, err)
		}
		pace *= 4
		var wg sync.WaitGroup
		wg.Go(func() { w.stream(t.Context(), streamAsk{id: "slow", events: 20, tokens: 100}) })
		time.Sleep(3 * time.Second)
		w.server.EndBy(time.Now(), time.Now().Add(7600*time.Millisecond))
		_, err := w.stream(t.Context(), streamAsk{id: "a", events: 20, tokens: 100})
		if assert.NotNil(t, err) {
			assert.Equal(t, code.Draining, err.Code)
		}
		wg.Wait()
	})
}
