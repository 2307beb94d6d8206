package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func digestOf(name string) Digest {
	s := Subject{Account: "acc", Body: []byte(name)}
	return s.digest([]byte("key"))
}

// crash adds the crash of a backend server under a request, and tells whether that is held.
func crash(b *Tracker, request, lifetime string, at time.Duration) bool {
	if _, pending := b.Crashed(digestOf(request), "acc", Crash{Incarnation: lifetime, At: at, SentAt: at, Submission: 1}, at); pending {
		b.Confirm(digestOf(request), at+settle, false)
	}
	return b.IsQuarantined(digestOf(request), at+settle)
}

// Guards against: the third crash under a request doesn't have it held back.
func TestThirdCrashHoldsARequestBack(t *testing.T) {
	b := NewTracker()
	for i, want := range []bool{false, false, true} {
		if got := crash(b, "bad", fmt.Sprint("e", i), time.Duration(i)*time.Second); got != want {
			t.Fatalf("after %d crashes: held is %v", i+1, got)
		}
	}
	if b.IsQuarantined(digestOf("bad"), 2*time.Second+settle+HoldTime) {
		t.Error("held back for ever")
	}
}

// Guards against: news that come twice, from several routers or out of order count twice.
func TestOneCrashCountsOnce(t *testing.T) {
	b := NewTracker()
	for _, at := range []time.Duration{3, 1, 2, 1, 9} {
		if crash(b, "good", "e0", at*time.Second) {
			t.Fatal("held back for one crash")
		}
	}
}

// Guards against: a request that many clients send is held back while backend servers crash
// for other reasons.
func TestAnswersClearARequest(t *testing.T) {
	b := NewTracker()
	d := digestOf("hot")
	b.Answered(d, 0, 0)
	for i := range 5 {
		if crash(b, "hot", fmt.Sprint("early", i), covered-time.Second) {
			t.Fatal("held back beside answers of the same request")
		}
	}
	crash(b, "hot", "e1", time.Minute)
	crash(b, "hot", "e2", time.Minute)
	b.Answered(d, time.Minute+time.Second, time.Minute+time.Second)
	if crash(b, "hot", "e3", 2*time.Minute) {
		t.Error("held back for crashes from before an answer")
	}
	crash(b, "hot", "e4", 2*time.Minute)
	if !crash(b, "hot", "e5", 2*time.Minute) {
		t.Fatal("three crashes without an answer don't count")
	}
	if _, lifted := b.Answered(d, 2*time.Minute+time.Second, 2*time.Minute+time.Second); !lifted || b.IsQuarantined(d, 3*time.Minute) {
		t.Error("an answer that came after all doesn't lift the hold")
	}
}

// Guards against: a request that was answered long ago, or of which such an answer is heard of
// late, can never be held back.
func TestOldAnswersClearNothing(t *testing.T) {
	b := NewTracker()
	d := digestOf("bad")
	b.Answered(d, 0, 0)
	for i := range 3 {
		crash(b, "bad", fmt.Sprint("e", i), covered+time.Duration(i)*time.Second)
	}
	now := covered + 3*time.Second
	if b.Answered(d, time.Second, now); !b.IsQuarantined(d, now) {
		t.Error("an answer from before the crashes lifts the hold")
	}
	other := digestOf("told")
	b.Hold(other, "acc", now+time.Minute, now)
	if b.Answered(other, now-time.Second, now); !b.IsQuarantined(other, now) {
		t.Error("an answer from before the hold lifts it")
	}
	if b.Answered(other, now+time.Second, now+time.Second); b.IsQuarantined(other, now+time.Second) {
		t.Error("a later answer doesn't lift it")
	}
}

// Guards against: a request that ran beside the one that crashes is held back for its crashes.
func TestCrashIsHeldAgainstOneRequest(t *testing.T) {
	b := NewTracker()
	for i := range 3 {
		crash(b, "bad", fmt.Sprint("e", i), time.Second)
	}
	for i := range 3 {
		if crash(b, "beside", fmt.Sprint("e", i), time.Second) {
			t.Fatal("a bystander is held back")
		}
	}
	for i := range 3 {
		crash(b, "beside", fmt.Sprint("other", i), 2*time.Second)
	}
	if !b.IsQuarantined(digestOf("beside"), 2*time.Second) {
		t.Error("one that was beside a held request can never be held back itself")
	}
}

