// Package backpressure applies what backend servers ask of the routers in their answers.
//
// A backend server in need states a limit: the requests a second that it takes from all routers
// together. Without this package each router would go on sending its full share, and the backend
// server would get many times what it can take. A backend server that is leaving says so in its
// answers too. While no other source says it, requests would go on to a backend server that is
// about to end. A backend server that refuses a request may ask the router for rest. If it got none,
// it would spend its time on refusals, and each refused request would cost a retry.
//
// The state belongs to one lifetime of one backend server, and is consulted as the last step before
// the bytes of a request are sent, so that no path to a backend server evades it: first tries,
// retries, continuations, probes and queries alike. A request that is not sent for this reason costs
// no retry budget, and is no evidence that the backend server is sick.
package backpressure

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("backpressure")

// ErrLimited is the reason for which a request is withheld from a backend server that states a limit.
var ErrLimited = errors.New("the backend server takes no request of this router now, by its limit")

// ErrResting is the reason for which a request is withheld from a backend server that has refused
// one and asked for rest.
var ErrResting = errors.New("the backend server wants no request of this router for some time")

// ErrNoRoom is the reason for which a request is withheld from a brittle backend server.
var ErrNoRoom = errors.New("this router uses its part of the brittle backend server's room")

// ErrLeaving is the reason for which work is withheld from a backend server that is leaving.
var ErrLeaving = errors.New("the backend server is leaving")

const (
	// refreshInterval is how often the nodes are read, on which the shares of a limit depend.
	refreshInterval = time.Second
	// forgetAfter is how long the state of a backend server is kept after the last answer or
	// report about it. It is longer than any wait for a share of the smallest limit.
	forgetAfter = 10 * time.Minute
	// rememberLeaving is how long a backend server is remembered to be leaving. It has ended long
	// before, and its id is never used again.
	rememberLeaving = time.Hour
	// maxBackends bounds the backend servers with a state. Those beyond it are ignored.
	maxBackends = 20_000
)

// Config configures a Tracker.
type Config struct {
	Node string // id of this node
	// Nodes returns the ids of the nodes that may send requests, including this node. All nodes
	// should get about the same result.
	Nodes func() []string
	// Broadcast sends an update to all other routers. Nil sends none.
	Broadcast func(Update)
	// OnLeaving is called when an answer first states that a backend server is leaving. Nil does
	// nothing.
	OnLeaving func(id string)
	// Service returns the service of a backend server, and Requests how many requests this router has
	// at it. Nil means that no service is ever brittle.
	Service  func(id string) string
	Requests func(id string) float64

	Log *event.Log
	Set *metrics.Set
}

// Tracker holds what the backend servers ask of the routers. It is safe for concurrent use.
type Tracker struct {
	cfg   Config
	count atomic.Int64 // len(byID), read without the lock
	// brittleCount is len(brittle), read without the lock.
	brittleCount atomic.Int64
	// cold is set until coldTime after the start; see roomAccepts.
	cold atomic.Bool

	mu       sync.Mutex
	byID     map[string]*state
	brittle  map[string]*brittle // by service
	answered map[string]bool     // services that have answered this router
	started  time.Time           // of the first call
	// brittleEnded holds when services were brittle last, by the answers of their backend servers.
	brittleEnded map[string]time.Time
	limited      map[string]*state    // those that state a limit or ask for rest
	turns        map[string]time.Time // by service, see turn
	nodes        []string
	nodesRead    time.Time
	ticked       time.Time
}

// state is what one lifetime of one backend server asks.
type state struct {
	id      string
	service string
	limit   limit
	rest    rest
	leftAt  time.Time // when it became known that it is leaving; zero if it is not
}

func (s *state) leaving() bool { return !s.leftAt.IsZero() }

// New returns a Tracker without any state.
func New(cfg Config) *Tracker {
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	if cfg.Broadcast == nil {
		cfg.Broadcast = func(Update) {}
	}
	if cfg.OnLeaving == nil {
		cfg.OnLeaving = func(string) {}
	}
	t := &Tracker{cfg: cfg, byID: map[string]*state{}, brittle: map[string]*brittle{}, brittleEnded: map[string]time.Time{}, limited: map[string]*state{}, turns: map[string]time.Time{}, answered: map[string]bool{}}
	t.cold.Store(cfg.Requests != nil)
	cfg.Set.GetOrCreateGauge("wigeon_backpressure_backends", func() float64 { return float64(t.count.Load()) })
	return t
}

