package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"wigeondale/event"
	"wigeondale/linger"
)

// initialBackoffDivisor is the divisor of the heartbeat interval that gives the
// initial backoff of the dials to an address.
const initialBackoffDivisor = 4

// Long messages are compressed, each independently of the others.
//
// When hundreds of nodes with thousands of backend servers start together, each node
// sends large pages to its neighbours. Without compression these pages saturate slow
// network links. Calls to the registry then queue behind the pages and time out, so
// that nodes know all backend servers only half a minute after their start.
const (
	compression = websocket.CompressionNoContextTakeover
	// compressionThreshold is the length in bytes from which messages are compressed.
	// The tables of the compressor take about a megabyte of memory; nodes of small
	// fleets never allocate them, because their messages are shorter than the
	// threshold.
	compressionThreshold = 32 << 10
)

// errDuplicateLink means that the connection is closed because another link to
// the same node is kept, or because the remote node is this node itself.
var errDuplicateLink = errors.New("a link to the node exists")

// errUnreachable means that there was no answer at an address. Of the errors of a probe
// only this one makes the probed member suspect: a node that answers is alive, even if
// it refuses the connection because it is busy.
var errUnreachable = errors.New("no answer")

// dialState holds, for one address, whether a dial is in progress, the current backoff
// delay and the earliest time of the next dial.
type dialState struct {
	busy  bool
	delay time.Duration
	next  time.Time
}

// ServeHTTP accepts streams at streamPath and links at any other path. It returns when the
// stream or link has closed.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == streamPath {
		m.serveStream(w, r)
		return
	}
	done := make(chan struct{})
	accepted := m.start(func() {
		defer close(done)
		m.accept(w, r)
	})
	if !accepted {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	<-done
}

// accept performs the handshake and runs the link.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	l, err := m.acceptLink(w, r)
	if err != nil {
		m.recordHandshakeFailure(r.RemoteAddr, err)
		return
	}
	m.runLink(l)
}

func (m *Mesh) acceptLink(w http.ResponseWriter, r *http.Request) (*link, error) {
	ctx, end := m.handshakes.begin(m.runCtx)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: compression, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l, err := m.establish(ctx, c, nil)
	return l, withCause(ctx, err)
}

// withCause returns err, or the reason why ctx ended it.
func withCause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errTooManyHandshakes) {
		return errTooManyHandshakes
	}
	return err
}

// establish performs the handshake on a connection and registers the link. Until
// the remote node has proved the key, it may only send small messages.
func (m *Mesh) establish(ctx context.Context, c *websocket.Conn, check func(Record) error) (*link, error) {
	c.SetReadLimit(maxHandshakeBytes)
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	hs := handshaker{conn: c, key: m.key, self: self, protocol: protocolVersion}
	var rec Record
	var err error
	if check != nil {
		rec, err = hs.dial(ctx, check)
	} else {
		rec, err = hs.accept(ctx)
	}
	if err != nil {
		c.CloseNow()
		return nil, err
	}
	c.SetReadLimit(int64(m.cfg.MaxMessage))
	dialer := rec.ID
	if check != nil {
		dialer = m.cfg.ID
	}
	l := newLink(m, c, rec, dialer)
	if err := m.registerLink(l, rec); err != nil {
		c.CloseNow()
		return nil, err
	}
	return l, nil
}

