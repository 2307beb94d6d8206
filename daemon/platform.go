package daemon

import (
	"context"
	"strconv"
	"sync"

	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/intent"
	"wigeondale/peer"
	"wigeondale/platform"
)

// vms reads the VM list: backend servers go to the directory, entry VMs are
// seeds of the mesh.
type vms struct {
	list *platform.VMList
	mesh *peer.Mesh
	mon  *health.Monitor
	// drain is told of the entry VMs, this node's own among them.
	drain *drain

	seen map[string]bool // backend servers of the last reading
}

// Backends lists the backend servers.
func (v *vms) Backends(ctx context.Context) ([]fleet.Backend, error) {
	all, err := v.list.List(ctx)
	if err != nil {
		return nil, err
	}
	var backends []fleet.Backend
	var seeds []string
	var entries []intent.EntryVM
	for _, vm := range all {
		if vm.Role == platform.RoleEntry {
			seeds = append(seeds, vm.Addr)
			entries = append(entries, intent.EntryVM{VM: vm.ID, Leaving: vm.Leaving})
			continue
		}
		backends = append(backends, vm.Backend)
	}
	v.mesh.AddSeeds(seeds)
	v.drain.listed(entries)
	v.forget(backends)
	return backends, nil
}

// forget drops from the failure detector what is no longer listed. Otherwise
// hundreds of replacements a day would pile up in a long-lived process.
func (v *vms) forget(backends []fleet.Backend) {
	now := make(map[string]bool, len(backends))
	for _, b := range backends {
		now[b.ID] = true
	}
	for id := range v.seen {
		if !now[id] {
			v.mon.Forget(id)
		}
	}
	v.seen = now
}

// probe asks engines about themselves.
type probe struct {
	client *backend.Client
	mon    *health.Monitor
}

// Load reads the load report. Its incarnation tells the failure detector of a
// restart, after which what was held against the engine no longer counts.
func (p probe) Load(ctx context.Context, b fleet.Backend) (fleet.LoadReport, error) {
	rep, err := p.client.Load(ctx, b)
	if err == nil {
		p.mon.Incarnation(b.ID, rep.Incarnation)
	}
	return rep, err
}

// CacheEvents reads the cache events after a number. An event whose block can't
// be read is dropped: it only makes the prefix estimate poorer.
func (p probe) CacheEvents(ctx context.Context, b fleet.Backend, after uint64) (directory.CacheBatch, error) {
	page, err := p.client.CacheEvents(ctx, b, after)
	if err != nil {
		return directory.CacheBatch{}, err
	}
	batch := directory.CacheBatch{Incarnation: page.Incarnation}
	for _, e := range page.Events {
		block, err := strconv.ParseUint(e.Block, 16, 64)
		if err != nil {
			continue
		}
		batch.Events = append(batch.Events, directory.CacheEvent{Seq: e.Seq, Stored: e.Type == "stored", Block: block})
	}
	return batch, nil
}

// sizes remembers the sizes of weights, which never change for a version.
type sizes struct {
	store *platform.WeightStore

	mu    sync.Mutex
	known map[string]int64
}

func newSizes(store *platform.WeightStore) *sizes {
	return &sizes{store: store, known: make(map[string]int64)}
}

// all returns the sizes known so far, by ModelRef.String().
func (s *sizes) all() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.known))
	for k, v := range s.known {
		out[k] = v
	}
	return out
}

// learn asks the weight store for the sizes that are not known yet. A size that
// can't be had is left out; a plan then shows no bytes for it.
func (s *sizes) learn(ctx context.Context, refs []fleet.ModelRef) {
	for _, ref := range refs {
		if s.has(ref) {
			continue
		}
		n, err := s.store.Size(ctx, ref)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.known[ref.String()] = n
		s.mu.Unlock()
	}
}

func (s *sizes) has(ref fleet.ModelRef) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.known[ref.String()]
	return ok
}
