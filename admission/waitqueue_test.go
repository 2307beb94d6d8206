package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/schedule"
)

// poll polls the position of a request of priority 0 whose client first tried the given time ago.
func poll(l *WaitQueue, id string, stage schedule.Stage, age time.Duration, now time.Time) Position {
	return l.Poll(schedule.Item{ID: id, Stage: stage, FirstTry: now.Add(-age)}, now)
}

// A client that came back at the time it was told must not be refused again, and a started
// answer must not wait behind new requests. Engines are full, and new requests arrive while
// others wait. A free slot must not go to the request that happens to poll first.
func TestLineKeepsItsOrder(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	for i, w := range []struct {
		id    string
		rank  schedule.Stage
		age   time.Duration
		ahead int
	}{
		{"first", schedule.New, 0, 0},
		{"second", schedule.New, 0, 1},
		{"returned", schedule.New, 3 * time.Second, 0},
		{"started", schedule.Started, 0, 0},
	} {
		now = now.Add(time.Millisecond)
		if got := poll(l, w.id, w.rank, w.age, now).Ahead; got != w.ahead {
			t.Errorf("%d: %s has %d ahead, want %d", i, w.id, got, w.ahead)
		}
	}
	for want, id := range []string{"started", "returned", "first", "second"} {
		rank := schedule.New
		if id == "started" {
			rank = schedule.Started
		}
		if got := poll(l, id, rank, 0, now).Ahead; got != want {
			t.Errorf("%s has %d ahead, want %d", id, got, want)
		}
	}
}

// The first request in the queue is no longer polled because its client has disconnected. If
// the queue kept waiting for that request, no request would get an engine although engines are
// free.
func TestWhoAsksNoMoreIsDropped(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	poll(l, "gone", schedule.New, 0, now)
	now = now.Add(dropAfter + time.Millisecond)
	if got := poll(l, "next", schedule.New, 0, now).Ahead; got != 0 {
		t.Errorf("%d are ahead", got)
	}
}

// Slots are granted at a measurable interval, and more requests wait than can be served in
// time. If the expected wait didn't follow from that interval, requests would wait until they
// are late and be refused only then.
func TestExpectationFollowsThePace(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	if _, known := l.ExpectedWait(0, 3, 0, now); known {
		t.Error("a wait is expected without any measurement")
	}
	for i := range 20 {
		id := fmt.Sprint(i)
		poll(l, id, schedule.New, 0, now)
		poll(l, id, schedule.New, 0, now)
		now = now.Add(200 * time.Millisecond)
		l.RecordGrant(id, now)
	}
	if got, known := l.ExpectedWait(0, 10, 0, now); !known || got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("ten slots at 200 ms each: %v, %v", got, known)
	}
	poll(l, "waits", schedule.New, 0, now)
	now = now.Add(2 * time.Second)
	if got, _ := l.ExpectedWait(0, 1, 0, now); got < time.Second {
		t.Errorf("no slot for 2 s, and one is expected in %v", got)
	}
	if _, known := l.ExpectedWait(0, 1, 0, now.Add(intervalMaxAge)); known {
		t.Error("the interval of an earlier burst counts")
	}
}

// At a router with little traffic two requests wait 100 ms each, three seconds apart; a third
// one arrives. If time in which no request waited counted as part of the interval between
// grants, the only waiting request would be refused though it is the next one.
func TestTimeWithoutWaitersIsNoPace(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	for _, id := range []string{"one", "two"} {
		poll(l, id, schedule.New, 0, now)
		poll(l, id, schedule.New, 0, now)
		now = now.Add(100 * time.Millisecond)
		l.RecordGrant(id, now)
		now = now.Add(3 * time.Second)
	}
	poll(l, "third", schedule.New, 0, now)
	if got, known := l.ExpectedWait(0, 1, 0, now); known && got > 100*time.Millisecond {
		t.Errorf("the next slot is expected after %v", got)
	}
}

