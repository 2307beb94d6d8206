package hosted

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fakes/fault"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/quarantine"
)

// Guards against the silence of a server that counts as a crash against the request that ran there. A
// silent process still accepts connections, and reads requests late or not at all.
func TestSilentServerIsNotFoundExited(t *testing.T) {
	n := newFleet(t).startNode("n1")
	const startedAt = 1000
	exited := func(addr string) bool {
		inc := fleet.Incarnation{Name: "e0", StartedAt: startedAt}
		return n.guard.StateAtEnd(fleet.Backend{ID: inc.ID(), Incarnation: inc, Service: "llm", FailureDomain: "d0", Addr: addr}) != quarantine.Working
	}
	t.Run("nothing is read", func(t *testing.T) {
		t.Parallel()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if state := (backend.Prober{}).Probe(t.Context(), fleet.Backend{Addr: l.Addr().String()}); state != quarantine.Working {
			t.Errorf("its connections are %v: the router takes itself for cut off", state)
		}
		for begun := time.Now(); time.Since(begun) < 3*time.Second; {
			if exited(l.Addr().String()) {
				t.Fatalf("found exited after %v", time.Since(begun))
			}
		}
	})
	for _, silence := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Until(begun.Add(silence)))
				_, _ = w.Write([]byte(`{"stage": "unified", "born": 1000, "runs": []}`))
			}))
			defer s.Close()
			for time.Since(begun) < silence+500*time.Millisecond {
				if exited(s.Listener.Addr().String()) {
					t.Fatalf("found exited after %v", time.Since(begun))
				}
			}
		})
	}
	t.Run("exited", func(t *testing.T) {
		t.Parallel()
		if !exited(freeAddr(t)) {
			t.Error("a port on which nobody listens is not found exited")
		}
	})
}

// Guards against a router that takes itself for cut off, or its replicas for crashed, for long after the
// connections to all of them hung for a second.
func TestSecondWithoutConnectionsIsForgottenSoon(t *testing.T) {
	f := newFleet(t)
	f.startEngines(8, 60, 20*time.Millisecond)
	n := f.startServingNode()
	for i := range 8 {
		resp, _ := n.startedGeneration(fmt.Sprint("q", i))
		defer resp.Body.Close()
	}
	n.replicaLinks.Set(fault.Hanging)
	time.Sleep(time.Second)
	n.replicaLinks.Set(fault.Connected)
	avoided := func() (count int) {
		for _, id := range n.dir.IDs() {
			if s := n.mon.State(id); s == health.Suspect || s == health.Down {
				count++
			}
		}
		return count
	}
	begun := time.Now()
	await(t, "the end of the suspicion", func() bool { return avoided() == 0 && !n.cutOff.reach.Any() })
	if took, most := time.Since(begun), 1500*time.Millisecond; took > most {
		t.Errorf("replicas are avoided for %v after the silence, at most %v", took, most)
	}
}
