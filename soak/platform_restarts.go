package soak

import (
	"fmt"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// restartFaults returns faults of replicas that restart under the same id, and of other programs
// that write to the store. They are optional, since a longer list of faults changes which faults
// the kept seeds draw.
func (r *platformRun) restartFaults() []fault {
	if !r.cfg.Restarts {
		return nil
	}
	return []fault{
		{"replica starts again under its name", func() func() { return r.restartReplica(r.randomReplica(), 0) }},
		{"replica starts again with its clock set back", func() func() { return r.restartReplica(r.randomReplica(), -time.Hour) }},
		{"another program writes an entry", r.addForeignEntry},
		{"another program writes over an entry", func() func() { return r.overwriteEntry(r.randomReplica()) }},
	}
}

// restartReplica crashes a replica and restarts it under the same id when the fault ends.
// Between the crash and the restart the replica's entry stays in the store. clockOffset is
// the error of the replica's clock after the restart.
func (r *platformRun) restartReplica(rep *fakes.Replica, clockOffset time.Duration) func() {
	return r.restartReplicaAs(rep, clockOffset, rep.Version)
}

// restartReplicaAs does the same with the given version of its software.
func (r *platformRun) restartReplicaAs(rep *fakes.Replica, clockOffset time.Duration, version string) func() {
	if !r.removeIfOthersServe(rep) {
		return func() {}
	}
	rep.Thaw()
	rep.Crash()
	return func() {
		restarted, err := rep.RestartAs(version, time.Now().Add(clockOffset).UnixMilli())
		if err != nil {
			r.replace(rep) // the replica's port is in use by another listener
			return
		}
		r.mu.Lock()
		r.replicas[restarted.Addr()] = restarted
		r.services[restarted.Service] = append(r.services[restarted.Service], restarted)
		r.mu.Unlock()
		r.store.Register(restarted, false)
	}
}

// addForeignEntry writes an entry as another program would, under a key that is not the
// replica's own. The value is one of foreignBytes for a random replica. The entry is
// deleted when the fault ends.
func (r *platformRun) addForeignEntry() func() {
	rep := r.randomReplica()
	key := fmt.Sprintf("servers/x-%d", r.rng.IntN(4))
	r.store.Put(key, foreignBytes(rep, r.rng.IntN(foreignKinds)))
	return func() { r.store.Delete(key) }
}

// overwriteEntry overwrites a replica's entry in the store with a value of foreignBytes, as
// another program would. When the fault ends, the replica writes its entry again if it
// still serves.
func (r *platformRun) overwriteEntry(rep *fakes.Replica) func() {
	troubled := r.checks.ends.trouble.begin(rep)
	r.store.Put("servers/"+rep.ID, foreignBytes(rep, r.rng.IntN(foreignKinds)))
	return func() {
		troubled()
		if r.isServing(rep) {
			r.store.Register(rep, false)
		}
	}
}

// isServing reports whether a replica has neither crashed nor been drained.
func (r *platformRun) isServing(rep *fakes.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.services[rep.Service] {
		if other == rep {
			return true
		}
	}
	return false
}

// foreignKinds is the number of kinds of value that foreignBytes returns.
const foreignKinds = 5

// foreignBytes returns a value that a router must not accept as an entry of a replica in use, although
// most kinds contain the address of rep.
func foreignBytes(rep *fakes.Replica, kind int) []byte {
	return []byte([foreignKinds]string{
		"\xff\xfe not JSON",
		`[]`,
		fmt.Sprintf(`{"service": 7, "address": %q, "zone": "d0", "state": "ready"}`, rep.Addr()),
		fmt.Sprintf(`{"service": "elsewhere", "address": %q, "zone": "d0", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": 1}`, rep.Addr()),
		fmt.Sprintf(`{"service": %q, "address": %q, "zone": "d0", "version": "v1", "slots": 8, "state": "warming", "cold_left_ms": 0, "sequence": 1}`, rep.Service, rep.Addr()),
	}[kind])
}
