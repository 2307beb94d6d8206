package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Symptom: a request that came back when it was told to is refused again, and a draft
// that had begun waits behind new ones. Sequence: engines are full; new requests come
// while others wait. Cause: who asks first after a place is free gets it.
func TestLineKeepsItsOrder(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	for i, w := range []struct {
		id    string
		rank  Rank
		age   time.Duration
		ahead int
	}{
		{"first", RankNew, 0, 0},
		{"second", RankNew, 0, 1},
		{"returned", RankNew, 3 * time.Second, 0},
		{"started", RankStarted, 0, 0},
	} {
		now = now.Add(time.Millisecond)
		if got := l.Poll(w.id, w.rank, w.age, now).Ahead; got != w.ahead {
			t.Errorf("%d: %s has %d ahead, want %d", i, w.id, got, w.ahead)
		}
	}
	for want, id := range []string{"started", "returned", "first", "second"} {
		rank := RankNew
		if id == "started" {
			rank = RankStarted
		}
		if got := l.Poll(id, rank, 0, now).Ahead; got != want {
			t.Errorf("%s has %d ahead, want %d", id, got, want)
		}
	}
}

// Symptom: nobody gets an engine though engines are free. Sequence: the first in the line
// has left without a word: its client is gone. Cause: it is waited for.
func TestWhoAsksNoMoreIsDropped(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	l.Poll("gone", RankNew, 0, now)
	now = now.Add(forgotten + time.Millisecond)
	if got := l.Poll("next", RankNew, 0, now).Ahead; got != 0 {
		t.Errorf("%d are ahead", got)
	}
}

// Symptom: requests wait until they are late and are refused then. Sequence: places come
// at a pace that can be seen; more wait than it serves in time. Cause: the pace isn't used.
func TestExpectationFollowsThePace(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	if _, known := l.ExpectedWait(3, now); known {
		t.Error("an expectation from nothing")
	}
	for i := range 20 {
		id := fmt.Sprint(i)
		l.Poll(id, RankNew, 0, now)
		l.Poll(id, RankNew, 0, now)
		now = now.Add(200 * time.Millisecond)
		l.RecordGrant(id, now)
	}
	if got, known := l.ExpectedWait(10, now); !known || got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("ten places at 200 ms each: %v, %v", got, known)
	}
	l.Poll("waits", RankNew, 0, now)
	now = now.Add(2 * time.Second)
	if got, _ := l.ExpectedWait(1, now); got < time.Second {
		t.Errorf("no place for 2 s, and one is expected in %v", got)
	}
	if _, known := l.ExpectedWait(1, now.Add(paceLife)); known {
		t.Error("the pace of an earlier burst counts")
	}
}

// Symptom: the only request that waits is refused, though its turn is next. Sequence: at a
// router with little traffic two requests wait 100 ms each, three seconds apart; a third
// comes. Cause: the time in which nobody waited was taken for the pace of places.
func TestTimeWithoutWaitersIsNoPace(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	for _, id := range []string{"one", "two"} {
		l.Poll(id, RankNew, 0, now)
		l.Poll(id, RankNew, 0, now)
		now = now.Add(100 * time.Millisecond)
		l.RecordGrant(id, now)
		now = now.Add(3 * time.Second)
	}
	l.Poll("third", RankNew, 0, now)
	if got, known := l.ExpectedWait(1, now); known && got > 100*time.Millisecond {
		t.Errorf("the next place is expected after %v", got)
	}
}

// Whoever waits, asks or leaves: no two of those that ask have the same number ahead, and
// the numbers leave no gap.
func TestLineIsAnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewWaitQueue(), time.Unix(1000, 0)
		here := map[string]Rank{}
		ages := map[string]time.Duration{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
			if rapid.Bool().Draw(t, "leaves") {
				l.Remove(id)
				delete(here, id)
				continue
			}
			if _, ok := here[id]; !ok {
				here[id] = rapid.SampledFrom([]Rank{RankStarted, RankNew}).Draw(t, "rank")
				ages[id] = time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second
			}
			l.Poll(id, here[id], ages[id], now)
		}
		seen := map[int]string{}
		for id, rank := range here {
			ahead := l.Poll(id, rank, ages[id], now).Ahead
			if other, taken := seen[ahead]; taken || ahead >= len(here) {
				t.Fatalf("%s and %s of %d have %d ahead", id, other, len(here), ahead)
			}
			seen[ahead] = id
		}
	})
}

// Symptom: on engines that read slowly each is sent several prompts, and all are late.
// Cause: the reading speed of another deployment is assumed.
func TestReadingSpeedIsLearnt(t *testing.T) {
	var r PrefillRate
	if got := r.TokensWithin(time.Second); got != 0 {
		t.Errorf("%v tokens from nothing", got)
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
		t.Errorf("%v tokens after readings that say nothing", got)
	}
}

// Symptom: in a burst runs are turned away for the sake of copies that nobody needs, or
// prompts are read again in each crash for lack of copies. Cause: a fixed share of memory.
func TestCopiesFollowLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLossHistory(now)
	share := func(after time.Duration) float64 { return l.CopyShare(now.Add(after)) }
	if share(0) != mostCopies || share(lossFresh) != mostCopies {
		t.Error("the first crash is not provided for")
	}
	if got := share(lossOld); got > leastCopies+1e-9 || share(time.Hour) < leastCopies-1e-9 {
		t.Errorf("without losses copies take %v", got)
	}
	l.RecordLoss(now.Add(time.Hour))
	if got := share(time.Hour + time.Second); got != mostCopies {
		t.Errorf("after a loss copies take %v", got)
	}
}

// Symptom: those that could be in time wait behind those that can't. Cause: a request that
// was given up as late goes before others again because it came first.
func TestLateGoLast(t *testing.T) {
	l, now := NewWaitQueue(), time.Unix(1000, 0)
	l.Poll("late", RankNew, 0, now)
	if turn := l.MarkLate("late", now); !turn.Late {
		t.Errorf("got %+v", turn)
	}
	l.Poll("new", RankNew, 0, now.Add(10*time.Millisecond))
	if turn := l.Poll("late", RankNew, 0, now.Add(10*time.Millisecond)); turn.Ahead != 1 || !turn.Late {
		t.Errorf("got %+v", turn)
	}
	if turn := l.Poll("late", RankStarted, 0, now.Add(10*time.Millisecond)); turn.Ahead != 0 {
		t.Errorf("an answer that has begun: %+v", turn)
	}
}

// What is known not to be servable is refused at once by either way; what would be late
// by one of them only.
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
