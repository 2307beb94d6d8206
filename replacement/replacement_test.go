package replacement

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// fakeProber is a Prober with a table of the replicas that answer at each address. An address
// without an entry doesn't answer; an address whose entry has no name refuses connections.
type fakeProber struct {
	mu       sync.Mutex
	replicas map[string]Replica
	probed   []string
}

func (a *fakeProber) Identify(ctx context.Context, b fleet.Backend, _ string) (Replica, error) {
	a.mu.Lock()
	a.probed = append(a.probed, b.Addr)
	f, ok := a.replicas[b.Addr]
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

// A failure domain crashes while the registry is unavailable. Its replicas are back at their
// addresses with new ids; some are still down, one kept running, one is leaving, and one
// address belongs to another service now. If the restarted replicas were not found, a third of
// the engines would get no work.
func TestSuccessorsAreFoundAtTheirAddresses(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		prober := &fakeProber{replicas: map[string]Replica{
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
		got := New(prober).Find(t.Context(), lost, "/check", fits)
		want := fleet.Backend{ID: "n1", Incarnation: fleet.Incarnation{Name: "n1"}, Addr: "h:1", Service: "llm", FailureDomain: "d1"}
		if len(got) != 1 || got[0] != want {
			t.Errorf("found %+v, want only %+v", got, want)
		}
	})
}

// While the registry is unavailable, routers must not probe dead machines all the time. They do
// if each call of Find probes an address again that has just been probed.
func TestAddressIsLeftAloneForAWhile(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		prober := &fakeProber{replicas: map[string]Replica{"h:1": {}}}
		s := New(prober)
		lost := []fleet.Backend{{ID: "o1", Addr: "h:1"}}
		for range 10 {
			s.Find(t.Context(), lost, "/check", func(fleet.Backend, Replica) bool { return true })
		}
		if want := []string{"h:1"}; !slices.Equal(prober.probed, want) {
			t.Errorf("probed %v at one moment, want %v", prober.probed, want)
		}
	})
}