// Observe applies an answer of b to a request that was sent at sentAt.
func (t *Tracker) Observe(b fleet.Backend, sentAt, now time.Time, s backend.Statement) {
	if !s.Asks() && t.idle() {
		return
	}
	t.mu.Lock()
	var update, noRoom *Update
	nowLeaving := false
	if t.cfg.Requests != nil {
		noRoom = t.observeBrittle(b, sentAt, now, s)
	}
	if st := t.stateFor(b, s.Asks()); st != nil {
		update = t.observeLimit(st, sentAt, now, s)
		t.observeRest(st, sentAt, now, s)
		nowLeaving = s.Leaving && st.markLeaving(now)
		t.index(st)
	}
	t.mu.Unlock()
	for _, u := range []*Update{noRoom, update} {
		if u != nil {
			t.cfg.Broadcast(*u)
		}
	}
	if nowLeaving {
		t.cfg.OnLeaving(b.ID)
	}
}

// idle reports whether no backend server asks anything. It takes no lock.
func (t *Tracker) idle() bool {
	return t.count.Load() == 0 && t.brittleCount.Load() == 0 && !t.cold.Load()
}

// MarkLeaving records that a backend server is leaving, as another source than its answers says.
// Nothing undoes it: all that may say otherwise later may be older.
func (t *Tracker) MarkLeaving(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.stateFor(fleet.Backend{ID: id}, true); st != nil {
		st.markLeaving(now)
	}
}

// markLeaving reports whether the backend server was not known to be leaving before.
func (s *state) markLeaving(now time.Time) bool {
	if s.leaving() {
		return false
	}
	s.leftAt = now
	return true
}

// stateFor returns the state of b. If there is none, it creates one or returns nil. The caller
// holds t.mu.
func (t *Tracker) stateFor(b fleet.Backend, create bool) *state {
	st := t.byID[b.ID]
	if st == nil && create && len(t.byID) < maxBackends {
		st = &state{id: b.ID, service: b.Service}
		t.byID[b.ID] = st
		t.count.Store(int64(len(t.byID)))
	}
	if st != nil && st.service == "" {
		st.service = b.Service
	}
	return st
}

// Accepts reports whether a request may be sent to a backend server now. It changes nothing: the
// request may still be withheld by Permit.
func (t *Tracker) Accepts(id string, now time.Time) bool {
	if t == nil || t.idle() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.byID[id]
	return (st == nil || t.accepts(st, backend.Work, now) == nil) && t.hasRoom(id, now)
}

// Filter returns a function that reports which backend servers accept a request at the given time by
// their limits and rests, or nil if all of them do. Leaving ones are left to the directory, which
// knows many more of them.
func (t *Tracker) Filter(now time.Time) func(id string) bool {
	if t == nil || t.idle() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.brittle) > 0 || t.cold.Load() {
		return func(id string) bool { return t.Accepts(id, now) }
	}
	var closed map[string]bool
	for id, st := range t.limited {
		if t.accepts(st, backend.Work, now) == nil {
			continue
		}
		if closed == nil {
			closed = map[string]bool{}
		}
		closed[id] = true
	}
	if closed == nil {
		return nil
	}
	return func(id string) bool { return !closed[id] }
}

// accepts returns the reason why no request may be sent now, or nil. The caller holds t.mu.
func (t *Tracker) accepts(st *state, why backend.Purpose, now time.Time) error {
	switch {
	case why == backend.Work && st.leaving():
		return ErrLeaving
	case !st.rest.accepts(now):
		return ErrResting
	case why == backend.Optional && st.limit.stated(), !t.limitAccepts(st, now):
		return ErrLimited
	}
	return nil
}

// Permit is called as the last step before the bytes of a request are sent to b, and counts the
// request. It returns an error if the request must not be sent. Optional requests are withheld
// from a backend server that limits its requests, so that the work gets all that the limit allows.
func (t *Tracker) Permit(b fleet.Backend, why backend.Purpose, now time.Time) error {
	if t == nil || t.idle() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.permitsRoom(b, why, now)
	st := t.byID[b.ID]
	if err == nil && st != nil {
		err = t.accepts(st, why, now)
	}
	if err != nil {
		t.cfg.Set.GetOrCreateCounter(`wigeon_requests_withheld_total{service="` + b.Service + `"}`).Inc()
		return Error.New("%w: %w", backend.ErrWithheld, err)
	}
	if st != nil {
		st.limit.take(now)
		st.rest.take(now)
	}
	return nil
}

// index lists st in t.limited if it belongs there. The caller holds t.mu.
func (t *Tracker) index(st *state) {
	if st.limit.stated() || st.rest.asked() {
		t.limited[st.id] = st
		return
	}
	delete(t.limited, st.id)
}

// allNodes returns the nodes, read at most refreshInterval ago. The caller holds t.mu.
func (t *Tracker) allNodes(now time.Time) []string {
	if t.nodes == nil || now.Sub(t.nodesRead) >= refreshInterval {
		t.nodes, t.nodesRead = t.cfg.Nodes(), now
	}
	return t.nodes
}
