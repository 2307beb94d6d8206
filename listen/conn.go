package listen

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/bounded"
)

const (
	// memoryWait is how long a request waits for the memory that others hold.
	memoryWait = time.Second
	// lingerTime is how long a connection stays open after a refusal, so that a reset does not discard the answer.
	lingerTime = 500 * time.Millisecond
	// longRequest is the size from which a request takes turns with others, and has a larger receive buffer.
	longRequest = 16 << 10
	// longReceiveBuffer is the receive buffer of a long request, in bytes.
	longReceiveBuffer = 64 << 10
	// writePiece is the most that is written at a time, so that slow progress differs from none.
	writePiece = 64 << 10
	// unreadTime is how long a client may take no bytes of its answer while other answers wait for memory.
	unreadTime = time.Second
)

var (
	errHeadTooLong = errors.New("header too long")
	errClaimed     = errors.New("connection closed for another one")
)

// phase is what a connection waits for.
type phase int

const (
	idle      phase = iota // the first byte of a request
	handshake              // the end of the TLS handshake
	head                   // the rest of its head
	active                 // the body, or the end of the handler
	taken                  // nothing: another protocol uses the connection
)

// conn accounts for the requests of one connection while they arrive.
type conn struct {
	net.Conn           // decrypted
	raw      net.Conn  // as accepted
	tls      *tls.Conn // nil without TLS
	clients  *clients
	turn     turn

	mu       sync.Mutex
	phase    phase
	since    time.Time // of the phase
	hold     *bounded.Hold
	multi    *multiplexed // nil unless the connection carries several requests
	received int          // bytes of the current request
	readBy   time.Time    // the deadline that http.Server has set, which counts while the connection is active
	stopped  bool
	claimed  bool    // it is being closed for another one, and runs no further request
	enlarged bool    // the receive buffer
	opening  opening // of the goroutine that reads

	unsent       int          // bytes in the send buffer while a write is blocked
	unsentAt     int64        // Unix time at which unsent changed, in ns
	writingSince atomic.Int64 // Unix time of the piece that is being written, in ns; 0: none

	closeOnce sync.Once
	closeErr  error
}

func newConn(raw net.Conn, c *clients, now time.Time) *conn {
	n := &conn{Conn: raw, raw: raw, clients: c, since: now}
	if c.tls != nil {
		n.tls = tls.Server(encrypted{raw, n}, c.tls)
		n.Conn, n.phase = n.tls, handshake
	}
	n.turn.turns = c.turns
	_ = raw.SetReadDeadline(now.Add(c.cfg.limits().IdleTimeout)) // an error shows at the next read
	return n
}

// Read implements net.Conn.
func (n *conn) Read(p []byte) (int, error) {
	n.turn.end()
	if err := n.shake(); err != nil {
		return 0, err
	}
	read, err := n.Conn.Read(p)
	if read == 0 {
		return 0, err
	}
	if accountErr := n.accountOpening(p[:read]); accountErr != nil {
		// http.Server closes the connection without an answer of its own after this type of error.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: accountErr}
	}
	return read, err
}

// account records bytes that have arrived.
func (n *conn) account(data []byte) error {
	n.mu.Lock()
	if n.claimed {
		n.mu.Unlock()
		return errClaimed
	}
	if n.phase == taken {
		n.mu.Unlock()
		return nil
	}
	if n.multi != nil {
		n.mu.Unlock()
		return n.accountFrames(data)
	}
	if n.phase == idle {
		n.beginHead(time.Now())
	}
	n.received += len(data)
	hold, inHead, received := n.hold, n.phase == head, n.received
	n.mu.Unlock()
	hold.Received(int64(len(data)))
	if inHead {
		return n.accountHead(hold, data, received)
	}
	if received > longRequest {
		n.enlarge(hold)
		n.turn.begin()
	}
	return nil
}

// beginHead starts the time of a head at its first byte.
func (n *conn) beginHead(now time.Time) {
	n.phase, n.since, n.received = head, now, 0
	n.hold = n.clients.hold(n)
	if !n.stopped {
		_ = n.Conn.SetReadDeadline(now.Add(n.clients.cfg.limits().HeaderTimeout))
	}
}

