// SPDX-License-Identifier: MIT

package conn_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
	"streambend.example/internal/standin"
)

// counting is a listener that counts accepted connections.
type counting struct {
	net.Listener
	taken atomic.Int64
}

// Accept implements net.Listener.
func (l *counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.taken.Add(1)
	}
	return c, err
}

// With many daemons, most send requests to a reader that is not their ring neighbour, over a
// link opened on demand. If that link closed half a minute after it was opened despite being
// used, the request in progress would fail and the reader's messages until the next request
// would be lost, at the same moment for all daemons of a zone that had started together.
func TestUsedLinkStaysOpen(t *testing.T) {
	const daemons = 16
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNet()
		var all []conn.Member
		for i := range daemons {
			all = append(all, conn.Member{Name: fmt.Sprint("daemon-", i), Start: 1, Address: fmt.Sprintf("127.0.0.1:%d", i+1)})
		}
		var hubs []*conn.Hub
		var servers []*http.Server
		reader := &counting{}
		for i, m := range all {
			l, err := n.Listen(m.Address)
			require.NoError(t, err)
			if i == 0 {
				reader.Listener = l
				l = reader
			}
			h := newQuietHub(n, m)
			h.Mesh.Learn(time.Now(), all)
			s := &http.Server{Handler: h}
			go s.Serve(l)
			hubs, servers = append(hubs, h), append(servers, s)
		}
		time.Sleep(5 * time.Second)
		asker := slices.IndexFunc(hubs, func(h *conn.Hub) bool {
			return h != hubs[0] && !slices.Contains(h.Mesh.NeighbourNames(), all[0].Name)
		})
		require.Positive(t, asker, "some daemon is not a neighbour of the reader")
		ask := func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := hubs[asker].Ask(ctx, all[0].Name, "anything", nil)
			assert.NoError(t, err)
		}
		ask()
		before := reader.taken.Load()
		for range 200 { // 90 s in total
			time.Sleep(450 * time.Millisecond)
			ask()
		}
		assert.Equal(t, before, reader.taken.Load(), "the link is opened once")
		time.Sleep(time.Minute)
		assert.NotContains(t, hubs[asker].Mesh.NeighbourNames(), all[0].Name, "an unused link is closed")
		for i, h := range hubs {
			h.Close()
			servers[i].Close()
		}
		time.Sleep(time.Minute)
	})
}
