package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/generation"
	"wigeondale/peer"
	"wigeondale/route"
	"wigeondale/routing"
	"wigeondale/waitorder"
)

// Routers tell each other which priorities wait for engines (package waitorder), so that the only
// waiter at one router, of low priority, doesn't take the engine for which more urgent requests
// wait at other routers.

const (
	floodWaiting = "hosted.waiting"
	// orderInterval is how often the statements that are due are sent. It is short compared with
	// waitorder.UrgentAfter.
	orderInterval = 25 * time.Millisecond
	// waiterTTL is the time since its last poll after which a request no longer counts as
	// waiting. It is several times the longest interval between two polls.
	waiterTTL = 400 * time.Millisecond
	// linksInterval is how often the links are counted, which takes about 0.7 ms with 830 routers.
	linksInterval = time.Second
	// yieldGap is the time without a yield after which yielding has ended.
	yieldGap = time.Second
)

// waitOrder connects the queues of this router with the order over all routers.
type waitOrder struct {
	routes *route.Current
	table  *waitorder.Table
	log    *event.Log
	soon   chan struct{} // signals that there may be something to send
	// cutOff reports whether this router reaches no engine of a service. The requests that wait here can't
	// use an engine then, and no other router should yield to them.
	cutOff func(service string) bool

	yields, turns, sent, received, rejected *metrics.Counter

	linked atomic.Bool // this router has links to others, as of the last linksInterval

	mu       sync.Mutex
	waiters  map[string]waiter // by request
	yielding map[string]*yieldPeriod
}

// waiter is a request that waits at this router.
type waiter struct {
	service         string
	priority        int
	since, lastPoll time.Time
}

// yieldPeriod is a period in which requests of a service yield.
type yieldPeriod struct {
	since, last time.Time
	count       int
}

func newWaitOrder(routes *route.Current, log *event.Log, set *metrics.Set) *waitOrder {
	o := &waitOrder{
		routes: routes, log: log, soon: make(chan struct{}, 1), cutOff: func(string) bool { return false },
		waiters: map[string]waiter{}, yielding: map[string]*yieldPeriod{},
		yields:   set.NewCounter("wigeon_order_yields_total"),
		turns:    set.NewCounter("wigeon_order_turns_total"),
		sent:     set.NewCounter("wigeon_order_messages_sent_total"),
		received: set.NewCounter("wigeon_order_messages_received_total"),
		rejected: set.NewCounter("wigeon_order_messages_rejected_total"),
	}
	o.table = waitorder.NewTable(waitorder.Config{Origin: rand.Uint32(), Least: o.leastUrgent, Rand: rand.Float64})
	set.NewGauge("wigeon_order_known_entries", func() float64 { return float64(len(o.table.Known(time.Now()))) })
	return o
}

// leastUrgent returns the least urgent priority of a service's requests, and false if they don't
// differ in priority, or wait for no engine.
func (o *waitOrder) leastUrgent(service string) (int, bool) {
	t := o.routes.Get()
	if t == nil || !t.Service(service).Engine {
		return 0, false
	}
	return t.LeastUrgent(service)
}

// recordWaiting records that a request waits. A request that can't be in time any more is not counted: it stays
// behind all others, also at other routers.
func (o *waitOrder) recordWaiting(a generation.PickRequest, now time.Time) {
	if o == nil || startedAnswer(a) {
		return
	}
	if _, differ := o.leastUrgent(a.Service); !differ {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Late {
		delete(o.waiters, a.RequestID)
		return
	}
	w, known := o.waiters[a.RequestID]
	if !known {
		w = waiter{service: a.Service, priority: route.ValidPriority(a.Urgency), since: now}
	}
	w.lastPoll = now
	o.waiters[a.RequestID] = w
	o.table.RecordWaiting(w.service, w.priority, now)
}

// remove forgets a request that doesn't wait any more.
func (o *waitOrder) remove(id string) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiters, id)
}

