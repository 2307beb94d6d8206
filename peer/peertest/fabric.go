// Package peertest has a network in memory for tests of nodes that are linked, on a fake
// clock.
package peertest

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
)

// Network is a network in memory, for bubbles of synctest. A connection that was
// open while its direction was cut stays silent for ever, without being closed.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cuts      map[[2]string]bool
	conns     []*pipeConn
}

// NewNetwork returns a network without any address.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*pipeListener), cuts: make(map[[2]string]bool)}
}

// Cut stops the bytes that go from one address to another.
func (f *Network) Cut(from, to string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{from, to}] = on
	for _, c := range f.conns {
		if on && c.from == from && c.to == to {
			c.mute()
		}
	}
}

// Isolate cuts an address from and to all others, or heals that.
func (f *Network) Isolate(addr string, on bool) {
	f.mu.Lock()
	others := make([]string, 0, len(f.listeners))
	for a := range f.listeners {
		others = append(others, a)
	}
	f.mu.Unlock()
	for _, a := range others {
		f.Cut(addr, a, on)
		f.Cut(a, addr, on)
	}
}

// Dial returns how an address opens connections.
func (f *Network) Dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, hostPort string) (net.Conn, error) {
		to, _, _ := strings.Cut(hostPort, ":")
		f.mu.Lock()
		l := f.listeners[to]
		silent := f.cuts[[2]string{from, to}] || f.cuts[[2]string{to, from}]
		f.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		if silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		a, b := net.Pipe()
		out, in := &pipeConn{Conn: a, from: from, to: to}, &pipeConn{Conn: b, from: to, to: from}
		f.mu.Lock()
		f.conns = append(f.conns, out, in)
		f.mu.Unlock()
		select {
		case l.accepts <- in:
			return out, nil
		case <-l.closed:
			return nil, errors.New("connection refused")
		}
	}
}

// pipeConn swallows what is written once its direction has been cut.
type pipeConn struct {
	net.Conn
	from, to string
	mu       sync.Mutex
	muted    bool
}

func (c *pipeConn) mute() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.muted = true
}

func (c *pipeConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	muted := c.muted
	c.mu.Unlock()
	if muted {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type pipeListener struct {
	f       *Network
	addr    string
	accepts chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Listen has connections to an address accepted.
func (f *Network) Listen(addr string) net.Listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &pipeListener{f: f, addr: addr, accepts: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[addr] = l
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.f.mu.Lock()
		defer l.f.mu.Unlock()
		if l.f.listeners[l.addr] == l {
			delete(l.f.listeners, l.addr)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
