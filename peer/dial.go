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

// firstBackoffShare gives the wait after the first failed dial of an address, as a share
// of the heartbeat interval.
const firstBackoffShare = 4

// Long messages are compressed, each by itself.
//
// What goes wrong without it: a start of hundreds of nodes with thousands of backend
// servers has each node pass large pages to its neighbours. Slow lines are full, calls to the
// registry wait behind them and time out. It shows as nodes that know all backend servers
// half a minute after their start.
const (
	compression = websocket.CompressionNoContextTakeover
	// compressedFrom is the length in bytes from which it pays. The tables of the
	// compressor take about a megabyte, which nodes of small fleets never need.
	compressedFrom = 32 << 10
)

// errDuplicate means that a link to the same node is kept instead.
var errDuplicate = errors.New("a link to the node exists")

// errUnreachable means that nothing answered at an address: a node that answers,
// even by a refusal because it is busy, is alive.
var errUnreachable = errors.New("nothing answers")

// dialState paces the dials of one address.
type dialState struct {
	busy  bool
	delay time.Duration
	next  time.Time
}

// ServeHTTP accepts links from other nodes at any path. It returns when the
// link ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case m.shakes <- struct{}{}:
	default:
		m.met.rejected[rejectBusy].Inc()
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	done := make(chan struct{})
	accepted := m.start(func() {
		defer close(done)
		m.accept(w, r)
	})
	if !accepted {
		<-m.shakes
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	<-done
}

// accept owns one place in shakes until the handshake has ended.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	l, err := m.acceptLink(w, r)
	<-m.shakes
	if err != nil {
		m.refused(r.RemoteAddr, err)
		return
	}
	m.runLink(l)
}

func (m *Mesh) acceptLink(w http.ResponseWriter, r *http.Request) (*link, error) {
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: compression, CompressionThreshold: compressedFrom,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(m.life, m.cfg.DialTimeout)
	defer cancel()
	return m.establish(ctx, c, nil)
}

// establish runs the handshake on a connection and adopts the link. Until the
// key is proved the connection may only send small messages.
func (m *Mesh) establish(ctx context.Context, c *websocket.Conn, wanted func(Record) error) (*link, error) {
	c.SetReadLimit(maxHandshakeBytes)
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	rec, err := shake(ctx, c, m.key, self, wanted)
	if err != nil {
		c.CloseNow()
		return nil, err
	}
	c.SetReadLimit(int64(m.cfg.MaxMessage))
	by := rec.ID
	if wanted != nil {
		by = m.cfg.ID
	}
	l := newLink(m, c, rec, by)
	if err := m.adopt(l, rec); err != nil {
		c.CloseNow()
		return nil, err
	}
	return l, nil
}

// wanted refuses, on the dialling side, what the dial was not meant for: another
// node than the expected one, this node itself, or a node that is linked already,
// whose healthy link the acceptor would replace.
func (m *Mesh) wanted(rec Record, want string) error {
	if want != "" && rec.ID != want {
		return Error.New("%w: dialled %s, found %s", ErrHandshake, want, rec.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, exists := m.links[rec.ID]
	if rec.ID == m.cfg.ID || exists && rec.Incarnation <= old.inc {
		return Error.Wrap(errDuplicate)
	}
	return nil
}

func (m *Mesh) refused(remote string, err error) {
	if errors.Is(err, errDuplicate) || errors.Is(err, ErrStopped) {
		return
	}
	m.met.rejected[rejectHandshake].Inc()
	m.log.Emit(event.PeerHandshakeRefused, "remote", remote, "error", err.Error())
}

// runLink moves the link's messages until it ends.
func (m *Mesh) runLink(l *link) {
	m.log.Emit(event.PeerLinkUp, "peer", l.node)
	l.run(m.life)
	m.mu.Lock()
	if m.links[l.node] == l {
		delete(m.links, l.node)
		m.linkEnded(l)
	}
	m.mu.Unlock()
	m.met.linksLost[l.whyClosed()].Inc()
	m.log.Emit(event.PeerLinkLost, "peer", l.node, "reason", l.whyClosed())
	m.wake()
}

func (m *Mesh) linkEnded(l *link) {
	e, ok := m.table.byID[l.node]
	if !ok {
		return
	}
	e.lastHeard = l.heard()
	e.demand = nil
}

// dial returns a link to the node that listens at addr, made now or already
// there. want is the expected node id, or empty for a seed.
func (m *Mesh) dial(ctx context.Context, addr, want string) (*link, error) {
	ch := m.dialer.DoChan(addr, func() (any, error) { return m.dialOnce(addr, want) })
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoRoute, ctx.Err())
	case r := <-ch:
		if r.Err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoRoute, r.Err)
		}
		l := r.Val.(*link)
		if want != "" && l.node != want {
			return nil, fmt.Errorf("%w: %s is at %s", ErrNoRoute, l.node, addr)
		}
		return l, nil
	}
}

