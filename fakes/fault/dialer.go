package fault

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// CutMode is how the connections of a Dialer behave while they are cut.
type CutMode int

// The modes of a cut.
const (
	Connected    CutMode = iota // not cut
	Hanging                     // nothing is delivered until the cut ends, and nothing refused
	Resetting                   // open connections are reset, new ones refused
	RefusingOnly                // open connections work on, new ones are refused
)

// hungTimeout is how long a connection may be cut before it counts as timed out, as it does on
// Linux by TCP_USER_TIMEOUT.
const hungTimeout = 2200 * time.Millisecond

// Dialer opens TCP connections for one process, whose links can be cut while the links of other
// processes to the same servers work.
type Dialer struct {
	mu      sync.Mutex
	mode    CutMode
	changed chan struct{} // closed and replaced when mode changes
	conns   map[*cutConn]struct{}
	dials   int
}

// NewDialer returns a Dialer whose links work.
func NewDialer() *Dialer {
	return &Dialer{changed: make(chan struct{}), conns: map[*cutConn]struct{}{}}
}

// Set changes the mode.
func (d *Dialer) Set(mode CutMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
	close(d.changed)
	d.changed = make(chan struct{})
	switch mode {
	case Resetting:
		for c := range d.conns {
			c.fail(syscall.ECONNRESET)
		}
	case Hanging:
		time.AfterFunc(hungTimeout, d.timeOut(d.changed))
	}
}

// timeOut returns a function that ends the connections to which nothing was delivered since the change that
// changed belongs to, as keep-alive probes end idle ones. The caller holds d.mu.
func (d *Dialer) timeOut(changed chan struct{}) func() {
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.changed != changed {
			return
		}
		for c := range d.conns {
			c.fail(syscall.ETIMEDOUT)
		}
	}
}

// Dials returns how many connections were dialled.
func (d *Dialer) Dials() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

func (d *Dialer) state() (CutMode, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode, d.changed
}

// DialContext opens a connection, as net.Dialer.DialContext does.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	d.mu.Unlock()
	for {
		mode, changed := d.state()
		switch mode {
		case Resetting, RefusingOnly:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		case Hanging:
			select {
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			case <-changed:
				continue
			}
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		cut := &cutConn{Conn: c, dialer: d, closed: make(chan struct{})}
		d.mu.Lock()
		d.conns[cut] = struct{}{}
		d.mu.Unlock()
		return cut, nil
	}
}

// maxHeld is how much a connection takes while it hangs, as the send buffer of a kernel does.
const maxHeld = 256 << 10

// cutConn is a connection of a Dialer. As with a kernel, what is written while the link hangs is delivered when the link
// is back, even if the connection has been closed meanwhile. It is dropped if the connection was reset, or timed out.
type cutConn struct {
	net.Conn
	dialer *Dialer
	closed chan struct{} // closed when the connection is lost or closed
	mu     sync.Mutex
	err    error  // why the connection was lost
	held   []byte // written while the link hangs
	resets bool   // Close resets the connection
}

func (c *cutConn) fail(err error) { c.end(err, true) }

// end ends the connection. What it holds is delivered later unless it is dropped.
func (c *cutConn) end(err error, drop bool) {
	c.mu.Lock()
	if c.err == nil {
		c.err = &net.OpError{Op: "read", Net: "tcp", Err: err}
		close(c.closed)
	}
	if drop {
		c.held = nil
	}
	held := len(c.held) > 0
	c.mu.Unlock()
	if !held {
		c.Conn.Close()
	}
}

// hold takes p if the link hangs, and reports whether it does.
func (c *cutConn) hold(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	mode, changed := c.dialer.state()
	if c.err != nil || len(c.held) == 0 && mode != Hanging || len(c.held)+len(p) > maxHeld {
		return false
	}
	if len(c.held) == 0 {
		go c.deliverLater(mode, changed)
	}
	c.held = append(c.held, p...)
	return true
}

// deliverLater delivers what the connection holds when the link doesn't hang any more.
func (c *cutConn) deliverLater(mode CutMode, changed <-chan struct{}) {
	for mode == Hanging {
		<-changed
		mode, changed = c.dialer.state()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 && mode != Resetting {
		_, _ = c.Conn.Write(c.held) // an error shows at the next read or write
	}
	c.held = nil
	if c.err != nil {
		c.Conn.Close()
	}
}

// SetLinger has Close reset the connection if sec is 0, as it does for a TCP connection.
func (c *cutConn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = sec == 0
	return nil
}

// Read implements net.Conn. What arrived while the connection hangs is withheld.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if lost := c.awaitLink(); lost != nil {
		return 0, lost
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.hold(p) {
		return len(p), nil
	}
	if lost := c.awaitLink(); lost != nil {
		return 0, lost
	}
	return c.Conn.Write(p)
}

// awaitLink waits while the link hangs, and returns why the connection was lost, or nil.
func (c *cutConn) awaitLink() error {
	for {
		mode, changed := c.dialer.state()
		if err := c.lost(); err != nil || mode != Hanging {
			return err
		}
		select {
		case <-changed:
		case <-c.closed:
		}
	}
}

func (c *cutConn) lost() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	c.mu.Lock()
	resets := c.resets
	c.mu.Unlock()
	c.end(net.ErrClosed, resets)
	return nil
}
