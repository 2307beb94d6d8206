package peer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// records draws from so few values that ties and conflicts are common.
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

// Symptom: two members disagree for ever about a third. Sequence: they hear the
// same rumours in a different order, or one of them twice. Cause: a merge whose
// result depends on order or repetition.
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

// Symptom: a thawed or restarted node serves, but stays dead for the others.
// Sequence: they spread a rumour about it while it was away, with any version or
// incarnation. Cause: its answer does not win the merge against the rumour.
func TestRefutationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self, rumour := records.Draw(t, "self"), records.Draw(t, "rumour")
		self.Status = Alive
		answer, needed := refute(self, rumour)
		if !needed {
			answer = self
		}
		got := Merge(rumour, answer)
		if got.Status != Alive || got.Incarnation != answer.Incarnation || got.Version != answer.Version {
			t.Fatalf("rumour %+v, answer %+v, merged %+v", rumour, answer, got)
		}
	})
}

// Symptom: a live fleet is called dead, or a dead member is never noticed.
// Sequence: silence, a rumour, or this node's own pause. Cause: each row's name.
func TestJudge(t *testing.T) {
	p := Policy{LinkTimeout: 4 * time.Second, SuspectTimeout: 5 * time.Second, ForgetAfter: time.Hour}
	at := func(s int) time.Time { return time.Unix(10_000+int64(s), 0) }
	cases := []struct {
		name string
		now  time.Time
		e    Evidence
		want Decision
	}{
		{"heard lately", at(4), Evidence{Neighbour: true, LastReceived: at(0)}, Keep},
		{"silent neighbour", at(5), Evidence{Neighbour: true, LastReceived: at(0)}, MakeSuspect},
		{"silent but no neighbour", at(5), Evidence{LastReceived: at(0)}, Keep},
		{"neighbour only lately", at(5), Evidence{Neighbour: true, LastReceived: at(0), NeighbourSince: at(3)}, Keep},
		{"this node was frozen", at(100), Evidence{Neighbour: true, LastReceived: at(0), PauseEnd: at(99)}, Keep},
		{"never heard since wanted", at(5), Evidence{Neighbour: true, NeighbourSince: at(0)}, MakeSuspect},
		{"suspect may still refute", at(5), Evidence{Status: Suspect, StatusSince: at(0)}, Keep},
		{"suspicion not refuted", at(6), Evidence{Status: Suspect, StatusSince: at(0)}, MakeDead},
		{"suspect heard on a link", at(6), Evidence{Status: Suspect, StatusSince: at(0), LastReceived: at(3)}, Keep},
		{"suspicion from before the pause", at(100), Evidence{Status: Suspect, StatusSince: at(0), PauseEnd: at(98)}, Keep},
		{"dead is remembered", at(3600), Evidence{Status: Dead, StatusSince: at(0)}, Keep},
		{"dead is forgotten", at(3601), Evidence{Status: Dead, StatusSince: at(0)}, Forget},
	}
	for _, c := range cases {
		if got := Evaluate(c.now, c.e, p); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// Symptom: a digest never settles, or a forgotten member returns for ever.
// Sequence: tables learn the same records in different orders, some already
// forgotten. Cause: digests that depend on order or on dead records.
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
		t.Fatal("a death is not visible in the digest")
	}
	b.merge(now, x)
	b.drop("x")
	if a.buckets != b.buckets {
		t.Fatal("a forgotten dead member keeps the digests apart")
	}
	if b.merge(now, x) {
		t.Fatal("a dead record of an unknown member was taken")
	}
	b.byID["y"].revision = 9
	old := b.revisionDigestOf(false)
	y.Incarnation++
	b.merge(now, y)
	b.applyRevisions(old, "self")
	if b.byID["y"].revision != 0 {
		t.Fatal("a restarted member keeps the revision of its last life")
	}
}

// Symptom: a dead member is noticed by its neighbours at once and by the rest
// only after many digests. Sequence: a neighbour suspects it. Cause: the
// suspicion is not among the news that the next tick pushes.
func TestSuspicionIsPushed(t *testing.T) {
	m, err := New(Config{ID: "n", Addr: "n"}, testKey, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	m.table.merge(now, Record{ID: "x", Incarnation: 1, Version: 1})
	m.suspect(now, m.table.byID["x"])
	if _, pushed := m.dirty["x"]; !pushed {
		t.Error("the suspicion stays here")
	}
}
