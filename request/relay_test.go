// SPDX-License-Identifier: MIT

package request_test

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
	"streambend.example/internal/standin"
	"streambend.example/request"
	"streambend.example/version"
)

const lastEventID = "Last-Event-Id"

// relayCodec is a protocol whose endpoints answer the request of an id, and have no headers of their own.
type relayCodec struct{ id string }

// Head implements request.Codec.
func (relayCodec) Head(a request.Attempt) http.Header {
	if !a.Position.Known {
		return http.Header{}
	}
	return http.Header{lastEventID: {fmt.Sprint(a.Position.Event)}}
}

// Read implements request.Codec.
func (c relayCodec) Read(int, http.Header) request.AnswerHead {
	return request.AnswerHead{ID: c.id, Signed: true, Own: true}
}

// Copy implements request.Codec.
func (relayCodec) Copy(_, _ http.Header) {}

// relayWorld is a server in front of one or more endpoints.
type relayWorld struct {
	server  *request.Server
	service version.Service
}

// newRelayWorld returns a server in front of one endpoint, which serves with handle.
func newRelayWorld(t *testing.T, opts request.Options, handle http.HandlerFunc) *relayWorld {
	return newRelayFleet(t, 1, opts, handle)[0]
}

// newRelayFleet returns several servers in front of the same endpoints, one for each handler.
func newRelayFleet(t *testing.T, servers int, opts request.Options, handlers ...http.HandlerFunc) (worlds []*relayWorld) {
	n := standin.NewNet()
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:80", 9+i) }
	for i, handle := range handlers {
		l, err := n.Listen(address(i))
		require.NoError(t, err)
		endpoint := &http.Server{Handler: handle}
		go endpoint.Serve(l)
		t.Cleanup(func() { endpoint.Close() })
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range servers {
		w := &relayWorld{service: version.Service{Name: "plain", PerBox: 4}}
		client := conn.NewClient(n, 1<<20)
		w.server = request.NewServer(opts, client, request.NewClaims("self", standin.NewMemory()), nil, log)
		for i := range handlers {
			w.server.Works.Get(&w.service).Pool.Add(request.Endpoint{ID: fmt.Sprint("i-", i+1), Address: address(i)})
		}
		worlds = append(worlds, w)
		t.Cleanup(func() {
			w.server.Kill()
			client.Close()
		})
	}
	return worlds
}

// relayAsk is a caller's request; its path is also its route unless that is given.
type relayAsk struct {
	id, path     string
	wait         time.Duration
	unrepeatable bool
	route        string
}

// ask relays a request and returns the status of its answer, 0 if it was refused.
func (w *relayWorld) ask(t *testing.T, a relayAsk) int {
	out := httptest.NewRecorder()
	now := time.Now()
	err := w.server.Relay(t.Context(), &request.Request{
		ID: a.id, Service: w.service, Route: version.Route{Name: cmp.Or(a.route, a.path)}, Unrepeatable: a.unrepeatable, Arrived: now, Deadline: now.Add(a.wait),
		Path: a.path, Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"),
		Relay: &request.Relay{Codec: relayCodec{a.id}, Out: out, Host: "some.example", Attempts: 2},
	})
	if err != nil {
		t.Logf("%s: %v", a.id, err)
		return 0
	}
	return out.Code
}

// A request that waited for the processor with its connection open was written to an endpoint that may have left.
func TestARequestIsNotWrittenOnceTheListIsTooOld(t *testing.T) {
	for _, unrepeatable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const left = 100 * time.Millisecond
			var mu sync.Mutex
			var by, late time.Time // of the last choice
			waits := 0
			opts := request.Defaults()
			opts.Listed = func(now time.Time) (time.Time, bool) {
				mu.Lock()
				defer mu.Unlock()
				by = now.Add(left)
				return by, true
			}
			opts.OnConnected = func(time.Duration) {
				if waits++; waits%2 == 0 {
					time.Sleep(2 * left)
				}
			}
			w := newRelayWorld(t, opts, func(out http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				mu.Lock()
				defer mu.Unlock()
				if now := time.Now(); now.After(by) {
					late = now
				}
			})
			for _, id := range []string{"a", "b", "c"} {
				assert.Equal(t, http.StatusOK, w.ask(t, relayAsk{id: id, path: "/x", wait: 5 * time.Second, unrepeatable: unrepeatable}), "request %s is sent again", id)
			}
			assert.Zero(t, late)
		})
	}
}

