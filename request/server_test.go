// SPDX-License-Identifier: MIT

package request_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/internal/standin"
	"streambend.example/request"
	"streambend.example/version"
)

// testCluster runs request servers in front of the same engines.
type testCluster struct {
	net     *standin.Net
	table   *standin.Memory
	ledger  *standin.Ledger
	engines []*standin.Engine
	servers map[string]*request.Server
	starts  int
}

var svc = version.Service{
	Partner: "office", Name: "llm", Kind: version.Model, PerBox: 16, NotRunStatuses: []int{503},
	Routes: []version.Route{{Name: "digest"}, {Name: "tag", Unrepeatable: true}},
}

func newTestCluster(faults []standin.EngineFault) *testCluster {
	o := &testCluster{net: standin.NewNet(), table: standin.NewMemory(), ledger: standin.NewLedger(), servers: make(map[string]*request.Server)}
	for i, f := range faults {
		e := standin.NewEngine(o.net, fmt.Sprint(i), standin.EngineConfig{Batch: 16, Step: time.Millisecond, Prefill: 1e6, CacheBlocks: 100, Transfer: 1e6}, o.ledger)
		e.SetFault(f)
		o.engines = append(o.engines, e)
	}
	return o
}

// start starts a server, and first stops the running one of the same name.
func (o *testCluster) start(name string) *request.Server {
	o.kill(name)
	o.starts++
	log := logrus.New()
	log.SetOutput(io.Discard)
	opts := request.Defaults()
	opts.FirstWait, opts.Stall, opts.Grace = time.Second, 500*time.Millisecond, 5*time.Second
	opts.Keep = 300 * time.Millisecond
	self := fmt.Sprintf("%s#%d", name, o.starts)
	s := request.NewServer(opts, conn.NewClient(o.net, 1<<20), request.NewClaims(self, o.table), o, log)
	for i, e := range o.engines {
		s.Works.Get(&svc).Pool.Add(request.Endpoint{ID: fmt.Sprint(i), Address: e.Address()})
	}
	o.servers[self] = s
	return s
}

func (o *testCluster) kill(name string) {
	for self, s := range o.servers {
		if strings.HasPrefix(self, name+"#") {
			s.Kill()
			s.Wait(context.Background())
			s.Client.Close()
			delete(o.servers, self)
		}
	}
}

func (o *testCluster) close() {
	for self := range o.servers {
		o.kill(strings.Split(self, "#")[0])
	}
	for _, e := range o.engines {
		e.Kill()
	}
}

// AskClaim implements request.Peers.
func (o *testCluster) AskClaim(_ context.Context, holder, name string) request.HolderState {
	if s := o.servers[holder]; s != nil {
		return s.AnswerClaim(name)
	}
	return request.HolderUnknown
}

// AnyRan implements request.Peers.
func (o *testCluster) AnyRan(_ context.Context, name string) bool {
	for _, s := range o.servers {
		if st := s.AnswerClaim(name); st == request.HolderRan || st == request.HolderRunning {
			return true
		}
	}
	return false
}

// RecentStop implements request.Peers.
func (o *testCluster) RecentStop(time.Time) bool { return false }

// TakeOver implements request.Peers.
func (o *testCluster) TakeOver(context.Context, string) (request.Snapshot, bool) {
	return request.Snapshot{}, false
}

const tokens = 20

func newRequest(route, id, key string) *request.Request {
	prompt := "the prompt of " + id
	body, _ := json.Marshal(struct {
		Model        string `json:"model"`
		Prompt       string `json:"prompt"`
		MaxTokens    int    `json:"max_tokens"`
		User         string `json:"user"`
		Unrepeatable bool   `json:"x_unrepeatable"`
	}{route, prompt, tokens, id, route == "tag"})
	m, _, err := request.ParseModel(request.CompletionPath, body)
	if err != nil {
		panic(err)
	}
	rt, _ := svc.Route(route)
	now := time.Now()
	return &request.Request{
		ID: id, Key: key, Partner: "office", Team: "t", Weight: 1, Service: svc, Route: rt, Unrepeatable: rt.Unrepeatable,
		Arrived: now, Deadline: now.Add(20 * time.Second), Path: request.CompletionPath, Method: "POST", Body: body, Model: m,
	}
}

