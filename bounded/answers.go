package bounded

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// AnswerReader reads the answers of a server, and returns an error that wraps ErrMalformed where the head or the trailer section of one is
// malformed. The bytes before that line may be read, but never the end of the head or of the trailer section that holds it.
type AnswerReader struct {
	r io.Reader

	mu          sync.Mutex
	framing     framing
	err         error
	onMalformed func(error)
}

// NewAnswerReader returns an AnswerReader of r.
func NewAnswerReader(r io.Reader) *AnswerReader { return &AnswerReader{r: r} }

// OnMalformed sets a function that is called at the malformed line, once.
func (a *AnswerReader) OnMalformed(f func(error)) { a.onMalformed = f }

// Expect states the method of the request that is sent next. Whether the answer has a body depends on it.
func (a *AnswerReader) Expect(method string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.framing.method = method
}

// Err returns the error of a malformed answer, if there was one.
func (a *AnswerReader) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// Read implements io.Reader.
func (a *AnswerReader) Read(p []byte) (int, error) {
	if err := a.Err(); err != nil {
		return 0, err
	}
	n, err := a.r.Read(p)
	a.mu.Lock()
	begins := a.framing.part == statusLine && len(a.framing.line) == 0
	sound, malformed := a.framing.check(p[:n])
	a.err = malformed
	a.mu.Unlock()
	if malformed == nil {
		return n, err
	}
	if a.onMalformed != nil {
		a.onMalformed(malformed)
	}
	if begins && sound == 0 {
		// One byte shows net/http that the answer has begun, so that it doesn't send the request again.
		sound = 1
	}
	return sound, malformed
}

// checkedBody is the body of an answer, whose errors tell whether the answer is malformed.
type checkedBody struct {
	io.ReadCloser
	ctx     context.Context // of the request
	answers *AnswerReader
}

// CheckBody has the body of resp, an answer that was read from a, return the error of a if the answer is malformed.
func (a *AnswerReader) CheckBody(resp *http.Response) {
	if resp.Body == http.NoBody || resp.StatusCode == http.StatusSwitchingProtocols {
		return
	}
	ctx := context.Background()
	if resp.Request != nil {
		ctx = resp.Request.Context()
	}
	resp.Body = checkedBody{ReadCloser: resp.Body, ctx: ctx, answers: a}
}

// ErrTrailers means that the body of an answer was read to its last chunk, and the trailer section behind it could not be read.
var ErrTrailers = errors.New("the trailer section of the answer can't be read")

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	if malformed := b.answers.Err(); malformed != nil {
		return n, malformed
	}
	if b.ctx.Err() == nil && b.answers.inTrailers() {
		// The chunks are buffered by then, so an error of the connection comes behind them.
		err = Error.New("%w: %w", ErrTrailers, err)
	}
	return n, err
}

// inTrailers reports whether the last chunk of an answer has arrived, and the end of its trailer section has not.
func (a *AnswerReader) inTrailers() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.framing.part == trailerLines
}

// CheckHead returns an error if the head of the answer at the begin of b is malformed, or isn't whole.
func CheckHead(b []byte) error {
	var f framing
	_, err := f.check(b)
	switch {
	case f.finishedHeads > 0:
		return nil
	case err != nil:
		return err
	}
	return Error.Wrap(io.ErrUnexpectedEOF)
}

// AnswerConn is a connection of a client whose answers are checked as by AnswerReader.
type AnswerConn struct {
	net.Conn
	*AnswerReader
}

// NewAnswerConn returns an AnswerConn over c.
func NewAnswerConn(c net.Conn) *AnswerConn {
	return &AnswerConn{Conn: c, AnswerReader: NewAnswerReader(c)}
}

// Read implements net.Conn.
func (c *AnswerConn) Read(p []byte) (int, error) { return c.AnswerReader.Read(p) }

// CheckAnswers has t check the answers on the connections that it opens from now on. A request with another method than GET needs
// Expect.
func CheckAnswers(t *http.Transport) {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if checked, ok := c.(*AnswerConn); ok {
			return checked, nil
		}
		return NewAnswerConn(c), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return checkedTLS(ctx, t, c, addr)
	}
}

// checkedTLS opens a session over c as t would. Answers over HTTP/2 have no lines to check.
func checkedTLS(ctx context.Context, t *http.Transport, c net.Conn, addr string) (net.Conn, error) {
	cfg := t.TLSClientConfig.Clone()
	if cfg == nil {
		cfg = &tls.Config{}
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			c.Close()
			return nil, Error.Wrap(err)
		}
		cfg.ServerName = host
	}
	if t.TLSHandshakeTimeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer stop()
	}
	session := tls.Client(c, cfg)
	if err := session.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, err
	}
	if session.ConnectionState().NegotiatedProtocol == "h2" {
		return session, nil
	}
	return NewAnswerConn(session), nil
}

// roundTrip sends req with t, states its method to the connection that carries it, and returns the error of that connection if the answer
// is malformed.
func roundTrip(t *http.Transport, req *http.Request) (*http.Response, error) {
	var carrier atomic.Pointer[AnswerReader]
	var ends atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*AnswerConn)
			if !ok {
				return // HTTP/2, whose answers don't end with their connection
			}
			c.Expect(req.Method)
			carrier.Store(c.AnswerReader)
			if below := ConnOf(c); below != nil {
				below.track()
				ends.Store(below)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := ends.Load(); c != nil {
				c.wroteRequest(info)
			}
		},
	}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	a := carrier.Load()
	switch {
	case a == nil:
	case err != nil:
		err = cmp.Or(a.Err(), err)
	default:
		a.CheckBody(resp)
	}
	return resp, err
}

// CheckStatus returns its arguments, or an error for a status that no answer has. It finds those of HTTP/2.
func CheckStatus(resp *http.Response, err error) (*http.Response, error) {
	if err == nil && (resp.StatusCode < 100 || resp.StatusCode > 599) {
		_ = resp.Body.Close() // the answer is given up, whatever Close returns
		return nil, malformed("status %d", resp.StatusCode)
	}
	return resp, err
}
