// Package linger decides what becomes of the bytes that a connection still holds when it is closed.
//
// A kernel goes on to send what was written to a connection after the connection has been closed. If the link is cut, a
// request that was given up is delivered seconds later. A reset drops such bytes, but it is sent only once: if it is lost,
// the other side goes on with a request that was given up. So a connection is reset only if it
// holds bytes that the other side hasn't acknowledged; otherwise it is closed as usual, which the kernel repeats until it
// is acknowledged.
package linger

import (
	"net"

	"wigeondale/socket"
)

// conn is a connection that can be reset, such as *net.TCPConn.
type conn interface{ SetLinger(sec int) error }

// wrapper is a connection around another one, such as *bounded.Conn.
type wrapper interface{ NetConn() net.Conn }

// DropUnsent has the next Close of c drop what the other side has not acknowledged.
func DropUnsent(c net.Conn) {
	if w, ok := c.(wrapper); ok {
		c = w.NetConn()
	}
	tcp, ok := c.(conn)
	if !ok {
		return
	}
	if n, err := socket.Unacknowledged(c); err == nil && n == 0 {
		return
	}
	_ = tcp.SetLinger(0) // fails only if c is closed already
}

// Conn is a connection whose Close drops what the other side has not acknowledged.
type Conn struct{ net.Conn }

// Close implements net.Conn.
func (c Conn) Close() error {
	DropUnsent(c.Conn)
	return c.Conn.Close()
}
