// SPDX-License-Identifier: MIT

package conn_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
	"streambend.example/internal/standin"
)

// newQuietHub returns the hub of a daemon that ignores deliveries and requests.
func newQuietHub(n *standin.Net, self conn.Member) *conn.Hub {
	log := logrus.New()
	log.SetOutput(io.Discard)
	take := func(time.Time, conn.Delivery) {}
	answer := func(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }
	return conn.NewHub(conn.NewMesh(self, conn.DefaultTiming()), self, n, "secret", log, take, answer)
}

// learnRepeatedly holds the lock of a mesh for some milliseconds, so that link changes
// wait for it.
func learnRepeatedly(m *conn.Mesh, at int64) {
	var all []conn.Member
	for i := range 20 {
		all = append(all, conn.Member{Name: fmt.Sprint("other-", i), Address: "127.0.0.1:3"})
	}
	for n := range int64(200) {
		for i := range all {
			all[i].Start = at*200 + n + 1
		}
		m.Learn(time.Now(), all)
	}
}

// A restarted daemon opens its new link while the other side is still closing the old one.
// If the end of the old link removed the neighbour of the new one, no heartbeat would be sent:
// the other side would suspect a living daemon four times a second, it would refute each time,
// and all daemons would exchange their complete member lists.
func TestClosedLinkKeepsItsReplacement(t *testing.T) {
	const restarts = 300
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNet()
		stays := conn.Member{Name: "a", Start: 1, Address: "127.0.0.1:1"}
		a := newQuietHub(n, stays)
		l, err := n.Listen(stays.Address)
		require.NoError(t, err)
		server := &http.Server{Handler: a}
		go server.Serve(l)
		for i := range restarts {
			b := newQuietHub(n, conn.Member{Name: "b", Start: int64(i) + 1, Address: "127.0.0.1:2"})
			b.Join(time.Now(), stays.Address)
			synctest.Wait()
			require.Equal(t, []string{"a"}, b.Mesh.NeighbourNames(), "restart %d", i)
			require.Equal(t, []string{"b"}, a.Mesh.NeighbourNames(), "restart %d", i)
			go learnRepeatedly(a.Mesh, int64(i))
			b.Close()
		}
		a.Close()
		server.Close()
		time.Sleep(time.Minute)
	})
}
