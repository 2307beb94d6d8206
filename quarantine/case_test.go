package quarantine

import (
	"fmt"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
)

// caseBook keeps the cases of a router as the store does.
type caseBook struct {
	guard *Guard
	kept  map[Suspect]Update
}

// newCaseBook returns the cases that a router makes of the crashes that it sees.
func newCaseBook() *caseBook {
	b := &caseBook{kept: map[Suspect]Update{}}
	sinceEpoch := func() time.Duration { return time.Since(time.Unix(0, 0)) }
	b.guard = NewGuard(Config{Now: sinceEpoch, OnCase: b.changed})
	b.guard.SetKey([]byte("key"))
	return b
}

func (b *caseBook) changed(k Suspect, _ bool) {
	u, ok := b.guard.CaseOf(k)
	if delete(b.kept, k); ok {
		b.kept[k] = u
	}
}

// see has the router see a crash under a request with parts, and waits until everything about it is decided.
func (b *caseBook) see(request, incarnation string, submission uint64, parts ...string) {
	s := subject(request)
	now := b.guard.cfg.Now()
	c := PartCrash{
		Crash:   Crash{Incarnation: incarnation, At: now, SentAt: now - 100*time.Millisecond, Submission: submission},
		Request: s.digest([]byte("key")), Account: "acc", Model: "m",
	}
	for _, id := range parts {
		c.Parts = append(c.Parts, partDigest([]byte("key"), id))
	}
	b.guard.count(c)
	time.Sleep(time.Second)
}

// started returns a router that has started after all others have ended, and has read the cases that are left.
func (b *caseBook) started() *Guard {
	g := startedGuard()
	for _, u := range b.kept {
		g.AddCase(u, time.Second)
	}
	time.Sleep(time.Second)
	return g
}

// answer reports an answer to a request with parts.
func answer(g *Guard, request string, parts ...string) {
	s := subject(request)
	s.Content = Content{Parts: parts, Model: "m"}
	g.Track(s).Answered(0)
}

// Guards against requests and parts that crash as many servers again after all routers have ended between their crashes
// and the hold.
func TestCasesOutliveAllRouters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newCaseBook()
		b.see("bad", "i1", 1)
		b.see("bad", "i2", 1)
		b.see("one", "i3", 2, "sound", "part")
		b.see("two", "i4", 3, "sound", "part")
		answer(b.guard, "another", "sound")
		b.see("three", "i5", 4, "sound", "other part")
		g := b.started()
		if held := len(g.Holds()) + len(g.PartHolds()); held > 0 {
			t.Error("quarantined before the next crash: ", held)
		}
		reportCrash(g, "bad", "i6", 5)
		reportCrash(g, "four", "i7", 6, "part")
		if len(g.Holds()) != 1 || len(g.PartHolds()) != 1 || g.PartHolds()[0].Digest != partDigest([]byte("key"), "part") {
			t.Error("quarantined after three crashes: ", g.Holds(), g.PartHolds())
		}
	})
}

// Guards against a case for crashes of which an answer, a lift, or another cause has cleared the suspect.
func TestCasesAreDroppedByWhatClears(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newCaseBook()
		for n := range 2 {
			b.see("answered", fmt.Sprint("a", n), 1, "sound")
			b.see("also answered", fmt.Sprint("b", n), 2, "sound")
		}
		answer(b.guard, "answered", "sound")
		answer(b.guard, "also answered", "sound")
		if len(b.kept) > 0 {
			t.Error("cases after the answers: ", b.kept)
		}
		b.see("bad", "c0", 3)
		b.see("bad", "c1", 3)
		g := startedGuard()
		of := subject("bad")
		g.Lift(of.digest([]byte("key")), "operator")
		for _, u := range b.kept {
			g.AddCase(u, time.Second)
		}
		if reportCrash(g, "bad", "c2", 3); len(g.Holds()) > 0 {
			t.Error("quarantined by crashes from before its lift")
		}
	})
}

// Guards against a hold that ends because a starting router takes the few crashes of a case for all that is known.
func TestCaseEndsNoHold(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newCaseBook()
		for n := range 2 {
			b.see("one", fmt.Sprint("a", n), 1, "part")
			b.see("two", fmt.Sprint("b", n), 2, "part")
		}
		d := partDigest([]byte("key"), "part")
		g := b.started()
		g.HoldPart(PartHold{Digest: d, Accounts: []string{"acc"}, Models: []string{"m"}, RemainingMS: HoldTime.Milliseconds()}, "r0")
		g.HandleUpdate("r1", Update{PartAnswers: []PartAnswerUpdate{{d, "m", 500}}})
		if _, held := g.PartHoldOf(d); !held {
			t.Error("an answer from before the hold has ended it")
		}
	})
}

// Guards against a part whose crashes under a quarantined request are forgotten, so that as many others must crash servers again.
func TestCaseKeepsCrashesOfQuarantinedRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newCaseBook()
		b.see("bad", "a0", 1, "part")
		b.see("bad", "a1", 1, "part")
		b.see("bad", "a2", 1, "part")
		if len(b.guard.Holds()) != 1 {
			t.Fatal("the request is not quarantined")
		}
		b.see("one", "b0", 2, "part")
		g := b.started()
		for _, h := range b.guard.Holds() {
			g.Hold(h, "store")
		}
		if reportCrash(g, "two", "c0", 3, "part"); len(g.PartHolds()) != 1 {
			t.Error("the part is not quarantined after crashes under two other requests")
		}
	})
}

// Guards against a case that names only some of the parts which explain the crashes equally well.
func TestCaseNamesAllLikelyParts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newCaseBook()
		var parts []string
		for n := range caseParts + 1 {
			parts = append(parts, fmt.Sprint("p", n))
		}
		b.see("one", "i1", 1, parts...)
		b.see("two", "i2", 2, parts...)
		if len(b.kept) > 0 {
			t.Error("a case for some of the parts: ", b.kept)
		}
		answer(b.guard, "another", parts[0])
		b.see("three", "i3", 3, parts...)
		for k, u := range b.kept {
			if len(u.Crashes) > caseCrashes || len(u.Crashes[0].Parts) != caseParts {
				t.Error("case: ", k, u)
			}
		}
		if len(b.kept) != caseParts {
			t.Error("cases: ", len(b.kept))
		}
	})
}
