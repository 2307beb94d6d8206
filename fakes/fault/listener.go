// Package fault provides the fault switches that all fakes share: a listener whose
// connections can be reset, refused, delayed or cut, and an HTTP server on top of it.
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

// Listener accepts TCP connections at one address and can be killed and started again.
// While it is cut, connections are still accepted and stay open, but no bytes pass in the
// directions that are cut.
type Listener struct {
	delay atomic.Int64 // of each read and write, in nanoseconds

	mu       sync.Mutex
	addr     string
	ln       net.Listener
	conns    map[*conn]struct{}
	in, out  gate       // for bytes from and to the clients
	holds    int        // holds in force
	hold     gate       // open unless a hold is in force
	headCuts func() int // see SetHeadCuts
	repeats  func() Repeat
}

// gate is a channel that is closed while bytes may pass.
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

// NewListener prepares a listener at addr. Port 0 is replaced at the first Start by a port
// from package ports, which the listener then keeps.
//
// A port that the kernel chooses does not work: while the listener is killed, the kernel can
// assign it to an outgoing connection, and the next Start fails. A router then never reached
// its store again.
func NewListener(addr string) *Listener {
	return &Listener{addr: addr, conns: make(map[*conn]struct{}), in: openGate(), out: openGate(), hold: openGate()}
}

// Start opens the socket and ends any cut, as Heal does. It returns a listener for the
// connections of this start, or nil if the socket is open already. The Close method of the
// returned listener closes the socket of this start only. The reason: an HTTP server closes
// its listener when it notices a kill, and by then the next Start may have opened a new
// socket.
func (l *Listener) Start() (net.Listener, error) {
	l.Heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil, nil
	}
	addr, err := resolvePort(l.addr)
	if err != nil {
		return nil, err
	}
	ln, err := ports.Listen(addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.ln = ln
	l.addr = ln.Addr().String()
	return &startedListener{Listener: ln, owner: l}, nil
}

// resolvePort replaces port 0 by a free port from package ports.
func resolvePort(addr string) (string, error) {
	if _, port, err := net.SplitHostPort(addr); err != nil || port != "0" {
		return addr, nil // if addr is invalid, net.Listen returns the error
	}
	free, err := ports.FreeAddr()
	return free, Error.Wrap(err)
}

// Kill resets every connection and closes the socket, so that new connections are refused.
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

// Cut stops the bytes of both directions until Heal.
func (l *Listener) Cut() {
	l.CutIn()
	l.CutOut()
}

// CutIn stops the bytes from the clients until Heal.
func (l *Listener) CutIn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.in.isOpen() {
		l.in = make(gate)
	}
}

// CutOut stops the bytes to the clients until Heal.
func (l *Listener) CutOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out.isOpen() {
		l.out = make(gate)
	}
}

// Heal lets bytes pass again, including those that were stopped.
func (l *Listener) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range []gate{l.in, l.out} {
		if !g.isOpen() {
			close(g)
		}
	}
}

// Hold stops the bytes of both directions until Release, whatever cuts begin and end meanwhile. Of holds that
// overlap each needs a Release of its own.
func (l *Listener) Hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holds++; l.holds == 1 {
		l.hold = make(gate)
	}
}

// Release ends one hold, if there is one. Bytes that were stopped pass when the last hold has ended.
func (l *Listener) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holds == 0 {
		return
	}
	if l.holds--; l.holds == 0 {
		close(l.hold)
	}
}

// Delay delays each read and write by d.
func (l *Listener) Delay(d time.Duration) { l.delay.Store(int64(d)) }

// Reset resets every connection. New ones are accepted.
func (l *Listener) Reset() {
	l.mu.Lock()
	conns := l.conns
	l.conns = make(map[*conn]struct{})
	l.mu.Unlock()
	for c := range conns {
		c.reset()
	}
}

// Address returns the host:port that clients connect to.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// WaitInbound blocks while bytes from the clients are stopped, by a cut or a kill, or until ctx ends.
func (l *Listener) WaitInbound(ctx context.Context) error {
	select {
	case <-l.inGate():
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (l *Listener) inGate() gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in
}

func (l *Listener) outGate() gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out
}

func (l *Listener) holdGate() gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold
}

func (l *Listener) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// addConn records a connection that ln accepted, unless the Listener has been killed since.
// It reports whether it recorded the connection.
func (l *Listener) addConn(ln net.Listener, c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != ln {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// startedListener accepts connections on the socket that one call of Start opened.
type startedListener struct {
	net.Listener
	owner *Listener
}

func (s *startedListener) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: s.owner, closed: make(chan struct{})}
	if !s.owner.addConn(s.Listener, c) {
		c.reset()
		return nil, net.ErrClosed
	}
	return c, nil
}
