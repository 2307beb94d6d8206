package hosted

import (
	"net/http"
	"sync"
	"testing"
)

// Symptom: the soak stands still, and all replicas answer nothing more. Sequence: two
// replicas each begin a run whose copy is kept at the other one. Cause: each held its own
// lock while it waited for the other's.
func TestReplicasKeepEachOthersCopies(t *testing.T) {
	a, b := &Replica{ID: "a", copies: map[string]bool{}}, &Replica{ID: "b", copies: map[string]bool{}}
	a.peers = func(string) *Replica { return b }
	b.peers = func(string) *Replica { return a }
	var group sync.WaitGroup
	for _, r := range []*Replica{a, b} {
		for range 4 {
			group.Go(func() {
				for range 2000 {
					r.arrive(&Arrival{ID: "q", Header: http.Header{"X-Kv-Backup": {"other"}}})
				}
			})
		}
	}
	group.Wait()
}
