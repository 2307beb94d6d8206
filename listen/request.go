package listen

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"wigeondale/bounded"
)

type connKey struct{}

// connContext makes the connection known to the handlers of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if n := connOf(c); n != nil {
		return context.WithValue(ctx, connKey{}, n)
	}
	return ctx
}

// connOf returns the conn below a connection of http.Server, or nil.
func connOf(c net.Conn) *conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	n, _ := c.(*conn)
	return n
}

// Hold returns the memory of the request that a listener of this package passed to a handler. The listener closes it when the request
// has ended. It is nil for other requests.
func Hold(r *http.Request) *bounded.Hold {
	if b, ok := r.Body.(*body); ok {
		return b.hold
	}
	return nil
}

// body is the body of a request, which records when it has arrived.
type body struct {
	io.ReadCloser
	hold *bounded.Hold
	// counted states that the connection doesn't count the body's bytes, since it carries several requests.
	counted bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.counted {
		b.hold.Received(int64(n))
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.hold.Complete()
	} else if b.hold.GivenUp() {
		err = bounded.Error.Wrap(bounded.ErrGivenUp)
	}
	return n, err
}

// begin accounts for the memory of a request whose head is complete, and returns a function that ends the request. ok is false if there is
// no memory for it.
func (s *Server) begin(r *http.Request) (end func(), ok bool) {
	n, _ := r.Context().Value(connKey{}).(*conn)
	if n == nil || s.clients.cfg.Requests == nil {
		return func() {}, true
	}
	end = func() {}
	hold, counted := n.requestHold(), r.ProtoMajor >= 2
	if counted {
		hold = s.clients.cfg.Requests.HoldInput(bounded.Input{MaxWait: memoryWait, GiveUp: func() { _ = r.Body.Close() }})
		end = hold.Close
	}
	if err := hold.SetAtLeast(r.Context(), headMemory(r.Header)); err != nil {
		s.clients.countDrop(reasonMemory)
		end()
		return nil, false
	}
	if r.ContentLength == 0 {
		hold.Complete()
	}
	r.Body = &body{ReadCloser: r.Body, hold: hold, counted: counted}
	return end, true
}

// headMemory returns the memory of a parsed head.
func headMemory(h http.Header) int64 {
	sum := int64(0)
	for name, values := range h {
		for _, v := range values {
			sum += memoryPerLine + int64(len(name)+len(v))*memoryPerByte
		}
	}
	return sum
}

// requestHold returns the memory of the current request. A pipelined request that arrived together with the one before has none yet.
func (n *conn) requestHold() *bounded.Hold {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hold == nil {
		n.hold = n.clients.hold(n)
	}
	return n.hold
}