func wantText(id string) string {
	var sb strings.Builder
	for _, t := range standin.ExpectedTokens("the prompt of "+id, tokens) {
		fmt.Fprintf(&sb, "w%d ", t)
	}
	return sb.String()
}

// answer waits for the end of a request and returns its text.
func answer(s *request.Server, r *request.Request) (string, error) {
	a, err := s.Begin(context.Background(), time.Now(), r)
	if err != nil {
		return "", err
	}
	changed, stop := a.Follow()
	defer stop()
	for range changed {
		if done, err := a.Ended(); done {
			if err != nil {
				return "", err
			}
			break
		}
	}
	return string(a.Snapshot().Text), nil
}

func drawFault(t *rapid.T) standin.EngineFault {
	n := rapid.IntRange(1, tokens-1).Draw(t, "after")
	return rapid.SampledFrom([]standin.EngineFault{
		{}, {CutAfter: n}, {StallAfter: n}, {Garble: true}, {Short: true}, {BlackHole: true}, {Refuse: true},
	}).Draw(t, "fault")
}

// TestAnswersAreWholeWhateverEnginesDo checks that answers are complete while all engines but one may
// have any fault.
func TestAnswersAreWholeWhateverEnginesDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := []standin.EngineFault{{}}
		for range rapid.IntRange(1, 4).Draw(rt, "engines") {
			faults = append(faults, drawFault(rt))
		}
		var texts [6]string
		var errs [6]error
		synctest.Test(t, func(*testing.T) {
			o := newTestCluster(faults)
			defer o.close()
			s := o.start("a")
			for i := range texts {
				texts[i], errs[i] = answer(s, newRequest("digest", fmt.Sprint("r", i), ""))
			}
		})
		for i, text := range texts {
			if errs[i] != nil || text != wantText(fmt.Sprint("r", i)) {
				rt.Fatalf("request %d: %v, %q", i, errs[i], text)
			}
		}
	})
}

// TestSlowEngineIsEjectedAndReadmitted runs one of four engines at a tenth of its
// speed, and later at full speed again.
func TestSlowEngineIsEjectedAndReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestCluster([]standin.EngineFault{{SlowTimes: 10}, {}, {}, {}})
		defer o.close()
		s := o.start("a")
		send := func(from, to int) {
			for i := from; i < to; i++ {
				text, err := answer(s, newRequest("digest", fmt.Sprint("r", i), ""))
				require.NoError(t, err)
				require.Equal(t, wantText(fmt.Sprint("r", i)), text)
				s.Works.Tick(time.Now(), 1)
			}
		}
		send(0, 200)
		slow := o.ledger.Served("0")
		assert.Positive(t, slow)
		assert.Less(t, slow, 25, "of 200, where an even share is 50")
		o.engines[0].SetFault(standin.EngineFault{})
		time.Sleep(time.Minute)
		s.Works.Tick(time.Now(), 1)
		send(200, 400)
		assert.Greater(t, o.ledger.Served("0")-slow, 25)
	})
}

// claimStep is one step of a test script with unrepeatable requests.
type claimStep struct {
	Do    string
	Key   int
	Name  string
	Fault standin.Fault
	Wait  time.Duration
}

var claimSteps = rapid.Custom(func(t *rapid.T) claimStep {
	return claimStep{
		Do:   rapid.SampledFrom([]string{"send", "send", "send", "both", "restart", "fault", "wait", "refuse"}).Draw(t, "do"),
		Key:  rapid.IntRange(0, 2).Draw(t, "key"),
		Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
		Fault: standin.Fault{
			Down:      rapid.IntRange(0, 3).Draw(t, "down") == 0,
			LoseEvery: rapid.IntRange(0, 2).Draw(t, "lose"),
		},
		Wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
	}
})

// claimOracle checks the answer of each call against the runs that engines recorded.
type claimOracle struct {
	o     *testCluster
	lost  bool // a server that may have run a request was restarted
	wrong []string
}

