// Package fault gives the stand-ins their common fault switches: a listener
// whose connections can be reset, refused or made to pass no byte, and an HTTP
// server on top of it.
package fault

import (
	"context"
	"net"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("fault")

// Listener accepts TCP connections at one address, over several starts and
// kills. While it is cut, connections are still accepted and stay open, but no
// byte passes in either direction.
type Listener struct {
	mu    sync.Mutex
	addr  string
	ln    net.Listener
	conns map[*conn]struct{}
	open  chan struct{} // closed while bytes may pass
}

// NewListener prepares a listener at addr. Port 0 is replaced by the kernel's
// choice at the first Start and kept from then on.
func NewListener(addr string) *Listener {
	l := &Listener{addr: addr, conns: make(map[*conn]struct{}), open: make(chan struct{})}
	close(l.open)
	return l
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
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.ln = ln
	l.addr = ln.Addr().String()
	return &session{Listener: ln, owner: l}, nil
}

// Kill resets every connection and closes the socket, so that further
// connects are refused.
func (l *Listener) Kill() {
	l.Cut()
	l.mu.Lock()
	ln := l.ln
	l.ln = nil
	conns := l.conns
	l.conns = make(map[*conn]struct{})
	l.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	for c := range conns {
		c.reset()
	}
}

// Cut stops all bytes until Heal.
func (l *Listener) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
		l.open = make(chan struct{})
	default:
	}
}

// Heal lets bytes pass again, those held back included.
func (l *Listener) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

// Address is the host:port that clients dial.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Wait blocks while the listener is cut or killed.
func (l *Listener) Wait(ctx context.Context) error {
	select {
	case <-l.gate():
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (l *Listener) gate() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
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

func (c *conn) wait() error {
	select {
	case <-c.owner.gate():
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read waits after the bytes have arrived: a cut may begin while it blocks.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
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