func (n *conn) accountHead(hold *bounded.Hold, data []byte, received int) error {
	if received > n.clients.cfg.limits().HeaderBytes+headSlack {
		n.clients.countDrop(reasonTooLong)
		n.refuse(http.StatusRequestHeaderFieldsTooLarge, 0)
		return errHeadTooLong
	}
	lines := bytes.Count(data, []byte{'\n'})
	err := hold.Grow(context.Background(), int64(len(data))*bounded.MemoryPerByte+int64(lines)*bounded.MemoryPerLine)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bounded.ErrNoMemory):
		n.clients.countDrop(reasonMemory)
		n.refuse(http.StatusServiceUnavailable, memoryWait)
	}
	return err
}

// enlarge gives a long request a larger receive buffer, if there is memory for it.
func (n *conn) enlarge(hold *bounded.Hold) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.enlarged || n.clients.cfg.ReceiveBytes == 0 || n.clients.cfg.ReceiveBytes >= longReceiveBuffer || !hold.TryGrow(longReceiveBuffer) {
		return
	}
	n.enlarged = true
	n.setReceiveBuffer(longReceiveBuffer)
}

func (n *conn) setReceiveBuffer(size int) {
	if tcp, ok := n.raw.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size) // the size before stays
	}
}

// refuse answers a request whose head isn't complete, and so has not run.
func (n *conn) refuse(status int, retryAfter time.Duration) {
	retry := ""
	if retryAfter > 0 {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(retryAfter.Seconds()))
	}
	_ = n.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := fmt.Fprintf(n.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry); err != nil {
		return
	}
	if n.CloseWrite() == nil {
		time.Sleep(lingerTime)
	}
}

// setState follows the states of http.Server.
func (n *conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		n.mu.Lock()
		n.phase, n.since = active, time.Now()
		if !n.stopped {
			_ = n.Conn.SetReadDeadline(n.readBy)
		}
		n.mu.Unlock()
	case http.StateIdle:
		n.turn.end()
		n.endRequest(idle)
	case http.StateHijacked:
		n.endRequest(taken)
		if n.clients.cfg.ReceiveBytes > 0 {
			n.setReceiveBuffer(longReceiveBuffer)
		}
	}
}

// endRequest frees what the request that has ended held.
func (n *conn) endRequest(next phase) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.phase, n.since, n.received = next, now, 0
	if n.multi != nil {
		return
	}
	n.hold.Close()
	n.hold = nil
	if n.enlarged {
		n.enlarged = false
		n.setReceiveBuffer(n.clients.cfg.ReceiveBytes)
	}
	switch {
	case n.stopped:
	case next == idle:
		_ = n.Conn.SetReadDeadline(now.Add(n.clients.cfg.limits().IdleTimeout))
	default:
		_ = n.Conn.SetReadDeadline(n.readBy)
	}
}

// SetReadDeadline implements net.Conn. Before a head is complete, the limits of the listener count, which may follow the configuration
// in force.
func (n *conn) SetReadDeadline(t time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readBy = t
	if n.stopped || n.phase < active && n.multi == nil {
		return nil
	}
	return n.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (n *conn) SetDeadline(t time.Time) error {
	return errors.Join(n.SetReadDeadline(t), n.Conn.SetWriteDeadline(t))
}

// activity returns since when the connection is idle, or the progress of what arrives. A connection with several requests has the progress
// of the fastest, since all of them end with it.
func (n *conn) activity(now time.Time) (since time.Time, progress float64, isIdle bool) {
	n.mu.Lock()
	since, hold := n.since, n.hold
	isIdle = n.phase == idle && hold == nil || n.phase == handshake && n.received == 0
	var streams []*stream
	if n.multi != nil {
		streams = slices.Collect(maps.Keys(n.multi.streams))
	}
	n.mu.Unlock()
	if len(streams) == 0 {
		return since, hold.Progress(now), isIdle
	}
	for _, s := range streams {
		progress = max(progress, s.progress(now))
	}
	return since, progress, false
}
