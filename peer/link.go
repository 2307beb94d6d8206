package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"wigeondale/event"
)

// outgoing is an encoded message in a link's queue. A nil payload asks the
// writer to end the link after what was queued before.
type outgoing struct {
	kind    frameType
	payload []byte
}

// link is one authenticated connection to another node.
type link struct {
	m      *Mesh
	conn   *websocket.Conn
	node   string
	inc    uint64
	dialer string // id of the side that dialled

	out       chan outgoing
	queued    atomic.Int64 // bytes in out
	lastHeard atomic.Int64 // unix ns
	lastUsed  atomic.Int64 // unix ns of the last call, either way

	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	reason string
	calls  map[uint64]chan frame

	pending map[string]struct{} // accounts whose demand is to be sent; under Mesh.mu
}

func newLink(m *Mesh, c *websocket.Conn, rec Record, dialer string) *link {
	l := &link{
		m:       m,
		conn:    c,
		node:    rec.ID,
		inc:     rec.Incarnation,
		dialer:  dialer,
		out:     make(chan outgoing, queueFrames),
		done:    make(chan struct{}),
		calls:   make(map[uint64]chan frame),
		pending: make(map[string]struct{}),
	}
	now := time.Now().UnixNano()
	l.lastHeard.Store(now)
	l.lastUsed.Store(now)
	return l
}

func (l *link) heard() time.Time { return time.Unix(0, l.lastHeard.Load()) }

func (l *link) used() { l.lastUsed.Store(time.Now().UnixNano()) }

// close ends the link. It does not wait for a closing handshake, which a dead
// peer would never answer. The first reason counts, but any other goes before
// lostClosed: a writer that fails may speak before the reader that knows why.
func (l *link) close(reason string) {
	l.mu.Lock()
	if l.reason == "" || l.reason == lostClosed {
		l.reason = reason
	}
	l.mu.Unlock()
	l.once.Do(func() { close(l.done) })
}

// whyClosed is final once run has returned.
func (l *link) whyClosed() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// send queues a message and never blocks. A link whose queue is full is closed:
// its peer reads too slowly, and memory must not pay for it. What is lost is
// repaired by anti-entropy once the link is back.
func (l *link) send(kind frameType, payload []byte) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	if l.queued.Add(int64(len(payload))) > int64(l.m.cfg.MaxQueueBytes) {
		l.close(lostSlow)
		return false
	}
	select {
	case l.out <- outgoing{kind, payload}:
		return true
	default:
		l.close(lostSlow)
		return false
	}
}

// sendBody encodes and queues a control message.
func (l *link) sendBody(kind frameType, body any) {
	b, err := encodeFrame(frame{Type: kind}, body)
	if err != nil {
		return // bodies of control messages are our own types
	}
	l.send(kind, b)
}

// finish ends the link after what is queued has been written.
func (l *link) finish() {
	if !l.send(0, nil) {
		l.close(lostClosed)
	}
}

// run moves messages until the link ends.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { l.write(ctx) })
	wg.Go(func() {
		select {
		case <-l.done:
		case <-ctx.Done():
			l.close(lostClosed)
		}
		cancel()
		l.conn.CloseNow()
	})
	l.read(ctx)
	wg.Wait()
	l.failCalls()
}

func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-l.out:
			if o.payload == nil {
				l.close(lostClosed)
				return
			}
			if err := l.writeOne(ctx, o); err != nil {
				l.close(lostClosed)
				return
			}
		}
	}
}

func (l *link) writeOne(ctx context.Context, o outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, l.m.cfg.WriteTimeout)
	defer cancel()
	l.queued.Add(-int64(len(o.payload)))
	if err := l.conn.Write(ctx, websocket.MessageBinary, o.payload); err != nil {
		return err
	}
	masked := l.dialer == l.m.cfg.ID
	l.m.met.sentBytes[o.kind].Add(wireBytes(len(o.payload), masked))
	l.m.met.sent[o.kind].Inc()
	return nil
}

func (l *link) read(ctx context.Context) {
	for {
		_, b, err := l.conn.Read(ctx)
		if err != nil {
			l.closeOnRead(err)
			return
		}
		l.lastHeard.Store(time.Now().UnixNano())
		l.m.met.received.Add(len(b))
		f, err := decodeFrame(b)
		if err == nil {
			err = l.m.receive(l, f)
		}
		if err != nil {
			l.m.met.rejected[rejectMalformed].Inc()
			l.m.log.Emit(event.PeerMessageRejected, "peer", l.node, "reason", rejectMalformed, "error", err.Error())
			l.close(lostRejected)
			return
		}
	}
}

func (l *link) closeOnRead(err error) {
	if errors.Is(err, websocket.ErrMessageTooBig) {
		l.m.met.rejected[rejectOversized].Inc()
		l.m.log.Emit(event.PeerMessageRejected, "peer", l.node, "reason", rejectOversized)
		l.close(lostRejected)
		return
	}
	l.close(lostClosed)
}
