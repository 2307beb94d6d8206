package quarantine

import (
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// Guards against several routers that send a request at the same time under which backend servers have crashed, so that
// each attempt ends one more.
func TestSuspectedAttemptsTakeTurns(t *testing.T) {
	tr, d := NewTracker(), digestOf("bad")
	now := time.Minute
	crash := func(i int, submission uint64) {
		now += 2 * time.Second
		tr.Crashed(d, "acc", Crash{Incarnation: string(rune('a' + i)), At: now, SentAt: now - time.Second, Submission: submission}, now)
	}
	for i := range turnCrashes - 1 {
		crash(i, uint64(i))
		if !tr.MayAttempt(d, 8, now) {
			t.Fatalf("attempts take turns after %d crashes", i+1)
		}
	}
	crash(turnCrashes-1, 3)
	tr.AttemptBegan(d, 7, now)
	if tr.MayAttempt(d, 8, now) {
		t.Error("two submissions have attempts in progress")
	}
	if !tr.MayAttempt(d, 7, now) {
		t.Error("a submission waits for its own attempt")
	}
	if !tr.MayAttempt(d, 8, now+turnTime) {
		t.Error("an attempt that nobody has heard of any more holds up the others")
	}
	tr.AttemptEnded(d, 7, now)
	if !tr.MayAttempt(d, 7, now) || tr.MayAttempt(d, 8, now+turnGap/2) {
		t.Error("the submission of an attempt that has ended does not go on first")
	}
	if now += turnGap + turnSpread; !tr.MayAttempt(d, 8, now) {
		t.Error("an attempt that has ended holds up the others")
	}
	tr.AttemptBegan(d, 8, now)
	crash(turnCrashes, 8)
	if !tr.MayAttempt(d, 9, now+turnGap+turnSpread) {
		t.Error("a crash does not end the turn of its attempt")
	}
}

// Guards against turns that other routers don't learn of, or that end with none of them knowing.
func TestTurnsReachAllRouters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeRouters(3, 5*time.Millisecond)
		subject := Subject{Account: "acc", Target: "/x", Body: []byte("body")}
		first, second := w.all[0].Track(subject), w.all[1].Track(subject)
		for i, id := range []string{"s1", "s2", "s3"} {
			w.set(id, Exited)
			<-w.all[i].Track(subject).Lost(Loss{Backend: fleet.Backend{ID: id, FailureDomain: "d"}, Ran: time.Second})
			time.Sleep(2 * time.Second)
		}
		if first.Refusal(t.Context()) != nil {
			t.Fatal("three crashes of three submissions hold the request already")
		}
		first.AttemptBegan()
		time.Sleep(100 * time.Millisecond)
		if second.MayAttempt() {
			t.Error("another router does not know of the attempt")
		}
		first.AttemptEnded()
		time.Sleep(turnGap + turnSpread + 100*time.Millisecond)
		if !second.MayAttempt() {
			t.Error("another router does not know that the attempt has ended")
		}
	})
}
