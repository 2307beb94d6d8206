package bounded

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// ErrNoMemory means that a message was given up since the messages that are being read hold as much memory as they may.
	ErrNoMemory = errors.New("the messages that are being read hold as much memory as they may")
	// ErrEndless means that a message was given up while it waited for memory, since another one from the same sender was longer
	// than a message may be.
	ErrEndless = errors.New("another message of the sender has no end")
	// ErrGivenUp means that an incomplete message was given up, since it arrived more slowly than others that need its memory.
	ErrGivenUp = errors.New("the message arrives too slowly while others need its memory")
)

// smallMessage is the size up to which a message may use the part of the pool that larger ones leave free.
const smallMessage = 16 << 10

// Pool bounds the memory that messages hold together while they are read and passed on. A bound of each message alone bounds nothing
// when a faulty server answers many requests at once.
//
// Messages larger than smallMessage leave a quarter of the pool to small ones, and each sender may use half of it. When it is used up,
// incomplete messages that arrive more slowly than the one that needs memory are given up. If there is none, messages wait, which slows
// their senders down; the oldest may use a reserve, so that it can always be read to its end, and the others follow as memory
// becomes free. A nil Pool bounds nothing. It is safe for concurrent use.
type Pool struct {
	limit, perSender int64

	mu         sync.Mutex
	used       int64
	releasing  int64 // held by messages that were given up and are not closed yet
	bySender   map[string]int64
	holds      uint64             // number of holds so far
	oldest     *Hold              // it may use the reserve
	waiting    []*growth          // of the oldest holds first
	incomplete map[*Hold]struct{} // messages that may be given up
	givenUp    *metrics.Counter
	onShortage []func()
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
	p := &Pool{limit: limit, perSender: limit / 2, bySender: map[string]int64{}, incomplete: map[*Hold]struct{}{}}
	if set != nil {
		p.givenUp = set.NewCounter(`wigeon_messages_given_up_total{of="` + name + `"}`)
		set.NewGauge(`wigeon_buffered_bytes{of="`+name+`"}`, func() float64 { used, _ := p.Usage(); return float64(used) })
		set.NewGauge(`wigeon_buffers_waiting{of="`+name+`"}`, func() float64 { _, waiting := p.Usage(); return float64(waiting) })
	}
	return p
}

// OnShortage registers one more function that is called, again and again, while a message waits for memory.
func (p *Pool) OnShortage(f func()) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onShortage = append(p.onShortage, f)
}

// shortageInterval is the time between two calls of the function of OnShortage.
const shortageInterval = 200 * time.Millisecond

// await waits until a growth has ended or ctx has.
func (p *Pool) await(ctx context.Context, g *growth) error {
	tick := time.NewTicker(shortageInterval)
	defer tick.Stop()
	for {
		select {
		case err := <-g.done:
			return err
		case <-ctx.Done():
			return p.withdraw(g, ctx)
		case <-tick.C:
			p.mu.Lock()
			fs := p.onShortage
			p.mu.Unlock()
			for _, f := range fs {
				f()
			}
		}
	}
}

// Usage returns the bytes in use and the number of messages that wait.
func (p *Pool) Usage() (bytes int64, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, len(p.waiting)
}

// Hold returns the memory of a new message of a sender, which has to be closed.
func (p *Pool) Hold(sender string) *Hold {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds++
	return &Hold{pool: p, sender: sender, number: p.holds}
}

// HoldInput returns the memory of a new message that its sender may leave incomplete. It counts for no sender: behind a load balancer
// all clients may have one address.
func (p *Pool) HoldInput(in Input) *Hold {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds++
	h := &Hold{pool: p, number: p.holds, input: in}
	p.incomplete[h] = struct{}{}
	return h
}

// isOvertaking reports whether n more bytes of a hold would be taken from messages that wait. Small ones don't wait for larger ones.
func (p *Pool) isOvertaking(h *Hold, n int64) bool {
	if h.bytes+n > smallMessage {
		return len(p.waiting) > 0
	}
	return slices.ContainsFunc(p.waiting, func(g *growth) bool { return g.isSmall() })
}

func (g *growth) isSmall() bool { return g.hold.bytes+g.bytes <= smallMessage }

// reclaim gives up incomplete messages that arrive more slowly than h does, the slowest first, until n bytes will be free for h. It
// gives none up if that is not enough.
func (p *Pool) reclaim(h *Hold, n int64) {
	missing := p.shared() - p.releasing + n - p.limitOf(h, n)
	if missing <= 0 || len(p.incomplete) == 0 {
		return
	}
	type candidate struct {
		hold     *Hold
		progress float64
	}
	now := time.Now()
	most := h.arrival.progress(now)
	var slower []candidate
	for c := range p.incomplete {
		if c == h || c.waits || c.bytes == 0 {
			continue
		}
		if v := c.arrival.progress(now); v < most {
			slower = append(slower, candidate{c, v})
		}
	}
	slices.SortFunc(slower, func(a, b candidate) int { return cmp.Compare(a.progress, b.progress) })
	for i, c := range slower {
		if missing -= c.hold.bytes; missing > 0 {
			continue
		}
		for _, c := range slower[:i+1] {
			p.drop(c.hold)
		}
		return
	}
}

// drop gives a message up.
func (p *Pool) drop(h *Hold) {
	delete(p.incomplete, h)
	h.dropped = true
	p.releasing += h.bytes
	if p.oldest == h {
		p.oldest = nil
	}
	if p.givenUp != nil {
		p.givenUp.Inc()
	}
	go h.input.GiveUp()
}

// withdraw ends a wait, unless it has just ended.
func (p *Pool) withdraw(g *growth, ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, g); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		g.hold.waits = false
		p.serve()
		return Error.New("%w: %w", ErrNoMemory, context.Cause(ctx))
	}
	return <-g.done
}

// fits reports whether n more bytes of a hold are free.
func (p *Pool) fits(h *Hold, n int64) bool {
	return h == p.oldest || p.shared()+n <= p.limitOf(h, n) && (h.sender == "" || p.bySender[h.sender]+n <= p.perSender)
}

// shared returns the bytes in use without those of the message that may use the reserve.
func (p *Pool) shared() int64 {
	if p.oldest == nil {
		return p.used
	}
	return p.used - p.oldest.bytes
}

// limitOf returns how much of the pool may be in use after n more bytes of a hold.
func (p *Pool) limitOf(h *Hold, n int64) int64 {
	if h.bytes+n <= smallMessage {
		return p.limit
	}
	return p.limit / 4 * 3
}

func (p *Pool) add(h *Hold, n int64) {
	h.bytes += n
	p.used += n
	if h.dropped {
		p.releasing += n
	}
	if h.sender == "" {
		return
	}
	if p.bySender[h.sender] += n; p.bySender[h.sender] == 0 {
		delete(p.bySender, h.sender)
	}
}

// serve grants what is free, to the oldest first. A large message is not overtaken by younger large ones of its sender.
func (p *Pool) serve() {
	if len(p.waiting) == 0 {
		return
	}
	if p.oldest == nil {
		p.oldest = p.waiting[0].hold
	}
	blocked := map[string]bool{}
	p.waiting = slices.DeleteFunc(p.waiting, func(g *growth) bool {
		if g.hold != p.oldest && (blocked[g.hold.sender] && !g.isSmall() || !p.fits(g.hold, g.bytes)) {
			blocked[g.hold.sender] = true
			return false
		}
		g.hold.waits = false
		p.add(g.hold, g.bytes)
		g.done <- nil
		return true
	})
}
