//go:build review

package standin2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// stillWorking is the rule's time after which the previous runner must not be at work any more.
const stillWorking = 400 * time.Millisecond

// twice: one of seven runners works five times as long for 6.5 s, and is one of those that do not drop a request once its
// connection closes. No request may go on at another runner while that one works on it.
func twice(rec *record, trouble bool) int {
	w := newWorld("abcd", rec)
	defer w.end()
	w.usual()
	for i := range 7 {
		w.runner(&runner{
			id: fmt.Sprintf("i-lm-%d", i), service: "lm", zone: "abcd"[i%4 : i%4+1], slots: 64, work: 180 * time.Millisecond, events: 40, gap: 25 * time.Millisecond,
			lingers: i == 0,
		})
	}
	w.runner(&runner{id: "i-app-0", service: "app", zone: "a", slots: 6, work: 20 * time.Millisecond})
	for _, d := range w.daemons {
		d.start()
	}
	if !w.awaitReady() {
		rec.say("the daemons are not ready")
		return unable
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served := 0, 0
	stop := make(chan struct{})
	for k := range 40 {
		wg.Go(func() {
			c := newClient(w.daemons[k%len(w.daemons)])
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				id := fmt.Sprintf("q%02d-%04d", k, n)
				head := map[string]string{"Streambend-Model": "m", "Streambend-Token-Counts": "628,290", "Streambend-Prompt-Prefix": fmt.Sprintf("a1:120,b%d:80,%d%04d:428", k%8, 100+k, n)}
				a := c.send(rec, "POST", "/resume/"+id, id, 15*time.Second, "prompt "+id, head)
				mu.Lock()
				sent++
				if a.err == nil && a.status == 200 && strings.Count(a.body, "data: ") == 40 {
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		rec.line("srv_slow: 1 of 7 runners works 5 times as long, for 6.5 s")
		w.runners[0].slow.Store(5)
	}
	time.Sleep(6500 * time.Millisecond)
	w.runners[0].slow.Store(1)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	both := 0
	first := w.runners[0]
	for id, x := range first.runs {
		for _, r := range w.runners[1:7] {
			if y, ok := r.runs[id]; ok && y.began.After(x.began) && x.ended.Sub(y.began) > stillWorking {
				both++
				rec.say("BROKEN: %s went on at %s, where it was sent %.3f s after it was sent to %s, and %s still worked on it for %.3f s after that", id, r.id,
					y.began.Sub(x.began).Seconds(), first.id, first.id, x.ended.Sub(y.began).Seconds())
			}
		}
	}
	rec.say("%d streams sent, %d whole, %d ran at two runners at once for over 0.4 s", sent, served, both)
	switch {
	case both > 0:
		return broken
	case sent == 0 || served*10 < sent*9:
		return unable
	}
	return held
}
