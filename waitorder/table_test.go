package waitorder

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

var begin = time.Unix(50000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func newTable(origin uint32) *Table {
	return NewTable(Config{Origin: origin, Rand: func() float64 { return 0 }, Least: func(service string) (int, bool) { return 2, service == "llm" }})
}

func waitsHere(t *Table, waited, now int) {
	t.SetLocal([]Waiting{{"llm", 0, 1, time.Duration(waited) * time.Millisecond}}, at(now))
}

// pass sends what a has to say to the others, and reports whether there was anything.
func pass(t *testing.T, now int, a *Table, others ...*Table) bool {
	t.Helper()
	m, ok := a.Next(at(now), func() (int, bool) { return len(others), false })
	for _, o := range others {
		if _, err := o.Merge(&m, at(now)); ok && err != nil {
			t.Fatal(err)
		}
	}
	return ok
}

// Guards against a router that died, or was cut off, and holds up the others for longer than the
// lifetime of its last statement: three routers in a ring pass it to each other for ever, over
// links that each take 300 ms, which is no part of the age.
func TestStatementsOfADeadRouterDieOut(t *testing.T) {
	dead := newTable(1)
	ring := []*Table{newTable(2), newTable(3), newTable(4)}
	waitsHere(dead, 300, 0)
	pass(t, 0, dead, ring[0])
	if ring[0].MayTake("llm", 2, false, at(1)) {
		t.Fatal("the statement has no effect")
	}
	type delivery struct {
		to int
		m  Message
	}
	inbox := map[int][]delivery{}
	heldUntil := 0
	for now := 1; now < 8000; now++ {
		for i, r := range ring {
			for _, d := range inbox[now] {
				if d.to == i {
					_, _ = r.Merge(&d.m, at(now))
				}
			}
			if m, ok := r.Next(at(now), func() (int, bool) { return 2, false }); ok {
				inbox[now+300] = append(inbox[now+300], delivery{(i + 1) % 3, m}, delivery{(i + 2) % 3, m})
			}
			if !r.MayTake("llm", 2, false, at(now)) {
				heldUntil = now
			}
		}
	}
	if limit := 300 + int(Lifetime.Milliseconds()); heldUntil > limit {
		t.Errorf("requests yielded to a dead router until %d ms after its last message, want %d", heldUntil, limit)
	}
}

// Guards against old messages, delayed in a slow link, that make a request count again which has got its slot.
func TestOldStatementsDoNotReturn(t *testing.T) {
	a, b := newTable(1), newTable(2)
	waitsHere(a, 300, 0)
	old, _ := a.Next(at(0), func() (int, bool) { return 1, false })
	if _, err := b.Merge(&old, at(1)); err != nil {
		t.Fatal(err)
	}
	a.SetLocal(nil, at(50))
	if !pass(t, 50, a, b) {
		t.Fatal("the end of the wait is not sent at once")
	}
	if b.MayTake("llm", 2, false, at(60)) {
		t.Error("no time is left for others to object")
	}
	for _, now := range []int{160, 700, 2500} {
		if _, err := b.Merge(&old, at(now)); err != nil {
			t.Fatal(err)
		}
		if !b.MayTake("llm", 2, false, at(now)) {
			t.Errorf("an old message counts at %d ms", now)
		}
	}
}

// Guards against requests that take all slots in the moment between the end of one router's wait and
// the objection of another one.
func TestOthersObjectToAnEnd(t *testing.T) {
	a, b, c := newTable(1), newTable(2), newTable(3)
	waitsHere(a, 300, 0)
	pass(t, 0, a, b, c)
	waitsHere(b, 300, 0)
	if pass(t, 20, b, c) && c.of(key{"llm", 0}).waits.origin == 2 {
		t.Error("a second router states what is known")
	}
	a.SetLocal(nil, at(50))
	pass(t, 50, a, b, c)
	waitsHere(b, 400, 70)
	if !pass(t, 70, b, a, c) {
		t.Fatal("the other router doesn't object")
	}
	for _, now := range []int{60, 70, 300, 900} {
		if c.MayTake("llm", 2, false, at(now)) {
			t.Errorf("a less urgent request took a slot at %d ms", now)
		}
	}
}

// Guards against a priority that gets nothing as long as more urgent requests wait, and against
// all routers giving it a turn at once.
func TestHeldPriorityGetsTurns(t *testing.T) {
	a, b, c := newTable(1), newTable(2), newTable(3)
	var turns []int
	for now := 0; now < 15000; now += 10 {
		waitsHere(a, 300, now)
		a.RecordGrant("llm", 0, false, false, at(now))
		pass(t, now, a, b, c)
		for _, r := range []*Table{b, c} {
			if r.MayTake("llm", 2, false, at(now)) {
				r.RecordGrant("llm", 2, false, false, at(now))
				turns = append(turns, now)
				pass(t, now, r, a, b, c)
			}
		}
	}
	last := 0
	for _, now := range append(turns, 15000) {
		if now-last > 4100 {
			t.Errorf("no turn for %d ms", now-last)
		}
		last = now
	}
	if len(turns) > 5 {
		t.Errorf("turns at %v", turns)
	}
}

// Guards against a priority whose time of yielding begins only when its request has come to the head of a queue of more urgent
// ones: together with the wait before, it would get nothing for more than 5 s.
func TestHoldingBackBeginsWithTheWait(t *testing.T) {
	a, b := newTable(1), newTable(2)
	for now := 0; now < 4100; now += 10 {
		waitsHere(a, 300, now)
		a.RecordGrant("llm", 0, false, false, at(now))
		pass(t, now, a, b)
		b.RecordWaiting("llm", 2, at(now))
	}
	if !b.MayTake("llm", 2, false, at(4100)) {
		t.Error("no turn after 4.1 s")
	}
}

// Guards against engines that stay idle because a request waits that can't use them, such as one that
// needs more memory than any engine has.
func TestStuckRequestHoldsUpNobody(t *testing.T) {
	a, b := newTable(1), newTable(2)
	held := 0
	for now := 0; now < 10000; now += 10 {
		waitsHere(a, now, now)
		pass(t, now, a, b)
		if b.MayTake("llm", 2, false, at(now)) {
			b.RecordGrant("llm", 2, false, false, at(now)) // a turn, after which it yields again
		} else {
			held = now
		}
	}
	if held == 0 || held > 3000 {
		t.Errorf("requests yielded until %d ms, want at most 3000", held)
	}
}

// Guards against a statement that survives or is made younger by any sequence of exchanges, a
// started answer that yields, and a table that grows with what others send.
func TestExchangesNeverRenewAStatement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{newTable(1), newTable(2), newTable(3), newTable(4)}
		var kept []Message
		now, lastWait := 0, -1<<30
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(1, 400).Draw(t, "pause")
			i := rapid.IntRange(0, 3).Draw(t, "router")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				waitsHere(tables[0], 300, now)
			case 1:
				tables[0].SetLocal(nil, at(now))
			case 2:
				if m, ok := tables[i].Next(at(now), func() (int, bool) { return 3, false }); ok {
					kept = append(kept, m)
				}
			case 3:
				if len(kept) > 0 {
					m := rapid.SampledFrom(kept).Draw(t, "message")
					_, _ = tables[i].Merge(&m, at(now))
				}
			}
			if !tables[0].of(key{"llm", 0}).first.IsZero() {
				lastWait = now
			}
			for _, r := range tables {
				if !r.MayTake("llm", 2, true, at(now)) {
					t.Fatal("a started answer yields")
				}
				if len(r.states) > 3 {
					t.Fatalf("%d states", len(r.states))
				}
				for _, k := range r.Known(at(now)) {
					if k.Waits && k.AgeMS >= Lifetime.Milliseconds() {
						t.Fatalf("a statement counts at the age of %d ms", k.AgeMS)
					}
				}
			}
		}
		// With no origin left, and messages that arrive whenever they like, nothing counts for longer
		// than its lifetime after its first arrival at a router.
		tables[0].SetLocal(nil, at(now))
		now += 2 * int(Lifetime.Milliseconds())
		for _, r := range tables[1:] {
			for _, m := range kept {
				_, _ = r.Merge(&m, at(now))
			}
			now += int(Lifetime.Milliseconds())
			for _, m := range kept {
				_, _ = r.Merge(&m, at(now))
			}
			if !r.MayTake("llm", 2, false, at(now)) {
				t.Fatalf("a statement of %d ms ago came back", now-lastWait)
			}
		}
	})
}

