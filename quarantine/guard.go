package quarantine

import (
	"bytes"
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/event"
)

// Errors of Submission.Refusal. ErrQuarantined reports that a request is quarantined and was not sent, and
// ErrPartQuarantined that a part of its prompt is. ErrPartUndecided reports that a trial is expected to show whether a
// part of its prompt is the cause.
var (
	ErrQuarantined     = Error.New("backend servers crashed under this request")
	ErrPartQuarantined = Error.New("backend servers crashed under requests with a part of this prompt")
	ErrPartUndecided   = Error.New("backend servers crashed under requests with a part of this prompt, which may not be the cause")
)

// keyBytes is the length of the random key that a router uses until the shared key is set.
const keyBytes = 32

// Guard quarantines the requests under which backend servers crash, at one router. A nil
// Guard quarantines none. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	metrics *metricSet
	key     atomic.Pointer[[]byte]
	digests atomic.Pointer[partDigests]
	// nonEmpty is true while the tracker has an entry, so that requests need no lock while no
	// request is suspected.
	nonEmpty atomic.Bool
	// informed is true once a router that knows what is quarantined has replied, and after Config.StartWait.
	informed       atomic.Bool
	evidenceClaims evidenceClaims
	probes         probes

	mu            sync.Mutex
	tracker       *Tracker
	outbox        outbox
	recentCrashes crashLog // guarded by mu
	// decided is closed whenever a decision about any request was made, which wakes the requests
	// that wait for a decision; the channel is then replaced by a new one. mu guards the field.
	decided chan struct{}
}

// NewGuard returns a Guard. Until SetKey sets the key that all routers share, the Guard uses a
// random key of its own, so that other routers can't match the digests in its updates.
func NewGuard(cfg Config) *Guard {
	cfg = cfg.withDefaults()
	g := &Guard{cfg: cfg, tracker: NewTracker(), decided: make(chan struct{})}
	localKey := make([]byte, keyBytes)
	crand.Read(localKey) // never returns an error: the runtime ends the process instead
	g.key.Store(&localKey)
	g.digests.Store(newPartDigests(localKey))
	g.startUninformed()
	g.metrics = newMetricSet(cfg.Set, func() float64 { return float64(len(g.Holds())) }, func() float64 { return float64(len(g.PartHolds())) })
	return g
}

// SetKey sets the key of digests, which all routers must share. Requests that are suspected
// because of crashes are dropped, since their digests were made with another key; holds that
// this router only received are kept.
func (g *Guard) SetKey(key []byte) {
	if g == nil || bytes.Equal(key, *g.key.Load()) {
		return
	}
	g.key.Store(&key)
	g.digests.Store(newPartDigests(key))
	g.withTracker(func(t *Tracker, _ time.Duration) {
		t.ForgetCrashes()
		g.recentCrashes = nil
	})
}

// Track returns the Submission that stands for one submission of a request by a client. It is
// nil, and the request isn't tracked, if the Guard is nil.
func (g *Guard) Track(s Subject) *Submission {
	if g == nil {
		return nil
	}
	return &Submission{
		guard: g, digest: s.digest(*g.key.Load()), account: s.Account, submission: rand.Uint64(),
		parts: g.digests.Load().of(s.Content.Parts), model: s.Content.Model,
	}
}

// withTracker runs f on the tracker, after dropping entries that have expired.
func (g *Guard) withTracker(f func(t *Tracker, now time.Duration)) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Expire(now)
	f(g.tracker, now)
	g.nonEmpty.Store(!g.tracker.Empty())
}

// crashed records that a backend server crashed while it ran a request. If the recorded crashes
// are then enough to quarantine the request, the decision follows after decisionDelay. added is
// false if the crash was known already or doesn't count.
func (g *Guard) crashed(d Digest, account string, c Crash) (added bool) {
	var pending bool
	var crashes int
	g.withTracker(func(t *Tracker, now time.Duration) {
		if added, pending = t.Crashed(d, account, c, now); added {
			crashes = t.CrashCount(d)
		}
	})
	if added {
		g.cfg.Log.Emit(event.CrashCounted, "digest", d.String(), "account", account, "backend", c.Incarnation,
			"from", c.From, "crashes", crashes, "pending", pending)
	}
	if pending {
		time.AfterFunc(decisionDelay, func() { g.confirm(d, c.From == "") })
	}
	return added
}

