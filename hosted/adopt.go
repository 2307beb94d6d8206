package hosted

import (
	"context"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/route"
	"wigeondale/succession"
)

// While the store is away, successors of crashed replicas are adopted: few nodes look
// for them (package succession) and tell the others. What the store says once it is
// back goes first: an adopted replica that it does not list is dropped.
//
// Only a service that is the configuration's one service of model engines is looked
// after: then an engine with as much memory, at the address of a lost one, is one of its
// replicas. Addresses pass to other services, and a request must not run there.
const (
	// adoptEvery is the interval of the search.
	adoptEvery = 500 * time.Millisecond
	// adoptTold is how often the adopted replicas are told again: messages get lost,
	// and nodes start while the store is away.
	adoptTold = 4 * time.Second
	// listedWithin is how long after the store's return an adopted replica may be
	// missing there. Entries that lapsed are back within about two seconds.
	listedWithin = 3 * time.Second
	floodAdopted = "hosted.adopted"
)

// adoptedMessage names replicas that were found at the addresses of lost ones.
type adoptedMessage struct {
	Replicas []adoptedReplica `cbor:"1,keyasint"`
}

// adoptedReplica is one of them. All else is as it was with the lost one.
type adoptedReplica struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Born int64  `cbor:"3,keyasint,omitempty"`
}

func (a *adoptedReplica) lifetime() fleet.Incarnation {
	return fleet.Incarnation{Name: a.Name, StartedAt: a.Born}
}

func adoptedOf(b *fleet.Backend) adoptedReplica {
	return adoptedReplica{Name: b.Name(), Addr: b.Addr, Born: b.Incarnation.StartedAt}
}

// adopter looks for successors while the store is away. Each node that reads the store
// looks, so that the cost grows with the replicas that are lost and with the failure
// domains, not with the nodes.
type adopter struct {
	view   *view
	news   *news
	seeker *succession.Finder
	tell   func(m adoptedMessage)

	told  time.Time
	fresh time.Time // since when the store's word is new; zero while it is away
}

func (a *adopter) run(ctx context.Context) error {
	tick := time.NewTicker(adoptEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			a.step(ctx, now)
		}
	}
}

func (a *adopter) step(ctx context.Context, now time.Time) {
	if a.news.age(now) <= staleAfter {
		a.confirm(now)
		return
	}
	a.fresh = time.Time{}
	service, ok := a.view.engine()
	if !ok || !a.news.reader() {
		return
	}
	found := a.seeker.Find(ctx, a.view.lost(service.Name), service.HealthPath, func(_ fleet.Backend, f succession.Replica) bool {
		return f.MemoryTokens == service.Memory
	})
	var toTell []adoptedReplica
	for i := range found {
		toTell = append(toTell, adoptedOf(&found[i]))
	}
	a.view.adopt(toTell)
	if now.Sub(a.told) >= adoptTold {
		a.told = now
		toTell = a.view.allAdopted()
	}
	if len(toTell) > 0 {
		a.tell(adoptedMessage{toTell})
	}
}

// hear takes in what another node found. A node that hears the store goes by that.
func (a *adopter) hear(m adoptedMessage) {
	if a.news.age(time.Now()) > staleAfter {
		a.view.adopt(m.Replicas)
	}
}

// confirm drops what the store does not list although it had time to.
func (a *adopter) confirm(now time.Time) {
	if a.fresh.IsZero() {
		a.fresh = now
	}
	if now.Sub(a.fresh) >= listedWithin {
		a.view.dropAdopted()
	}
}

// engine returns the one service of model engines.
func (v *view) engine() (route.Service, bool) {
	t := v.table.Get()
	if t == nil {
		return route.Service{}, false
	}
	s, ok := t.OnlyEngine()
	return s, ok && s.Memory > 0
}

// lost returns the replicas of a service that seem to be gone though the store says
// nothing of it.
func (v *view) lost(service string) []fleet.Backend {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []fleet.Backend
	for id, b := range v.replicas {
		if b.Service != service || b.Leaving || v.at[b.Addr] != id {
			continue
		}
		if v.dir.Leaving(id) || v.mon.State(id) != health.Healthy {
			out = append(out, b)
		}
	}
	return out
}

// adopt takes in replicas that were found at the addresses of lost ones.
func (v *view) adopt(found []adoptedReplica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range found {
		v.adoptOne(&found[i])
	}
	v.settle()
}

func (v *view) adoptOne(f *adoptedReplica) {
	old, ok := v.replicas[v.at[f.Addr]]
	life := f.lifetime()
	if !ok || old.Incarnation == life {
		return
	}
	if _, known := v.replicas[life.ID()]; known {
		return
	}
	before, n := v.lives.follow(life)
	switch n {
	case outdated:
		return
	case reborn:
		v.endLife(before)
	}
	b := old
	b.ID, b.Incarnation, b.VM, b.Leaving = life.ID(), life, life.Name, false
	// It started after all that the store told; the store's own number comes later.
	b.Started = v.youngest() + 1
	v.log.Emit(event.ReplicaAdopted, "backend", b.ID, "service", b.Service, "domain", b.FailureDomain, "addr", b.Addr, "after", old.ID)
	v.replicas[b.ID] = b
	v.adopted[b.ID] = true
	v.mon.SetFailureDomain(b.ID, b.Service, b.FailureDomain)
	v.succeed(b, 0)
	v.changed = true
}

// youngest is the number of the latest start.
func (v *view) youngest() int64 {
	var last int64
	for _, b := range v.replicas {
		last = max(last, b.Started)
	}
	return last
}

func (v *view) allAdopted() []adoptedReplica {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []adoptedReplica
	for id := range v.adopted {
		b := v.replicas[id]
		out = append(out, adoptedOf(&b))
	}
	return out
}

// dropAdopted drops the adopted replicas that the store has not named.
func (v *view) dropAdopted() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id := range v.adopted {
		name := v.replicas[id].Incarnation.Name
		v.drop(id, "the store does not list it")
		v.lives.forget(name)
	}
	v.settle()
}
