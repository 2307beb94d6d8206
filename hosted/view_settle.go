package hosted

import (
	"maps"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
)

// This file passes the changes of a batch from the view to the directory.

// maxLogged is the largest number of replicas that are logged one by one when they are added
// in the same batch. Of a larger batch only the number is logged: a router that starts reads
// thousands of replicas, whose log lines would crowd out all other lines.
const maxLogged = 20

// BatchDone implements mirror.Receiver.
func (v *view) BatchDone() {
	v.peers.settled()
	v.cases.settled(v.peers.hasKey())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle()
}

// settle passes the changes since the last settle to the directory.
func (v *view) settle() {
	if len(v.withdrawn) > 0 {
		v.log.Emit(event.ReplicasWithdrawn, "replicas", len(v.withdrawn), "all", len(v.replicas))
		v.dir.Withdraw(v.withdrawn, time.Now())
		v.withdrawn = nil
	}
	if len(v.changed) == 0 {
		return
	}
	v.logAdded()
	var listed []fleet.Backend
	var dropped []string
	for id := range v.changed {
		if b, ok := v.replicas[id]; ok {
			listed = append(listed, b)
		} else {
			dropped = append(dropped, id)
		}
	}
	clear(v.changed)
	v.dir.Apply(listed, dropped, time.Now())
}

// replicasByService returns the numbers of known replicas.
func (v *view) replicasByService() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.counts)
}

// logAdded logs the replicas that were added since the last BatchDone.
func (v *view) logAdded() {
	if len(v.added) > maxLogged {
		v.log.Emit(event.ReplicasKnown, "replicas", len(v.added), "all", len(v.replicas))
		v.added = nil
	}
	for _, b := range v.added {
		v.log.Emit(event.ReplicaKnown, "backend", b.ID, "service", b.Service, "domain", b.FailureDomain, "addr", b.Addr, "leaving", b.Leaving || v.dir.Marked(b.ID))
	}
	v.added = v.added[:0]
}
