package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wigeondale/bounded"
	"wigeondale/linger"
)

const (
	dialTimeout     = 2 * time.Second
	readBufferBytes = 8 << 10
)

// DialConfig configures how connections to backend servers are opened, and when an
// unresponsive connection is closed.
type DialConfig struct {
	Timeout time.Duration // for opening a connection
	// UnackedTimeout is how long sent bytes, or keep-alive probes on an idle connection,
	// may stay unacknowledged before the connection is closed. Without this timeout, a
	// connection whose peer is unreachable or lost power fails only minutes later. 0 uses
	// the defaults of the operating system.
	UnackedTimeout time.Duration
	// Outage, used instead if it is set, is how long the peer's machine may be unreachable at any moment without
	// that the connection is closed, whether it is idle or not. The connection to a machine that is lost is closed
	// within two seconds more.
	Outage time.Duration
	// DropUnsent has a connection drop what it still holds if it is closed while it carries a request, see package linger.
	DropUnsent  bool
	BufferBytes int // size of the read buffer and of the write buffer, in bytes
	// Dial opens the TCP connections. If it is nil, a net.Dialer does.
	Dial DialFunc
	// Connections, if set, is notified of connections that open, don't open, or are lost.
	Connections ConnObserver
	// Named reads the answers that arrive on idle connections. It is needed for Conns.SetMisplaced.
	Named NamedRequest
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ConnObserver is notified of the state of the network on the way to backend servers. Its
// methods must not block.
type ConnObserver interface {
	// ConnOpened is called when a connection to addr has been opened.
	ConnOpened(addr string)
	// ConnFailed is called when a connection to addr could not be opened, or when an open one
	// was reset or timed out.
	ConnFailed(addr string, err error)
}

// newConns returns the connections for the engine protocol.
func newConns(dial DialFunc, o ConnObserver) *Conns {
	return NewConns(DialConfig{Timeout: dialTimeout, BufferBytes: readBufferBytes, Dial: dial, Connections: o, Named: namedRequest})
}

// NewTransport returns a transport that speaks HTTP/1.1 only, because HTTP/2
// resends requests after GOAWAY. Heads of answers are bounded and checked.
func NewTransport(d DialConfig) bounded.Transport {
	dial := d.Dial
	if dial == nil {
		dial = d.dialer().DialContext
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return bounded.NewTransport(&http.Transport{
		Protocols:           &protocols,
		DialContext:         d.sealing(bounded.ConfirmEnds(dial)),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerSrv,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      d.BufferBytes,
		WriteBufferSize:     d.BufferBytes,
	})
}

// sealing returns a DialFunc that opens connections with dial as configured. Each is a sealConn, and its answers are checked.
func (d DialConfig) sealing(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.open(ctx, dial, network, addr)
		if err != nil {
			return nil, err
		}
		sealed := &sealConn{Conn: c, addr: addr, observer: d.Connections, dropUnsent: d.DropUnsent}
		checked := bounded.NewAnswerConn(sealed)
		if dialed, ok := ctx.Value(dialedKey{}).(*conn); ok {
			dialed.sealed, sealed.received = sealed, dialed.received
			dialed.answers = checked.AnswerReader
			checked.OnMalformed(dialed.malformed)
		}
		return checked, nil
	}
}

// open opens a connection with dial, within the timeout, and notifies the observer.
func (d DialConfig) open(ctx context.Context, dial DialFunc, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	c, err := dial(ctx, network, addr)
	if d.Connections == nil || errors.Is(err, context.Canceled) {
		return c, err
	}
	if err != nil {
		d.Connections.ConnFailed(addr, err)
		return nil, err
	}
	d.Connections.ConnOpened(addr)
	return c, nil
}

const (
	// probeInterval is the time between keep-alive probes, of which the kernel takes whole seconds.
	probeInterval = time.Second
	// userTimeoutMargin lets the probe that is sent when the outage ends be answered: a connection whose user
	// timeout has passed is closed at the next probe if the one before has no answer, whatever their count.
	userTimeoutMargin = 100 * time.Millisecond
)

func (d DialConfig) dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: d.Timeout}
	idle, interval, userTimeout := d.UnackedTimeout/2, d.UnackedTimeout/4, d.UnackedTimeout
	if d.Outage > 0 {
		idle, interval = probeInterval, probeInterval
		userTimeout = (d.Outage + probeInterval - 1).Truncate(probeInterval) + probeInterval + userTimeoutMargin
	}
	if userTimeout <= 0 {
		return dialer
	}
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: 2}
	dialer.Control = func(_, _ string, c syscall.RawConn) error {
		var err error
		set := func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		}
		return errors.Join(c.Control(set), err)
	}
	return dialer
}

// sealConn counts the bytes written and can be sealed against further writes.
// Without the seal, a request whose context ends just before its first write
// could be reported as not sent while the transport's writer goroutine still
// sends it.
type sealConn struct {
	net.Conn
	addr     string
	observer ConnObserver // nil: none

	received   func([]byte) // called with the bytes of each read; nil: not called
	dropUnsent bool         // see DialConfig
	carries    atomic.Bool  // a request has been assigned to it, and it is not idle since

	mu      sync.Mutex
	sealed  bool
	written int64
}

// NetConn returns the connection below.
func (c *sealConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The transport reads a connection also while it is idle, so that the
// observer is notified when an idle connection is lost.
func (c *sealConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.received != nil {
		c.received(p[:n])
	}
	if err != nil && c.observer != nil && connectionLost(err) {
		c.observer.ConnFailed(c.addr, err)
	}
	return n, err
}

// connectionLost reports whether an error of a read means that the connection was reset or timed
// out, not that either side closed it.
func connectionLost(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

func (c *sealConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	// The bytes are counted before the write, so that bytes that may have been sent count
	// as sent.
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Close implements net.Conn.
func (c *sealConn) Close() error {
	if c.dropUnsent && c.carries.Load() {
		linger.DropUnsent(c.Conn)
	}
	return c.Conn.Close()
}

// seal prevents all further writes and reports whether any byte was written since
// writtenBytes returned writtenBefore.
func (c *sealConn) seal(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written != writtenBefore
}

// OnceBody hides the type of a body from net/http, which then can't rewind it
// and so doesn't resend the request.
type OnceBody struct{ io.Reader }

// Close implements io.Closer.
func (OnceBody) Close() error { return nil }