// FuzzMessage checks that no message makes a table panic or grow, or is used although it violates a bound.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Entries: []Entry{{Service: "llm", WaitedMS: 300, AgeMS: 5, Origin: 7, Stated: 1}}},
		{Entries: []Entry{{Service: "llm", Priority: 2, Kind: entryTurn, Origin: 7, Stated: 9}, {Service: "llm", Priority: 200, Origin: 1, Stated: 1}}},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		r := newTable(1)
		_, err := r.Merge(&m, at(0))
		if (err != nil) != (m.Validate() != nil) {
			t.Fatalf("got %v", err)
		}
		if len(r.states) > 3 || (err != nil && len(r.states) > 0) {
			t.Fatalf("%d states of %d entries, %v", len(r.states), len(m.Entries), err)
		}
		r.MayTake("llm", 2, false, at(1))
		next, ok := r.Next(at(1), func() (int, bool) { return 6, false })
		if ok && next.Validate() != nil {
			t.Fatalf("an invalid message is passed on: %+v", next)
		}
	})
}

// Guards against messages that are larger than the budget counts.
func TestSizeIsCounted(t *testing.T) {
	m := Message{Entries: []Entry{
		{Service: "llm", Priority: 2, WaitedMS: 60000, AgeMS: 999, Origin: 1 << 31, Stated: 1 << 20},
		{Service: "a-longer-name", WaitedMS: 60000, AgeMS: 999, Origin: 1 << 31, Stated: 1 << 20, Kind: entryTurn},
	}}
	b, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	const envelope = 45 // fields of a flood, a name of 10 bytes, and the WebSocket header
	if got := len(b) + envelope; got > m.Size() {
		t.Errorf("%d bytes, %d are counted", got, m.Size())
	}
}
