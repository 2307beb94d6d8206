package fault

import (
	"context"
	"maps"
	"net"
	"slices"
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
	d.mode = mode
	close(d.changed)
	d.changed = make(chan struct{})
	changed, open := d.changed, slices.Collect(maps.Keys(d.conns))
	d.mu.Unlock()
	switch mode {
	case Resetting:
		failAll(open, syscall.ECONNRESET)
	case Hanging:
		time.AfterFunc(hungTimeout, func() { d.timeOut(changed) })
	}
}

func failAll(conns []*cutConn, err error) {
	for _, c := range conns {
		c.fail(err)
	}
}

// timeOut ends the connections to which nothing was delivered since the change that changed belongs to, as keep-alive
// probes end idle ones.
func (d *Dialer) timeOut(changed chan struct{}) {
	d.mu.Lock()
	same, open := d.changed == changed, slices.Collect(maps.Keys(d.conns))
	d.mu.Unlock()
	if same {
		failAll(open, syscall.ETIMEDOUT)
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
// is back, and so is the end of a connection that was closed meanwhile. A reset is sent only once: if it is lost in the cut,
// what the connection holds is dropped, and the other side learns of it when it sends something.
type cutConn struct {
	net.Conn
	dialer *Dialer
	closed chan struct{} // closed when the connection is lost or closed
	mu     sync.Mutex
	err    error  // why the connection was lost
	held   []byte // written while the link hangs
	resets bool   // Close resets the connection
}

// fail ends the connection. If the link hangs, the other side isn't notified.
func (c *cutConn) fail(err error) { c.end(err, true) }

func (c *cutConn) end(err error, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = &net.OpError{Op: "read", Net: "tcp", Err: err}
	close(c.closed)
	c.resets = reset
	if reset {
		c.held = nil
	}
	_ = c.Conn.SetReadDeadline(time.Now()) // ends a Read that waits; an error shows that the connection has ended
	switch mode, changed := c.dialer.state(); {
	case mode == Hanging && reset:
		go c.endWhenUsed(changed)
	case mode == Hanging && len(c.held) == 0:
		go c.deliverLater(changed)
	case len(c.held) == 0:
		c.Conn.Close()
	}
}

// endWhenUsed ends a connection whose reset is lost when the other side sends something after the cut.
func (c *cutConn) endWhenUsed(changed <-chan struct{}) {
	c.awaitEndOfCut(changed)
	_ = c.Conn.SetReadDeadline(time.Time{})
	_, _ = c.Conn.Read(make([]byte, 1)) // an error ends the connection as well
	c.Conn.Close()
}

func (c *cutConn) awaitEndOfCut(changed <-chan struct{}) (mode CutMode) {
	for mode = Hanging; mode == Hanging; {
		<-changed
		mode, changed = c.dialer.state()
	}
	return mode
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
		go c.deliverLater(changed)
	}
	c.held = append(c.held, p...)
	return true
}

// deliverLater delivers what the connection holds, and its end if it was closed, when the cut has ended.
func (c *cutConn) deliverLater(changed <-chan struct{}) {
	mode := c.awaitEndOfCut(changed)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 && mode != Resetting {
		_, _ = c.Conn.Write(c.held) // an error shows at the next read or write
	}
	c.held = nil
	if c.err != nil && !c.resets {
		c.Conn.Close()
	}
}

// Unacknowledged returns how many bytes the connection holds.
func (c *cutConn) Unacknowledged() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held), nil
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
