package hosted

import (
	"context"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/quarantine"
)

// crashedBackend is a quarantine.Prober that finds every backend server crashed.
type crashedBackend struct{}

func (crashedBackend) Probe(context.Context, fleet.Backend) quarantine.State {
	return quarantine.Exited
}

// caseNode is the part of a node that keeps cases.
type caseNode struct {
	guard *quarantine.Guard
	cases *cases
}

func startCaseNode(ctx context.Context, store holdStore) *caseNode {
	c := newCases(store, nil)
	c.rank = func(quarantine.Digest) int { return 0 }
	n := &caseNode{cases: c, guard: quarantine.NewGuard(quarantine.Config{
		Prober: crashedBackend{}, Leaving: func(string) bool { return false }, OnCase: c.changed,
		Neighbours: func(fleet.Backend, int) []fleet.Backend { return nil },
		Now:        func() time.Duration { return time.Since(time.Unix(0, 0)) },
	})}
	c.guard = n.guard
	go c.run(ctx)
	return n
}

// crash has a backend server crash under a request.
func (n *caseNode) crash(s *quarantine.Submission, backend string) {
	<-s.Lost(quarantine.Loss{Backend: fleet.Backend{ID: backend}, Ran: 10 * time.Millisecond})
	time.Sleep(100 * time.Millisecond)
}

// read passes the items of the store to the node.
func (n *caseNode) read(s *unsteadyStore) {
	for _, key := range s.keys() {
		n.cases.put(infra.Value{Key: key, Data: s.items[key]})
	}
}

var crashing = quarantine.Subject{Account: "acc", Body: []byte("crash")}

// Guards against evidence that is lost because all routers end between the crashes under a request and its quarantine.
func TestCaseIsReadByAStartingNode(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		key := []byte("shared key")
		store := &unsteadyStore{items: map[string][]byte{}, down: time.Now().Add(300 * time.Millisecond)}
		n := startCaseNode(ctx, store)
		n.guard.SetKey(key)
		s := n.guard.Track(crashing)
		n.crash(s, "r1")
		n.crash(s, "r2")
		time.Sleep(400 * time.Millisecond)
		if got := len(store.keys()); got != 1 || len(store.items[store.keys()[0]]) > 600 {
			t.Fatal("cases in the store: ", got)
		}
		next := startCaseNode(ctx, store)
		next.read(store)
		next.cases.settled(false) // the key is not known yet
		next.guard.SetKey(key)
		next.cases.settled(true)
		time.Sleep(time.Minute)
		if len(next.guard.Holds()) > 0 {
			t.Error("quarantined before the next crash")
		}
		next.crash(next.guard.Track(crashing), "r3")
		time.Sleep(time.Second)
		if len(next.guard.Holds()) != 1 {
			t.Error("not quarantined after the next crash")
		}
	})
}

// Guards against cases that stay in the store after an answer, or after their time.
func TestCaseIsRemoved(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := &unsteadyStore{items: map[string][]byte{}}
		n := startCaseNode(ctx, store)
		s := n.guard.Track(crashing)
		n.crash(s, "r1")
		n.crash(s, "r2")
		if len(store.keys()) != 1 {
			t.Fatal("cases in the store: ", store.keys())
		}
		key := store.keys()[0]
		old := infra.Value{Key: key, Data: store.items[key]}
		s.Answered(0)
		time.Sleep(time.Second)
		if len(store.keys()) != 0 {
			t.Fatal("in the store after the answer: ", store.keys())
		}
		n.cases.put(old) // the store has gone back
		n.cases.settled(true)
		if len(n.guard.List()) != 0 {
			t.Error("the case counts again: ", n.guard.List())
		}
		n.cases.removed(key)
		other := n.guard.Track(quarantine.Subject{Account: "acc", Body: []byte("other")})
		n.crash(other, "r3")
		n.crash(other, "r4")
		time.Sleep(quarantine.CaseTime + expirySpread + time.Second)
		if len(store.keys()) != 0 {
			t.Error("in the store after its time: ", store.keys())
		}
	})
}

// Guards against a case that waits for the write of another one, while the store is slow and all routers may end.
func TestCasesWaitForNoOtherWrite(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := &unsteadyStore{items: map[string][]byte{}, hangs: casePrefix}
		n := startCaseNode(ctx, store)
		one, two := crashing, crashing
		one.Content = quarantine.Content{Parts: []string{"part"}, Model: "m"}
		two.Content, two.Body = one.Content, []byte("another")
		n.crash(n.guard.Track(one), "r1")
		n.crash(n.guard.Track(one), "r2")
		n.crash(n.guard.Track(two), "r3")
		if got := store.keys(); len(got) != 1 || !strings.HasPrefix(got[0], partCasePrefix) {
			t.Error("in the store: ", got)
		}
	})
}

// Guards against a store that fills with cases.
func TestCasesAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := &unsteadyStore{items: map[string][]byte{}}
		n := startCaseNode(ctx, store)
		for i := range 2 * maxCases {
			id := strings.Repeat("x", i)
			s := n.guard.Track(quarantine.Subject{Account: "acc", Body: []byte(id)})
			n.crash(s, "a"+id)
			n.crash(s, "b"+id)
		}
		if got := len(store.keys()); got != maxCases {
			t.Error("cases in the store: ", got)
		}
	})
}

// Guards against nodes that report cases of newer builds, or of an unknown kind, as unreadable items or take them for holds.
func TestUnknownKeysAreIgnored(t *testing.T) {
	for _, key := range []string{casePrefix + strings.Repeat("ab", 16), "wigeondale/quarantine-later/" + strings.Repeat("ab", 16)} {
		if _, ok := parseRecordKey(key); ok {
			t.Error("read as the record of a hold: ", key)
		}
	}
}
