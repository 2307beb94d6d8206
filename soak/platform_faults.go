package soak

import (
	"encoding/json"
	"syscall"

	fakes "wigeondale/fakes/hosted"
)

// faults lists all kinds of trouble of the users' platform.
func (r *platformRun) faults() []fault {
	all := append(processFaults(func() *process { return &r.anyNode().process }),
		fault{"store down", func() func() { r.store.SetFailing(true); return func() { r.store.SetFailing(false) } }},
		fault{"store silent", func() func() { r.store.SetUnresponsive(true); return func() { r.store.SetUnresponsive(false) } }},
		fault{"store forgets", func() func() { r.store.Compact(); return nil }},
		fault{"node cut from the store", func() func() { return r.toggled(r.anyNode(), "cut", "heal") }},
		fault{"connections to the store reset", func() func() { return r.toggled(r.anyNode(), "kill", "start") }},
		fault{"node's links to the store reset", func() func() { r.toggle(r.anyNode(), "reset", ""); return nil }},
		fault{"node hears nothing from the store", func() func() { return r.toggled(r.anyNode(), "cut-out", "heal") }},
		fault{"store hears nothing from a node", func() func() { return r.toggled(r.anyNode(), "cut-in", "heal") }},
		fault{"node's links to the store are slow", func() func() {
			n := r.anyNode()
			r.toggle(n, "delay", slowLink)
			return func() { r.toggle(n, "delay", fastLink) }
		}},
		fault{"links to a replica reset", func() func() { r.anyReplica().Listener().Reset(); return nil }},
		fault{"links to a replica pass nothing back", func() func() { l := r.anyReplica().Listener(); l.CutOut(); return l.Heal }},
		fault{"links to a replica pass nothing on", func() func() { l := r.anyReplica().Listener(); l.CutIn(); return l.Heal }},
		fault{"links to a replica are slow", func() func() {
			l := r.anyReplica().Listener()
			l.Delay(slowBy)
			return func() { l.Delay(0) }
		}},
		fault{"replica crashes", func() func() { return r.crash(r.anyReplica()) }},
		fault{"failure domain crashes", r.crashDomain},
		fault{"replica freezes", func() func() { rep := r.anyReplica(); rep.Freeze(); return rep.Thaw }},
		fault{"replica misbehaves", func() func() {
			rep := r.anyReplica()
			rep.SetFaults(misbehaviours[r.rng.IntN(len(misbehaviours))])
			return func() { r.behave(rep) }
		}},
		fault{"replica leaves", func() func() { return r.leave(r.anyReplica()) }},
		fault{"a key is taken away", func() func() { r.revoke(); return nil }},
		fault{"new version", func() func() { r.configure(); return nil }},
	)
	all = append(all, r.lifetimeFaults()...)
	return append(all, r.rolloutFaults()...)
}

var misbehaviours = []fakes.Faults{
	{Refuse: true}, {FailStatus: 500}, {WrongID: true}, {NoSeal: true}, {Truncated: true}, {NoLength: true}, {NoResponse: true}, {RepeatChunks: true},
}

// behave ends what a replica does wrong, except what its version does.
func (r *platformRun) behave(rep *fakes.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep.SetFaults(r.badVersions[rep.Version])
}

// crashDomain crashes all engines of one failure domain at the same moment.
func (r *platformRun) crashDomain() func() {
	var ends []func()
	for _, rep := range r.domain("llm", r.rng.IntN(2)) {
		ends = append(ends, r.crash(rep))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// calm brings every node and link back, and waits until all are ready.
func (r *platformRun) calm() {
	r.history.note("calm")
	r.store.SetFailing(false)
	r.store.SetUnresponsive(false)
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		r.toggle(n, "heal", "")
		r.toggle(n, "start", "")
		r.toggle(n, "delay", fastLink)
		n.recovers()
	}
	r.calmed.Store(true)
	r.awaitRollouts()
}

func (r *platformRun) anyNode() *node { return r.nodes[r.rng.IntN(len(r.nodes))] }

func (r *platformRun) toggle(n *node, name, args string) {
	if err := n.link.Fault(name, json.RawMessage(args)); err != nil {
		r.checks.broken("the soak's own relay works", "", n.id+": "+err.Error())
	}
}

// toggled turns a switch of the node's link to the store, and back at the end.
func (r *platformRun) toggled(n *node, name, back string) func() {
	r.toggle(n, name, "")
	return func() { r.toggle(n, back, "") }
}

func (r *platformRun) anyReplica() *fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := []string{"llm", "app"}[r.rng.IntN(2)]
	all := r.services[service]
	return all[r.rng.IntN(len(all))]
}

func (r *platformRun) domain(service string, number int) []*fakes.Replica {
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

// take removes a replica from those that serve, if enough stay of its version.
func (r *platformRun) take(rep *fakes.Replica) bool {
	r.mu.Lock()
	like := 0
	for _, one := range r.services[rep.Service] {
		if one.Version == rep.Version {
			like++
		}
	}
	r.mu.Unlock()
	return like > minReplicas && r.takeAny(rep)
}

// takeAny removes a replica from those that serve.
func (r *platformRun) takeAny(rep *fakes.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.services[rep.Service]
	for i, one := range all {
		if one == rep {
			r.services[rep.Service] = append(append([]*fakes.Replica(nil), all[:i]...), all[i+1:]...)
			r.gone = append(r.gone, rep)
			return true
		}
	}
	return false
}

// crash ends a replica; a new lifetime registers at the fault's end, and the old
// entry lapses then.
func (r *platformRun) crash(rep *fakes.Replica) func() {
	if !r.take(rep) {
		return func() {}
	}
	rep.Thaw()
	rep.Crash()
	return func() { r.replace(rep) }
}

// leave announces that a replica goes, and lets it go at the fault's end.
func (r *platformRun) leave(rep *fakes.Replica) func() {
	if !r.take(rep) {
		return func() {}
	}
	r.store.Register(rep, true)
	return func() { r.replace(rep) }
}

func (r *platformRun) replace(rep *fakes.Replica) {
	r.store.Unregister(rep)
	domain := int(rep.Domain[1] - '0')
	if _, err := r.startReplica(rep.Service, domain, rep.Engine, rep.Version); err != nil {
		r.checks.broken("the soak's own replica starts", "", err.Error())
	}
}

// revoke takes a key away for good.
func (r *platformRun) revoke() {
	r.mu.Lock()
	if len(r.keys) > 1 {
		r.keys = append([]string(nil), r.keys[1:]...)
	}
	r.mu.Unlock()
	r.configure()
}
