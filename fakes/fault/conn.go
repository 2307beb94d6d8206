package fault

import (
	"net"
	"sync"
	"time"
)

// conn delays its bytes, and stops them while its listener is cut.
type conn struct {
	net.Conn
	owner  *Listener
	once   sync.Once
	closed chan struct{}
	repeater
}

// wait waits for the listener's delay, and then until the gate is open and no hold is in force.
func (c *conn) wait(direction func() gate) error {
	if d := time.Duration(c.owner.delay.Load()); d > 0 {
		select {
		case <-time.After(d):
		case <-c.closed:
		}
	}
	for _, g := range []func() gate{direction, c.owner.holdGate} {
		select {
		case <-g():
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return nil
}

// Read waits for the delay and the gate after the bytes have arrived, not before. A cut may
// start while Read blocks, and bytes that arrive during the cut must be stopped.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.wait(c.owner.inGate); waitErr != nil {
		return 0, waitErr
	}
	if n == 0 {
		return n, err
	}
	if copied := c.requestArrived(); len(copied) > 0 {
		if _, err := c.Conn.Write(copied); err != nil {
			return 0, err
		}
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.wait(c.owner.outGate); err != nil {
		return 0, err
	}
	if len(b) == 0 {
		return 0, nil
	}
	if c.cutHead(b) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, err
	}
	if copied := c.written(b, c.owner.drawRepeat); len(copied) > 0 {
		_, err = c.Conn.Write(copied)
	}
	return n, err
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.owner.removeConn(c)
	return c.Conn.Close()
}

// SetLinger is SetLinger of the TCP connection: with 0, Close resets it.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// reset closes the connection with a TCP reset instead of an orderly shutdown.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
