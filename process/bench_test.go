// SPDX-License-Identifier: MIT

package process_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
	"streambend.example/internal/standin"
	"streambend.example/process"
	"streambend.example/seam"
	"streambend.example/version"
)

// fixedBoxes implements seam.BoxList and seam.Cloud with a constant set of boxes.
type fixedBoxes struct{ boxes []seam.Box }

func (f fixedBoxes) List(context.Context, int64) (seam.BoxPage, error) {
	return seam.BoxPage{Seq: 1, Boxes: f.boxes}, nil
}
func (fixedBoxes) Start(context.Context, seam.StartOrder) (seam.Box, error) {
	return seam.Box{}, seam.ErrRefused
}
func (fixedBoxes) Stop(context.Context, string, int64) error { return nil }
func (fixedBoxes) Prices(context.Context) ([]seam.Price, error) {
	return []seam.Price{{Zone: "silom", Class: "any", Reclaimable: true, Hourly: 0.001}}, nil
}
func (fixedBoxes) Notices(context.Context) ([]seam.Notice, error) { return nil, nil }

const benchToken = "bench"

// bench is one daemon in front of a fixed set of endpoints.
type bench struct {
	daemon  *process.Daemon
	direct  string
	through string
	client  *http.Client
}

func newBench(tb testing.TB, svc version.Service, machines ...standin.Machine) *bench {
	s := process.DefaultSettings()
	s.Name, s.Zone = "entry-1", "silom"
	s.Listen = process.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Peers.Secret = "the secret of the bench"
	s.Callers = []process.Caller{{TokenSHA256: process.HashToken(benchToken), Partner: "office", Team: "bench", Weight: 1}}
	s.Limits.Queued = 100000
	s.Operators = []process.Operator{
		{TokenSHA256: process.HashToken("officer"), Partner: "office", Name: "officer", Role: "operator"},
		{TokenSHA256: process.HashToken("reader"), Partner: "office", Name: "reader", Role: "reader"},
		{TokenSHA256: process.HashToken("producer"), Partner: "podwave", Name: "producer", Role: "operator"},
	}
	s.Pool = 1000
	f := fixedBoxes{}
	for i, m := range machines {
		f.boxes = append(f.boxes, seam.Box{
			ID: fmt.Sprintf("box-%d", i), Partner: svc.Partner, Service: svc.Name, Zone: "silom", Address: m.Address(), State: seam.BoxLive,
		})
	}
	table := standin.NewMemory()
	log := version.Log{Table: table}
	plan, err := version.MakePlan(time.Now(), version.Empty(), market(svc), "bench", svc, false)
	require.NoError(tb, err)
	_, _, err = log.Confirm(tb.Context(), time.Now(), version.Empty(), 1000, plan)
	require.NoError(tb, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := process.Platform{Table: table, Objects: &standin.MemoryObjects{}, Cloud: f, Boxes: f, Network: seam.TCP{}, Close: func() {}}
	d, err := process.New(s, p, logger)
	require.NoError(tb, err)
	b := &bench{
		daemon: d, direct: "http://" + machines[0].Address(), through: "http://" + d.Addresses().Callers,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
	}
	tb.Cleanup(func() {
		d.Kill()
		for _, m := range machines {
			m.Kill()
		}
	})
	for range 500 {
		if w := d.Server.Works.All(); len(w) > 0 && len(w[0].Pool.Targets()) == len(machines) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return b
}

func market(svc version.Service) version.Market {
	return version.Market{Pool: 1000, Prices: []seam.Price{{Zone: svc.Zones[0], Class: svc.Class, Reclaimable: true, Hourly: 0.001}}}
}

func service(kind version.Kind, route string) version.Service {
	return version.Service{
		Partner: "office", Name: "svc", Kind: kind, Zones: []string{"silom"}, Class: "any", MinBoxes: 1, MaxBoxes: 8,
		PerBox: 4096, HourlyBound: 100, FirstToken: version.Duration{Duration: time.Second},
		Routes: []version.Route{{Name: route, Deadline: version.Duration{Duration: time.Minute}}},
	}
}

// paced sends 500 requests per second for the span and returns their latencies.
func paced(tb testing.TB, span time.Duration, one func() error) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			began := time.Now()
			if err := one(); err != nil {
				tb.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			h.RecordValue(time.Since(began).Microseconds())
		}()
	}
	wg.Wait()
	return h
}