// localWaiting summarizes the requests that wait at this router.
func (o *waitOrder) localWaiting(now time.Time) []waitorder.Waiting {
	type key struct {
		service  string
		priority int
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	sums := map[key]waitorder.Waiting{}
	for id, w := range o.waiters {
		if now.Sub(w.lastPoll) > waiterTTL {
			delete(o.waiters, id)
			continue
		}
		k := key{w.service, w.priority}
		s := sums[k]
		sums[k] = waitorder.Waiting{Service: w.service, Priority: w.priority, Count: s.Count + 1, Oldest: max(s.Oldest, now.Sub(w.since))}
	}
	out := make([]waitorder.Waiting, 0, len(sums))
	for _, s := range sums {
		out = append(out, s)
	}
	return out
}

// startedAnswer reports whether a request continues a started answer, by which it goes before all others.
func startedAnswer(a generation.PickRequest) bool { return sentBefore(a) || a.Binding != nil }

// mayTake reports whether a request may take any engine with room for it. If not, it yields (see leaveRoom).
func (o *waitOrder) mayTake(a generation.PickRequest, now time.Time) bool {
	may, _ := o.mayTakeInTurn(a, now)
	return may
}

// mayTakeInTurn is mayTake. turn reports that the request may take an engine since its priority has a turn.
func (o *waitOrder) mayTakeInTurn(a generation.PickRequest, now time.Time) (may, turn bool) {
	if o == nil {
		return true, false
	}
	return o.table.MayTakeInTurn(a.Service, route.ValidPriority(a.Urgency), startedAnswer(a), now)
}

// leaveRoom changes the request for an engine so that, besides room for the request, the
// engine has room for another one of the same size, and time to read its prompt: a request that
// yields leaves the last room at an engine to a more urgent one. An engine without work is never left idle.
func leaveRoom(req *routing.PickRequest) {
	if req.Capacity > 0 {
		left := max(req.Capacity-req.Needs(), 0) // at an engine without work
		req.MemoryTokens += min(req.MemoryTokens, left)
	}
	if req.Backlog > 0 {
		req.Backlog = max(req.Backlog-float64(req.PromptTokens), idleOnly)
	}
}

// recordGrant records that an engine was chosen for a request.
func (o *waitOrder) recordGrant(a generation.PickRequest, now time.Time) {
	if o == nil {
		return
	}
	o.remove(a.RequestID)
	if o.table.RecordGrant(a.Service, route.ValidPriority(a.Urgency), startedAnswer(a), a.Yields, now) {
		o.turns.Inc()
		o.signal()
	}
}

// recordYield records that a request found no engine because it yields.
func (o *waitOrder) recordYield(a generation.PickRequest, now time.Time) {
	if o == nil || !a.Yields {
		return
	}
	o.yields.Inc()
	o.mu.Lock()
	defer o.mu.Unlock()
	y := o.yielding[a.Service]
	if y == nil {
		y = &yieldPeriod{since: now}
		o.yielding[a.Service] = y
		urgent := o.table.UrgentWait(a.Service, route.ValidPriority(a.Urgency), now)
		o.log.Emit(event.YieldBegun, "service", a.Service, "priority", a.Urgency, "request", a.RequestID, "urgent_ms", urgent.Milliseconds())
	}
	y.last = now
	y.count++
}

// endYields logs the end of the periods in which requests yielded.
func (o *waitOrder) endYields(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, y := range o.yielding {
		if now.Sub(y.last) > yieldGap {
			delete(o.yielding, service)
			o.log.Emit(event.YieldEnded, "service", service, "yields", y.count, "took_ms", y.last.Sub(y.since).Milliseconds())
		}
	}
}

// hasLinks reports whether this router learns of the requests that wait at other routers.
func (o *waitOrder) hasLinks() bool { return o != nil && o.linked.Load() }

func (o *waitOrder) signal() {
	select {
	case o.soon <- struct{}{}:
	default:
	}
}

// join registers the message about waiting requests.
func (o *waitOrder) join(mesh *peer.Mesh) {
	peer.HandleFlood(mesh, floodWaiting, func(_ string, m waitorder.Message) { o.handle(&m, time.Now()) })
}

func (o *waitOrder) handle(m *waitorder.Message, now time.Time) {
	o.received.Inc()
	news, err := o.table.Merge(m, now)
	if err != nil {
		o.rejected.Inc()
		return
	}
	if news {
		o.signal()
	}
}

// run sends what other routers should know, until ctx ends.
func (o *waitOrder) run(ctx context.Context, mesh *peer.Mesh) {
	tick, links := time.NewTicker(orderInterval), time.NewTicker(linksInterval)
	defer tick.Stop()
	defer links.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-links.C:
			n, _ := linksOf(mesh)
			o.linked.Store(n > 0)
			continue
		case <-o.soon:
		case <-tick.C:
		}
		now := time.Now()
		o.endYields(now)
		if m, ok := o.next(now, func() (int, bool) { return linksOf(mesh) }); ok {
			_ = mesh.SendToLinked(floodWaiting, m) // a lost statement is soon replaced by a newer one
		}
	}
}

func (o *waitOrder) next(now time.Time, links func() (int, bool)) (waitorder.Message, bool) {
	local := slices.DeleteFunc(o.localWaiting(now), func(w waitorder.Waiting) bool { return o.cutOff(w.Service) })
	o.table.SetLocal(local, now)
	m, ok := o.table.Next(now, links)
	if ok {
		o.sent.Inc()
	}
	return m, ok
}

// linksOf returns the number of this router's links, and whether all routers are linked to each other.
func linksOf(mesh *peer.Mesh) (count int, full bool) {
	for _, m := range mesh.Members() {
		if m.Linked {
			count++
		}
	}
	return count, mesh.IsFullMesh()
}

// state returns the part of the state dump about the requests that wait at other routers.
func (o *waitOrder) state(now time.Time) any {
	return struct {
		Here    []waitorder.Waiting
		Routers []waitorder.Known
	}{o.localWaiting(now), o.table.Known(now)}
}
