package quarantine

import (
	"bytes"
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
)

// ErrQuarantined says that a request is not sent on.
var ErrQuarantined = Error.New("backend servers crashed under this request")

// keyBytes is the length of a router's own key.
const keyBytes = 32

// Config of a Guard.
type Config struct {
	Prober Prober
	// Incarnation names the present lifetime of a backend server; nil for its id.
	Incarnation func(b fleet.Backend) string
	// Leaving tells whether a backend server is known to leave.
	Leaving func(id string) bool
	// Neighbours returns up to n other backend servers of the same service and failure
	// domain, those that seem to work first.
	Neighbours func(b fleet.Backend, n int) []fleet.Backend
	// Isolated tells whether other routers are known and none can be heard; nil for never.
	Isolated func() bool
	// Broadcast sends news to all other routers; it must not block. Nil tells nobody.
	Broadcast func(Update)
	// OnHold is told of each request that is held back from now on, and OnLift of each that
	// this router found to be held back wrongly, or had lifted. They must not block.
	OnHold func(h HoldUpdate, found bool)
	OnLift func(d Digest)
	// Now is a clock that counts suspensions of the machine; nil for that of the system.
	Now func() time.Duration
	Log *event.Log
	Set *metrics.Set
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = clock.SinceBoot
	}
	if c.Set == nil {
		c.Set = metrics.NewSet()
	}
	if c.Incarnation == nil {
		c.Incarnation = func(b fleet.Backend) string { return b.ID }
	}
	if c.Isolated == nil {
		c.Isolated = func() bool { return false }
	}
	if c.Broadcast == nil {
		c.Broadcast = func(Update) {}
	}
	if c.OnHold == nil {
		c.OnHold = func(HoldUpdate, bool) {}
	}
	if c.OnLift == nil {
		c.OnLift = func(Digest) {}
	}
	return c
}

// Guard holds back the requests under which backend servers crash, at one router. A nil
// Guard holds none back. It is safe for concurrent use.
type Guard struct {
	cfg Config
	m   *meters
	key atomic.Pointer[[]byte]
	// some tells that the book isn't empty.
	some atomic.Bool

	mu   sync.Mutex
	book *Tracker
	out  outbox
	// ruled is closed and replaced at each decision.
	ruled chan struct{}
}

// NewGuard returns a Guard. Until it is told the key that all routers share it uses one of
// its own, by which nobody understands its news.
func NewGuard(cfg Config) *Guard {
	cfg = cfg.withDefaults()
	g := &Guard{cfg: cfg, book: NewTracker(), ruled: make(chan struct{})}
	own := make([]byte, keyBytes)
	crand.Read(own) // never fails: the runtime ends the process instead
	g.key.Store(&own)
	g.m = newMeters(cfg.Set, func() float64 { return float64(len(g.Holds())) })
	return g
}

// SetKey sets the key of digests, which all routers must share. What this router found by
// another key is of no use any more; what it was told to hold back is.
func (g *Guard) SetKey(key []byte) {
	if g == nil || bytes.Equal(key, *g.key.Load()) {
		return
	}
	g.key.Store(&key)
	g.change(func(b *Tracker, _ time.Duration) { b.ForgetCrashes() })
}

// Track begins to follow one try of a request.
func (g *Guard) Track(s Subject) *Submission {
	if g == nil {
		return nil
	}
	return &Submission{guard: g, digest: s.digest(*g.key.Load()), account: s.Account, try: rand.Uint64()}
}

// change runs f on the book, and expires what counts no more.
func (g *Guard) change(f func(b *Tracker, now time.Duration)) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Expire(now)
	f(g.book, now)
	g.some.Store(!g.book.Empty())
}

// crashed takes in a crash under a request.
func (g *Guard) crashed(d Digest, account string, c Crash) (fresh bool) {
	var pending bool
	var known int
	g.change(func(b *Tracker, now time.Duration) {
		if fresh, pending = b.Crashed(d, account, c, now); fresh {
			known = b.CrashCount(d)
		}
	})
	if fresh {
		g.cfg.Log.Emit(event.CrashCounted, "digest", d.String(), "account", account, "backend", c.Incarnation,
			"from", c.From, "crashes", known, "pending", pending)
	}
	if pending {
		time.AfterFunc(settle, func() { g.confirm(d, c.From == "") })
	}
	return fresh
}

// confirm decides on a request under which enough backend servers crashed; here tells that
// this router saw the last of them.
func (g *Guard) confirm(d Digest, here bool) {
	var held bool
	var cleared []Digest
	var hold HoldUpdate
	var known Report
	cutOff := g.cfg.Isolated()
	g.change(func(b *Tracker, now time.Duration) {
		if held, cleared = b.Confirm(d, now, cutOff); held {
			hold, _ = b.HoldOf(d, now)
			known = b.Report(d, now)
		}
	})
	g.wakeWaiting()
	if held {
		g.cfg.Log.Emit(event.RequestHeld, "digest", d.String(), "account", hold.Account, "crashes", known.String())
		g.announce(hold, here)
	}
	for _, beside := range cleared {
		g.cfg.Log.Emit(event.RequestCleared, "digest", beside.String(), "was_held", true, "beside", d.String())
		g.cfg.OnLift(beside)
	}
}