func (c *claimOracle) send(server *request.Server, key int) {
	id := fmt.Sprint("k", key)
	before := c.o.ledger.Begun(id)
	text, err := answer(server, newRequest("tag", id, id))
	after := c.o.ledger.Begun(id)
	switch {
	case after > 1:
		c.wrong = append(c.wrong, fmt.Sprintf("%s started %d times", id, after))
	case err == nil && text != wantText(id):
		c.wrong = append(c.wrong, fmt.Sprintf("%s answered %q", id, text))
	case code.Of(err) == code.ClaimStore && c.lost:
		// Only a daemon that has ended knew that an earlier call had run; this call
		// has not.
		if after > before {
			c.wrong = append(c.wrong, fmt.Sprintf("%s: %v, but it ran now", id, err))
		}
	case err != nil && code.Of(err) != code.StillRunning && code.Of(err).Ran() == code.NotRun && after > 0:
		c.wrong = append(c.wrong, fmt.Sprintf("%s: %v, but it started (%d times before)", id, err, before))
	case err == nil && after == 0:
		c.wrong = append(c.wrong, fmt.Sprintf("%s answered without a run", id))
	}
}

func (c *claimOracle) step(s claimStep, servers map[string]*request.Server) {
	switch s.Do {
	case "send":
		c.send(servers[s.Name], s.Key)
	case "both":
		done := make(chan struct{})
		go func() {
			defer close(done)
			answer(servers["a"], newRequest("tag", fmt.Sprint("k", s.Key), fmt.Sprint("k", s.Key)))
		}()
		time.Sleep(s.Wait / 100)
		c.send(servers["b"], s.Key)
		<-done
	case "restart":
		servers[s.Name] = c.o.start(s.Name)
		c.lost = true
	case "fault":
		c.o.table.Faults.Set(s.Fault)
	case "wait":
		time.Sleep(s.Wait)
	case "refuse":
		c.o.engines[0].SetFault(standin.EngineFault{Refuse: s.Key == 0, CutAfter: 5 * (s.Key / 2)})
	}
}

// TestUnrepeatableRunsAtMostOnce sends requests with the same keys to three daemons
// that restart at random, while the table is down, loses answers or works, and the
// engine refuses requests or cuts answers off.
func TestUnrepeatableRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(claimSteps, 5, 25).Draw(rt, "script")
		var wrong []string
		synctest.Test(t, func(*testing.T) {
			o := newTestCluster([]standin.EngineFault{{}})
			defer o.close()
			servers := make(map[string]*request.Server)
			for _, name := range []string{"a", "b", "c"} {
				servers[name] = o.start(name)
			}
			c := &claimOracle{o: o}
			for _, s := range script {
				c.step(s, servers)
			}
			wrong = c.wrong
		})
		if len(wrong) > 0 {
			rt.Fatalf("%v", wrong)
		}
	})
}

func TestRepeatedKeyGetsTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestCluster([]standin.EngineFault{{}})
		defer o.close()
		first, err := answer(o.start("a"), newRequest("tag", "k", "k"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		o.kill("a")
		second, err := answer(o.start("b"), newRequest("tag", "k", "k"))
		require.NoError(t, err)
		assert.Equal(t, first, second)
		assert.Equal(t, 1, o.ledger.Begun("k"))
		_, err = answer(o.servers["b#2"], newRequest("tag", "other", "k"))
		assert.Equal(t, code.KeyReused, code.Of(err))
	})
}

func TestTableDownRefusesUnrepeatableAtOnceAndServesTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestCluster([]standin.EngineFault{{}})
		defer o.close()
		s := o.start("a")
		o.table.Faults.Set(standin.Fault{Down: true})
		began := time.Now()
		_, err := answer(s, newRequest("tag", "k", "k"))
		assert.Equal(t, code.ClaimStore, code.Of(err))
		assert.Less(t, time.Since(began), 100*time.Millisecond)
		text, err := answer(s, newRequest("digest", "d", "d"))
		require.NoError(t, err)
		assert.Equal(t, wantText("d"), text)
	})
}
