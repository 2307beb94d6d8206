package succession

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"wigeondale/fleet"
)

// addresses are what answers at each address.
type addresses struct {
	mu    sync.Mutex
	there map[string]Replica
	asked []string
}

func (a *addresses) Identify(ctx context.Context, b fleet.Backend, _ string) (Replica, error) {
	a.mu.Lock()
	a.asked = append(a.asked, b.Addr)
	f, ok := a.there[b.Addr]
	a.mu.Unlock()
	switch {
	case !ok:
		<-ctx.Done()
		return Replica{}, ctx.Err()
	case f.Name == b.ID:
		return Replica{}, ErrUnchanged
	case f.Name == "":
		return Replica{}, errors.New("refused")
	}
	return f, nil
}

// Symptom: after a crash of a failure domain while the registry is away a third of the
// engines gets no work. Sequence: its replicas are back at their addresses with new ids;
// some are still down, one lives on, one leaves, one address is another service's now.
// Cause: none of them is known before the registry is back.
func TestSuccessorsAreFoundAtTheirAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		there := &addresses{there: map[string]Replica{
			"h:1": {Incarnation: fleet.Incarnation{Name: "n1"}, MemoryTokens: 55000},
			"h:2": {Incarnation: fleet.Incarnation{Name: "o2"}, MemoryTokens: 55000},
			"h:3": {},
			"h:5": {Incarnation: fleet.Incarnation{Name: "n5"}, MemoryTokens: 55000, Leaving: true},
			"h:6": {Incarnation: fleet.Incarnation{Name: "n6"}},
		}}
		var lost []fleet.Backend
		for _, n := range []string{"1", "2", "3", "4", "5", "6"} {
			lost = append(lost, fleet.Backend{ID: "o" + n, Addr: "h:" + n, Service: "llm", FailureDomain: "d1"})
		}
		fits := func(_ fleet.Backend, f Replica) bool { return f.MemoryTokens == 55000 }
		got := New(there).Find(t.Context(), lost, "/check", fits)
		want := fleet.Backend{ID: "n1", Incarnation: fleet.Incarnation{Name: "n1"}, Addr: "h:1", Service: "llm", FailureDomain: "d1"}
		if len(got) != 1 || got[0] != want {
			t.Errorf("found %+v, want %+v alone", got, want)
		}
	})
}

// Symptom: nodes ask dead machines all the time while the registry is away. Sequence: an
// address doesn't answer, and the search goes on. Cause: each look asks it again.
func TestAddressIsLeftAloneForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		there := &addresses{there: map[string]Replica{"h:1": {}}}
		s := New(there)
		lost := []fleet.Backend{{ID: "o1", Addr: "h:1"}}
		for range 10 {
			s.Find(t.Context(), lost, "/check", func(fleet.Backend, Replica) bool { return true })
		}
		if want := []string{"h:1"}; !slices.Equal(there.asked, want) {
			t.Errorf("asked %v at one moment, want %v", there.asked, want)
		}
	})
}
