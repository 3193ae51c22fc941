// SPDX-License-Identifier: MIT

package conn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
)

// A box freezes until its daemon is declared dead, and wakes with its links still open. If
// the other members sent nothing over these links, the daemon would rejoin only after they
// were closed as idle and dialled again, half a minute later, and it would suspect forever
// each member that it reached sooner.
func TestFrozenDaemonRejoinsAfterItWakes(t *testing.T) {
	for _, others := range []int{1, 2, 7} {
		n := newNetwork(1)
		n.idle = 30 * time.Second
		n.join("frozen")
		for i := range others {
			n.join(string(rune('a' + i)))
		}
		n.run(5 * time.Second)
		require.Empty(t, n.disagrees())
		for _, name := range n.names() {
			n.cut[pair{name, "frozen"}], n.cut[pair{"frozen", name}] = true, true
		}
		n.run(8 * time.Second)
		clear(n.cut)
		n.run(4 * time.Second)
		assert.Empty(t, n.disagrees(), "%d others", others)
		before := n.suspicions()
		n.run(20 * time.Second)
		assert.Equal(t, before, n.suspicions(), "%d others: no living daemon is suspected", others)
	}
}

// suspicions returns the number of suspicions that the daemons have refuted, each by its
// own record.
func (n *network) suspicions() (sum int) {
	for name, c := range n.meshes {
		for _, m := range c.Members() {
			if m.Name == name {
				sum += m.Refuted
			}
		}
	}
	return sum
}

// A daemon that restarts after its box's clock has gone back has an earlier start time than
// its previous start. If members, and the daemon itself, kept the record with the later start,
// it would regard itself as dead, have no position on the ring, and rejoin only once the
// previous record is removed.
func TestDaemonRejoinsAfterItsClockGoesBack(t *testing.T) {
	n := newNetwork(1)
	for _, name := range []string{"a", "b", "c"} {
		n.join(name)
	}
	n.run(5 * time.Second)
	require.Empty(t, n.disagrees())
	n.kill("c")
	n.run(time.Second) // by then it is suspected
	n.starts -= 4
	n.join("c")
	n.run(20 * time.Second)
	assert.Empty(t, n.disagrees())
}

// The same, if the daemon reads of its previous start in the table before it has any link.
func TestStartRanksAfterLaterPreviousStart(t *testing.T) {
	former := conn.Member{Name: "c", Start: 900, Address: "10.0.0.9:1", Zone: "z"}
	m := conn.NewMesh(conn.Member{Name: "c", Start: 500, Address: "10.0.0.3:1", Zone: "z"}, conn.DefaultTiming())
	m.Learn(time.Unix(0, 0), []conn.Member{former})
	require.Len(t, m.Members(), 1)
	now := m.Members()[0]
	assert.Equal(t, "10.0.0.3:1", now.Address)
	assert.True(t, now.Follows(900))

	others := conn.NewMesh(conn.Member{Name: "a", Start: 1}, conn.DefaultTiming())
	others.Learn(time.Unix(0, 0), []conn.Member{former, now})
	others.Learn(time.Unix(0, 0), []conn.Member{former})
	assert.Contains(t, others.Members(), now)
}

func TestMemberFollows(t *testing.T) {
	for _, c := range []struct {
		m     conn.Member
		start int64
		want  bool
	}{
		{conn.Member{Start: 5}, 4, true}, {conn.Member{Start: 5}, 5, false}, {conn.Member{Start: 5}, 6, false},
		{conn.Member{Start: 5, Former: 9}, 9, true}, {conn.Member{Start: 5, Former: 9}, 10, false},
		{conn.Member{Start: 5, Former: 9}, 5, false}, {conn.Member{Start: 5, Former: 3}, 4, true},
	} {
		assert.Equal(t, c.want, c.m.Follows(c.start), "%+v after %d", c.m, c.start)
	}
}
