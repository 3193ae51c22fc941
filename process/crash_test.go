// SPDX-License-Identifier: MIT

package process_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/internal/standin"
	"streambend.example/process"
	"streambend.example/seam"
	"streambend.example/version"
)

// These tests guard against one call that crashes each plain endpoint that runs it. Callers
// retry it at any daemon, so daemons must share which requests are held back, also with daemons
// that start later. The entry boxes have the same test at their own interface.

const crashing = "crashes what runs it"

// crashFleet runs daemons in front of plain endpoints on an in-memory network in virtual time.
type crashFleet struct {
	t       *testing.T
	net     *standin.Net
	p       process.Platform
	client  *http.Client
	plains  []*standin.Plain
	daemons []*process.Daemon
	asked   int
}

func newCrashFleet(t *testing.T, daemons, endpoints int) *crashFleet {
	f := &crashFleet{t: t, net: standin.NewNet()}
	svc := service(version.Plain, "portal")
	boxes := fixedBoxes{}
	for i := range endpoints {
		e := standin.NewPlain(f.net, time.Millisecond, standin.NewLedger())
		e.SetFault(standin.EngineFault{CrashOn: crashing})
		f.plains = append(f.plains, e)
		boxes.boxes = append(boxes.boxes, seam.Box{
			ID: fmt.Sprint("box-", i), Partner: svc.Partner, Service: svc.Name, Zone: "silom", Address: e.Address(), State: seam.BoxLive,
		})
	}
	table := standin.NewMemory()
	plan, err := version.MakePlan(time.Now(), version.Empty(), market(svc), "bench", svc, false)
	require.NoError(t, err)
	_, _, err = (&version.Log{Table: table}).Confirm(t.Context(), time.Now(), version.Empty(), 1000, plan)
	require.NoError(t, err)
	f.p = process.Platform{Table: table, Objects: &standin.MemoryObjects{}, Cloud: boxes, Boxes: boxes, Network: f.net, Close: func() {}}
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.net.Dial}}
	for i := range daemons {
		f.daemons = append(f.daemons, f.start(i))
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *crashFleet) start(i int) *process.Daemon {
	s := process.DefaultSettings()
	s.Name, s.Zone = fmt.Sprint("entry-", i), "silom"
	at := func(port int) string { return fmt.Sprintf("10.0.0.%d:%d", i+1, port) }
	s.Listen = process.Listen{Callers: at(80), Operators: at(81), Peers: at(82)}
	s.Peers.Secret = "the secret of the test"
	s.Callers = []process.Caller{{TokenSHA256: process.HashToken(benchToken), Partner: "office", Team: "bench", Weight: 1}}
	s.Operators = []process.Operator{{TokenSHA256: process.HashToken("officer"), Partner: "office", Name: "officer", Role: "operator"}}
	s.Pool = 1000
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := process.New(s, f.p, log)
	require.NoError(f.t, err)
	return d
}

// ask sends a call to a daemon and returns its error code, or "0" for success.
func (f *crashFleet) ask(daemon int, body string) string {
	f.asked++
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://10.0.0.%d:80/portal/x", daemon+1), strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+benchToken)
	req.Header.Set("X-Request-Id", fmt.Sprint("id-", f.asked))
	resp, err := f.client.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	if resp.StatusCode == http.StatusOK {
		return "0"
	}
	return resp.Header.Get("Streambend-Code")
}

// crashed returns the number of endpoints that have crashed.
func (f *crashFleet) crashed() (n int) {
	for _, e := range f.plains {
		if c, err := f.net.Dial(f.t.Context(), "tcp", e.Address()); err != nil {
			n++
		} else {
			c.Close()
		}
	}
	return n
}

func (f *crashFleet) close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	f.client.CloseIdleConnections()
	for _, e := range f.plains {
		e.Kill()
	}
	time.Sleep(time.Second)
}

func TestCrashingCallIsHeldBackByAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 3, 20)
		defer f.close()
		require.Equal(t, "0", f.ask(0, "fine"))
		for i := range 12 {
			c := f.ask(i%3, crashing)
			assert.NotEqual(t, "0", c)
			if i >= 8 {
				assert.Equal(t, "1111", c)
			}
			time.Sleep(100 * time.Millisecond)
		}
		before := f.crashed()
		assert.LessOrEqual(t, before, 4)
		for i, d := range f.daemons {
			d.Kill()
			f.daemons[i] = f.start(i)
		}
		time.Sleep(5 * time.Second)
		for i := range 12 {
			assert.Equal(t, "1111", f.ask(i%3, crashing))
		}
		assert.Equal(t, before, f.crashed())
		assert.Equal(t, "0", f.ask(1, "fine"))
	})
}
