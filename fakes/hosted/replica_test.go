package hosted

import (
	"net/http"
	"sync"
	"testing"
)

// Two replicas that each start a run with its copy at the other one must not deadlock. When
// each of them held its own lock while it waited for the lock of the other, neither replica
// responded any more.
func TestReplicasKeepEachOthersCopies(t *testing.T) {
	a, b := &Replica{ID: "a", copies: map[string]bool{}}, &Replica{ID: "b", copies: map[string]bool{}}
	a.replicaAt = func(string) *Replica { return b }
	b.replicaAt = func(string) *Replica { return a }
	var group sync.WaitGroup
	for _, r := range []*Replica{a, b} {
		for range 4 {
			group.Go(func() {
				for range 2000 {
					r.receive(&Arrival{ID: "q", Header: http.Header{"X-Kv-Backup": {"other"}}})
				}
			})
		}
	}
	group.Wait()
}
