package soak

import (
	"encoding/json"
	"slices"
	"syscall"

	fakefault "wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// faults lists all faults on the users' platform.
func (r *platformRun) faults() []fault {
	newVersion := fault{"new version", func() func() { r.configure(); return nil }}
	if r.cfg.Silences {
		return []fault{newVersion}
	}
	if r.cfg.Alone {
		return slices.Concat(r.repeatFaults(), r.outageFaults(), r.moveFaults(), r.malformedFaults(), r.unfitFaults())
	}
	all := append(processFaults(func() *process { return &r.randomNode().process }),
		fault{"store down", func() func() { r.store.SetFailing(true); return func() { r.store.SetFailing(false) } }},
		fault{"store silent", func() func() { r.store.SetUnresponsive(true); return func() { r.store.SetUnresponsive(false) } }},
		fault{"store forgets", func() func() { r.store.Compact(); return nil }},
		fault{"node cut from the store", func() func() { return r.linkFault(r.randomNode(), "cut", "heal") }},
		fault{"connections to the store reset", func() func() { return r.linkFault(r.randomNode(), "kill", "start") }},
		fault{"node's links to the store reset", func() func() { r.setLinkFault(r.randomNode(), "reset", ""); return nil }},
		fault{"node hears nothing from the store", func() func() { return r.linkFault(r.randomNode(), "cut-out", "heal") }},
		fault{"store hears nothing from a node", func() func() { return r.linkFault(r.randomNode(), "cut-in", "heal") }},
		fault{"node's links to the store are slow", func() func() {
			n := r.randomNode()
			r.setLinkFault(n, "delay", slowLink)
			return func() { r.setLinkFault(n, "delay", fastLink) }
		}},
		fault{"links to a replica reset", func() func() {
			r.harmLinks(func(l *replicaLinks) func() { l.Reset(); return func() {} })()
			return nil
		}},
		fault{"links to a replica pass nothing back", func() func() {
			return r.harmLinks(func(l *replicaLinks) func() { l.CutOut(); return l.Heal })
		}},
		fault{"links to a replica pass nothing on", func() func() {
			return r.harmLinks(func(l *replicaLinks) func() { l.CutIn(); return l.Heal })
		}},
		fault{"links to a replica are slow", func() func() {
			return r.harmLinks(func(l *replicaLinks) func() { l.Delay(slowDelay); return func() { l.Delay(0) } })
		}},
		fault{"replica crashes", func() func() { return r.crash(r.randomReplica()) }},
		fault{"failure domain crashes", r.crashDomain},
		fault{"replica freezes", func() func() { return r.silence(r.randomReplica()) }},
		fault{"replica misbehaves", func() func() { return r.misbehave(misbehaviours[r.rng.IntN(len(misbehaviours))]) }},
		fault{"replica leaves", func() func() { return r.drain(r.randomReplica()) }},
		fault{"a key is taken away", func() func() { r.revokeKey(); return nil }},
		newVersion,
	)
	all = append(all, r.restartFaults()...)
	all = append(all, r.askFaults()...)
	all = append(all, r.drillFaults()...)
	all = append(all, r.softwareFaults()...)
	all = append(all, r.brittleFaults()...)
	all = append(all, r.endlessFaults()...)
	all = append(all, r.repeatFaults()...)
	all = append(all, r.outageFaults()...)
	all = append(all, r.evidenceFaults()...)
	all = append(all, r.moveFaults()...)
	all = append(all, r.rareFaults()...)
	all = append(all, r.malformedFaults()...)
	all = append(all, r.unfitFaults()...)
	return append(all, r.rolloutFaults()...)
}

type replicaLinks = fakefault.Listener

// harmLinks harms the links to a random replica, and records for how long.
func (r *platformRun) harmLinks(harm func(l *replicaLinks) (heal func())) (end func()) {
	rep := r.randomReplica()
	recorded := r.recordHarm(rep)
	heal := harm(rep.Listener())
	return func() {
		heal()
		recorded()
	}
}

// recordHarm records that links to a replica are harmed until the returned function is called.
func (r *platformRun) recordHarm(rep *fakes.Replica) (end func()) {
	harmed, troubled := r.checks.asks.harmed.begin(rep.ID), r.checks.ends.trouble.begin(rep)
	return func() {
		harmed()
		troubled()
	}
}

var misbehaviours = []fakes.Faults{
	{Refuse: true}, {FailStatus: 500}, {WrongID: true}, {NoSeal: true}, {Truncated: true}, {NoLength: true}, {NoResponse: true}, {RepeatChunks: true},
}

// misbehave sets the fault switches of a random replica, and records for how long.
func (r *platformRun) misbehave(f fakes.Faults) (end func()) {
	return r.misbehaveAt(r.randomReplica(), f)
}

// misbehaveAt does the same with one replica.
func (r *platformRun) misbehaveAt(rep *fakes.Replica, f fakes.Faults) (end func()) {
	troubled := r.checks.ends.trouble.begin(rep)
	rep.SetFaults(f)
	return func() {
		r.clearMisbehaviour(rep)
		troubled()
	}
}

// clearMisbehaviour clears the fault switches of a replica, except the faults that it always has.
func (r *platformRun) clearMisbehaviour(rep *fakes.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep.SetFaults(r.baseFaults(rep))
}

// crashDomain crashes all engines of one failure domain at once.
func (r *platformRun) crashDomain() func() {
	var ends []func()
	for _, rep := range r.replicasInDomain("llm", r.rng.IntN(2)) {
		ends = append(ends, r.crash(rep))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// endFaults resumes every router and link, waits until all routers are ready, and then until all
// roll-outs have ended.
func (r *platformRun) endFaults() {
	r.silences.Wait()
	r.series.end()
	r.cuts.end()
	r.history.add("calm")
	r.endBrittle()
	r.store.SetFailing(false)
	r.store.SetUnresponsive(false)
	r.store.SetWriteFate(nil)
	r.endRare()
	if r.cfg.Moves {
		r.moveStreams([]string{"llm"})
	}
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		r.setLinkFault(n, "heal", "")
		r.setLinkFault(n, "start", "")
		r.setLinkFault(n, "delay", fastLink)
		n.awaitRecovery()
	}
	r.burstClients.Wait()
	r.faultsEnded.Store(true)
	r.awaitRollouts()
}

func (r *platformRun) randomNode() *node { return r.nodes[r.rng.IntN(len(r.nodes))] }

func (r *platformRun) setLinkFault(n *node, name, args string) {
	if err := n.link.Fault(name, json.RawMessage(args)); err != nil {
		r.checks.violated("the soak's own relay works", "", n.id+": "+err.Error())
	}
}

// linkFault turns the switch name of the relay between a router and the store, and returns
// the function that turns the switch back.
func (r *platformRun) linkFault(n *node, name, back string) func() {
	r.setLinkFault(n, name, "")
	return func() { r.setLinkFault(n, back, "") }
}

func (r *platformRun) randomReplica() *fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := []string{"llm", "app"}[r.rng.IntN(2)]
	all := r.services[service]
	return all[r.rng.IntN(len(all))]
}

func (r *platformRun) replicasInDomain(service string, number int) []*fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*fakes.Replica
	for _, rep := range r.services[service] {
		if rep.Domain == "d"+string(rune('0'+number)) {
			out = append(out, rep)
		}
	}
	return out
}

