// SPDX-License-Identifier: MIT

package trial_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"streambend.example/internal/trial"
	"streambend.example/seam"
)

// countingNet counts dials, and the bytes in both directions on the dialled
// connections.
type countingNet struct {
	seam.TCP
	bytes atomic.Int64
	dials atomic.Int64
}

type countingConn struct {
	net.Conn
	n *countingNet
}

func (c *countingNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.TCP.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return &countingConn{conn, c}, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.bytes.Add(int64(n))
	return n, err
}

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkControl measures the idle cost of the control plane with 9 daemons, 35 endpoints and the
// default timing. Per daemon it reports the bytes on all connections and the CPU time; the latter is
// that of the whole process, stand-ins included, divided by 9.
func BenchmarkControl(b *testing.B) {
	for b.Loop() {
		n := &countingNet{}
		o := trial.DefaultOptions()
		o.Daemons, o.Rate, o.Span, o.Script, o.DaemonNet = 9, 1e-9, 30*time.Second, []trial.Step{}, n
		o.Progress = io.Discard
		done := make(chan struct{})
		go func() {
			defer close(done)
			if _, err := trial.Run(b.Context(), o, io.Discard); err != nil {
				b.Error(err)
			}
		}()
		time.Sleep(12 * time.Second)
		bytes, used, at := n.bytes.Load(), cpu(), time.Now()
		time.Sleep(15 * time.Second)
		sec := time.Since(at).Seconds()
		b.ReportMetric(float64(n.bytes.Load()-bytes)/sec/9, "B/s/daemon")
		b.ReportMetric(100*(cpu()-used).Seconds()/sec/9, "%core/daemon")
		<-done
	}
}
