//go:build review

package standin2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// mixed: for 5 s, half of the runners of a plain service follow one answer in 34 with a second one, which arrives late, in
// the place of the next, and does not name a request. No client may receive it.
func mixed(rec *record, trouble bool) int {
	w := newWorld("abcd", rec)
	defer w.end()
	w.usual()
	for i := range 4 {
		w.runner(&runner{id: fmt.Sprintf("i-app-%d", i), service: "app", zone: "abcd"[i : i+1], slots: 6, work: 20 * time.Millisecond})
	}
	w.runner(&runner{id: "i-lm-0", service: "lm", zone: "a", slots: 64, work: 50 * time.Millisecond, events: 10, gap: 20 * time.Millisecond})
	for _, d := range w.daemons {
		d.start()
	}
	if !w.awaitReady() {
		rec.say("the daemons are not ready")
		return unable
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served, wrong := 0, 0, 0
	stop := make(chan struct{})
	for k := range 16 {
		wg.Go(func() {
			c := newClient(w.daemons[k%len(w.daemons)])
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(120 * time.Millisecond):
				}
				id := fmt.Sprintf("q%02d-%04d", k, n)
				a := c.send(rec, "GET", "/safe/"+id, id, 1500*time.Millisecond, "", nil)
				mu.Lock()
				sent++
				switch {
				case a.err == nil && a.status == 200 && strings.HasSuffix(a.body, " to "+id) && a.signature != "":
					served++
				case a.err == nil && (strings.HasPrefix(a.body, "surplus after ") || a.status == 200):
					wrong++
					rec.say("BROKEN: the client of %s gets %d %q, signature %q", id, a.status, a.body, a.signature)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		rec.line("garble, extra late: 2 of 4 runners, one answer in 34, for 5 s")
		for _, r := range w.runners[:2] {
			r.surplus.Store(34)
		}
	}
	time.Sleep(5 * time.Second)
	for _, r := range w.runners {
		r.surplus.Store(0)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	second := 0
	for _, r := range w.runners {
		second += r.foreign
	}
	rec.say("%d requests sent, %d served by their own answer, %d second answers on the way, %d of them received by clients of other requests", sent, served, second, wrong)
	switch {
	case wrong > 0:
		return broken
	case sent == 0 || served*10 < sent*9 || trouble && second == 0:
		return unable
	}
	return held
}
