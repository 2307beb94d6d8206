package bounded

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/socket"
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
// An end says that an answer without a length is whole only if the server has taken the whole request: one that ends its direction
// while the request is still being sent may reset the connection next, which makes the answer incomplete. So the end of a Conn whose
// requests are tracked is found once the request has been written and acknowledged. A server that ends its answer early and reads on
// gets the rest of the request meanwhile. The wait ends with the connection, which is closed when the request is given up.
//
// A Conn whose read has found the end takes no further writes: HTTP/1.1 and HTTP/2 give such a connection up.
type Conn struct {
	net.Conn

	tracked   atomic.Bool // the fields below are in use
	unwritten atomic.Bool // a request isn't written yet
	answered  atomic.Bool // its answer has begun
	closed    atomic.Bool
	failed    atomic.Bool // failure is set

	writing sync.Mutex // held during a write; guards the fields below
	ended   bool       // a read has found the end
	failure error      // of the first write that failed
}

// takenInterval is how often a Conn checks whether its request has been taken.
const takenInterval = 2 * time.Millisecond

// Track returns the request with a trace that notifies c when it has been written. c must be the connection that carries it.
func (c *Conn) Track(req *http.Request) *http.Request {
	c.track()
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{WroteRequest: c.wroteRequest}))
}

func (c *Conn) track() {
	c.unwritten.Store(true)
	c.answered.Store(false)
	c.tracked.Store(true)
}

func (c *Conn) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		c.unwritten.Store(false)
	}
}

// ConnOf returns the Conn below c, or nil if there is none.
func ConnOf(c net.Conn) *Conn {
	for c != nil {
		switch at := c.(type) {
		case *Conn:
			return at
		case *AnswerConn:
			c = at.Conn
		case interface{ NetConn() net.Conn }:
			c = at.NetConn()
		default:
			return nil
		}
	}
	return nil
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
	if c.failure == nil && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
		c.failed.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.tracked.Load() {
		c.answered.Store(true)
	}
	if err != io.EOF {
		return n, err
	}
	// Without a byte of an answer there is no end of one, and the request must not go on to a server that has closed.
	answered := c.answered.Load()
	var lost error
	if answered {
		lost = c.awaitTaken()
	}
	if failure := errors.Join(lost, c.endWrites()); failure != nil {
		return n, Error.New("%w: %w", ErrEndUnconfirmed, failure)
	}
	if answered && c.unwritten.Load() {
		return n, Error.New("%w: it was closed", ErrEndUnconfirmed)
	}
	return n, io.EOF
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// awaitTaken waits until the request is written and acknowledged, or the connection is closed or has failed, and returns a failure that
// the kernel has not reported yet.
func (c *Conn) awaitTaken() error {
	for !c.closed.Load() && !c.failed.Load() {
		if err := socket.Failure(c.Conn); err != nil {
			return err
		}
		if !c.unwritten.Load() {
			if n, err := socket.Unacknowledged(c.Conn); err != nil || n == 0 {
				return nil
			}
		}
		time.Sleep(takenInterval)
	}
	return nil
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
