package soak

import (
	"context"
	"syscall"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// fault is one kind of trouble. It returns what ends it, or nil; the end is due
// after a random time, and other faults come meanwhile.
type fault struct {
	name string
	do   func(r *run) (end func())
}

const (
	// faultGap is the mean time between two faults.
	faultGap = 250 * time.Millisecond
	// faultLife bounds how long one lasts.
	faultLife = 3 * time.Second
	// minReplicas of a service stay up, so that requests have somewhere to go.
	minReplicas = 2
)

var allFaults = []fault{
	{"kill and restart", func(r *run) func() {
		n := r.anyNode()
		n.kill()
		return func() { r.relaunch(n) }
	}},
	{"terminate and restart", func(r *run) func() {
		n := r.anyNode()
		n.signal(syscall.SIGTERM)
		return func() { r.relaunch(n) }
	}},
	{"pause", func(r *run) func() {
		n := r.anyNode()
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}},
	{"reload", func(r *run) func() { r.anyNode().signal(syscall.SIGHUP); return nil }},
	{"store down", func(r *run) func() { r.store.Down(true); return func() { r.store.Down(false) } }},
	{"store silent", func(r *run) func() { r.store.Silent(true); return func() { r.store.Silent(false) } }},
	{"store forgets", func(r *run) func() { r.store.Compact(); return nil }},
	{"node cut from the store", func(r *run) func() {
		n := r.anyNode()
		r.toggle(n, "cut")
		return func() { r.toggle(n, "heal") }
	}},
	{"connections to the store reset", func(r *run) func() {
		n := r.anyNode()
		r.toggle(n, "kill")
		return func() { r.toggle(n, "start") }
	}},
	{"replica crashes", func(r *run) func() { return r.crash(r.anyReplica()) }},
	{"failure domain crashes", func(r *run) func() {
		var ends []func()
		for _, rep := range r.domain("llm", r.rng.IntN(2)) {
			ends = append(ends, r.crash(rep))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"replica freezes", func(r *run) func() { rep := r.anyReplica(); rep.Freeze(); return rep.Thaw }},
	{"replica misbehaves", func(r *run) func() {
		rep := r.anyReplica()
		rep.Set([]fakes.Faults{
			{Refuse: true}, {FailStatus: 500}, {WrongID: true}, {NoSeal: true}, {Torn: true}, {Unframed: true}, {Silent: true}, {Repeat: true},
		}[r.rng.IntN(8)])
		return func() { rep.Set(fakes.Faults{}) }
	}},
	{"replica leaves", func(r *run) func() { return r.leave(r.anyReplica()) }},
	{"a key is taken away", func(r *run) func() { r.revoke(); return nil }},
	{"new version", func(r *run) func() { r.configure(); return nil }},
}

// injectFaults draws faults until the time is over, and ends them all.
func (r *run) injectFaults(ctx context.Context) {
	type due struct {
		at  time.Time
		end func()
	}
	var open []due
	for over := time.Now().Add(r.cfg.Length); time.Now().Before(over) && ctx.Err() == nil; {
		f := allFaults[r.rng.IntN(len(allFaults))]
		r.note("%s", f.name)
		if end := f.do(r); end != nil {
			life := time.Duration(r.rng.Int64N(int64(faultLife)))
			open = append(open, due{time.Now().Add(life), end})
		}
		time.Sleep(time.Duration(r.rng.Int64N(2 * int64(faultGap))))
		still := open[:0]
		for _, d := range open {
			if time.Now().Before(d.at) {
				still = append(still, d)
				continue
			}
			d.end()
		}
		open = still
	}
	for _, d := range open {
		d.end()
	}
}

// calm brings every node and link back, and waits until all are ready.
func (r *run) calm() {
	r.note("calm")
	r.store.Down(false)
	r.store.Silent(false)
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		r.toggle(n, "heal")
		r.toggle(n, "start")
	}
	for _, n := range r.nodes {
		end := time.Now().Add(settleTime)
		for !n.isReady(context.Background()) && time.Now().Before(end) {
			r.relaunch(n) // one that was told to end may just have gone
			time.Sleep(100 * time.Millisecond)
		}
		if !n.isReady(context.Background()) {
			r.checks.broken("nodes recover from any series of faults", "", n.id+" is not ready after "+settleTime.String())
		}
	}
}

func (r *run) anyNode() *node { return r.nodes[r.rng.IntN(len(r.nodes))] }

func (r *run) relaunch(n *node) {
	if err := n.launch(); err != nil {
		r.checks.broken("a process starts", "", n.id+": "+err.Error())
	}
}

func (r *run) toggle(n *node, name string) {
	if err := n.link.Fault(name, nil); err != nil {
		r.checks.broken("the soak's own relay works", "", n.id+": "+err.Error())
	}
}

func (r *run) anyReplica() *fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := []string{"llm", "app"}[r.rng.IntN(2)]
	all := r.services[service]
	return all[r.rng.IntN(len(all))]
}

func (r *run) domain(service string, number int) []*fakes.Replica {
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

// take removes a replica from those that serve, if enough stay.
func (r *run) take(rep *fakes.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.services[rep.Service]
	if len(all) <= minReplicas {
		return false
	}
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
func (r *run) crash(rep *fakes.Replica) func() {
	if !r.take(rep) {
		return func() {}
	}
	rep.Thaw()
	rep.Crash()
	return func() { r.replace(rep) }
}

// leave announces that a replica goes, and lets it go at the fault's end.
func (r *run) leave(rep *fakes.Replica) func() {
	if !r.take(rep) {
		return func() {}
	}
	r.store.Register(rep, true)
	return func() { r.replace(rep) }
}

func (r *run) replace(rep *fakes.Replica) {
	r.store.Lapse(rep)
	domain := int(rep.Domain[1] - '0')
	if err := r.addReplica(rep.Service, domain, rep.Engine); err != nil {
		r.checks.broken("the soak's own replica starts", "", err.Error())
	}
}

// revoke takes a key away for good.
func (r *run) revoke() {
	r.mu.Lock()
	if len(r.keys) > 1 {
		r.keys = append([]string(nil), r.keys[1:]...)
	}
	r.mu.Unlock()
	r.configure()
}