// ruling tells whether a request is held back. If that is about to be decided, ruled is closed
// at the next decision.
func (g *Guard) ruling(d Digest) (held bool, ruled <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.book.IsQuarantined(d, g.cfg.Now()) {
		return true, nil
	}
	if g.book.Pending(d) {
		return false, g.ruled
	}
	return false, nil
}

// wakeWaiting wakes the requests that wait for a decision.
func (g *Guard) wakeWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.ruled)
	g.ruled = make(chan struct{})
}

// announce tells of a request that is held back from now on, all others too if it was found here.
func (g *Guard) announce(n HoldUpdate, here bool) {
	if here {
		g.tell(Update{Holds: []HoldUpdate{n}})
	}
	g.cfg.OnHold(n, here)
}

// answered takes in an answer of a request.
func (g *Guard) answered(d Digest, at time.Duration) {
	var suspected, lifted bool
	g.change(func(b *Tracker, now time.Duration) { suspected, lifted = b.Answered(d, at, now) })
	if suspected {
		g.cfg.Log.Emit(event.RequestCleared, "digest", d.String(), "was_held", lifted)
	}
	if lifted {
		g.cfg.OnLift(d)
	}
	if suspected {
		g.tell(Update{Answers: []AnswerUpdate{{d, (g.cfg.Now() - at).Milliseconds()}}})
	}
}

// HandleUpdate takes in what another router told.
func (g *Guard) HandleUpdate(from string, n Update) {
	now := g.cfg.Now()
	ago := func(ms int64) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	for _, c := range n.Crashes {
		if !g.crashed(c.Digest, c.Account, Crash{
			Incarnation: c.Incarnation, At: ago(c.AgeMS), SentAt: ago(c.AgeMS + c.RanMS), Submission: c.Submission, From: from,
		}) {
			g.contradict(c)
		}
	}
	for _, e := range n.Exits {
		g.change(func(b *Tracker, _ time.Duration) { b.Exited(e.Incarnation, ago(e.AgeMS)) })
	}
	for _, h := range n.Holds {
		g.Hold(h, from)
	}
	for _, a := range n.Answers {
		g.change(func(b *Tracker, now time.Duration) { b.Answered(a.Digest, ago(a.AgeMS), now) })
	}
	for _, d := range n.Lifted {
		g.liftHere(d, from)
	}
}

// contradict tells the others that a request which they suspect was answered here.
func (g *Guard) contradict(c CrashUpdate) {
	var age time.Duration
	var covers bool
	g.change(func(b *Tracker, now time.Duration) {
		var answered time.Duration
		answered, covers = b.ClearedByAnswer(c.Digest, now-time.Duration(c.AgeMS)*time.Millisecond)
		age = now - answered
	})
	if covers {
		g.tell(Update{Answers: []AnswerUpdate{{c.Digest, age.Milliseconds()}}})
	}
}

// Hold holds a request back that another router, or an earlier life of this one, found.
func (g *Guard) Hold(h HoldUpdate, from string) {
	var fresh bool
	g.change(func(b *Tracker, now time.Duration) {
		fresh = b.Hold(h.Digest, h.Account, now+time.Duration(h.RemainingMS)*time.Millisecond, now)
	})
	if fresh {
		g.cfg.Log.Emit(event.RequestHeld, "digest", h.Digest.String(), "account", h.Account, "from", from, "left_ms", h.RemainingMS)
		g.announce(h, false)
	}
}

// Lift ends the hold of a request at all routers.
func (g *Guard) Lift(d Digest, by string) (was bool) {
	was = g.liftHere(d, by)
	g.cfg.OnLift(d)
	g.tell(Update{Lifted: []Digest{d}})
	return was
}

// liftHere ends the hold of a request here.
func (g *Guard) liftHere(d Digest, by string) (was bool) {
	g.change(func(b *Tracker, now time.Duration) { was = b.Lift(d, now) })
	if was {
		g.cfg.Log.Emit(event.RequestLifted, "digest", d.String(), "by", by)
	}
	return was
}

// RecordRemoved ends the hold of a request here, since the record that all routers share is gone.
func (g *Guard) RecordRemoved(d Digest) { g.liftHere(d, "record") }

// Holds lists the requests that are held back.
func (g *Guard) Holds() (out []HoldUpdate) {
	g.change(func(b *Tracker, now time.Duration) { out = b.Holds(now) })
	return out
}

// HoldOf is the hold of a request, false if it isn't held back.
func (g *Guard) HoldOf(d Digest) (hold HoldUpdate, held bool) {
	g.change(func(b *Tracker, now time.Duration) { hold, held = b.HoldOf(d, now) })
	return hold, held
}

// RebroadcastHold tells the others once more that a request is held back.
func (g *Guard) RebroadcastHold(d Digest) {
	if hold, held := g.HoldOf(d); held {
		g.tell(Update{Holds: []HoldUpdate{hold}})
	}
}

// List returns all that is known, for people.
func (g *Guard) List() (out []Report) {
	g.change(func(b *Tracker, now time.Duration) { out = b.List(now) })
	return out
}

// tell sends news soon.
func (g *Guard) tell(n Update) {
	g.mu.Lock()
	wait, arm, kept := g.out.put(n, g.cfg.Now())
	g.mu.Unlock()
	if !kept {
		g.m.untold.Add(n.size())
	}
	if arm {
		time.AfterFunc(wait, g.flush)
	}
}

func (g *Guard) flush() {
	g.mu.Lock()
	n := g.out.take()
	g.mu.Unlock()
	g.cfg.Broadcast(n)
}
