package soak

import (
	"fmt"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// lifetimeFaults are those of replicas that start again under their names, and of other
// programs that write to the store. They are drawn only if the run asks for them: a
// longer list would give other faults to the seeds that are kept.
func (r *platformRun) lifetimeFaults() []fault {
	if !r.cfg.Restarts {
		return nil
	}
	return []fault{
		{"replica starts again under its name", func() func() { return r.restart(r.anyReplica(), 0) }},
		{"replica starts again with its clock set back", func() func() { return r.restart(r.anyReplica(), -time.Hour) }},
		{"another program writes an entry", r.foreignEntry},
		{"another program writes over an entry", func() func() { return r.brokenEntry(r.anyReplica()) }},
	}
}

// restart crashes a replica, which starts again at the fault's end under its name. Its
// entry stays meanwhile. off is how far its clock is off then.
func (r *platformRun) restart(rep *fakes.Replica, off time.Duration) func() {
	if !r.take(rep) {
		return func() {}
	}
	rep.Thaw()
	rep.Crash()
	return func() {
		again, err := rep.Restart(time.Now().Add(off).UnixMilli())
		if err != nil {
			r.replace(rep) // its port was given to someone else meanwhile
			return
		}
		r.mu.Lock()
		r.replicas[again.Addr()] = again
		r.services[again.Service] = append(r.services[again.Service], again)
		r.mu.Unlock()
		r.store.Register(again, false)
	}
}

// foreignEntry has another program write an entry at a replica's address.
func (r *platformRun) foreignEntry() func() {
	rep := r.anyReplica()
	key := fmt.Sprintf("servers/x-%d", r.rng.IntN(4))
	r.store.Put(key, foreignBytes(rep, r.rng.IntN(foreignKinds)))
	return func() { r.store.Delete(key) }
}

// brokenEntry has another program write over a replica's entry, until the replica
// writes it again.
func (r *platformRun) brokenEntry(rep *fakes.Replica) func() {
	r.store.Put("servers/"+rep.ID, foreignBytes(rep, r.rng.IntN(foreignKinds)))
	return func() {
		if r.serves(rep) {
			r.store.Register(rep, false)
		}
	}
}

// serves tells whether a replica has neither crashed nor left.
func (r *platformRun) serves(rep *fakes.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.services[rep.Service] {
		if one == rep {
			return true
		}
	}
	return false
}

// foreignKinds is the number of forms that foreignBytes knows.
const foreignKinds = 5

// foreignBytes names no replica to use, though it speaks of rep's address.
func foreignBytes(rep *fakes.Replica, kind int) []byte {
	return []byte([foreignKinds]string{
		"\xff\xfe not JSON",
		`[]`,
		fmt.Sprintf(`{"service": 7, "address": %q, "zone": "d0", "state": "ready"}`, rep.Addr()),
		fmt.Sprintf(`{"service": "elsewhere", "address": %q, "zone": "d0", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": 1}`, rep.Addr()),
		fmt.Sprintf(`{"service": %q, "address": %q, "zone": "d0", "version": "v1", "slots": 8, "state": "warming", "cold_left_ms": 0, "sequence": 1}`, rep.Service, rep.Addr()),
	}[kind])
}