// Guards against: of two requests that were at the same crashes the wrong one stays held
// back, whichever is heard of first.
func TestTwinsAreToldApartByTheNextCrashes(t *testing.T) {
	for _, order := range [][]string{{"bad", "beside"}, {"beside", "bad"}} {
		b := NewTracker()
		for i := range 3 {
			for _, name := range order {
				crash(b, name, fmt.Sprint("e", i), time.Second)
			}
		}
		n := 3
		for ; n < 6 && !b.IsQuarantined(digestOf("bad"), time.Second); n++ {
			crash(b, "bad", fmt.Sprint("e", n), time.Second)
		}
		if !b.IsQuarantined(digestOf("bad"), time.Second) || b.IsQuarantined(digestOf("beside"), time.Second) {
			t.Errorf("%v: after %d crashes held are bad %v, beside %v", order, n,
				b.IsQuarantined(digestOf("bad"), time.Second), b.IsQuarantined(digestOf("beside"), time.Second))
		}
	}
}

// Guards against: one client account fills the table, so that the crashes under others'
// requests are forgotten.
func TestOneAccountCannotFillTheTable(t *testing.T) {
	b := NewTracker()
	crash(b, "bad", "e0", 0)
	crash(b, "bad", "e1", 0)
	other := digestOf("of another account")
	b.Crashed(other, "another", Crash{Incarnation: "x"}, 0)
	for i := range 10 * maxOfAccount {
		b.Crashed(digestOf(fmt.Sprint("flood", i)), "acc", Crash{Incarnation: fmt.Sprint("f", i), At: time.Second}, time.Second)
	}
	if b.ofAccount["acc"] > maxOfAccount || b.suspects[other] == nil {
		t.Errorf("%d entries of one account, the other's is kept: %v", b.ofAccount["acc"], b.suspects[other] != nil)
	}
	if !crash(b, "bad", "e2", 2*cautionSpan) {
		t.Error("a request with two crashes gave way to requests with one")
	}
	for i := range 2 * maxSuspects {
		b.Crashed(digestOf(fmt.Sprint("flood", i)), fmt.Sprint("a", i), Crash{Incarnation: fmt.Sprint("f", i), At: time.Second}, time.Second)
	}
	if len(b.suspects) > maxSuspects || !b.IsQuarantined(digestOf("bad"), 3*cautionSpan) {
		t.Errorf("%d entries, the held one is kept: %v", len(b.suspects), b.IsQuarantined(digestOf("bad"), 3*cautionSpan))
	}
	b.Expire(2 * HoldTime)
	if !b.Empty() || len(b.at) > 0 || len(b.ofAccount) > 0 {
		t.Errorf("left after all expired: %d entries, %d lifetimes, %d accounts", len(b.suspects), len(b.at), len(b.ofAccount))
	}
}

// Guards against: another client account, host or path shares a digest by moving bytes
// from one field to the next.
func TestDigestKeepsFieldsApart(t *testing.T) {
	seen := map[Digest]bool{}
	for _, s := range []Subject{
		{Account: "a", Target: "b"}, {Account: "ab"}, {Target: "ab"}, {Host: "a", Target: "b"}, {Body: []byte("ab")}, {Method: "a", Body: []byte("b")},
	} {
		d := s.digest([]byte("key"))
		if seen[d] || d == s.digest([]byte("another key")) {
			t.Errorf("%+v shares its digest", s)
		}
		seen[d] = true
		if back, err := ParseDigest(d.String()); err != nil || back != d {
			t.Errorf("%v read as %v: %v", d, back, err)
		}
	}
}

func BenchmarkRefusalWithNothingSuspected(b *testing.B) {
	g := NewGuard(Config{})
	g.SetKey([]byte("key"))
	c := g.Track(Subject{Account: "acc", Body: make([]byte, 4096)})
	b.ReportAllocs()
	for b.Loop() {
		if c.Refusal(b.Context()) != nil {
			b.Fatal("refused")
		}
	}
}

func BenchmarkFollow(b *testing.B) {
	g := NewGuard(Config{})
	g.SetKey([]byte("key"))
	body := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		g.Track(Subject{Account: "acc", Target: "/draft/x", Body: body})
	}
}
