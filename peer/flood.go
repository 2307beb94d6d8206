package peer

import (
	"math/rand/v2"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"wigeondale/event"
)

// seenSet contains the keys of recently received floods. It consists of two sets, of
// which the older one is discarded when the newer one is full, so that its memory is
// bounded at any rate of floods. A flood that still circulates after its key was
// discarded is treated as new; such a flood ends when it reaches the limit on hops.
type seenSet struct {
	limit    int
	current  map[uint64]struct{}
	previous map[uint64]struct{}
}

func newSeenSet(limit int) *seenSet {
	return &seenSet{limit: limit, current: make(map[uint64]struct{})}
}

// add adds the key of a flood and reports whether the key is new to the set.
func (s *seenSet) add(key uint64) bool {
	if _, ok := s.current[key]; ok {
		return false
	}
	if _, ok := s.previous[key]; ok {
		return false
	}
	if len(s.current) >= s.limit {
		s.previous = s.current
		s.current = make(map[uint64]struct{})
	}
	s.current[key] = struct{}{}
	return true
}

func floodKey(f frame) uint64 {
	return xxhash.Sum64String(f.From) ^ f.ID
}

// floodHandler handles the body of a flood of one kind.
type floodHandler func(from string, body cbor.RawMessage) error

// HandleFlood registers fn for floods of a kind. Handlers run one at a time in the
// order of arrival and must not block, because later floods wait for them. HandleFlood
// must be called before Run.
func HandleFlood[T any](m *Mesh, kind string, fn func(from string, v T)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.floodHandlers[kind] = func(from string, body cbor.RawMessage) error {
		var v T
		if err := decMode.Unmarshal(body, &v); err != nil {
			return Error.Wrap(err)
		}
		fn(from, v)
		return nil
	}
}

// Flood sends v to every reachable member, and each handles it once. Flood does not
// wait for delivery and does not guarantee it: a member that is cut off or slow misses
// the message, and the package that defines the kind must repair that by anti-entropy.
func (m *Mesh) Flood(kind string, v any) error { return m.flood(kind, v, 0) }

// SendToLinked sends v to the linked members only, which do not forward it. It is meant
// for updates that newer updates soon replace. Forwarding each update would cost one
// message per link of the whole fleet, instead of one message per neighbour of this
// node.
func (m *Mesh) SendToLinked(kind string, v any) error { return m.flood(kind, v, maxFloodHops) }

func (m *Mesh) flood(kind string, v any, hops uint64) error {
	f := frame{Type: typeFlood, Kind: kind, ID: rand.Uint64(), From: m.cfg.ID, Arg: hops}
	b, err := encodeFrame(f, v)
	if err != nil {
		return err
	}
	if len(b) > m.cfg.MaxMessage {
		return Error.Wrap(ErrTooLarge)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen.add(floodKey(f))
	for _, l := range m.links {
		l.send(typeFlood, b)
	}
	return nil
}

// receiveFlood queues a flood that this node has not seen yet for its handler and
// forwards the flood.
func (m *Mesh) receiveFlood(l *link, f frame) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.From == m.cfg.ID || !m.seen.add(floodKey(f)) {
		m.metrics.floodDup.Inc()
		return nil
	}
	m.queueFlood(func() { m.deliver(f) })
	if f.Arg >= maxFloodHops {
		return nil
	}
	next := f // the handler still reads f
	next.Arg++
	b, err := encMode.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	for id, other := range m.links {
		if other != l && id != f.From {
			other.send(typeFlood, b)
		}
	}
	return nil
}

func (m *Mesh) deliver(f frame) {
	m.mu.Lock()
	h := m.floodHandlers[f.Kind]
	m.mu.Unlock()
	if h == nil {
		return // the kind belongs to a newer release; the flood is forwarded anyway
	}
	if err := recoverPanic(func() error { return h(f.From, f.Body) }); err != nil {
		m.metrics.rejected[rejectMalformed].Inc()
		m.log.Emit(event.PeerMessageRejected, "peer", f.From, "reason", rejectMalformed, "kind", f.Kind, "error", err.Error())
	}
}

// recoverPanic runs a handler and turns a panic into an error. All nodes run the same
// handlers, and a flood is forwarded before it is handled, so without the recovery a
// single message could crash every node.
func recoverPanic(handler func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = Error.New("handler panicked: %v\n%s", p, debug.Stack())
		}
	}()
	return handler()
}

// queueFlood queues fn for the goroutine that runs the handlers. If the queue is
// full, fn is dropped and counted: a slow handler must not delay the reading of
// heartbeats, because then live peers would be marked dead.
func (m *Mesh) queueFlood(fn func()) {
	select {
	case m.floodQueue <- fn:
	default:
		m.metrics.floodDrop.Inc()
	}
}
