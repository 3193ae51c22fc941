// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/entry"
	"streambend.example/internal/standin"
	"streambend.example/platform"
)

// fullLinks holds how long packets wait at the links of daemons. The zero value is a network without such waits.
type fullLinks struct {
	mu   sync.Mutex
	wait map[string]time.Duration
}

// roundTrip returns the wait of a query and its answer at a daemon's link.
func (f *fullLinks) roundTrip(daemon string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2 * f.wait[daemon]
}

func (f *fullLinks) set(wait map[string]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wait = wait
}

// fullLinkPlay is a series of events among daemons with a sound store.
type fullLinkPlay struct {
	*world
	seed uint64          // of the waits at the links and of which endpoints say that they leave
	full map[string]bool // zones whose links are full
	over time.Time

	mu       sync.Mutex
	away     map[int]bool // daemons that stop or start
	leaving  []leavingEndpoint
	restarts sync.WaitGroup
}

type leavingEndpoint struct {
	*standin.Runner
	at time.Time
}

// drawWaits gives the links of full zones waits of up to half a second, at which they still count as sound.
func (p *fullLinkPlay) drawWaits() {
	random := rand.New(rand.NewPCG(p.seed, 0))
	for time.Now().Before(p.over) {
		wait, late := make(map[string]time.Duration), make(map[string]time.Duration)
		for i := range p.daemons {
			most := 20
			if p.full[p.zones[i%len(p.zones)]] {
				most = 490
			}
			name := fmt.Sprint("daemon-", i)
			wait[name] = time.Duration(random.IntN(most)) * time.Millisecond
			late[name] = 2 * wait[name]
		}
		p.fullLinks.set(wait)
		p.store.SetFault(standin.RowsFault{ResponseDelay: late})
		time.Sleep(300 * time.Millisecond)
	}
	p.fullLinks.set(nil)
	p.store.SetFault(standin.RowsFault{})
}

// stopReaders stops the reader of a zone and the next one, again and again, and starts them anew.
func (p *fullLinkPlay) stopReaders(zone string) {
	for time.Now().Before(p.over) {
		for range 2 {
			reader, ok := entry.Reader(zone, p.daemons[len(p.daemons)-1].Hub.Mesh.Members())
			if !ok {
				continue
			}
			var i int
			fmt.Sscanf(reader.Name, "daemon-%d", &i)
			p.restarts.Go(func() { p.stopAndStart(i) })
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(800 * time.Millisecond)
	}
}

func (p *fullLinkPlay) stopAndStart(i int) {
	p.mu.Lock()
	d, busy := p.daemons[i], p.away[i] || i == len(p.daemons)-1 // the last one tells who the readers are
	p.away[i] = p.away[i] || !busy
	p.mu.Unlock()
	if busy {
		return
	}
	d.Stop(p.t.Context())
	time.Sleep(500 * time.Millisecond)
	d = p.startNamed(d.Self.Name, i)
	time.Sleep(2 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons[i], p.away[i] = d, false
}

// replaceEndpoints replaces an endpoint each half second. Half of them say that they leave, the entries of the others go.
func (p *fullLinkPlay) replaceEndpoints() {
	random := rand.New(rand.NewPCG(p.seed, 1))
	var current []*standin.Runner
	for i := range 6 {
		current = append(current, p.runner(plain, p.zones[i%len(p.zones)], fmt.Sprint("i-", i), 0))
	}
	time.Sleep(time.Second)
	for n := 6; time.Now().Before(p.over); n++ {
		old := current[0]
		current = append(current[1:], p.runner(plain, p.zones[n%len(p.zones)], fmt.Sprint("i-", n), 0))
		id := fmt.Sprint("i-", n-6)
		if random.IntN(2) == 0 {
			p.store.Put(platform.RunnerTable, "", id, old.Entry(plain, p.zones[(n-6)%len(p.zones)], "draining"))
			stays := time.Duration(random.IntN(2000)) * time.Millisecond
			time.AfterFunc(bound+stays, func() { p.store.Drop(platform.RunnerTable, "", id) })
		} else {
			p.store.Drop(platform.RunnerTable, "", id)
		}
		p.leaving = append(p.leaving, leavingEndpoint{old, time.Now()})
		time.Sleep(450 * time.Millisecond)
	}
}

// askPresent sends a request to a daemon unless it stops or starts.
func (p *fullLinkPlay) askPresent(daemon, n int) answer {
	p.mu.Lock()
	away := p.away[daemon]
	p.mu.Unlock()
	if away {
		return answer{}
	}
	return p.askPlain(daemon, n)
}

// checkFullLinks plays full links for some zones, readers that stop and endpoints that leave, and checks that no request
// reaches these late and that no outage is confirmed.
func checkFullLinks(t *testing.T, w *world, seed uint64, full map[string]bool) {
	p := &fullLinkPlay{world: w, seed: seed, full: full, over: time.Now().Add(20 * time.Second), away: make(map[int]bool)}
	var wg sync.WaitGroup
	wg.Go(p.drawWaits)
	wg.Go(p.replaceEndpoints)
	for zone := range full {
		wg.Go(func() { p.stopReaders(zone) })
	}
	w.demand(upTo(len(w.daemons)), 120, 20*time.Second, p.askPresent)
	wg.Wait()
	time.Sleep(12 * time.Second)
	p.restarts.Wait()
	for _, e := range p.leaving {
		assert.Zero(t, countFrom(e.ArrivalTimes(), e.at.Add(bound)), "%s", e.Instance)
	}
	for _, d := range w.daemons {
		assert.Zero(t, d.Server.Count.Unbound.Load(), d.Self.Name)
	}
}

// Guards against bounds that are lifted, or ages that are too young, while links are full, readers stop and the store is sound.
func TestFullLinksAndStoppedReadersLiftNoBound(t *testing.T) {
	for _, c := range []struct {
		daemons int
		zones   string
		full    string
		seed    uint64
	}{{16, "abcd", "a", 1}, {40, "abcd", "ab", 6}, {24, "ab", "a", 3}, {9, "a", "a", 11}, {12, "abc", "abc", 17}} {
		t.Run(fmt.Sprint(c.daemons, " daemons in ", c.zones, ", full links in ", c.full), func(t *testing.T) {
			inZones(t, c.daemons, strings.Split(c.zones, ""), func(w *world) {
				full := make(map[string]bool)
				for _, zone := range strings.Split(c.full, "") {
					full[zone] = true
				}
				checkFullLinks(t, w, c.seed, full)
			})
		})
	}
}
