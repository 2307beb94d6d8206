package peer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// records generates records with few distinct values, so that equal and
// conflicting records are frequent.
var records = rapid.Custom(func(t *rapid.T) Record {
	return Record{
		ID:            "n",
		Addr:          rapid.SampledFrom([]string{"a:1", "b:1"}).Draw(t, "addr"),
		FailureDomain: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"),
		Incarnation:   rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Version:       rapid.Uint64Range(1, 3).Draw(t, "version"),
		Status:        Status(rapid.IntRange(0, 2).Draw(t, "status")),
		Ready:         rapid.Bool().Draw(t, "ready"),
		Leaving:       rapid.Bool().Draw(t, "leaving"),
	}
})

// TestMergeIsAJoin guards against two members that disagree about a third member
// forever. The failure occurs if the two members receive the same records in a
// different order, or one receives a record twice, and the result of the merge depends
// on order or repetition.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := records.Draw(t, "a"), records.Draw(t, "b"), records.Draw(t, "c")
		if Merge(a, a) != a {
			t.Fatal("not idempotent")
		}
		if Merge(a, b) != Merge(b, a) {
			t.Fatalf("not commutative: %+v, %+v", Merge(a, b), Merge(b, a))
		}
		if Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) {
			t.Fatal("not associative")
		}
	})
}

// TestRefutationWins guards against a resumed or restarted node that serves requests
// but stays dead for its peers. The failure occurs if its peers spread a record that
// marks the node suspect or dead, with any version or incarnation, and the node's
// refutation does not win the merge against that record.
func TestRefutationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self, received := records.Draw(t, "self"), records.Draw(t, "rumour")
		self.Status = Alive
		refutation, needed := refute(self, received)
		if !needed {
			refutation = self
		}
		got := Merge(received, refutation)
		if got.Status != Alive || got.Incarnation != refutation.Incarnation || got.Version != refutation.Version {
			t.Fatalf("received %+v, refutation %+v, merged %+v", received, refutation, got)
		}
	})
}

// TestJudge guards against live members that are marked dead and dead members that are
// not detected, because of silence, a peer's suspicion or this node's own pause. Each
// case is named after its situation.
func TestJudge(t *testing.T) {
	p := Policy{LinkTimeout: 4 * time.Second, SuspectTimeout: 5 * time.Second, ForgetAfter: time.Hour}
	at := func(s int) time.Time { return time.Unix(10_000+int64(s), 0) }
	cases := []struct {
		name string
		now  time.Time
		e    Evidence
		want Decision
	}{
		{"message received recently", at(4), Evidence{Neighbour: true, LastReceived: at(0)}, Keep},
		{"silent neighbour", at(5), Evidence{Neighbour: true, LastReceived: at(0)}, MakeSuspect},
		{"silent but no neighbour", at(5), Evidence{LastReceived: at(0)}, Keep},
		{"became a neighbour recently", at(5), Evidence{Neighbour: true, LastReceived: at(0), NeighbourSince: at(3)}, Keep},
		{"this node was paused", at(100), Evidence{Neighbour: true, LastReceived: at(0), PauseEnd: at(99)}, Keep},
		{"nothing received since it became a neighbour", at(5), Evidence{Neighbour: true, NeighbourSince: at(0)}, MakeSuspect},
		{"suspect may still refute", at(5), Evidence{Status: Suspect, StatusSince: at(0)}, Keep},
		{"suspicion not refuted", at(6), Evidence{Status: Suspect, StatusSince: at(0)}, MakeDead},
		{"message received from a suspect", at(6), Evidence{Status: Suspect, StatusSince: at(0), LastReceived: at(3)}, Keep},
		{"suspicion from before the pause", at(100), Evidence{Status: Suspect, StatusSince: at(0), PauseEnd: at(98)}, Keep},
		{"dead record is kept", at(3600), Evidence{Status: Dead, StatusSince: at(0)}, Keep},
		{"dead record is dropped", at(3601), Evidence{Status: Dead, StatusSince: at(0)}, Forget},
	}
	for _, c := range cases {
		if got := Evaluate(c.now, c.e, p); got != c.want {
			t.Errorf("%s: decision %d, want %d", c.name, got, c.want)
		}
	}
}

// TestTableDigestsAgree guards against digests that never become equal and members whose
// dropped records are received again and again. The failure occurs if the digests depend
// on the order in which records are merged or on dead records that only some nodes have
// dropped.
func TestTableDigestsAgree(t *testing.T) {
	now := time.Unix(1, 0)
	a, b := newTable(), newTable()
	x := Record{ID: "x", Incarnation: 1, Version: 1}
	y := Record{ID: "y", Incarnation: 1, Version: 1}
	a.merge(now, x)
	a.merge(now, y)
	b.merge(now, y)
	if got, _ := b.differing(a.buckets[:], 0, 9); len(got) > 1 {
		t.Fatalf("differing: %v", got)
	}
	b.merge(now, x)
	x.Status = Dead
	a.merge(now, x)
	if a.buckets == b.buckets {
		t.Fatal("the change to dead does not change the digest")
	}
	b.merge(now, x)
	b.remove("x")
	if a.buckets != b.buckets {
		t.Fatal("the digests differ after only one table dropped a dead member")
	}
	if b.merge(now, x) {
		t.Fatal("a dead record of an unknown member was stored")
	}
	b.byID["y"].revision = 9
	old := b.buildRevisionDigest(false)
	y.Incarnation++
	b.merge(now, y)
	b.applyRevisions(old, "self")
	if b.byID["y"].revision != 0 {
		t.Fatal("a restarted member keeps the revision of its previous incarnation")
	}
}

// TestSuspicionIsPushed guards against a dead member that its neighbours detect at once
// but all other members only after many digests. The failure occurs if a neighbour
// suspects the member and does not send the suspicion with the changed records of the
// next tick.
func TestSuspicionIsPushed(t *testing.T) {
	m, err := New(Config{ID: "n", Addr: "n"}, testKey, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	m.table.merge(now, Record{ID: "x", Incarnation: 1, Version: 1})
	m.suspect(now, m.table.byID["x"])
	if _, pushed := m.dirty["x"]; !pushed {
		t.Error("the suspicion is not sent to the linked nodes")
	}
}