// confirm decides on a request under which enough backend servers crashed; foundHere
// reports whether this router saw the last of the crashes.
func (g *Guard) confirm(d Digest, foundHere bool) {
	var quarantined bool
	var cleared, clearedParts []Digest
	var hold HoldUpdate
	var report Report
	isolated := g.cfg.Isolated()
	g.withTracker(func(t *Tracker, now time.Duration) {
		if quarantined, cleared, clearedParts = t.Confirm(d, now, isolated); quarantined {
			hold, _ = t.HoldOf(d, now)
			report = t.Report(d, now)
		}
	})
	g.wakeWaiting()
	if quarantined {
		g.cfg.Log.Emit(event.RequestHeld, "digest", d.String(), "account", hold.Account, "crashes", report.String())
		g.announce(hold, foundHere)
	}
	for _, bystander := range cleared {
		g.cfg.Log.Emit(event.RequestCleared, "digest", bystander.String(), "was_held", true, "beside", d.String())
		g.cfg.OnLift(bystander)
	}
	for _, part := range clearedParts {
		g.cfg.Log.Emit(event.PartCleared, "part", part.String(), "was_held", true, "beside", d.String())
		g.cfg.OnPartLift(part)
	}
}

// decision returns why a request must not be sent, or nil. If a decision about the request or one of its
// parts is due, decided is a channel that is closed at the next decision about any request; otherwise
// decided is nil.
func (g *Guard) decision(s *Submission) (decided <-chan struct{}, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	if g.tracker.IsQuarantined(s.digest, now) {
		return nil, ErrQuarantined
	}
	if refusal := g.tracker.parts.refusal(s.parts, s.account, s.model, now); refusal != nil {
		return nil, refusal
	}
	if !g.informed.Load() || g.tracker.Pending(s.digest) || g.tracker.parts.undecided(s.parts) {
		return g.decided, nil
	}
	return nil, nil
}

// wakeWaiting wakes the requests that wait for a decision.
func (g *Guard) wakeWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.decided)
	g.decided = make(chan struct{})
}

// announce calls OnHold for a newly quarantined request, and broadcasts the hold if foundHere
// is true, which means that this router saw the last of the crashes.
func (g *Guard) announce(n HoldUpdate, foundHere bool) {
	if foundHere {
		g.broadcast(Update{Holds: []HoldUpdate{n}})
	}
	g.cfg.OnHold(n, foundHere)
}

// answered records that a request was answered at the time at. If crashes under the request are
// dropped because of the answer, answered also broadcasts the answer, so that the other routers
// drop them too.
func (g *Guard) answered(d Digest, at time.Duration) {
	var suspected, lifted bool
	g.withTracker(func(t *Tracker, now time.Duration) { suspected, lifted = t.Answered(d, at, now) })
	if suspected {
		g.cfg.Log.Emit(event.RequestCleared, "digest", d.String(), "was_held", lifted)
	}
	if lifted {
		g.cfg.OnLift(d)
	}
	if suspected {
		g.cfg.OnCase(Suspect{d, false}, true)
		g.broadcast(Update{Answers: []AnswerUpdate{{d, (g.cfg.Now() - at).Milliseconds()}}})
	}
}

// HandleUpdate applies an update from another router.
func (g *Guard) HandleUpdate(from string, n Update) {
	now := g.cfg.Now()
	ago := func(ms int64) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	for _, c := range n.Crashes {
		crash := c.crash(from, now)
		againstRequest, _ := g.count(crash)
		g.replyUntold(crash.Parts, c.Model)
		if !againstRequest {
			g.broadcastAnswer(c)
		}
	}
	for _, e := range n.Exits {
		g.withTracker(func(t *Tracker, _ time.Duration) { t.Exited(e.Incarnation, ago(e.AgeMS)) })
	}
	for _, h := range n.Holds {
		g.Hold(h, from)
	}
	for _, a := range n.Answers {
		g.withTracker(func(t *Tracker, now time.Duration) { t.Answered(a.Digest, ago(a.AgeMS), now) })
	}
	for _, d := range n.Lifted {
		g.liftLocally(d, from)
	}
	for _, u := range n.Turns {
		g.withTracker(func(t *Tracker, now time.Duration) { t.applyTurn(u, now) })
	}
	g.handlePartUpdate(from, n)
}

// broadcastAnswer reports to the other routers that this router has seen an answer to a
// request under which one of the other routers reports a crash.
func (g *Guard) broadcastAnswer(c CrashUpdate) {
	var age time.Duration
	var clears bool
	g.withTracker(func(t *Tracker, now time.Duration) {
		var answered time.Duration
		answered, clears = t.ClearedByAnswer(c.Digest, now-time.Duration(c.AgeMS)*time.Millisecond)
		age = now - answered
	})
	if clears {
		g.broadcast(Update{Answers: []AnswerUpdate{{c.Digest, age.Milliseconds()}}})
	}
}

// broadcast sends an update to the other routers, in one message with the other updates that
// arise until the message goes out. The update is dropped if too many updates already wait.
func (g *Guard) broadcast(n Update) {
	g.mu.Lock()
	wait, arm, kept := g.outbox.put(n, g.cfg.Now())
	g.mu.Unlock()
	if !kept {
		g.metrics.dropped.Add(n.size())
	}
	if arm {
		time.AfterFunc(wait, g.flush)
	}
}

func (g *Guard) flush() {
	g.mu.Lock()
	n := g.outbox.take()
	g.mu.Unlock()
	g.cfg.Broadcast(n)
}