// A route with a timeout below the mean time of its service's calls was never served.
func TestAnAddedRouteIsServedBesideSlowCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/slow" {
				time.Sleep(240 * time.Millisecond)
			}
		})
		for i := range 40 {
			assert.Equal(t, http.StatusOK, w.ask(t, relayAsk{id: fmt.Sprint("slow-", i), path: "/slow", wait: time.Second}))
		}
		for i := range 40 {
			assert.Equal(t, http.StatusOK, w.ask(t, relayAsk{id: fmt.Sprint("fast-", i), path: "/fast", wait: 200 * time.Millisecond}))
		}
	})
}

// A mean time that only served requests change refused a route for ever after its calls had been slow.
func TestARouteWhoseCallsWereSlowIsServedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := 2 * time.Second
		w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			time.Sleep(took)
		})
		for i := range 40 {
			assert.Equal(t, http.StatusOK, w.ask(t, relayAsk{id: fmt.Sprint("slow-", i), path: "/x", wait: 5 * time.Second}))
		}
		took = 10 * time.Millisecond
		served := 0
		for i := range 100 {
			if w.ask(t, relayAsk{id: fmt.Sprint("id-", i), path: "/x", wait: 200 * time.Millisecond}) == http.StatusOK {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.GreaterOrEqual(t, served, 50)
	})
}

// Calls of a slow route made endpoints look slow beside those of a fast one, and they were ejected.
func TestASlowRouteEjectsNoEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/slow" {
				time.Sleep(240 * time.Millisecond)
				return
			}
			time.Sleep(10 * time.Millisecond)
		})
		for i := range 40 {
			assert.Equal(t, http.StatusOK, w.ask(t, relayAsk{id: fmt.Sprint("fast-", i), path: "/fast", wait: time.Second}))
		}
		for i := range 40 {
			assert.Equal(t, http.StatusOK, w.ask(t, relayAsk{id: fmt.Sprint("slow-", i), path: "/slow", wait: time.Second}))
			assert.False(t, w.server.Works.Get(&w.service).Pool.Get("i-1").Ejected())
		}
	})
}

// A daemon that stops took requests as if it had all their time, and cut them at its end.
func TestAStoppingServerRefusesAtOnceWhatCannotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		arrived := make(map[string]int)
		w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			mu.Lock()
			arrived[r.URL.Path]++
			mu.Unlock()
			if r.URL.Path == "/long" {
				time.Sleep(2 * time.Second)
			}
		})
		for i := range 20 {
			w.ask(t, relayAsk{id: fmt.Sprint("long-", i), path: "/long", wait: 5 * time.Second, unrepeatable: true})
			w.ask(t, relayAsk{id: fmt.Sprint("short-", i), path: "/short", wait: 5 * time.Second, unrepeatable: true})
		}
		before := make(chan int, 1)
		go func() {
			before <- w.ask(t, relayAsk{id: "before", path: "/long", wait: 5 * time.Second, unrepeatable: true})
		}()
		synctest.Wait()
		w.server.EndBy(time.Now().Add(time.Second), time.Now().Add(time.Second))
		began := time.Now()
		for _, c := range []struct {
			path     string
			wait     time.Duration
			repeated bool
			status   int
		}{
			{"/long", 5 * time.Second, false, 0}, {"/long", 5 * time.Second, true, 0},
			{"/short", 5 * time.Second, false, 0}, {"/short", 5 * time.Second, true, http.StatusOK}, {"/short", 500 * time.Millisecond, false, http.StatusOK},
			{"/new", 5 * time.Second, false, 0}, {"/new", 5 * time.Second, true, 0}, {"/new", 500 * time.Millisecond, false, http.StatusOK},
		} {
			id := fmt.Sprint(c.path, c.wait, c.repeated)
			assert.Equal(t, c.status, w.ask(t, relayAsk{id: id, path: c.path, wait: c.wait, unrepeatable: !c.repeated}), id)
		}
		assert.Less(t, time.Since(began), 50*time.Millisecond)
		assert.Equal(t, http.StatusOK, <-before)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, map[string]int{"/long": 21, "/short": 22, "/new": 1}, arrived)
	})
}