// BenchmarkAddedLatency compares the latency of plain calls through a daemon with
// that of direct calls, at 500 requests per second.
func BenchmarkAddedLatency(b *testing.B) {
	w := newBench(b, service(version.Plain, "portal"), standin.NewPlain(seam.TCP{}, time.Millisecond, standin.NewLedger()))
	get := func(url string) func() error {
		return func() error {
			req, _ := http.NewRequest(http.MethodGet, url, nil)
			req.Header.Set("Authorization", "Bearer "+benchToken)
			resp, err := w.client.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d", resp.StatusCode)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		}
	}
	for b.Loop() {
		direct := paced(b, 4*time.Second, get(w.direct+"/item"))
		through := paced(b, 4*time.Second, get(w.through+"/portal/item"))
		for _, q := range []float64{50, 99} {
			b.ReportMetric(float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q))/1000, fmt.Sprintf("added-p%.0f-ms", q))
		}
	}
}

func streamBody(tokens int) string {
	return fmt.Sprintf(`{"model":"digest","prompt":"one two three","max_tokens":%d,"stream":true}`, tokens)
}

func (w *bench) stream(ctx context.Context, base string, tokens int, count *atomic.Int64) error {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", strings.NewReader(streamBody(tokens)))
	req.Header.Set("Authorization", "Bearer "+benchToken)
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	st := conn.NewStream(resp.Body)
	defer st.Close()
	for {
		c, err := st.Next()
		if err != nil {
			return err
		}
		if c.Done {
			return nil
		}
		if c.Text != "" {
			count.Add(1)
		}
	}
}

// BenchmarkStreamedTokens reports the maximum token throughput of one daemon.
// Engines, daemon and callers share the machine.
func BenchmarkStreamedTokens(b *testing.B) {
	fast := standin.EngineConfig{Batch: 4096, Prefill: 1e9, CacheBlocks: 100, Transfer: 1}
	var ms []standin.Machine
	for i := range 4 {
		ms = append(ms, standin.NewEngine(seam.TCP{}, fmt.Sprint(i), fast, standin.NewLedger()))
	}
	w := newBench(b, service(version.Model, "digest"), ms...)
	for b.Loop() {
		var count atomic.Int64
		began := time.Now()
		var wg sync.WaitGroup
		for range 64 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if err := w.stream(b.Context(), w.through, 8000, &count); err != nil {
					b.Error(err)
				}
			}()
		}
		wg.Wait()
		b.ReportMetric(float64(count.Load())/time.Since(began).Seconds(), "tokens/s")
	}
}

// BenchmarkStreamMemory holds streams open through the daemon, and then
// directly, and reports the difference in the process's live memory: the daemon's
// memory per stream, half way through 3,000 tokens.
func BenchmarkStreamMemory(b *testing.B) {
	slow := standin.EngineConfig{Batch: 4096, Step: 2 * time.Millisecond, Prefill: 1e9, CacheBlocks: 100, Transfer: 1}
	w := newBench(b, service(version.Model, "digest"), standin.NewEngine(seam.TCP{}, "e", slow, standin.NewLedger()))
	for b.Loop() {
		direct := w.memoryPerStream(b, w.direct)
		through := w.memoryPerStream(b, w.through)
		b.ReportMetric(through, "KB/stream-in-all")
		b.ReportMetric(through-direct, "KB/stream")
	}
}

// memoryPerStream returns the live memory per open stream, in KB.
func (w *bench) memoryPerStream(tb testing.TB, base string) float64 {
	const streams, tokens = 200, 3000
	ctx, cancel := context.WithCancel(tb.Context())
	before := liveMemory()
	var count atomic.Int64
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.stream(ctx, base, tokens, &count)
		}()
	}
	for count.Load() < streams*tokens/2 {
		time.Sleep(10 * time.Millisecond)
	}
	kb := float64(liveMemory()-before) / streams / 1024
	cancel()
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	return kb
}

func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
