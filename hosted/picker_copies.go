package hosted

import (
	"context"
	"time"

	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/placement"
	"wigeondale/routing"
)

// replicaWithCopy returns the replica that has a copy of the lost run, and records the loss of
// the run. If that replica is not healthy or may not get the attempt, replicaWithCopy returns
// false and records nothing.
func (p *picker) replicaWithCopy(a generation.PickRequest) (fleet.Backend, generation.LoadShare, bool) {
	if a.Prefer == "" || a.Exclude[a.Prefer] || p.dir.Leaving(a.Prefer) {
		return fleet.Backend{}, nil, false
	}
	b, ok := p.dir.Backend(a.Prefer)
	if !ok || !p.mayGoOn(a, &b) || p.mon.State(a.Prefer) != health.Healthy || !p.pressure.Accepts(a.Prefer, time.Now()) {
		return fleet.Backend{}, nil, false
	}
	size := p.sizeOf(a)
	p.queues.of(a.Service).losses.RecordLoss(time.Now())
	return b, p.dir.Begin(b.ID, size.loadOf(int((1-unreadByCopy)*float64(size.prompt)))), true
}

// replicaWithPrompt returns the replica that still has the prompt of a returning client in its
// cache.
func (p *picker) replicaWithPrompt(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, bool) {
	if len(a.PromptParts) == 0 {
		return fleet.Backend{}, nil, false
	}
	var live []fleet.Backend
	for _, c := range p.cacheCandidates(a) {
		if !p.dir.Leaving(c.Backend.ID) && p.healthy(c.Backend.ID) {
			live = append(live, *c.Backend)
		}
	}
	id, tokens := p.cacheFinder.Find(ctx, live, a.PromptParts)
	p.log.Emit(event.HolderSought, "request", a.RequestID, "asked", len(live), "backend", id, "tokens", tokens)
	if tokens == 0 || p.dir.Leaving(id) || !p.pressure.Accepts(id, time.Now()) {
		return fleet.Backend{}, nil, false
	}
	b, ok := p.dir.Backend(id)
	if !ok {
		return fleet.Backend{}, nil, false
	}
	return b, p.dir.Begin(id, p.sizeOf(a).loadOf(tokens)), true
}

// cacheCandidates returns the replicas that may have the prompt of a returning client in their
// caches. These are the preferred engines of the request if prompts are placed at preferred
// engines, else all replicas.
//
// If each router queried all engines, then after a restart of all routers, when all clients
// return within one second, thousands of queries would delay the work of the engines.
func (p *picker) cacheCandidates(a generation.PickRequest) []routing.Candidate {
	all := p.allowedReplicas(a.Service)
	if a.Binding != nil {
		all = p.boundReplicas(a.Service, a.Binding)
	}
	if !p.loadQuerier.needed() || a.UniquePart == "" {
		return all
	}
	return routing.PreferredEngines(all, preferredKey(a), 2*preferredEngines)
}

// KeepsCopy implements generation.Picker.
func (p *picker) KeepsCopy(id string) bool {
	b, ok := p.dir.Backend(id)
	return ok && p.healthy(id) && !p.dir.Leaving(id) && !p.versionBarred(b.Service, b.Version)
}

// Standby implements generation.Picker. It chooses a replica in another failure domain than b's, so
// that the loss of one domain does not take both the run and its copy, and of b's version, since a
// run can't go on at another.
func (p *picker) Standby(a generation.PickRequest, b fleet.Backend) (fleet.Backend, generation.LoadShare, bool) {
	req := p.pickRequest(a)
	req.Now = time.Now()
	req.Exclude = placement.WithID(a.Exclude, b.ID)
	req.OtherDomain = b.FailureDomain
	req.Capacity = int(p.queues.of(a.Service).losses.CopyShare(req.Now) * float64(req.Capacity))
	c, _, err := p.standby.Pick(p.standbyReplicas(a, b), req)
	if err != nil {
		return fleet.Backend{}, nil, false
	}
	return *c.Backend, p.dir.Begin(c.Backend.ID, directory.Load{Memory: float64(req.MemoryTokens), Spread: req.MemorySpread}), true
}

// standbyReplicas returns the replicas that may keep a copy of a run at b.
func (p *picker) standbyReplicas(a generation.PickRequest, b fleet.Backend) []routing.Candidate {
	if p.software == nil {
		return p.allowedReplicas(a.Service)
	}
	return p.boundReplicas(a.Service, &generation.Binding{Version: b.Version, Unknown: b.VersionAssumed})
}
