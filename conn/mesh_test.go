// SPDX-License-Identifier: MIT

package conn_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"streambend.example/conn"
	"streambend.example/internal/fuzz"
)

func TestMain(m *testing.M) { fuzz.Main(m, 60) }

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

type pair struct{ from, to string }

// network simulates daemons that are connected by in-memory links.
type network struct {
	now        time.Time
	rng        *rand.Rand
	starts     int64
	meshes     map[string]*conn.Mesh
	self       map[string]conn.Member
	links      map[pair]bool
	cut        map[pair]bool             // frames in this direction are lost
	unreliable bool                      // frames are duplicated and reordered
	got        map[string]map[string]int // notices received, by daemon and box
	bytes      map[string]int
	idle       time.Duration      // time after which an unwanted link closes
	unused     map[pair]time.Time // since when neither side wants the link
}

func newNetwork(seed uint64) *network {
	return &network{
		now: start, rng: rand.New(rand.NewPCG(seed, 0)), meshes: make(map[string]*conn.Mesh), self: make(map[string]conn.Member),
		links: make(map[pair]bool), cut: make(map[pair]bool), got: make(map[string]map[string]int), bytes: make(map[string]int),
		unused: make(map[pair]time.Time),
	}
}

// join starts or restarts a daemon, which learns of all others as it would from the table.
func (n *network) join(name string) {
	n.kill(name)
	n.starts++
	m := conn.Member{Name: name, Start: n.starts, Address: "127.0.0.1:1", Zone: "zone-" + name[len(name)-1:]}
	core := conn.NewMesh(m, conn.DefaultTiming())
	for _, other := range n.names() {
		core.Learn(n.now, []conn.Member{n.self[other]})
	}
	n.meshes[name], n.self[name], n.got[name] = core, m, make(map[string]int)
}

func (n *network) kill(name string) {
	delete(n.meshes, name)
	for l := range n.links {
		if l.from == name || l.to == name {
			delete(n.links, l)
			if c := n.meshes[l.from]; c != nil {
				c.Down(l.to)
			}
		}
	}
}

func (n *network) names() []string {
	var out []string
	for name := range n.meshes {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// connect opens the links that a daemon wants, and closes those that neither side
// wants. A dead daemon accepts no link.
func (n *network) connect(name string) {
	wanted := n.meshes[name].Wanted()
	if m, ok := n.meshes[name].Retry(n.now); ok {
		wanted = append(wanted, m)
	}
	n.prune(name, wanted)
	for _, w := range wanted {
		l, back := pair{name, w.Name}, pair{w.Name, name}
		if n.links[l] {
			continue
		}
		if n.meshes[w.Name] == nil || n.cut[l] || n.cut[back] {
			n.deliver(name, n.meshes[name].Suspect(n.now, w.Name))
			continue
		}
		n.links[l], n.links[back] = true, true
		out := n.meshes[name].Up(n.now, n.self[w.Name])
		in := n.meshes[w.Name].Up(n.now, n.self[name])
		n.deliver(name, out)
		n.deliver(w.Name, in)
	}
}

func wants(ms []conn.Member, name string) bool {
	return slices.ContainsFunc(ms, func(m conn.Member) bool { return m.Name == name })
}

func (n *network) prune(name string, wanted []conn.Member) {
	for _, other := range n.names() {
		l, back := pair{name, other}, pair{other, name}
		if !n.links[l] || wants(wanted, other) || wants(n.meshes[other].Wanted(), name) {
			delete(n.unused, l)
			continue
		}
		since, ok := n.unused[l]
		if !ok {
			since = n.now
			n.unused[l] = since
		}
		if n.now.Sub(since) >= n.idle {
			delete(n.links, l)
			delete(n.links, back)
			n.meshes[name].Down(other)
			n.meshes[other].Down(name)
		}
	}
}

// deliver delivers frames and, transitively, the frames sent in response.
func (n *network) deliver(from string, out []conn.Send) {
	type frame struct {
		from string
		s    conn.Send
	}
	var queue []frame
	push := func(from string, out []conn.Send) {
		for _, s := range out {
			n.bytes[from] += len(s.Bytes)
			queue = append(queue, frame{from, s})
			if n.unreliable && n.rng.IntN(4) == 0 {
				queue = append(queue, frame{from, s})
			}
		}
		if n.unreliable {
			n.rng.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
		}
	}
	push(from, out)
	for len(queue) > 0 {
		f := queue[0]
		queue = queue[1:]
		to := n.meshes[f.s.To]
		if to == nil || !n.links[pair{f.from, f.s.To}] || n.cut[pair{f.from, f.s.To}] {
			continue
		}
		more, in, err := to.Receive(n.now, f.from, f.s.Bytes)
		if err != nil {
			panic(err)
		}
		for _, d := range in {
			for _, x := range d.Payload.Notices {
				n.got[f.s.To][x.Box]++
			}
		}
		push(f.s.To, more)
	}
}

// run advances the simulated time.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(250 * time.Millisecond) {
		for _, name := range n.names() {
			n.connect(name)
			n.deliver(name, n.meshes[name].Tick(n.now))
		}
	}
}

