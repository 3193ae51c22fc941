// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"streambend.example/conn"
	"streambend.example/platform"
	"streambend.example/seam"
)

type listeners struct{ callers, checks, peers net.Listener }

func listen(s platform.Site, n seam.Network) (ls listeners, err error) {
	for _, x := range []struct {
		to   *net.Listener
		addr string
	}{{&ls.callers, s.CallerAddr}, {&ls.checks, s.ReadyAddr}, {&ls.peers, s.PeerAddr}} {
		if *x.to, err = n.Listen(x.addr); err != nil {
			return ls, errors.Wrap(err, "entry: listen")
		}
	}
	return ls, nil
}

func (d *Daemon) serve(ls listeners) {
	d.callers = &http.Server{Handler: &ingress{d}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: d.inbound.State, ConnContext: d.inbound.Context}
	d.callerListener = d.inbound.Listen(ls.callers)
	d.checks = &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	mux := http.NewServeMux()
	mux.Handle(conn.PeerPath, d.Hub)
	mux.Handle(forwardPath, d.forwards)
	mux.Handle(forwardBoundPath, d.forwards)
	mux.Handle("GET /metrics", d.meters)
	d.peers = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.run(func() { d.serveOn(d.callers, d.callerListener) })
	d.run(func() { d.serveOn(d.checks, ls.checks) })
	d.run(func() { d.serveOn(d.peers, ls.peers) })
}

// ServeMetrics serves the metrics at a separate address. The daemon can serve requests without it, so
// a failure is only logged.
func (d *Daemon) ServeMetrics(address string) {
	l, err := d.network.Listen(address)
	if err != nil {
		d.log.WithField("part", "process").Warnf("metrics not served at %s: %v", address, err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.meters)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.run(func() { d.serveOn(s, l) })
	context.AfterFunc(d.ctx, func() { s.Close() })
}

func (d *Daemon) serveOn(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.log.WithField("part", "process").Errorf("serve %s: %v", l.Addr(), err)
	}
}

// serveReady answers the readiness checks of the balancer.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