// dialTCP bounds a connection attempt itself. http.Transport goes on dialling
// after the request that asked has been given up, so attempts at an address
// that answers nothing would pile up until the kernel's own timeout of minutes.
func (m *Mesh) dialTCP(_ context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(m.life, m.cfg.DialTimeout)
	defer cancel()
	return m.cfg.Dial(ctx, network, addr)
}

func (m *Mesh) dialOnce(addr, want string) (*link, error) {
	ctx, cancel := context.WithTimeout(m.life, m.cfg.DialTimeout)
	defer cancel()
	scheme := "ws://"
	if m.cfg.TLS != nil {
		scheme = "wss://"
	}
	c, resp, err := websocket.Dial(ctx, scheme+addr+Path, &websocket.DialOptions{
		HTTPClient: m.client, CompressionMode: compression, CompressionThreshold: compressedFrom,
	})
	if err != nil && resp == nil {
		m.met.dialFails.Inc()
		return nil, Error.New("%w: %w", errUnreachable, err)
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l, err := m.establish(ctx, c, func(rec Record) error { return m.wanted(rec, want) })
	if errors.Is(err, errDuplicate) && want != "" {
		return m.existing(want)
	}
	if err != nil {
		m.refused(addr, err)
		return nil, err
	}
	if !m.start(func() { m.runLink(l) }) {
		l.close(lostClosed)
		c.CloseNow()
		return nil, Error.Wrap(ErrStopped)
	}
	return l, nil
}

func (m *Mesh) existing(node string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[node]; ok {
		return l, nil
	}
	return nil, Error.Wrap(errDuplicate)
}

// adopt takes an authenticated link into use.
func (m *Mesh) adopt(l *link, rec Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return Error.Wrap(ErrStopped)
	}
	if l.node == m.cfg.ID {
		return Error.Wrap(errDuplicate) // a seed that is this node's own address
	}
	old, exists := m.links[l.node]
	if exists && !replaces(old, l, 2*m.cfg.Heartbeat) {
		m.met.linksLost[lostDuplicate].Inc()
		return Error.Wrap(errDuplicate)
	}
	if !exists && len(m.links) >= m.cfg.MaxLinks {
		m.met.rejected[rejectBusy].Inc()
		return Error.New("%d links are open", len(m.links))
	}
	if exists {
		old.close(lostReplaced)
		m.linkEnded(old)
	}
	m.links[l.node] = l
	m.met.linksUp.Inc()
	m.greet(l, rec)
	return nil
}

// replaces decides between two links to one node, so that both ends keep the
// same one: when both sides dialled at once, the one that the lower id dialled.
// A side that dials again has lost its link, even if the other end of it still
// looks open here; without that rule a half-open link would block the new one
// until its timeout.
func replaces(old, l *link, silence time.Duration) bool {
	switch {
	case l.inc != old.inc:
		return l.inc > old.inc
	case l.dialer == old.dialer:
		return true
	case l.heard().Sub(old.heard()) > silence:
		return true
	}
	return l.dialer < old.dialer
}

// greet sends what a new neighbour needs and tells the listeners of OnLink.
func (m *Mesh) greet(l *link, rec Record) {
	m.learn(rec)
	for account := range m.demand {
		l.pending[account] = struct{}{}
	}
	l.sendBody(typeRecords, recordBatch{Records: m.opening(rec.ID)})
	l.sendBody(typeSync, m.digest(false))
	l.sendBody(typeHeartbeat, m.heartbeatFor(l))
	for _, fn := range m.onLink {
		m.startLocked(func() { fn(l.node) })
	}
	m.wake()
}

// opening is this node's own record and what it believes of the neighbour, which
// refutes it if it is a stale suspicion.
func (m *Mesh) opening(node string) []Record {
	out := []Record{m.self}
	if e, ok := m.table.byID[node]; ok && e.rec.Status != Alive {
		out = append(out, e.rec)
	}
	return out
}

// backoff returns the wait before the next dial and doubles the one after it.
// The jitter keeps nodes that lost their links together from dialling together.
func (s *dialState) backoff(now time.Time, first, limit time.Duration) {
	s.delay = min(max(s.delay*2, first), limit)
	jittered := s.delay/2 + rand.N(s.delay)
	s.next = now.Add(jittered)
}
