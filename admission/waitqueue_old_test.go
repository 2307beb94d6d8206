package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/schedule"
)

// oldQueue is the queue of commit 8472d66, which knew neither priorities nor client accounts.
type oldQueue struct {
	waiters   map[string]*oldEntry
	interval  time.Duration
	lastGrant time.Time
}

type oldEntry struct {
	rank                          schedule.Stage
	late                          bool
	arrivedAt, queuedAt, lastPoll time.Time
	polls                         int
}

func (l *oldQueue) poll(id string, rank schedule.Stage, age time.Duration, now time.Time) Position {
	w := l.waiters[id]
	if w == nil {
		w = &oldEntry{arrivedAt: now.Add(-age), queuedAt: now}
		l.waiters[id] = w
	}
	if w.late && rank == schedule.New {
		rank = schedule.Late
	}
	w.rank, w.lastPoll = rank, now
	w.polls++
	return Position{Ahead: l.ahead(id, w, now), Waited: now.Sub(w.queuedAt), Late: w.late}
}

func (l *oldQueue) markLate(id string, now time.Time) Position {
	w := l.waiters[id]
	if w == nil {
		return Position{}
	}
	w.late = true
	w.rank = max(w.rank, schedule.Late)
	return Position{Ahead: l.ahead(id, w, now), Waited: now.Sub(w.queuedAt), Late: true}
}

func (l *oldQueue) grant(id string, now time.Time) {
	gap, busy := now.Sub(l.lastGrant), !l.first(now).After(l.lastGrant)
	w := l.waiters[id]
	delete(l.waiters, id)
	if w == nil || w.polls < 2 {
		return
	}
	switch {
	case l.lastGrant.IsZero() || gap > intervalMaxAge:
		l.interval = 0
	case !busy:
	case l.interval == 0:
		l.interval = gap
	default:
		l.interval += time.Duration(intervalWeight * float64(gap-l.interval))
	}
	l.lastGrant = now
}

func (l *oldQueue) expected(ahead int, now time.Time) (time.Duration, bool) {
	if l.interval == 0 || now.Sub(l.lastGrant) > intervalMaxAge {
		return 0, false
	}
	sinceGrant := min(now.Sub(l.first(now)), now.Sub(l.lastGrant))
	return time.Duration(ahead) * max(l.interval, sinceGrant/2), true
}

func (l *oldQueue) first(now time.Time) time.Time {
	first := now
	for _, w := range l.waiters {
		if w.queuedAt.Before(first) {
			first = w.queuedAt
		}
	}
	return first
}

func (l *oldQueue) ahead(self string, w *oldEntry, now time.Time) int {
	n := 0
	for id, o := range l.waiters {
		if now.Sub(o.lastPoll) > dropAfter {
			delete(l.waiters, id)
			continue
		}
		before := o.arrivedAt.Before(w.arrivedAt)
		if o.rank != w.rank {
			before = o.rank < w.rank
		}
		if id != self && before {
			n++
		}
	}
	return n
}

// Guards against a queue that decides otherwise than before where all requests have one priority and client accounts are
// not distinguished. Requests of any stage arrive, poll, become late, are granted and are forgotten, in any order.
func TestEqualPrioritiesAreServedAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, l, now := &oldQueue{waiters: map[string]*oldEntry{}}, NewWaitQueue(), time.Unix(1000, 0)
		priority := rapid.IntRange(-1, 9).Draw(t, "priority")
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 7, 30, 90, 700}).Draw(t, "ms"))*time.Millisecond + 1)
			id := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "id"))
			var want, got Position
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				old.grant(id, now)
				l.RecordGrant(id, now)
			case 1: // a request is marked right after a poll
				if old.waiters[id] == nil {
					continue
				}
				old.poll(id, schedule.New, 0, now)
				l.Poll(schedule.Item{ID: id, Stage: schedule.New}, now)
				want, got = old.markLate(id, now), l.MarkLate(id, now)
			case 2:
				delete(old.waiters, id)
				l.Remove(id, now)
			default:
				stage := rapid.SampledFrom([]schedule.Stage{schedule.Started, schedule.New, schedule.New, schedule.New}).Draw(t, "stage")
				age := time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second
				want = old.poll(id, stage, age, now)
				got = l.Poll(schedule.Item{
					ID: id, Stage: stage, Priority: priority, Account: fmt.Sprint("a", i%3), Cost: float64(i), FirstTry: now.Add(-age),
				}, now)
			}
			got.Peers, got.Due = 0, false // the earlier queue had neither; the order doesn't depend on them here
			if got != want {
				t.Fatalf("step %d: position %+v, was %+v", i, got, want)
			}
			wait, known := l.ExpectedWait(schedule.Priority(priority), got.ToServe(), got.Peers, now)
			if oldWait, oldKnown := old.expected(want.Ahead+1, now); wait != oldWait || known != oldKnown {
				t.Fatalf("step %d: expected wait %v, %v, was %v, %v", i, wait, known, oldWait, oldKnown)
			}
		}
	})
}
