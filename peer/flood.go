package peer

import (
	"math/rand/v2"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"wigeondale/event"
)

// seenSet remembers the floods seen lately in two generations, so that its
// memory is bounded whatever the rate. A flood that outlives both generations
// could be taken for new; the bound on hops ends it.
type seenSet struct {
	limit    int
	young    map[uint64]struct{}
	previous map[uint64]struct{}
}

func newSeenSet(limit int) *seenSet {
	return &seenSet{limit: limit, young: make(map[uint64]struct{})}
}

// add says whether the key is new.
func (s *seenSet) add(key uint64) bool {
	if _, ok := s.young[key]; ok {
		return false
	}
	if _, ok := s.previous[key]; ok {
		return false
	}
	if len(s.young) >= s.limit {
		s.previous = s.young
		s.young = make(map[uint64]struct{})
	}
	s.young[key] = struct{}{}
	return true
}

func floodKey(f frame) uint64 {
	return xxhash.Sum64String(f.From) ^ f.ID
}

// floodHandler takes the body of one kind of flood.
type floodHandler func(from string, body cbor.RawMessage) error

// HandleFlood registers fn for floods of a kind. Handlers run one after another and
// in the order of arrival; they must not block. Register before Run.
func HandleFlood[T any](m *Mesh, kind string, fn func(from string, v T)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.floods[kind] = func(from string, body cbor.RawMessage) error {
		var v T
		if err := decMode.Unmarshal(body, &v); err != nil {
			return Error.Wrap(err)
		}
		fn(from, v)
		return nil
	}
}

// Flood sends v to every member that can be reached, each handling it once. It
// does not wait and promises no delivery: a member that was cut off or slow
// misses it, and the owner of the kind repairs that by anti-entropy.
func (m *Mesh) Flood(kind string, v any) error { return m.flood(kind, v, 0) }

// SendToLinked sends v to the linked members only, which don't pass it on. It is for
// news that is soon replaced by newer: passed on, each would cost a message a
// link instead of one a neighbour.
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

// receiveFlood hands a new flood to its handler and passes it on.
func (m *Mesh) receiveFlood(l *link, f frame) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.From == m.cfg.ID || !m.seen.add(floodKey(f)) {
		m.met.floodDup.Inc()
		return nil
	}
	m.dispatch(func() { m.deliver(f) })
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
	h := m.floods[f.Kind]
	m.mu.Unlock()
	if h == nil {
		return // a kind of a newer release: it was passed on all the same
	}
	if err := outlive(func() error { return h(f.From, f.Body) }); err != nil {
		m.met.rejected[rejectMalformed].Inc()
		m.log.Emit(event.PeerMessageRejected, "peer", f.From, "reason", rejectMalformed, "kind", f.Kind, "error", err.Error())
	}
}

// outlive runs a handler and turns its panic into an error. All nodes run the same handlers,
// and a flood has been passed on by then: without it one message ends them all.
func outlive(handler func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = Error.New("handler panicked: %v\n%s", p, debug.Stack())
		}
	}()
	return handler()
}

// dispatch queues work for the one goroutine that runs handlers. When the queue
// is full the work is dropped and counted: a slow handler must not stop the
// reading of heartbeats, or live peers would look dead.
func (m *Mesh) dispatch(fn func()) {
	select {
	case m.work <- fn:
	default:
		m.met.floodDrop.Inc()
	}
}
