package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
)

// startedGuard returns a guard that has the shared key.
func startedGuard() *Guard {
	sinceEpoch := func() time.Duration { return time.Since(time.Unix(0, 0)) }
	g := NewGuard(Config{StartWait: 500 * time.Millisecond, Now: sinceEpoch})
	g.SetKey([]byte("key"))
	return g
}

// link has a router that has just started fetch what another one knows.
func link(starting, known *Guard) {
	starting.SyncHoldsFrom("known", func(_ context.Context, _ string, req HoldsRequest) (Update, error) {
		return known.CurrentHolds(req), nil
	})
}

// reportCrash has a guard receive the report that a backend server crashed under a request with parts.
func reportCrash(g *Guard, request, incarnation string, submission uint64, parts ...string) {
	of := subject(request)
	u := CrashUpdate{Digest: of.digest([]byte("key")), Account: "acc", Incarnation: incarnation, Submission: submission, RanMS: 100, Model: "m"}
	for _, id := range parts {
		u.Parts = append(u.Parts, partDigest([]byte("key"), id))
	}
	g.HandleUpdate("r0", Update{Crashes: []CrashUpdate{u}})
	time.Sleep(time.Second)
}

// Guards against a router that counts the crashes under a request from the start again after a restart, although its
// neighbours know them.
func TestStartingRouterLearnsTheCrashes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		known := startedGuard()
		time.Sleep(time.Second)
		reportCrash(known, "bad", "i1", 1)
		reportCrash(known, "bad", "i2", 1)
		reportCrash(known, "one", "i3", 2, "part")
		reportCrash(known, "two", "i4", 3, "part")
		starting := startedGuard()
		link(starting, known)
		reportCrash(starting, "bad", "i5", 4)
		reportCrash(starting, "three", "i6", 5, "part")
		if len(starting.Holds()) != 1 || len(starting.PartHolds()) != 1 {
			t.Error("quarantined after three crashes: ", starting.Holds(), starting.PartHolds())
		}
	})
}

// Guards against a starting router that quarantines a request for crashes of which an answer, an operator, or other exits at
// the same moment have cleared it.
func TestStartingRouterLearnsWhatClears(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		known := startedGuard()
		time.Sleep(time.Second)
		for n := range 3 {
			reportCrash(known, "answered", fmt.Sprint("a", n), 1, "sound")
			reportCrash(known, "also answered", fmt.Sprint("b", n), 2, "sound")
		}
		for _, name := range []string{"answered", "also answered"} {
			s := subject(name)
			s.Content = Content{Parts: []string{"sound"}, Model: "m"}
			known.Track(s).Answered(0)
		}
		time.Sleep(backgroundWindow)
		for n := range 3 {
			reportCrash(known, "lifted", fmt.Sprint("d", n), 4, "lifted part")
			reportCrash(known, "also lifted", fmt.Sprint("f", n), 5, "lifted part")
		}
		for _, d := range append(digestsOfHolds(known.Holds()), digestsOfParts(known.PartHolds())...) {
			known.Lift(d, "operator")
		}
		time.Sleep(backgroundWindow)
		var exits []ExitUpdate
		for n := range massExits {
			exits = append(exits, ExitUpdate{Incarnation: fmt.Sprint("e", n)})
		}
		for n := range 3 {
			known.HandleUpdate("r0", Update{Exits: exits})
			reportCrash(known, "bystander", fmt.Sprint("c", n), 3)
			for i := range exits {
				exits[i].Incarnation += "x"
			}
		}
		time.Sleep(backgroundWindow)
		starting := startedGuard()
		link(starting, known)
		time.Sleep(time.Minute)
		for _, g := range []*Guard{known, starting} {
			if held := append(digestsOfHolds(g.Holds()), digestsOfParts(g.PartHolds())...); len(held) > 0 {
				t.Error("quarantined: ", held)
			}
		}
	})
}

// Guards against a reply to a starting router that grows with the number of crashes and exits.
func TestEvidenceIsBounded(t *testing.T) {
	tr, log := NewTracker(), crashLog{}
	for n := range 3 * maxPending {
		at := time.Duration(n) * time.Millisecond
		tr.Exited(fmt.Sprint("e", n), at)
		log.add(crashUnder(fmt.Sprint(n), fmt.Sprint("i", n), 1, at, at, "p"))
	}
	now := 3 * maxPending * time.Millisecond
	out := tr.evidence(log, now)
	if size := out.size(); size > maxPending || size < maxPending-1 {
		t.Error("entries: ", size)
	}
	for _, c := range out.Crashes {
		if c.AgeMS > maxPending {
			t.Fatal("an older crash is sent instead of the latest: ", c)
		}
	}
}

func digestsOfHolds(holds []HoldUpdate) (out []Digest) {
	for _, h := range holds {
		out = append(out, h.Digest)
	}
	return out
}

func digestsOfParts(holds []PartHold) (out []Digest) {
	for _, h := range holds {
		out = append(out, h.Digest)
	}
	return out
}