// removeIfOthersServe removes a replica from the serving ones if at least minReplicas of
// its version remain. It reports whether it removed the replica.
func (r *platformRun) removeIfOthersServe(rep *fakes.Replica) bool {
	r.mu.Lock()
	sameVersion := 0
	for _, other := range r.services[rep.Service] {
		if other.Version == rep.Version {
			sameVersion++
		}
	}
	r.mu.Unlock()
	return sameVersion > minReplicas && r.remove(rep)
}

// remove removes a replica from the serving ones. It reports whether the replica was one of
// them.
func (r *platformRun) remove(rep *fakes.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks.ends.trouble.begin(rep) // never ends
	all := r.services[rep.Service]
	for i, other := range all {
		if other == rep {
			r.services[rep.Service] = append(append([]*fakes.Replica(nil), all[:i]...), all[i+1:]...)
			r.formerReplicas = append(r.formerReplicas, rep)
			return true
		}
	}
	return false
}

// crash crashes a replica. When the fault ends, the crashed replica's entry is removed from
// the store and a new replica registers.
func (r *platformRun) crash(rep *fakes.Replica) func() {
	if !r.removeIfOthersServe(rep) {
		return func() {}
	}
	rep.Thaw()
	rep.Crash()
	return func() { r.replace(rep) }
}

// drain registers a replica as draining, and replaces it when the fault ends.
func (r *platformRun) drain(rep *fakes.Replica) func() {
	if !r.removeIfOthersServe(rep) {
		return func() {}
	}
	r.store.Register(rep, true)
	return func() { r.replace(rep) }
}

func (r *platformRun) replace(rep *fakes.Replica) {
	r.store.Unregister(rep)
	domain := int(rep.Domain[1] - '0')
	if _, err := r.startReplica(rep.Service, domain, rep.Engine, rep.Version); err != nil {
		r.checks.violated("the soak's own replica starts", "", err.Error())
	}
}

// revokeKey removes an API key for good.
func (r *platformRun) revokeKey() {
	r.mu.Lock()
	if len(r.keys) > 1 {
		r.keys = append([]string(nil), r.keys[1:]...)
	}
	r.mu.Unlock()
	r.configure()
}
