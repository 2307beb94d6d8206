package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"wigeondale/bounded"
)

// streamPath is the URL path at which the peer listener accepts streams. All other paths accept
// links.
const streamPath = "/peer/stream/v1"

// streamProtocol is the protocol version in the handshake of a stream. A node that doesn't know
// streams accepts a link at any path; the other number makes it refuse the handshake.
const streamProtocol = 1<<16 + 1

// A Stream is an authenticated connection to another node that carries a single exchange. Each
// stream has a connection of its own, so that the network's flow control applies to it alone and
// a slow exchange delays no other.
//
// Send and Receive may be called at the same time by two goroutines. An error of either closes the
// stream.
type Stream struct {
	Node string // id of the other node
	conn *websocket.Conn
	most int64 // size of a message
	pool *bounded.Pool

	mu     sync.Mutex
	held   *bounded.Hold // the latest message
	closed bool
}

// HandleStreams registers fn for the streams that other nodes open. The stream is closed when fn
// returns. HandleStreams must be called before Run.
func (m *Mesh) HandleStreams(fn func(ctx context.Context, s *Stream)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamHandler = fn
}

// OpenStream opens a stream to a node that listens at addr. An error means that the node has
// received nothing.
func (m *Mesh) OpenStream(ctx context.Context, node, addr string) (*Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	m.mu.Lock()
	running, self := m.running, m.self
	m.mu.Unlock()
	if !running {
		return nil, Error.Wrap(ErrStopped)
	}
	scheme := "ws://"
	if m.cfg.TLS != nil {
		scheme = "wss://"
	}
	c, _, err := websocket.Dial(ctx, scheme+addr+streamPath, &websocket.DialOptions{HTTPClient: m.streamClient})
	if err != nil {
		return nil, Error.New("%w: %w", ErrNoRoute, err)
	}
	c.SetReadLimit(maxHandshakeBytes)
	hs := handshaker{conn: c, key: m.key, self: self, protocol: streamProtocol}
	rec, err := hs.dial(ctx, func(rec Record) error { return checkIdentity(rec, node) })
	if err != nil {
		c.CloseNow()
		return nil, Error.New("%w: %w", ErrNoRoute, err)
	}
	return m.newStream(rec.ID, c), nil
}

func (m *Mesh) newStream(node string, c *websocket.Conn) *Stream {
	c.SetReadLimit(int64(m.cfg.MaxStreamMessage))
	return &Stream{Node: node, conn: c, most: int64(m.cfg.MaxStreamMessage), pool: m.cfg.StreamPool}
}

// checkIdentity returns an error if a record is not that of the expected node.
func checkIdentity(rec Record, node string) error {
	if rec.ID != node {
		return Error.New("%w: dialled node %s, reached node %s", ErrHandshake, node, rec.ID)
	}
	return nil
}

// serveStream accepts a stream and runs the handler on it.
func (m *Mesh) serveStream(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	handler := m.streamHandler
	m.mu.Unlock()
	if handler == nil {
		http.NotFound(w, r)
		return
	}
	done := make(chan struct{})
	started := m.start(func() {
		defer close(done)
		m.runStream(w, r, handler)
	})
	if !started {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	<-done
}

func (m *Mesh) runStream(w http.ResponseWriter, r *http.Request, handler func(context.Context, *Stream)) {
	s, err := m.acceptStream(w, r)
	if err != nil {
		m.recordHandshakeFailure(r.RemoteAddr, err)
		return
	}
	defer func() { <-m.streamSlots }()
	defer s.Close()
	// A panic ends this exchange alone, as it does for the handlers of calls.
	if err := recoverPanic(func() error { handler(m.runCtx, s); return nil }); err != nil {
		m.recordHandshakeFailure(r.RemoteAddr, err)
	}
}

// errTooManyStreams means that other nodes have as many streams open here as they may.
var errTooManyStreams = errors.New("too many streams")

// takeSlot takes one of streamSlots.
func (m *Mesh) takeSlot() error {
	select {
	case m.streamSlots <- struct{}{}:
		return nil
	default:
		return errTooManyStreams
	}
}

// acceptStream returns a stream that has taken one of streamSlots. Without the key none is taken.
func (m *Mesh) acceptStream(w http.ResponseWriter, r *http.Request) (*Stream, error) {
	ctx, end := m.handshakes.begin(m.runCtx)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.SetReadLimit(maxHandshakeBytes)
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	admitted := false
	hs := handshaker{conn: c, key: m.key, self: self, protocol: streamProtocol, admit: func() error {
		err := m.takeSlot()
		admitted = err == nil
		return err
	}}
	rec, err := hs.accept(ctx)
	if err != nil {
		c.CloseNow()
		if admitted {
			<-m.streamSlots
		}
		return nil, withCause(ctx, err)
	}
	return m.newStream(rec.ID, c), nil
}

// Send encodes v and sends it as one message.
func (s *Stream) Send(ctx context.Context, v any) error {
	b, err := encMode.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	return s.SendBytes(ctx, b)
}

// SendBytes sends b as one message.
func (s *Stream) SendBytes(ctx context.Context, b []byte) error {
	return Error.Wrap(s.conn.Write(ctx, websocket.MessageBinary, b))
}

// Receive receives one message and decodes it into v, whose memory counts until the next message or the end of the stream. It returns context.DeadlineExceeded if none
// arrives within the timeout; a timeout of 0 means none.
func (s *Stream) Receive(ctx context.Context, timeout time.Duration, v any) error {
	b, err := s.ReceiveBytes(ctx, timeout)
	if err != nil {
		return err
	}
	return Error.Wrap(decMode.Unmarshal(b, v))
}

// ReceiveBytes receives one message, within the timeout as Receive does.
func (s *Stream) ReceiveBytes(ctx context.Context, timeout time.Duration) ([]byte, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	b, err := s.read(ctx)
	if err != nil && ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return b, Error.Wrap(err)
}

func (s *Stream) read(ctx context.Context) ([]byte, error) {
	_, message, err := s.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	held := s.hold()
	b, err := bounded.ReadHeld(ctx, message, -1, s.most, held)
	if err == nil {
		err = held.Grow(ctx, int64(len(b))) // the decoded message
	}
	if err != nil {
		held.Close()
	}
	return b, err
}

// hold returns the memory of the next message.
func (s *Stream) hold() *bounded.Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held.Close()
	s.held = s.pool.Hold(s.Node)
	if s.closed {
		s.held.Close()
	}
	return s.held
}

// Close closes the stream at once. Further calls do nothing.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	s.held.Close()
	s.mu.Unlock()
	_ = s.conn.CloseNow() // the other node notices the end of the connection in any case
}
