// SPDX-License-Identifier: MIT

package conn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
)

// total returns the bytes that all daemons have sent.
func (n *network) total() (sum int) {
	for _, b := range n.bytes {
		sum += b
	}
	return sum
}

// A daemon that joins a large fleet and knows it from the store must not get the whole list of members from each
// neighbour: with 1,000 members and 20 neighbours that is 2 MB on a weak box's link, while it needs the link to
// learn of the endpoints.
func TestAJoiningDaemonGetsOnlyMembersThatItLacks(t *testing.T) {
	n := newNetwork(1)
	n.idle = time.Hour
	for i := range 200 {
		n.join(fmt.Sprintf("daemon-%03d", i))
	}
	n.run(20 * time.Second)
	require.Empty(t, n.disagrees())
	before := n.total()
	n.run(2 * time.Second)
	usual := n.total() - before

	before = n.total()
	n.join("new")
	n.run(2 * time.Second)
	assert.Empty(t, n.disagrees(), "all know the new daemon")
	const record = 70 // bytes of a member
	assert.Less(t, n.total()-before-usual, 200*14*2*record+14*64*16, "its record over each link, and digests")
}

// Daemons that start together and know different parts of the fleet from the store must soon know all of it.
func TestDaemonsThatStartTogetherLearnOfAll(t *testing.T) {
	n := newNetwork(2)
	n.idle = time.Hour
	const daemons, zones = 240, 6
	for i := range daemons {
		n.starts++
		name := fmt.Sprintf("daemon-%03d", i)
		m := conn.Member{Name: name, Start: n.starts, Address: "127.0.0.1:1", Zone: fmt.Sprint("zone-", i%zones)}
		n.meshes[name], n.self[name], n.got[name] = conn.NewMesh(m, conn.DefaultTiming()), m, make(map[string]int)
	}
	for i, name := range n.names() {
		for j, other := range n.names() {
			if i%zones == j%zones || i < zones { // the reader of a zone knows those of all
				n.meshes[name].Learn(n.now, []conn.Member{n.self[other]})
			}
		}
	}
	n.run(8 * time.Second)
	assert.Empty(t, n.disagrees())
	t.Logf("%d bytes a daemon", n.total()/daemons)
	assert.Less(t, n.total()/daemons, 12*daemons*70, "twelve lists of members a daemon")
}