// The positions must form an order, whichever requests wait, poll or leave: no two requests have
// the same number ahead, and the numbers have no gap.
func TestLineIsAnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewWaitQueue(), time.Unix(1000, 0)
		here := map[string]schedule.Stage{}
		ages := map[string]time.Duration{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
			if rapid.Bool().Draw(t, "leaves") {
				l.Remove(id, now)
				delete(here, id)
				continue
			}
			if _, ok := here[id]; !ok {
				here[id] = rapid.SampledFrom([]schedule.Stage{schedule.Started, schedule.New}).Draw(t, "rank")
				ages[id] = time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second
			}
			poll(l, id, here[id], ages[id], now)
		}
		seen := map[int]string{}
		for id, rank := range here {
			ahead := poll(l, id, rank, ages[id], now).Ahead
			if other, taken := seen[ahead]; taken || ahead >= len(here) {
				t.Fatalf("%s and %s of %d have %d ahead", id, other, len(here), ahead)
			}
			seen[ahead] = id
		}
	})
}

// The prefill rate must be measured. If the rate of another deployment were assumed, engines
// that read slowly would be sent several prompts each, and all of those prompts would be late.
func TestReadingSpeedIsLearnt(t *testing.T) {
	var r PrefillRate
	if got := r.TokensWithin(time.Second); got != 0 {
		t.Errorf("%v tokens without any measurement", got)
	}
	for range 60 {
		r.Observe(5000, time.Second)
	}
	for range 60 {
		r.Observe(5000, 2*time.Second)
	}
	if got := r.TokensWithin(2 * time.Second); got < 4900 || got > 5200 {
		t.Errorf("%v tokens within 2 s at 2500 a second", got)
	}
	r.Observe(0, time.Second)
	r.Observe(5000, 0)
	if got := r.TokensWithin(2 * time.Second); got < 4900 {
		t.Errorf("%v tokens after invalid measurements", got)
	}
}

// The memory for copies must follow the losses. If copies had a fixed share of memory, runs
// would be refused in a burst to make space for copies that are not needed, or prompts would
// be read again in each crash for lack of copies.
func TestCopiesFollowLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLossHistory(now)
	share := func(after time.Duration) float64 { return l.CopyShare(now.Add(after)) }
	if share(0) != maxCopyShare || share(recentLossAge) != maxCopyShare {
		t.Error("no memory is reserved for the first crash")
	}
	if got := share(oldLossAge); got > minCopyShare+1e-9 || share(time.Hour) < minCopyShare-1e-9 {
		t.Errorf("without losses copies take %v", got)
	}
	l.RecordLoss(now.Add(time.Hour))
	if got := share(time.Hour + time.Second); got != maxCopyShare {
		t.Errorf("after a loss copies take %v", got)
	}
}

// Requests that could be in time must not wait behind requests that can't. A request that was
// marked late must not go before others again because it arrived first.
func TestLateGoLast(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	poll(l, "late", schedule.New, 0, now)
	if turn := l.MarkLate("late", now); !turn.Late {
		t.Errorf("got %+v", turn)
	}
	poll(l, "new", schedule.New, 0, now.Add(10*time.Millisecond))
	if turn := poll(l, "late", schedule.New, 0, now.Add(10*time.Millisecond)); turn.Ahead != 1 || !turn.Late {
		t.Errorf("got %+v", turn)
	}
	if turn := poll(l, "late", schedule.Started, 0, now.Add(10*time.Millisecond)); turn.Ahead != 0 {
		t.Errorf("a started answer: %+v", turn)
	}
}

// Both policies refuse at once a request that can't be served. Only RefuseLate refuses a
// request that would only be late.
func TestWhoIsRefused(t *testing.T) {
	const target = 4 * time.Second
	for _, c := range []struct {
		name             string
		w                WaitState
		late, unservable bool
	}{
		{"in time", WaitState{Expected: time.Second, Target: target, CallerTimeLeft: time.Minute}, false, false},
		{"late", WaitState{Expected: 3 * time.Second, Target: target, CallerTimeLeft: time.Minute}, true, false},
		{"too late for its caller", WaitState{Expected: 3 * time.Second, Target: target, CallerTimeLeft: 4 * time.Second}, true, true},
		{"of no use any more", WaitState{Expected: 13 * time.Second, Target: target, CallerTimeLeft: time.Minute}, true, true},
		{"has waited long", WaitState{Position: Position{Waited: 13 * time.Second}, Target: target}, true, true},
		{"never late", WaitState{Expected: time.Hour}, false, false},
	} {
		if _, got := RefuseLate.Refuses(c.w); got != c.late {
			t.Errorf("%s: %s refuses %v", c.name, RefuseLate, got)
		}
		if _, got := RefuseUnservable.Refuses(c.w); got != c.unservable {
			t.Errorf("%s: %s refuses %v", c.name, RefuseUnservable, got)
		}
	}
}
