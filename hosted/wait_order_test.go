package hosted

import (
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/generation"
	"wigeondale/route"
	"wigeondale/schedule"
	"wigeondale/waitorder"
)

// orderedPicker returns a picker with two engines that have memory for the given number of
// tokens each, and routes of the given priorities.
func orderedPicker(t *testing.T, free int, priorities ...int) *picker {
	p := fullPicker(t, free)
	cfg := &route.Config{Version: 2, Keyless: true, Services: []route.Service{{Name: "llm", Engine: true, Memory: 50000}}}
	for _, n := range priorities {
		cfg.Routes = append(cfg.Routes, route.Route{Service: "llm", Priority: n})
	}
	p.table.Install(route.NewTable(cfg))
	p.order = newWaitOrder(p.table, nil, metrics.NewSet())
	return p
}

func withPriority(id string, priority int) generation.PickRequest {
	a := newPickRequest(id, 5000)
	a.Urgency = priority
	return a
}

// send passes what router a has to say to router b.
func send(a, b *picker) bool {
	m, ok := a.order.next(time.Now(), func() (int, bool) { return 1, true })
	if ok {
		b.order.handle(&m, time.Now())
	}
	return ok
}

// waitAtFull lets a request wait at a router without room until less urgent ones yield to it.
func waitAtFull(t *testing.T, p *picker, a generation.PickRequest) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < waitorder.UrgentAfter; time.Sleep(20 * time.Millisecond) {
		if _, _, err := p.Pick(t.Context(), a); err == nil {
			t.Fatal("an engine without room was chosen")
		}
	}
}

// Guards against a less urgent request that takes the last room while a more urgent one waits at
// another router, and against a started answer that yields, or a request that leaves an engine
// idle that has room for both.
func TestLessUrgentRequestLeavesTheLastRoom(t *testing.T) {
	urgent, other := orderedPicker(t, 1000, 0, 2), orderedPicker(t, 6000, 0, 2)
	waitAtFull(t, urgent, withPriority("urgent", 0))
	if !send(urgent, other) {
		t.Fatal("the router with the urgent request sent nothing")
	}
	_, _, err := other.Pick(t.Context(), withPriority("less", 2))
	if u, ok := errors.AsType[*generation.Unavailable](err); !ok || !u.Retryable || u.RetryAfter > 100*time.Millisecond {
		t.Fatalf("the less urgent request: %v, want to wait for a short time", err)
	}
	if n := other.order.yields.Get(); n != 1 {
		t.Errorf("%d yields are counted", n)
	}
	started := withPriority("started", 2)
	started.Resume = true
	if _, _, err := other.Pick(t.Context(), started); err != nil {
		t.Errorf("the started answer: %v", err)
	}
	if _, _, err := other.Pick(t.Context(), withPriority("as urgent", 0)); err != nil {
		t.Errorf("the equally urgent request: %v", err)
	}
	roomy := orderedPicker(t, 11000, 0, 2)
	roomy.order.handle(&waitorder.Message{Entries: []waitorder.Entry{{Service: "llm", WaitedMS: 300, Origin: 1, Stated: 1}}}, time.Now())
	if _, _, err := roomy.Pick(t.Context(), withPriority("less", 2)); err != nil {
		t.Errorf("an engine has room for two, and the less urgent request: %v", err)
	}
}

// Guards against a request that yields for ever since it needs more than half of an engine's memory, and so
// finds no engine with room for two of its size, though engines are idle.
func TestLargeRequestThatYieldsTakesAnIdleEngine(t *testing.T) {
	p := orderedPicker(t, 50000, 0, 2)
	p.order.handle(&waitorder.Message{Entries: []waitorder.Entry{{Service: "llm", WaitedMS: 300, Origin: 1, Stated: 1}}}, time.Now())
	a := withPriority("large", 2)
	a.PromptTokens = 40000
	if _, _, err := p.Pick(t.Context(), a); err != nil {
		t.Error(err)
	}
}

// Guards against a less urgent request that finds no engine although engines are idle: together with the room that it leaves
// for urgent ones it needs more memory than an engine has.
func TestLargeRequestThatLeavesRoomTakesAnIdleEngine(t *testing.T) {
	for _, yields := range []bool{false, true} {
		p := orderedPicker(t, 50000, 0, 2)
		p.queues.of("llm").urgent.observe(withPriority("urgent", 0), time.Now())
		if yields {
			p.order.handle(&waitorder.Message{Entries: []waitorder.Entry{{Service: "llm", WaitedMS: 300, Origin: 1, Stated: 1}}}, time.Now())
		}
		a := withPriority("large", 2)
		a.PromptTokens = 48000
		if _, _, err := p.Pick(t.Context(), a); err != nil {
			t.Errorf("yields %v: %v", yields, err)
		}
	}
}

