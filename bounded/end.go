package bounded

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// ErrEndUnconfirmed means that a connection failed while the request was written, so that the end that a read sees need not
// be the end of the answer.
var ErrEndUnconfirmed = errors.New("the connection failed under the request")

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// ConfirmEnds returns a dial function whose connections end as Conn does. Those of an AnswerConn do already.
func ConfirmEnds(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if checked, ok := c.(*AnswerConn); ok {
			return checked, nil
		}
		return &Conn{Conn: c}, nil
	}
}

// Conn is a connection on which answers are read. A kernel reports the loss of a connection once. If a write gets that
// report, the next read finds a clean end, as after an answer without a length. A Conn returns an error instead.
//
// A Conn whose read has found the end takes no further writes: HTTP/1.1 and HTTP/2 give such a connection up.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write; guards the fields below
	ended   bool       // a read has found the end
	failure error      // of the first write that failed
}

// NetConn returns the connection below, as tls.Conn.NetConn does.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if c.failure == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.endWrites(); failure != nil {
		return n, Error.New("%w: %w", ErrEndUnconfirmed, failure)
	}
	return n, io.EOF
}

// endWrites ends a write in progress, which may be the one that got the report of the loss, and returns why a write failed.
func (c *Conn) endWrites() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.ended = true
	return c.failure
}
