// SPDX-License-Identifier: MIT

package entry_test

import (
	"net"
	"sync"
	"time"
)

// lateConn is a connection that delivers what is written to it, in order, after a delay.
type lateConn struct {
	net.Conn
	delay func() time.Duration

	mu   sync.Mutex
	last chan struct{} // closed when the previous write is delivered
}

// Write implements net.Conn. It returns before the bytes are delivered.
func (c *lateConn) Write(b []byte) (int, error) {
	wait := c.delay()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait == 0 && c.last == nil {
		return c.Conn.Write(b)
	}
	before, done := c.last, make(chan struct{})
	c.last = done
	sent := append([]byte(nil), b...)
	go func() {
		defer close(done)
		time.Sleep(wait)
		if before != nil {
			<-before
		}
		c.Conn.Write(sent) // a failed delivery shows at the next read
	}()
	return len(b), nil
}

// linkDelay returns the delay of a link that a daemon has opened to an address.
func (w *world) linkDelay(daemon, address string) time.Duration {
	late := w.lateLinks.Load()
	if late != nil && ((*late)[daemon] || (*late)[daemonAt(address)]) {
		return lateLink
	}
	return w.fullLinks.roundTrip(daemon) + w.fullLinks.roundTrip(daemonAt(address))
}