// disagrees describes a daemon whose member list differs from the live daemons, or returns "".
func (n *network) disagrees() string {
	want := n.names()
	for _, name := range want {
		var have []string
		for _, m := range n.meshes[name].Members() {
			have = append(have, m.Name)
		}
		if !slices.Equal(have, want) {
			return fmt.Sprintf("%s knows %v, alive are %v", name, have, want)
		}
	}
	return ""
}

// Daemons join, die, restart and suffer one-way partitions, on links that duplicate and
// reorder frames. Once that stops, all member lists converge, and a notice reaches each
// daemon exactly once.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		for i := range 5 {
			n.join(fmt.Sprintf("entry-%d", i))
		}
		n.run(3 * time.Second)
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("entry-%d", rapid.IntRange(0, 9).Draw(t, "n")) })
		told := 0
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) { n.join(name.Draw(t, "name")) },
			"kill": func(t *rapid.T) {
				if len(n.meshes) > 2 {
					n.kill(name.Draw(t, "name"))
				}
			},
			"cut": func(t *rapid.T) {
				n.cut[pair{name.Draw(t, "from"), name.Draw(t, "to")}] = true
			},
			"unreliable": func(t *rapid.T) { n.unreliable = rapid.Bool().Draw(t, "on") },
			"run":        func(t *rapid.T) { n.run(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second) },
			"heal": func(t *rapid.T) {
				n.cut = make(map[pair]bool)
				n.run(30 * time.Second)
				if bad := n.disagrees(); bad != "" {
					t.Fatal(bad)
				}
				told++
				box := fmt.Sprintf("box-%d", told)
				from := rapid.SampledFrom(n.names()).Draw(t, "teller")
				n.deliver(from, n.meshes[from].Broadcast(conn.Payload{Notices: []conn.Notice{{Box: box}}}))
				for _, name := range n.names() {
					if got := n.got[name][box]; name != from && got != 1 {
						t.Fatalf("%s got the notice %d times", name, got)
					}
				}
			},
		})
	})
}

// The loss of a twelfth of 120 daemons at once leaves the overlay connected.
func TestOverlaySurvivesZoneLoss(t *testing.T) {
	n := newNetwork(1)
	for i := range 120 {
		n.join(fmt.Sprintf("entry-%03d-%x", i, i%12))
	}
	n.run(5 * time.Second)
	require.Empty(t, n.disagrees())
	for _, name := range n.names() {
		if name[len(name)-1] == '3' {
			n.kill(name)
		}
	}
	from := n.names()[0]
	n.deliver(from, n.meshes[from].Broadcast(conn.Payload{Notices: []conn.Notice{{Box: "at once"}}}))
	for _, name := range n.names() {
		if name != from {
			assert.Equal(t, 1, n.got[name]["at once"], name)
		}
	}
	n.run(15 * time.Second)
	assert.Empty(t, n.disagrees())
}

// steadyTraffic returns, for a network without changes, the largest number of links of a daemon,
// and per daemon the bytes sent per second and the bytes sent for one notice.
func steadyTraffic(size int) (links int, perSecond, perNotice float64) {
	n := newNetwork(1)
	for i := range size {
		n.join(fmt.Sprintf("entry-%03d-%x", i, i%12))
	}
	n.run(10 * time.Second)
	sum := func() (total int) {
		for _, b := range n.bytes {
			total += b
		}
		return total
	}
	before := sum()
	n.run(20 * time.Second)
	perSecond = float64(sum()-before) / 20 / float64(size)
	before = sum()
	from := n.names()[0]
	n.deliver(from, n.meshes[from].Broadcast(conn.Payload{Notices: []conn.Notice{{Box: "box-0001", Deadline: start}}}))
	perNotice = float64(sum()-before) / float64(size)
	for _, c := range n.meshes {
		links = max(links, c.Neighbours())
	}
	return links, perSecond, perNotice
}

func TestOverlayGrowsLogarithmically(t *testing.T) {
	for _, c := range []struct{ size, links int }{{9, 6}, {50, 10}, {200, 14}} {
		links, perSecond, perNotice := steadyTraffic(c.size)
		t.Logf("%d daemons: %d links, %.0f B/s and %.0f B per notice, each", c.size, links, perSecond, perNotice)
		assert.LessOrEqual(t, links, c.links)
		assert.LessOrEqual(t, perSecond, 40*float64(links))
		assert.LessOrEqual(t, perNotice, 100*float64(links))
	}
}

func FuzzFrame(f *testing.F) {
	n := newNetwork(1)
	n.join("entry-1")
	n.join("entry-2")
	for _, s := range n.meshes["entry-1"].Up(start, n.self["entry-2"]) {
		f.Add(s.Bytes)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		n := newNetwork(1)
		n.join("entry-1")
		n.join("entry-2")
		core := n.meshes["entry-1"]
		core.Up(start, n.self["entry-2"])
		if _, _, err := core.Receive(start, "entry-2", frame); err != nil {
			return
		}
		core.Tick(start.Add(time.Minute))
		if len(core.Members()) == 0 {
			t.Fatal("the daemon removed itself from its members")
		}
	})
}
