package hosted

import (
	"context"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/replacement"
	"wigeondale/route"
)

// While the store is unavailable, replacements of crashed replicas are adopted: a few nodes
// search for the replacements (package replacement) and broadcast what they find. The store
// has precedence once it is available again: an adopted replica that the store does not list
// is removed.
//
// Replicas are adopted only for a service that is the configuration's only service of model
// engines: then an engine with the same amount of memory, at the address of an unreachable
// engine, is a replica of this service. Addresses are reused by other services, and a request
// must not run at a replica of another service.
const (
	// adoptInterval is the interval at which a node searches for replacements of unreachable
	// replicas while the store is unavailable.
	adoptInterval = 500 * time.Millisecond
	// adoptedInterval is the interval at which the adopted replicas are broadcast again while
	// the store is unavailable. The repetition reaches nodes that missed an earlier message
	// and nodes that have started since.
	adoptedInterval = 4 * time.Second
	// listedWithin is how long a node's copy of the store must have been up to date before the
	// node removes the adopted replicas that the store does not list. An earlier removal would
	// affect working replicas: after an outage it takes about two seconds until entries that
	// expired during the outage are in the store again.
	listedWithin = 3 * time.Second
	floodAdopted = "hosted.adopted"
)

// adoptedMessage names replicas that were found at the addresses of unreachable replicas.
type adoptedMessage struct {
	Replicas []adoptedReplica `cbor:"1,keyasint"`
}

// adoptedReplica is one replica of an adoptedMessage. It has all other properties of the
// replica that it replaces.
type adoptedReplica struct {
	Name      string `cbor:"1,keyasint"`
	Addr      string `cbor:"2,keyasint"`
	StartedAt int64  `cbor:"3,keyasint,omitempty"`
}

func (a *adoptedReplica) incarnation() fleet.Incarnation {
	return fleet.Incarnation{Name: a.Name, StartedAt: a.StartedAt}
}

func adoptedOf(b *fleet.Backend) adoptedReplica {
	return adoptedReplica{Name: b.Name(), Addr: b.Addr, StartedAt: b.Incarnation.StartedAt}
}

// adopter searches for replacements while the store is unavailable. Only the nodes whose task
// it is to read the store search, so the cost grows with the number of unreachable replicas
// and of failure domains, not with the number of nodes.
type adopter struct {
	view      *view
	storeSync *storeSync
	finder    *replacement.Finder
	broadcast func(m adoptedMessage)

	lastBroadcast time.Time
	currentSince  time.Time // since when the copy of the store is up to date; zero while the store is unavailable
}

func (a *adopter) run(ctx context.Context) error {
	tick := time.NewTicker(adoptInterval)
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
	if a.storeSync.age(now) <= staleAfter {
		a.confirm(now)
		return
	}
	a.currentSince = time.Time{}
	service, ok := a.view.engineService()
	if !ok || !a.storeSync.isReader() {
		return
	}
	found := a.finder.Find(ctx, a.view.unreachable(service.Name), service.HealthPath, func(_ fleet.Backend, f replacement.Replica) bool {
		return f.MemoryTokens == service.Memory
	})
	var toBroadcast []adoptedReplica
	for i := range found {
		toBroadcast = append(toBroadcast, adoptedOf(&found[i]))
	}
	a.view.adopt(toBroadcast)
	if now.Sub(a.lastBroadcast) >= adoptedInterval {
		a.lastBroadcast = now
		toBroadcast = a.view.allAdopted()
	}
	if len(toBroadcast) > 0 {
		a.broadcast(adoptedMessage{toBroadcast})
	}
}

// handleAdopted adopts the replicas that another node found, unless this node's copy of the
// store is up to date.
func (a *adopter) handleAdopted(m adoptedMessage) {
	if a.storeSync.age(time.Now()) > staleAfter {
		a.view.adopt(m.Replicas)
	}
}

// confirm is called while the copy of the store is up to date. Once the copy has been up to
// date for listedWithin, confirm removes the adopted replicas that the store still does not
// list.
func (a *adopter) confirm(now time.Time) {
	if a.currentSince.IsZero() {
		a.currentSince = now
	}
	if now.Sub(a.currentSince) >= listedWithin {
		a.view.dropAdopted()
	}
}

// engineService returns the configuration's only service of model engines, and false if there
// is none, if there are several, or if the memory of its engines is not stated.
func (v *view) engineService() (route.Service, bool) {
	t := v.table.Get()
	if t == nil {
		return route.Service{}, false
	}
	s, ok := t.OnlyEngine()
	return s, ok && s.Memory > 0
}

// unreachable returns the replicas of a service that seem to have crashed although no update
// of the store says so: the directory has marked the replica as leaving, or the failure
// detector does not consider it healthy.
func (v *view) unreachable(service string) []fleet.Backend {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []fleet.Backend
	for id, b := range v.replicas {
		if b.Service != service || b.Leaving || v.byAddr[b.Addr] != id {
			continue
		}
		if v.dir.Leaving(id) || v.mon.State(id) != health.Healthy {
			out = append(out, b)
		}
	}
	return out
}

// adopt adds to the view the replicas that were found at the addresses of unreachable
// replicas. Replicas that the view already knows, or whose address it doesn't know, are
// ignored.
func (v *view) adopt(found []adoptedReplica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range found {
		v.adoptOne(&found[i])
	}
	v.settle()
}

func (v *view) adoptOne(f *adoptedReplica) {
	old, ok := v.replicas[v.byAddr[f.Addr]]
	inc := f.incarnation()
	if !ok || old.Incarnation == inc {
		return
	}
	if _, known := v.replicas[inc.ID()]; known {
		return
	}
	previous, rel := v.incarnations.update(inc)
	switch rel {
	case outdated:
		return
	case restarted:
		v.endIncarnation(previous)
	}
	b := old
	b.ID, b.Incarnation, b.VM, b.Leaving = inc.ID(), inc, inc.Name, false
	b.VersionAssumed = true
	// The adopted replica started after all replicas in the store. The revision at which its
	// entry is created becomes known only when the store lists it; until then the next revision
	// after the latest start stands in.
	b.Started = v.latestStart() + 1
	v.log.Emit(event.ReplicaAdopted, "backend", b.ID, "service", b.Service, "domain", b.FailureDomain, "addr", b.Addr, "after", old.ID)
	v.store(b)
	v.adopted[b.ID] = true
	v.mon.SetFailureDomain(b.ID, b.Service, b.FailureDomain)
	v.replaceAtAddress(b, 0)
	v.changed[b.ID] = struct{}{}
}

// latestStart returns the store revision of the latest start of a known replica, or 0 if no
// replica is known.
func (v *view) latestStart() fleet.Revision {
	var last fleet.Revision
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

// dropAdopted removes from the view the adopted replicas that the store has not listed.
func (v *view) dropAdopted() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id := range v.adopted {
		v.unlist(v.replicas[id].Incarnation, "the store does not list it")
	}
	v.settle()
}
