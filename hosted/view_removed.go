package hosted

import (
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/platform"
)

// This file is the part of view about replicas whose entries are gone or not kept.

// Removed implements mirror.Receiver.
func (v *view) Removed(key string) {
	name, ok := platform.ReplicaID(key)
	if !ok {
		v.rollouts.removed(key)
		v.holds.removed(key)
		v.cases.removed(key)
		v.software.removed(key)
		v.peers.removed(key)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.unknownServices, name)
	v.release(name)
	if inc, known := v.incarnations.get(name); known {
		v.unlist(inc, "its entry was removed")
	}
}

// unlist removes a replica without an entry from the view and from the failure detector. The replica gets no new work
// until it is listed again: it may have left, but its entry also lapses while it can't reach the store.
func (v *view) unlist(inc fleet.Incarnation, reason string) {
	id := inc.ID()
	v.log.Emit(event.ReplicaUnlisted, "backend", id, "reason", reason)
	v.dir.Unlist(id)
	v.forget(id)
	v.changed[id] = struct{}{}
	v.incarnations.forget(inc.Name)
}

// store records a replica in the view.
func (v *view) store(b fleet.Backend) {
	if _, known := v.replicas[b.ID]; !known {
		v.counts[b.Service]++
	}
	v.replicas[b.ID] = b
}

// forget removes a replica from the view and from the failure detector.
func (v *view) forget(id string) {
	b, known := v.replicas[id]
	if known {
		v.counts[b.Service]--
	}
	if v.byAddr[b.Addr] == id {
		delete(v.byAddr, b.Addr)
	}
	delete(v.replicas, id)
	delete(v.adopted, id)
	v.mon.Forget(id)
}

// Dropped implements mirror.Receiver. The replica works on, but this node may not use it: no
// change of it, such as its leaving, becomes known here.
func (v *view) Dropped(key string) {
	name, ok := platform.ReplicaID(key)
	if !ok {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.unknownServices, name)
	v.release(name)
	inc, known := v.incarnations.get(name)
	if !known {
		return
	}
	v.incarnations.forget(name)
	v.forget(inc.ID())
	delete(v.changed, inc.ID())
	v.withdrawn = append(v.withdrawn, inc.ID())
}
