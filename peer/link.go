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

// outgoing is an encoded message in a link's queue. A nil payload makes the writer close
// the link after it has written the messages that were queued before it.
type outgoing struct {
	kind    frameType
	payload []byte
}

// link is one authenticated connection to another node.
type link struct {
	m           *Mesh
	conn        *websocket.Conn
	node        string
	incarnation uint64
	dialer      string // id of the node that dialled

	queue        chan outgoing
	queuedBytes  atomic.Int64 // bytes in queue
	lastReceived atomic.Int64 // unix ns of the last message received
	lastUsed     atomic.Int64 // unix ns of the last call in either direction

	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	reason string
	calls  map[uint64]chan frame

	pendingDemand map[string]struct{} // client accounts whose demand must still be sent; guarded by Mesh.mu
}

func newLink(m *Mesh, c *websocket.Conn, rec Record, dialer string) *link {
	l := &link{
		m:             m,
		conn:          c,
		node:          rec.ID,
		incarnation:   rec.Incarnation,
		dialer:        dialer,
		queue:         make(chan outgoing, linkQueueLength),
		done:          make(chan struct{}),
		calls:         make(map[uint64]chan frame),
		pendingDemand: make(map[string]struct{}),
	}
	now := time.Now().UnixNano()
	l.lastReceived.Store(now)
	l.lastUsed.Store(now)
	return l
}

func (l *link) receivedAt() time.Time { return time.Unix(0, l.lastReceived.Load()) }

func (l *link) markUsed() { l.lastUsed.Store(time.Now().UnixNano()) }

// close closes the link. It does not wait for a closing handshake, which a dead
// peer would never answer. If close is called several times, the first reason is kept.
// Exception: any other reason replaces lostClosed. The writer may fail with lostClosed
// first, and only the reader, which reports later, knows the actual reason.
func (l *link) close(reason string) {
	l.mu.Lock()
	if l.reason == "" || l.reason == lostClosed {
		l.reason = reason
	}
	l.mu.Unlock()
	l.once.Do(func() { close(l.done) })
}

// closeReason returns why the link closed. The reason does not change after run has
// returned.
func (l *link) closeReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// send queues a message and never blocks. A link whose queue is full is closed, because
// its peer reads too slowly and the queue must not grow without bound. Anti-entropy
// repairs the loss of the queued messages once there is a new link. send returns false
// if the link is closed.
func (l *link) send(kind frameType, payload []byte) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	if l.queuedBytes.Add(int64(len(payload))) > int64(l.m.cfg.MaxQueueBytes) {
		l.close(lostSlow)
		return false
	}
	select {
	case l.queue <- outgoing{kind, payload}:
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
		return // cannot happen: the bodies of control messages are types of this package
	}
	l.send(kind, b)
}

// closeAfterWrite closes the link after all queued messages have been written.
func (l *link) closeAfterWrite() {
	if !l.send(0, nil) {
		l.close(lostClosed)
	}
}

// run sends and receives messages until the link closes.
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
		case o := <-l.queue:
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
	l.queuedBytes.Add(-int64(len(o.payload)))
	if err := l.conn.Write(ctx, websocket.MessageBinary, o.payload); err != nil {
		return err
	}
	masked := l.dialer == l.m.cfg.ID
	l.m.metrics.sentBytes[o.kind].Add(wireBytes(len(o.payload), masked))
	l.m.metrics.sent[o.kind].Inc()
	return nil
}

func (l *link) read(ctx context.Context) {
	for {
		_, b, err := l.conn.Read(ctx)
		if err != nil {
			l.closeOnRead(err)
			return
		}
		l.lastReceived.Store(time.Now().UnixNano())
		l.m.metrics.received.Add(len(b))
		f, err := decodeFrame(b)
		if err == nil {
			err = l.m.receive(l, f)
		}
		if err != nil {
			l.m.metrics.rejected[rejectMalformed].Inc()
			l.m.log.Emit(event.PeerMessageRejected, "peer", l.node, "reason", rejectMalformed, "error", err.Error())
			l.close(lostRejected)
			return
		}
	}
}

func (l *link) closeOnRead(err error) {
	if errors.Is(err, websocket.ErrMessageTooBig) {
		l.m.metrics.rejected[rejectOversized].Inc()
		l.m.log.Emit(event.PeerMessageRejected, "peer", l.node, "reason", rejectOversized)
		l.close(lostRejected)
		return
	}
	l.close(lostClosed)
}
