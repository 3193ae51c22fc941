// SPDX-License-Identifier: MIT

package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is the fault that a Proxy injects.
type Mode int

// Modes of a Proxy.
const (
	Pass    Mode = iota
	Delay        // each chunk is delayed by delayTime
	Silence      // drops traffic in both directions without closing connections
	OneWay       // blocks the direction from the server to the caller
	Reset        // resets open and new connections
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "one-way", "reset"}[m]
}

// delayTime is the delay per chunk in mode Delay.
const delayTime = 150 * time.Millisecond

// Proxy is a TCP proxy on loopback that injects faults.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[*net.TCPConn]bool
	closed  bool
}

// NewProxy starts a proxy in front of target, which is host:port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// Address returns host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode. Reset also resets the open connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		p.resetAll()
	}
}

func (p *Proxy) resetAll() {
	for c := range p.conns {
		c.SetLinger(0) // makes Close send a reset
		c.Close()
	}
	clear(p.conns)
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// register registers a connection, or resets it and returns false.
func (p *Proxy) register(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Reset {
		c.SetLinger(0)
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) unregister(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

func (p *Proxy) serve(in *net.TCPConn) {
	if !p.register(in) {
		return
	}
	defer p.unregister(in)
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		in.SetLinger(0)
		return
	}
	out := conn.(*net.TCPConn)
	if !p.register(out) {
		return
	}
	defer p.unregister(out)
	done := make(chan struct{}, 2)
	go func() {
		p.forward(out, in, false)
		done <- struct{}{}
	}()
	go func() {
		p.forward(in, out, true)
		done <- struct{}{}
	}()
	<-done
	<-done
}

// forward forwards bytes until one side closes.
func (p *Proxy) forward(to, from *net.TCPConn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitToForward(back) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.CloseWrite() // the peer can still read what was forwarded
			return
		}
	}
}

// waitToForward waits until bytes may pass in a direction; it returns false if the proxy is closed.
func (p *Proxy) waitToForward(back bool) bool {
	for {
		p.mu.Lock()
		mode, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == Silence, mode == OneWay && back:
			<-changed
		case mode == Delay:
			time.Sleep(delayTime)
			return true
		default:
			return true
		}
	}
}
