// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"net"
	"sync/atomic"
)

// writeGate is a connection to an endpoint that calls a function right before the first byte of the next request. Between
// the moment at which a request has its connection and that one it waits for the processor, on a loaded box for
// tenths of a second.
type writeGate struct {
	net.Conn
	first atomic.Pointer[func() error] // an error keeps the byte from being written; nil once it has been called
}

// Write implements net.Conn.
func (g *writeGate) Write(b []byte) (int, error) {
	if first := g.first.Swap(nil); first != nil {
		if err := (*first)(); err != nil {
			return 0, err
		}
	}
	return g.Conn.Write(b)
}

// gated wraps the connections that a dial function opens.
func gated(next dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &writeGate{Conn: c}, nil
	}
}
