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
	select {
	case m.handshakeSlots <- struct{}{}:
	default:
		m.metrics.rejected[rejectBusy].Inc()
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	done := make(chan struct{})
	accepted := m.start(func() {
		defer close(done)
		m.accept(w, r)
	})
	if !accepted {
		<-m.handshakeSlots
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	<-done
}

// accept performs the handshake and runs the link. The caller has acquired a slot
// in handshakeSlots, which accept releases after the handshake.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	l, err := m.acceptLink(w, r)
	<-m.handshakeSlots
	if err != nil {
		m.recordHandshakeFailure(r.RemoteAddr, err)
		return
	}
	m.runLink(l)
}

func (m *Mesh) acceptLink(w http.ResponseWriter, r *http.Request) (*link, error) {
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: compression, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(m.runCtx, m.cfg.DialTimeout)
	defer cancel()
	return m.establish(ctx, c, nil)
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

func (m *Mesh) existingLink(node string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[node]; ok {
		return l, nil
	}
	return nil, Error.Wrap(errDuplicateLink)
}

// registerLink adds an authenticated link to the mesh. If a link to the same node exists,
// replaces decides which of the two links is kept.
func (m *Mesh) registerLink(l *link, rec Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return Error.Wrap(ErrStopped)
	}
	if l.node == m.cfg.ID {
		return Error.Wrap(errDuplicateLink) // the seed is this node's own address
	}
	old, exists := m.links[l.node]
	if exists && !replaces(old, l, 2*m.cfg.Heartbeat) {
		m.metrics.linksLost[lostDuplicate].Inc()
		return Error.Wrap(errDuplicateLink)
	}
	if !exists && len(m.links) >= m.cfg.MaxLinks {
		m.metrics.rejected[rejectBusy].Inc()
		return Error.New("too many links: %d are open", len(m.links))
	}
	if exists {
		old.close(lostReplaced)
		m.linkClosed(old)
	}
	m.links[l.node] = l
	m.metrics.linksUp.Inc()
	m.initLink(l, rec)
	return nil
}

// replaces reports whether link l replaces the link old to the same node. Both nodes
// must keep the same link: if both dialled at the same time, they keep the link dialled
// by the node with the lower id. If the same node dialled both links, it has lost the
// old link, even if the old link still appears open at the other end, so the new link
// replaces the old one. Otherwise a half-open link would block the new link until the
// half-open link times out.
func replaces(old, l *link, silence time.Duration) bool {
	switch {
	case l.incarnation != old.incarnation:
		return l.incarnation > old.incarnation
	case l.dialer == old.dialer:
		return true
	case l.receivedAt().Sub(old.receivedAt()) > silence:
		return true
	}
	return l.dialer < old.dialer
}

// initLink sends the initial state over a new link and runs the callbacks
// registered with OnLink.
func (m *Mesh) initLink(l *link, rec Record) {
	m.mergeRecord(rec)
	for account := range m.demand {
		l.pendingDemand[account] = struct{}{}
	}
	l.sendBody(typeRecords, recordBatch{Records: m.initialRecords(rec.ID)})
	l.sendBody(typeSync, m.digest(false))
	l.sendBody(typeHeartbeat, m.heartbeatFor(l))
	for _, fn := range m.onLink {
		m.startLocked(func() { fn(l.node) })
	}
	m.requestTick()
}

// initialRecords returns this node's record and, if this node considers the
// remote node suspect or dead, the remote node's record, so that the remote node
// can refute it.
func (m *Mesh) initialRecords(node string) []Record {
	out := []Record{m.self}
	if e, ok := m.table.byID[node]; ok && e.rec.Status != Alive {
		out = append(out, e.rec)
	}
	return out
}

// backoff sets the time of the next dial and doubles the delay for the dial after
// it. The jitter prevents nodes that lost their links at the same time from
// dialling at the same time.
func (s *dialState) backoff(now time.Time, first, limit time.Duration) {
	s.delay = min(max(s.delay*2, first), limit)
	jittered := s.delay/2 + rand.N(s.delay)
	s.next = now.Add(jittered)
}