// Guards against a priority that is never served while urgent requests arrive: engines have room for one request at a time, and the
// less urgent ones leave it to urgent ones even when ageing lifts one of them, or their priority has a turn.
func TestPriorityWithTurnLeavesNoRoom(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		p := orderedPicker(t, 6000, 0, 2)
		q := p.queues.of("llm")
		var waited time.Duration
		for begun := time.Now(); waited < schedule.Window; time.Sleep(20 * time.Millisecond) {
			now := time.Now()
			for range 3 { // requests that make up the share of all engines
				q.urgent.observe(withPriority("urgent", 0), now)
			}
			if elsewhere {
				ms := uint32(300 + time.Since(begun).Milliseconds())
				p.order.handle(&waitorder.Message{Entries: []waitorder.Entry{{Service: "llm", WaitedMS: ms, Origin: 1, Stated: uint64(ms)}}}, now)
			}
			waited = time.Since(begun)
			if _, _, err := p.Pick(t.Context(), withPriority("less", 2)); err == nil {
				break
			}
		}
		if waited < schedule.DueAfter/2 || waited >= schedule.Window {
			t.Errorf("urgent requests elsewhere %v: served after %v", elsewhere, waited)
		}
	}
}

// Guards against a started answer that stays at its software version, and leaves room for new requests of others.
func TestBoundAnswerLeavesNoRoom(t *testing.T) {
	p := orderedPicker(t, 6000, 0, 2)
	for range 3 {
		p.queues.of("llm").urgent.observe(withPriority("urgent", 0), time.Now())
	}
	a, all := withPriority("bound", 2), p.candidates(withPriority("bound", 2))
	if _, _, err := p.chooseReserving(p.anyEngine, all, a, p.sizeOf(a).loadOf(0)); err == nil {
		t.Error("a new request leaves no room")
	}
	a.Binding = &generation.Binding{}
	if _, _, err := p.chooseReserving(p.anyEngine, all, a, p.sizeOf(a).loadOf(0)); err != nil {
		t.Error(err)
	}
}

// Guards against messages and yields where the configuration doesn't ask for an order: with one
// priority, every decision must be as before.
func TestEqualPrioritiesSendNothing(t *testing.T) {
	urgent, other := orderedPicker(t, 1000, 2, 2), orderedPicker(t, 6000, 2, 2)
	waitAtFull(t, urgent, withPriority("waits", 2))
	if send(urgent, other) {
		t.Error("a message was sent")
	}
	other.order.handle(&waitorder.Message{Entries: []waitorder.Entry{{Service: "llm", WaitedMS: 300, Origin: 1, Stated: 1}}}, time.Now())
	if _, _, err := other.Pick(t.Context(), withPriority("q", 2)); err != nil {
		t.Error(err)
	}
}

// Guards against a request that is granted an engine, or given up by its client, and for which
// other routers go on yielding.
func TestGrantedAndLostWaitersAreForgotten(t *testing.T) {
	p := orderedPicker(t, 1000, 0, 2)
	waitAtFull(t, p, withPriority("granted", 0))
	now := time.Now()
	p.order.recordGrant(withPriority("granted", 0), now)
	p.order.recordWaiting(withPriority("lost", 0), now)
	if got := p.order.localWaiting(now); len(got) != 1 || got[0].Count != 1 {
		t.Errorf("got %+v", got)
	}
	if got := p.order.localWaiting(now.Add(waiterTTL + time.Millisecond)); len(got) != 0 {
		t.Errorf("a request that is not polled any more waits: %+v", got)
	}
}

// Guards against requests that wait at a router which reaches no engine, and for which other routers keep
// room that no request uses.
func TestRouterThatIsCutOffAsksNobodyToYield(t *testing.T) {
	cut, other := orderedPicker(t, 1000, 0, 2), orderedPicker(t, 6000, 0, 2)
	cut.order.cutOff = func(string) bool { return true }
	waitAtFull(t, cut, withPriority("urgent", 0))
	if send(cut, other) {
		t.Error("a message was sent")
	}
}

// Guards against engines that are never full for less urgent requests while no urgent one waits: a router with links leaves no
// room before another one waits, and a router that learns nothing of others leaves it all the time.
func TestRoomIsLeftWithoutLinksOnly(t *testing.T) {
	for _, linked := range []bool{false, true} {
		p := orderedPicker(t, 6000, 0, 2)
		p.order.linked.Store(linked)
		p.queues.of("llm").urgent.observe(withPriority("urgent", 0), time.Now())
		_, _, err := p.Pick(t.Context(), withPriority("less", 2))
		if (err == nil) != linked {
			t.Errorf("links %v: the request that takes the last room: %v", linked, err)
		}
	}
}
