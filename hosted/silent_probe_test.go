package hosted

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wigeondale/fleet"
)

// Guards against the silence of a server that counts as a crash against the request that ran there. A
// silent process still accepts connections, and reads requests late or not at all.
func TestSilentServerIsNotFoundExited(t *testing.T) {
	n := newFleet(t).startNode("n1")
	const startedAt = 1000
	exited := func(addr string) bool {
		inc := fleet.Incarnation{Name: "e0", StartedAt: startedAt}
		return n.guard.Exited(fleet.Backend{ID: inc.ID(), Incarnation: inc, Service: "llm", FailureDomain: "d0", Addr: addr})
	}
	t.Run("nothing is read", func(t *testing.T) {
		t.Parallel()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
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
				_, _ = w.Write([]byte(`{"born": 1000, "runs": []}`))
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