// checkDialled returns an error if the dialled node is not the expected one, is this
// node itself, or is linked already. In the last case the dialler must end the
// handshake, because otherwise the acceptor would replace the existing healthy link by
// the new one.
func (m *Mesh) checkDialled(rec Record, wantID string) error {
	if wantID != "" && rec.ID != wantID {
		return Error.New("%w: dialled node %s, reached node %s", ErrHandshake, wantID, rec.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, exists := m.links[rec.ID]
	if rec.ID == m.cfg.ID || exists && rec.Incarnation <= old.incarnation {
		return Error.Wrap(errDuplicateLink)
	}
	return nil
}

func (m *Mesh) recordHandshakeFailure(remote string, err error) {
	if errors.Is(err, errDuplicateLink) || errors.Is(err, ErrStopped) {
		return
	}
	if errors.Is(err, errTooManyHandshakes) || errors.Is(err, errTooManyStreams) {
		m.metrics.rejected[rejectBusy].Inc()
		return
	}
	m.metrics.rejected[rejectHandshake].Inc()
	m.log.Emit(event.PeerHandshakeRefused, "remote", remote, "error", err.Error())
}

// runLink sends and receives the link's messages until it closes.
func (m *Mesh) runLink(l *link) {
	m.log.Emit(event.PeerLinkUp, "peer", l.node)
	l.run(m.runCtx)
	m.mu.Lock()
	if m.links[l.node] == l {
		delete(m.links, l.node)
		m.linkClosed(l)
	}
	m.mu.Unlock()
	m.metrics.linksLost[l.closeReason()].Inc()
	m.log.Emit(event.PeerLinkLost, "peer", l.node, "reason", l.closeReason())
	m.requestTick()
}

// linkClosed updates the entry of the remote node after its link has closed: it records
// when this node last received from the remote node, and drops the remote node's demand,
// which is known for linked nodes only.
func (m *Mesh) linkClosed(l *link) {
	e, ok := m.table.byID[l.node]
	if !ok {
		return
	}
	e.lastReceived = l.receivedAt()
	e.demand = nil
}

// dial dials the node that listens at addr and returns the new link. If the handshake
// shows that a link to the expected node exists already, dial keeps and returns the
// existing link. wantID is the id of the expected node, or empty for a seed, of which
// any id is accepted.
func (m *Mesh) dial(ctx context.Context, addr, wantID string) (*link, error) {
	ch := m.dialer.DoChan(addr, func() (any, error) { return m.dialOnce(addr, wantID) })
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoRoute, ctx.Err())
	case r := <-ch:
		if r.Err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoRoute, r.Err)
		}
		l := r.Val.(*link)
		if wantID != "" && l.node != wantID {
			return nil, fmt.Errorf("%w: reached node %s instead at %s", ErrNoRoute, l.node, addr)
		}
		return l, nil
	}
}

// dialTCP opens a TCP connection with a timeout of its own. http.Transport
// continues to dial after its request has been abandoned, so that attempts to
// reach an address that does not answer would accumulate until the kernel's
// timeout of several minutes.
func (m *Mesh) dialTCP(_ context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(m.runCtx, m.cfg.DialTimeout)
	defer cancel()
	return m.cfg.Dial(ctx, network, addr)
}

// dialStream opens the connection of a stream, whose end drops what the other node has not received: a request that was
// given up must not reach it later.
func (m *Mesh) dialStream(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := m.dialTCP(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return linger.Conn{Conn: c}, nil
}

func (m *Mesh) dialOnce(addr, wantID string) (*link, error) {
	ctx, cancel := context.WithTimeout(m.runCtx, m.cfg.DialTimeout)
	defer cancel()
	scheme := "ws://"
	if m.cfg.TLS != nil {
		scheme = "wss://"
	}
	c, resp, err := websocket.Dial(ctx, scheme+addr+Path, &websocket.DialOptions{
		HTTPClient: m.client, CompressionMode: compression, CompressionThreshold: compressionThreshold,
	})
	if err != nil && resp == nil {
		m.metrics.dialFails.Inc()
		return nil, Error.New("%w: %w", errUnreachable, err)
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l, err := m.establish(ctx, c, func(rec Record) error { return m.checkDialled(rec, wantID) })
	if errors.Is(err, errDuplicateLink) && wantID != "" {
		return m.existingLink(wantID)
	}
	if err != nil {
		m.recordHandshakeFailure(addr, err)
		return nil, err
	}
	if !m.start(func() { m.runLink(l) }) {
		l.close(lostClosed)
		c.CloseNow()
		return nil, Error.Wrap(ErrStopped)
	}
	return l, nil
}

// backoff sets the time of the next dial and doubles the delay for the dial after
// it. The jitter prevents nodes that lost their links at the same time from
// dialling at the same time.
func (s *dialState) backoff(now time.Time, first, limit time.Duration) {
	s.delay = min(max(s.delay*2, first), limit)
	jittered := s.delay/2 + rand.N(s.delay)
	s.next = now.Add(jittered)
}
