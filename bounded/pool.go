package bounded

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// ErrNoMemory means that a message was given up since the messages that are being read hold as much memory as they may.
	ErrNoMemory = errors.New("the messages that are being read hold as much memory as they may")
	// ErrEndless means that a message was given up while it waited for memory, since another one from the same sender was longer
	// than a message may be.
	ErrEndless = errors.New("another message of the sender has no end")
)

// smallMessage is the size up to which a message waits for no other one.
const smallMessage = 16 << 10

// Pool bounds the memory that messages hold together while they are read and passed on. A bound of each message alone bounds nothing
// when a faulty server answers many requests at once.
//
// Small messages are always read. Of the larger ones each sender may use half of the pool. When it is used up, messages wait, which slows
// their senders down; the oldest may use a reserve, so that it can always be read to its end, and the others follow as memory
// becomes free. A nil Pool bounds nothing. It is safe for concurrent use.
type Pool struct {
	limit, perSender int64

	mu       sync.Mutex
	used     int64
	bySender map[string]int64
	holds    uint64    // number of holds so far
	oldest   *Hold     // it may use the reserve
	waiting  []*growth // of the oldest holds first
}

// Hold is the memory of one message. A nil Hold has no bound.
type Hold struct {
	pool   *Pool
	sender string
	number uint64
	bytes  int64
	closed bool
}

// growth is a Hold that waits for memory.
type growth struct {
	hold  *Hold
	bytes int64
	done  chan error
}

// NewPool returns a Pool of limit bytes, and in addition those that the largest message takes while it grows. name and set are those
// of its metrics; set may be nil.
func NewPool(limit int64, name string, set *metrics.Set) *Pool {
	p := &Pool{limit: limit, perSender: limit / 2, bySender: map[string]int64{}}
	if set != nil {
		set.NewGauge(`wigeon_buffered_bytes{of="`+name+`"}`, func() float64 { used, _ := p.Usage(); return float64(used) })
		set.NewGauge(`wigeon_buffers_waiting{of="`+name+`"}`, func() float64 { _, waiting := p.Usage(); return float64(waiting) })
	}
	return p
}

// Usage returns the bytes in use and the number of messages that wait.
func (p *Pool) Usage() (bytes int64, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, len(p.waiting)
}

// Hold returns the memory of a new message, which has to be closed.
func (p *Pool) Hold(sender string) *Hold {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds++
	return &Hold{pool: p, sender: sender, number: p.holds}
}

// Grow adds n bytes. It waits until they are free or ctx ends.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	if h == nil {
		return nil
	}
	p := h.pool
	p.mu.Lock()
	if h.closed {
		p.mu.Unlock()
		return Error.New("the message was given up")
	}
	if h.bytes+n <= smallMessage || len(p.waiting) == 0 && p.fits(h, n) {
		p.add(h, n)
		p.mu.Unlock()
		return nil
	}
	g := &growth{hold: h, bytes: n, done: make(chan error, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, g, func(a, b *growth) int { return cmp.Compare(a.hold.number, b.hold.number) })
	p.waiting = slices.Insert(p.waiting, at, g)
	p.serve()
	p.mu.Unlock()
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		return p.withdraw(g, ctx)
	}
}

// withdraw ends a wait, unless it has just ended.
func (p *Pool) withdraw(g *growth, ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, g); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.serve()
		return Error.New("%w: %w", ErrNoMemory, context.Cause(ctx))
	}
	return <-g.done
}

// fits reports whether n more bytes of a hold are free.
func (p *Pool) fits(h *Hold, n int64) bool {
	return h == p.oldest || p.used+n <= p.limit && p.bySender[h.sender]+n <= p.perSender
}

func (p *Pool) add(h *Hold, n int64) {
	h.bytes += n
	p.used += n
	if p.bySender[h.sender] += n; p.bySender[h.sender] == 0 {
		delete(p.bySender, h.sender)
	}
}

// serve grants what is free, to the oldest first. A large message is not overtaken by younger ones of its sender.
func (p *Pool) serve() {
	if p.oldest == nil && len(p.waiting) > 0 {
		p.oldest = p.waiting[0].hold
	}
	blocked := map[string]bool{}
	p.waiting = slices.DeleteFunc(p.waiting, func(g *growth) bool {
		if g.hold != p.oldest && (blocked[g.hold.sender] || !p.fits(g.hold, g.bytes)) {
			blocked[g.hold.sender] = true
			return false
		}
		p.add(g.hold, g.bytes)
		g.done <- nil
		return true
	})
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if !h.closed {
		h.pool.add(h, -n)
		h.pool.serve()
	}
}

// Close gives all bytes back. Further calls do nothing.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	p.add(h, -h.bytes)
	p.waiting = slices.DeleteFunc(p.waiting, func(g *growth) bool {
		if g.hold != h {
			return false
		}
		g.done <- Error.New("the message was given up")
		return true
	})
	if p.oldest == h {
		p.oldest = nil
	}
	p.serve()
}

// Endless states that the message is longer than a message may be. Others of the same sender that wait for memory are given up:
// they would each be read to that length before the ones of sound senders that came later.
func (h *Hold) Endless() {
	if h == nil {
		return
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(g *growth) bool {
		if g.hold.sender != h.sender || g.hold == h {
			return false
		}
		g.done <- Error.Wrap(ErrEndless)
		return true
	})
}

// minBuffer is the first size of the buffer of a message.
const minBuffer = 2 << 10

// ReadHeld reads r, which may have limit bytes, and accounts for the memory in h. stated is the stated length, or -1.
func ReadHeld(ctx context.Context, r io.Reader, stated, limit int64, h *Hold) ([]byte, error) {
	if stated > limit {
		return nil, Error.New("%w: %d bytes, more than %d", ErrTooLong, stated, limit)
	}
	most := limit + 1
	if stated >= 0 {
		most = stated + 1 // one byte more shows the end of the message without another buffer
	}
	in := NewReader(r, limit)
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(2*int64(cap(buf)), minBuffer), most)
			if size <= int64(cap(buf)) {
				size = int64(cap(buf)) + minBuffer
			}
			if err := h.Grow(ctx, size); err != nil {
				return nil, err
			}
			grown := append(make([]byte, 0, size), buf...)
			h.Shrink(int64(cap(buf)))
			buf = grown
		}
		n, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case errors.Is(err, ErrTooLong):
			h.Endless()
			return nil, Error.Wrap(err)
		case err != nil:
			return nil, Error.Wrap(err)
		}
	}
}

// ReadAllHeld reads the body of resp as ReadHeld does.
func ReadAllHeld(ctx context.Context, resp *http.Response, limit int64, h *Hold) ([]byte, error) {
	return ReadHeld(ctx, resp.Body, resp.ContentLength, limit, h)
}
