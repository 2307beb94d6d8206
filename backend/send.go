package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	idleConnsPerSrv = 256
	readBufferBytes = 8 << 10
)

// DialConfig says how connections are opened.
type DialConfig struct {
	Timeout time.Duration // of opening one
	// UnackedTimeout ends a connection on which sent bytes, or probes while it is
	// idle, are not acknowledged for so long. Without it a connection that fell
	// silent for good, or whose machine lost power, is found out minutes later.
	// 0 leaves it to the system.
	UnackedTimeout time.Duration
	BufferBytes    int // bytes
}

// newTransport returns the transport for the product's own protocol.
func newTransport() *http.Transport {
	return NewTransport(DialConfig{Timeout: dialTimeout, BufferBytes: readBufferBytes})
}

// NewTransport returns a transport that speaks HTTP/1.1 only: HTTP/2 repeats
// requests after GOAWAY.
func NewTransport(d DialConfig) *http.Transport {
	dialer := d.dialer()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		Protocols: &protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &sealConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerSrv,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      d.BufferBytes,
		WriteBufferSize:     d.BufferBytes,
	}
}

func (d DialConfig) dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: d.Timeout}
	if d.UnackedTimeout <= 0 {
		return dialer
	}
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: d.UnackedTimeout / 2, Interval: d.UnackedTimeout / 4, Count: 2,
	}
	dialer.Control = func(_, _ string, c syscall.RawConn) error {
		var err error
		set := func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UnackedTimeout.Milliseconds()))
		}
		return errors.Join(c.Control(set), err)
	}
	return dialer
}

// sealConn counts what was written, and can be sealed against later writes.
// Without the seal, a request whose context ends just before its first write
// could be called unsent while the transport's writer goroutine still sends it.
type sealConn struct {
	net.Conn
	mu      sync.Mutex
	sealed  bool
	written int64
}

func (c *sealConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	// Counted before the write: a byte that may have left has left.
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealConn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all later writes and reports whether any byte followed mark.
func (c *sealConn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written != mark
}

type usedConn struct {
	conn *sealConn
	mark int64
}

// sentWatch follows which connections one request was given.
type sentWatch struct {
	mu      sync.Mutex
	used    []usedConn
	foreign bool // a connection that can't be sealed
}

func (w *sentWatch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := info.Conn.(*sealConn)
	if !ok {
		w.foreign = true
		return
	}
	w.used = append(w.used, usedConn{conn: c, mark: c.mark()})
}

func (w *sentWatch) mayHaveSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := w.foreign
	for _, u := range w.used {
		if u.conn.seal(u.mark) {
			sent = true
		}
	}
	return sent
}

// RoundTrip sends req once, follows no redirect, and turns an error into
// ErrDial or ErrBroken.
func RoundTrip(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	w := &sentWatch{}
	trace := &httptrace.ClientTrace{GotConn: w.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := rt.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if w.mayHaveSent() {
		return nil, Error.New("%w: %w", ErrBroken, err)
	}
	return nil, Error.New("%w: %w", ErrNotSent, err)
}

// OnceBody hides the type of a body from net/http, which then can't rewind it
// and so doesn't repeat the request.
type OnceBody struct{ io.Reader }

// Close implements io.Closer.
func (OnceBody) Close() error { return nil }
