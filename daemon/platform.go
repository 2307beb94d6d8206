package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/intent"
	"wigeondale/inventory"
	"wigeondale/peer"
	"wigeondale/settings"
)

const (
	vmsPath = "/vms"
	// lookInterval is how often the directory looks at the inventory when
	// nothing changes, so that it knows what is still listed.
	lookInterval = 5 * time.Second
	// doubtfulLive is how long a "live" after a "leaving" may be the older news.
	doubtfulLive = 30 * time.Second
)

func (n *node) buildPlatform(set *settings.Settings) error {
	timeout := millis(set.Platform.CallTimeoutMS)
	n.kv = infra.NewEtcdKV(infra.KVConfig{URL: set.Platform.KVURL, Timeout: timeout}, n.set)
	n.vmList = infra.NewVMList(set.Platform.VMsURL+vmsPath, timeout, n.set)
	n.weightRate = set.Platform.WeightsBytesPerSecond
	n.sizes = newSizes(infra.NewWeightStore(set.Platform.WeightsURL, timeout, n.set))
	return nil
}

// vms shows the inventory: backend servers go to the directory, entry VMs are
// seeds of the mesh.
type vms struct {
	inv  *inventory.Inventory
	mesh *peer.Mesh
	mon  *health.Monitor
	// drain is told of the entry VMs, this node's own among them.
	drain *drain

	seen map[string]bool  // backend servers of the last look
	told map[string]int64 // the life of each that was shown as leaving
}

// Backends lists the backend servers.
func (v *vms) Backends(context.Context) ([]fleet.Backend, error) {
	var backends []fleet.Backend
	var seeds []string
	var entries []intent.EntryVM
	told, now := make(map[string]int64), time.Now()
	for _, r := range v.inv.Live() {
		if r.Item.Role == inventory.RoleEntry {
			seeds = append(seeds, r.Item.Addr)
			entries = append(entries, intent.EntryVM{VM: r.Item.VM, Leaving: r.Item.Leaving})
			continue
		}
		b := backendOf(r.Item)
		if life, ok := v.told[b.ID]; ok && life == r.FirstSeen {
			told[b.ID] = r.FirstSeen
		} else if leftLately(r, now) {
			b.Leaving, told[b.ID] = true, r.FirstSeen
		}
		backends = append(backends, b)
	}
	v.told = told
	slices.SortFunc(entries, func(a, b intent.EntryVM) int { return cmp.Compare(a.VM, b.VM) })
	if len(backends)+len(entries) == 0 {
		return nil, nil // nothing is known yet
	}
	v.mesh.SetDiscoveredSeeds(seeds)
	v.drain.setListed(entries)
	v.forget(backends)
	return backends, nil
}

// leftLately tells that a backend server is to be shown as leaving for once.
//
// What goes wrong without it: readers see it leaving and then, from a lagging
// replica of the list, live again. A node that heard only of the latter would
// send it work until it is gone; the mark that the directory sets holds until a
// new incarnation. Where "live" has lasted, it is believed: an engine may have
// been started anew on that VM.
func leftLately(r inventory.Record, now time.Time) bool {
	return r.Item.Leaving || r.MarkedLeaving() && now.UnixMilli()-r.LeavingAt < doubtfulLive.Milliseconds()
}

func backendOf(i inventory.Item) fleet.Backend {
	return fleet.Backend{
		ID: i.ID, Addr: i.Addr, VM: i.VM, FailureDomain: i.FailureDomain, Kind: fleet.Kind(i.Role),
		Service: i.Service, ChecksFence: i.ChecksFence, Leaving: i.Leaving,
	}
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

// sizes remembers the sizes of weights, which never change for a version.
type sizes struct {
	store *infra.WeightStore

	mu    sync.Mutex
	known map[string]int64
}

func newSizes(store *infra.WeightStore) *sizes {
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
