package listen

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"wigeondale/bounded"
)

type connKey struct{}

// connContext makes the connection known to the handlers of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if n, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, n)
	}
	return ctx
}

// Hold returns the memory of the request that a listener of this package passed to a handler. The listener closes it when the request
// has ended. It is nil for other requests.
func Hold(r *http.Request) *bounded.Hold {
	if b, ok := r.Body.(*body); ok {
		return b.hold
	}
	return nil
}

// WriteHeld writes an answer that a handler has made as a whole. Its memory counts with that of the request.
func WriteHeld(w http.ResponseWriter, r *http.Request, data []byte) {
	if err := Hold(r).Grow(r.Context(), int64(len(data))); err != nil {
		refuse(w)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // an error means that the client has disconnected or doesn't read
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
	if isEnd := errors.Is(err, io.EOF); isEnd && b.hold.Complete() || !isEnd && !b.hold.GivenUp() {
		return n, err
	}
	return n, bounded.Error.Wrap(bounded.ErrGivenUp)
}

// begin accounts for the memory of a request whose head is complete, and returns a function that ends the request, and has to know
// whether its handler was aborted. ok is false if there is no memory for it.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (end func(aborted bool), ok bool) {
	n, _ := r.Context().Value(connKey{}).(*conn)
	if n == nil || s.clients.cfg.Requests == nil {
		return func(bool) {}, true
	}
	end = func(bool) {}
	var hold *bounded.Hold
	counted := r.ProtoMajor >= 2
	if counted {
		stream := n.beginStream(w, r)
		if stream == nil {
			s.clients.countDrop(reasonMemory)
			return nil, false
		}
		hold, end = stream.hold, func(aborted bool) { n.endStream(stream, aborted) }
	} else {
		hold = n.requestHold()
		if err := hold.SetAtLeast(r.Context(), bounded.HeaderMemory(r.Header)); err != nil {
			s.clients.countDrop(reasonMemory)
			return nil, false
		}
	}
	if n.isClaimed() || r.ContentLength == 0 && !hold.Complete() {
		end(true)
		return nil, false
	}
	r.Body = &body{ReadCloser: r.Body, hold: hold, counted: counted}
	return end, true
}

func (n *conn) isClaimed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claimed
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
