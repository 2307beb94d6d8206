// Package peertest provides an in-memory network for tests of linked nodes with a
// fake clock.
package peertest

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
)

// Network is an in-memory network for use in synctest bubbles. If Cut blocks one direction
// of an open connection, the connection is not closed, but stays silent in that direction
// forever, even when new connections work again.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cuts      map[[2]string]bool
	conns     []*pipeConn
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*pipeListener), cuts: make(map[[2]string]bool)}
}

// Cut drops all bytes sent from one address to another if on is true. If on is false,
// Cut lets the bytes of new connections pass again.
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

// Isolate calls Cut with on for both directions between an address and each other address.
// So if on is true, Isolate disconnects the address, and if on is false, new connections of
// the address work again.
func (f *Network) Isolate(addr string, on bool) {
	f.mu.Lock()
	peers := make([]string, 0, len(f.listeners))
	for a := range f.listeners {
		peers = append(peers, a)
	}
	f.mu.Unlock()
	for _, a := range peers {
		f.Cut(addr, a, on)
		f.Cut(a, addr, on)
	}
}

// Dial returns a dial function for connections from the given address. While either
// direction between the two addresses is blocked by Cut, the function waits until its
// context ends, and then fails.
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

// pipeConn is one end of a connection. It discards all writes after Cut has blocked its
// direction.
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

// Listen returns a listener for connections to an address.
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
