// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"

	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// Rates of the links of the model's boxes in bytes a second.
const (
	modelWeakRate   = 2.5e6
	modelStrongRate = 125e6
	modelPlain      = 24 // endpoints of the plain service, which run
)

// intEnv returns the number in an environment variable, 0 if there is none.
func intEnv(name string) int {
	n, _ := strconv.Atoi(os.Getenv(name))
	return n
}

// TestFleetModel plays a fleet in virtual time and prints what each step takes: the start of all daemons, a quiet
// time, requests, and the end of 45% of the endpoints. It runs by hand, with the size in the environment:
//
//	FLEET=1000 ENDPOINTS=10000 go test ./entry -run TestFleetModel -v -timeout 1h
func TestFleetModel(t *testing.T) {
	daemons, endpoints := intEnv("FLEET"), intEnv("ENDPOINTS")
	if daemons == 0 {
		t.Skip("by hand, with FLEET and ENDPOINTS")
	}
	inWorldOf(t, 0, func(w *world) {
		w.zones, w.links = []string{"a", "b", "c", "d", "e", "f"}, make(map[string]*standin.Link)
		w.strongBoxes, w.weakRate, w.strongRate = 6*max(1, daemons/100), modelWeakRate, modelStrongRate
		w.bootstrap = os.Getenv("BOOTSTRAP") != ""
		w.putEndpoints(0, endpoints)
		for i := range modelPlain {
			w.runner(plain, w.zones[i%6], fmt.Sprint("p-", i), 0)
		}
	}, func(w *world) {
		began := time.Now()
		step := func(name string, f func() string) {
			calls, bytes, cpu, virtual := w.storeCalls(), w.linkBytes(), cpuTime(), time.Now()
			result := f()
			t.Logf("%s: %s; %.1f s, %.2f s of processor, %d store calls, %.1f MB over links", name, result, time.Since(virtual).Seconds(),
				(cpuTime() - cpu).Seconds(), w.storeCalls()-calls, float64(w.linkBytes()-bytes)/1e6)
		}
		step("start", func() string {
			for range daemons {
				w.start()
				time.Sleep(300 * time.Millisecond / time.Duration(daemons))
			}
			took, ok := w.awaitLists(endpoints+modelPlain, 20*time.Second)
			return fmt.Sprint("all know the list: ", ok, " after ", took)
		})
		for _, path := range []string{"get", "feed", "parts", "tx"} {
			for _, table := range []string{"", " " + platform.CatalogTable, " " + platform.RunnerTable, " streambend-daemons", " streambend"} {
				t.Logf("store calls of rows-%s%s: %d", path, table, w.store.Calls("/streambend/rows-"+path+table))
			}
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		t.Logf("%.1f MB of heap a daemon, %s after the start", float64(m.HeapAlloc)/1e6/float64(daemons), time.Since(began))
		step("quiet", func() string { time.Sleep(5 * time.Second); return "" })
		step("requests", func() string {
			n := 0
			for _, a := range w.demand(upTo(daemons), 700, 3*time.Second, func(daemon, n int) answer {
				return w.ask(daemon, http.MethodPost, "/write/", fmt.Sprint("id-", n))
			}) {
				if a.status == http.StatusOK {
					n++
				}
			}
			return fmt.Sprint(n, " served")
		})
		step("change", func() string {
			gone := endpoints * 45 / 100
			for i := range gone {
				w.store.Drop(platform.RunnerTable, "", fmt.Sprintf("lm-desk-%05d", i))
			}
			took, ok := w.awaitLists(endpoints+modelPlain-gone, 20*time.Second)
			assert.True(t, ok)
			return fmt.Sprint("all know it after ", took)
		})
	})
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u unix.Rusage
	unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
