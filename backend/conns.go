package backend

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"wigeondale/bounded"
)

const (
	idleTimeout     = 30 * time.Second
	idleConnsPerSrv = 256
	// maxCarried is the number of requests after which a connection is closed. It bounds the memory for their keys.
	maxCarried = 256
)

// Conns sends requests to backend servers, over HTTP/1.1 connections that it keeps open, and chooses the connection of
// each request so that the answer can be attributed to it. It is safe for concurrent use.
//
// A server, or a proxy before it, may send an answer twice. The second copy arrives where the answer to the next request
// on the connection is due. If that request takes the copy of a refusal for its own answer, it is sent to another server,
// and both run it. The name of the request in an answer identifies most copies, but not the copy of an answer to an
// earlier try of the same request, and some answers name no request. Two rules exclude these as well:
//   - A request isn't sent over a connection that has carried a request with the same key (see Exchange).
//   - A connection carries its next request only when the answer to the latest one is known to belong to it. Otherwise it
//     is closed, since all later answers on it would be misplaced as well.
type Conns struct {
	transport bounded.Transport // opens the connections
	named     NamedRequest
	misplaced *Misplaced

	mu   sync.Mutex
	idle map[string][]*conn // by address; the latest used is the last
}

// Exchange is a request, and what is needed to recognize its answer.
type Exchange struct {
	Request *http.Request
	Server  string // id of the backend server
	// Key is the same for two requests if Check can't tell their answers apart. It is empty if no other answer passes
	// Check.
	Key string
	// Check returns an error if the answer belongs to another request. It may read the body. The answer is then closed
	// together with its connection, and the error returned.
	Check func(*http.Response) error
	// Last, if set, reports that no other request may follow an answer on its connection.
	Last func(*http.Response) bool
}

// NewConns returns Conns whose connections are opened as configured.
func NewConns(d DialConfig) *Conns {
	return &Conns{transport: NewTransport(d), named: d.Named, idle: map[string][]*conn{}}
}

// RoundTrip sends the request of x once, and follows no redirects. An error is that of Check, or wraps ErrNotSent if no
// byte was sent and ErrBroken otherwise, also if the answer is malformed, whatever it says. A head that doesn't end after its first byte is an error, which wraps
// ErrUnfinished.
func (p *Conns) RoundTrip(x Exchange) (*http.Response, error) {
	// The context lasts as long as the body is read, and is released with the caller's.
	ctx, cancel := context.WithCancelCause(x.Request.Context())
	head := &headWatch{cancel: cancel}
	trace := &httptrace.ClientTrace{GotFirstResponseByte: head.firstByte, Got1xxResponse: head.gotInterim}
	resp, c, sent, err := p.send(x.Request.WithContext(httptrace.WithClientTrace(ctx, trace)), x, head)
	head.stop()
	switch {
	case err == nil:
		return c.check(resp, x)
	case context.Cause(ctx) == errHeadTime:
		err = errHeadTime
	}
	cancel(nil)
	err = head.failure(err)
	if sent {
		return nil, Error.New("%w: %w", ErrBroken, err)
	}
	return nil, Error.New("%w: %w", ErrNotSent, err)
}

// send sends req, that of x, over a connection that has not carried its key. A replayable request is sent again if a connection that was
// idle ends without an answer. sent reports, for an error, whether a byte of the request may have been sent.
func (p *Conns) send(req *http.Request, x Exchange, head *headWatch) (resp *http.Response, c *conn, sent bool, err error) {
	for {
		c, reused, err := p.take(req.Context(), req.URL.Host, x.Key)
		if err != nil {
			return nil, nil, sent, err
		}
		c.expect(x)
		written := c.sealed.writtenBytes()
		tracked := req
		if ends := bounded.ConnOf(c.sealed); ends != nil {
			tracked = ends.Track(req)
		}
		resp, err := bounded.CheckSwitch(c.client.RoundTrip(tracked))
		if err == nil {
			c.answers.CheckBody(resp)
			return resp, c, true, nil
		}
		// Without the seal the request might be reported as not sent while the writer goroutine of the connection
		// still sends it.
		sent = c.sealed.seal(written) || sent
		c.client.Close()
		if malformed := c.answers.Err(); malformed != nil {
			return nil, nil, sent, malformed
		}
		if !reused || !replayable(req) || head.hasBegun() || req.Context().Err() != nil {
			return nil, nil, sent, err
		}
	}
}

// replayable reports whether net/http regards a request as one that may be sent twice; see ForbidReplay.
func replayable(req *http.Request) bool {
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return req.Body == nil || req.Body == http.NoBody
	}
	return false
}

// CloseIdleConnections closes the connections that carry no request.
func (p *Conns) CloseIdleConnections() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, idle := range all {
		for _, c := range idle {
			c.client.Close()
		}
	}
}

// take returns a connection to addr that has not carried key, and whether it has been used before.
func (p *Conns) take(ctx context.Context, addr, key string) (c *conn, reused bool, err error) {
	digest := keyDigest(key)
	c, others := p.takeIdle(addr, digest)
	if c != nil {
		return c, true, nil
	}
	if c, err = p.open(ctx, addr); err != nil {
		return nil, false, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.carries(digest)
	c.last = others // the idle ones are enough for requests with other keys
	return c, false, nil
}

// takeIdle returns the idle connection to addr that was used last and has not carried the key with a digest, or nil. others
// reports that there are idle connections that have.
func (p *Conns) takeIdle(addr string, digest uint32) (c *conn, others bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; digest == 0 || !slices.Contains(c.carried, digest) {
			p.remove(c)
			c.carries(digest)
			return c, false
		}
	}
	return nil, len(idle) > 0
}

// remove removes c from the idle connections. The caller holds p.mu.
func (p *Conns) remove(c *conn) {
	if !c.isIdle {
		return
	}
	c.isIdle = false
	c.expiry.Stop()
	idle := p.idle[c.addr]
	if i := slices.Index(idle, c); i >= 0 {
		idle = slices.Delete(idle, i, i+1)
	}
	if p.idle[c.addr] = idle; len(idle) == 0 {
		delete(p.idle, c.addr)
	}
}

// open opens a connection. One that is opened after ctx has ended is kept for other requests.
func (p *Conns) open(ctx context.Context, addr string) (*conn, error) {
	type result struct {
		c   *conn
		err error
	}
	opened := make(chan result)
	go func() {
		c, err := p.dial(addr)
		select {
		case opened <- result{c, err}:
		case <-ctx.Done():
			if err == nil {
				c.verify("")
			}
		}
	}()
	select {
	case r := <-opened:
		return r.c, r.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (p *Conns) dial(addr string) (*conn, error) {
	c := &conn{pool: p, addr: addr}
	ctx := context.WithValue(context.Background(), dialedKey{}, c)
	client, err := p.transport.NewClientConn(ctx, "http", addr)
	if err != nil {
		return nil, err
	}
	c.client = client
	client.SetStateHook(func(*http.ClientConn) { c.settle() })
	return c, nil
}
