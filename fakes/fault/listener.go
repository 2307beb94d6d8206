// Package fault gives the stand-ins their common fault switches: a listener
// whose connections can be reset, refused or made to pass no byte, and an HTTP
// server on top of it.
package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fakes/ports"
)

// Error is the class of this package's errors.
var Error = errs.Class("fault")

// Listener accepts TCP connections at one address, over several starts and
// kills. While it is cut, connections are still accepted and stay open, but no
// byte passes in the directions that are cut.
type Listener struct {
	delay atomic.Int64 // of each read and write, in nanoseconds

	mu      sync.Mutex
	addr    string
	ln      net.Listener
	conns   map[*conn]struct{}
	in, out gate // bytes from and to those who dial
}

// gate is closed while bytes may pass.
type gate chan struct{}

func openGate() gate {
	g := make(gate)
	close(g)
	return g
}

func (g gate) isOpen() bool {
	select {
	case <-g:
		return true
	default:
		return false
	}
}

// NewListener prepares a listener at addr. Port 0 is replaced at the first Start by
// a port that the program has claimed, and kept from then on.
//
// What goes wrong with a port of the kernel's choice: while the listener is killed,
// the kernel gives the port to some outgoing connection, and the next Start fails. It
// showed as a router that never reached its store again.
func NewListener(addr string) *Listener {
	return &Listener{addr: addr, conns: make(map[*conn]struct{}), in: openGate(), out: openGate()}
}

// Start opens the socket and heals any cut. It returns the connections of this
// start, or nil if the socket is open already. Their Close closes this start's
// socket only: an HTTP server closes its listener when it notices a kill, which
// may be after the next start and must not end that one too.
func (l *Listener) Start() (net.Listener, error) {
	l.Heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil, nil
	}
	addr, err := claimed(l.addr)
	if err != nil {
		return nil, err
	}
	ln, err := ports.Listen(addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.ln = ln
	l.addr = ln.Addr().String()
	return &session{Listener: ln, owner: l}, nil
}

// claimed replaces port 0.
func claimed(addr string) (string, error) {
	if _, port, err := net.SplitHostPort(addr); err != nil || port != "0" {
		return addr, nil // net.Listen tells what is wrong with it
	}
	free, err := ports.FreeAddr()
	return free, Error.Wrap(err)
}

// Kill resets every connection and closes the socket, so that further
// connects are refused.
func (l *Listener) Kill() {
	l.Cut()
	l.mu.Lock()
	ln := l.ln
	l.ln = nil
	l.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	l.Reset()
}

// Cut stops all bytes until Heal.
func (l *Listener) Cut() {
	l.CutIn()
	l.CutOut()
}

// CutIn stops what those send who dial, until Heal.
func (l *Listener) CutIn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.in.isOpen() {
		l.in = make(gate)
	}
}

// CutOut stops what they are sent, until Heal.
func (l *Listener) CutOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out.isOpen() {
		l.out = make(gate)
	}
}

// Heal lets bytes pass again, those held back included.
func (l *Listener) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range []gate{l.in, l.out} {
		if !g.isOpen() {
			close(g)
		}
	}
}

// Delay holds each read and write back for d.
func (l *Listener) Delay(d time.Duration) { l.delay.Store(int64(d)) }

// Reset resets every connection; further ones are accepted.
func (l *Listener) Reset() {
	l.mu.Lock()
	conns := l.conns
	l.conns = make(map[*conn]struct{})
	l.mu.Unlock()
	for c := range conns {
		c.reset()
	}
}

// Address is the host:port that clients dial.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// WaitInbound blocks while the listener is cut or killed.
func (l *Listener) WaitInbound(ctx context.Context) error {
	select {
	case <-l.inward():
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (l *Listener) inward() gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in
}

func (l *Listener) outward() gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// adopt takes up a connection of ln, unless ln has been killed meanwhile.
func (l *Listener) adopt(ln net.Listener, c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != ln {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// session is the socket of one start.
type session struct {
	net.Listener
	owner *Listener
}

func (s *session) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: s.owner, closed: make(chan struct{})}
	if !s.owner.adopt(s.Listener, c) {
		c.reset()
		return nil, net.ErrClosed
	}
	return c, nil
}

// conn holds its bytes back while its listener is cut.
type conn struct {
	net.Conn
	owner  *Listener
	once   sync.Once
	closed chan struct{}
}

// wait holds bytes back for the listener's delay, and until the gate is open.
func (c *conn) wait(way func() gate) error {
	if d := time.Duration(c.owner.delay.Load()); d > 0 {
		select {
		case <-time.After(d):
		case <-c.closed:
		}
	}
	select {
	case <-way():
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read waits after the bytes have arrived: a cut may begin while it blocks.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.wait(c.owner.inward); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.wait(c.owner.outward); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.owner.forget(c)
	return c.Conn.Close()
}

// reset closes with a TCP reset in place of an orderly end.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