// A request that waits for an endpoint while its daemon begins to stop was sent and then cut.
func TestARequestThatWaitsWhileItsServerStopsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := request.Defaults()
		opts.Listed = func(now time.Time) (time.Time, bool) { return time.Time{}, false }
		w := newRelayWorld(t, opts, func(out http.ResponseWriter, r *http.Request) { t.Error("sent") })
		ended := make(chan time.Time)
		go func() {
			assert.Zero(t, w.ask(t, relayAsk{id: "a", path: "/long", wait: 5 * time.Second}))
			ended <- time.Now()
		}()
		time.Sleep(300 * time.Millisecond)
		began := time.Now()
		w.server.EndBy(began, began.Add(time.Second))
		assert.Less(t, (<-ended).Sub(began), 100*time.Millisecond)
	})
}

// askStream relays a request for a stream that its caller has up to a position, and returns the body of the answer.
func (w *relayWorld) askStream(t *testing.T, id string, has request.Position) (body string, err error) {
	out := httptest.NewRecorder()
	now := time.Now()
	e := w.server.Relay(t.Context(), &request.Request{
		ID: id, Service: w.service, Route: version.Route{Name: "stream"}, Arrived: now, Deadline: now.Add(20 * time.Second),
		Path: "/stream", Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"),
		Relay: &request.Relay{Codec: relayCodec{id}, Out: out, Host: "some.example", Attempts: 3, Streaming: true, Position: has},
	})
	if e != nil {
		return out.Body.String(), e
	}
	return out.Body.String(), nil
}

// A stream that its caller takes up began anew, as a comment or the event 0 was taken for no position.
func TestAStreamGoesOnAfterWhatItsCallerHas(t *testing.T) {
	const first = 0
	for name, c := range map[string]struct {
		has    request.Position
		cuts   []int64    // last event of each attempt that is cut; below the position for none
		asked  [][]string // Last-Event-Id of each attempt
		events string
	}{
		"a new stream":               {request.Position{}, nil, [][]string{nil}, "0 1 2 3 4 5"},
		"cut before its first event": {request.Position{}, []int64{-1}, [][]string{nil, nil}, "0 1 2 3 4 5"},
		"cut after event 0":          {request.Position{}, []int64{0}, [][]string{nil, {"0"}}, "0 1 2 3 4 5"},
		"taken up after event 0":     {request.PositionAfter(0), []int64{0}, [][]string{{"0"}, {"0"}}, "1 2 3 4 5"},
		"taken up after event 3":     {request.PositionAfter(3), []int64{3, 4}, [][]string{{"3"}, {"3"}, {"4"}}, "4 5"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked [][]string
				w := newRelayWorld(t, request.Defaults(), func(out http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					n := len(asked)
					asked = append(asked, r.Header[lastEventID])
					fmt.Fprint(out, ": waiting\n\n")
					out.(http.Flusher).Flush()
					next := int64(first)
					if id := r.Header.Get(lastEventID); id != "" {
						fmt.Sscan(id, &next)
						next++
					}
					for ; next <= 5; next++ {
						if n < len(c.cuts) && next > c.cuts[n] {
							panic(http.ErrAbortHandler)
						}
						fmt.Fprintf(out, "id: %d\ndata: x\n\n", next)
						out.(http.Flusher).Flush()
					}
				})
				body, err := w.askStream(t, "a", c.has)
				assert.NoError(t, err)
				assert.Equal(t, c.asked, asked)
				var ids []string
				for _, line := range strings.Split(body, "\n") {
					if id, ok := strings.CutPrefix(line, "id: "); ok {
						ids = append(ids, id)
					}
				}
				assert.Equal(t, c.events, strings.Join(ids, " "))
				assert.True(t, strings.HasPrefix(body, ": waiting\n\nid: "), "%q", body)
			})
		})
	}
}
