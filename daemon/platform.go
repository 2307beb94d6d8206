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
	// listInterval is how often the directory reads the inventory even if nothing has
	// changed, so that it knows which servers are still listed.
	listInterval = 5 * time.Second
	// unconfirmedLive is how long a "live" record that follows a "leaving" record may be
	// outdated. For this long, the backend server is still shown as leaving.
	unconfirmedLive = 30 * time.Second
)

func (n *node) buildPlatform(set *settings.Settings) error {
	timeout := millis(set.Platform.CallTimeoutMS)
	n.kv = infra.NewEtcdKV(infra.KVConfig{URL: set.Platform.KVURL, Timeout: timeout}, n.set)
	n.vmList = infra.NewVMList(set.Platform.VMsURL+vmsPath, timeout, n.set)
	n.weightRate = set.Platform.WeightsBytesPerSecond
	n.sizes = newSizes(infra.NewWeightStore(set.Platform.WeightsURL, timeout, n.set))
	return nil
}

// vms reads the inventory: backend servers go to the directory, entry VMs become seeds
// of the mesh.
type vms struct {
	inv  *inventory.Inventory
	mesh *peer.Mesh
	mon  *health.Monitor
	// drain is updated with the entry VMs, including this node's own.
	drain *drain

	listed       map[string]bool  // backend servers of the last reading
	shownLeaving map[string]int64 // start time of each backend server that was shown as leaving
}

// Backends lists the backend servers of the inventory, and passes its entry VMs to the mesh
// (as seeds) and to drain. It returns nil while the inventory is still empty.
func (v *vms) Backends(context.Context) ([]fleet.Backend, error) {
	var backends []fleet.Backend
	var seeds []string
	var entries []intent.EntryVM
	shown, now := make(map[string]int64), time.Now()
	for _, r := range v.inv.Live() {
		if r.Item.Role == inventory.RoleEntry {
			seeds = append(seeds, r.Item.Addr)
			entries = append(entries, intent.EntryVM{VM: r.Item.VM, Leaving: r.Item.Leaving})
			continue
		}
		b := backendOf(r.Item)
		if startedAt, ok := v.shownLeaving[b.ID]; ok && startedAt == r.FirstSeen {
			shown[b.ID] = r.FirstSeen
		} else if showLeaving(r, now) {
			b.Leaving, shown[b.ID] = true, r.FirstSeen
		}
		backends = append(backends, b)
	}
	v.shownLeaving = shown
	slices.SortFunc(entries, func(a, b intent.EntryVM) int { return cmp.Compare(a.VM, b.VM) })
	if len(backends)+len(entries) == 0 {
		return nil, nil // the inventory is still empty
	}
	v.mesh.SetDiscoveredSeeds(seeds)
	v.drain.setListed(entries)
	v.forget(backends)
	return backends, nil
}

// showLeaving reports whether a record says that its backend server is to be shown as
// leaving. The caller shows each incarnation of a server as leaving only once, since the
// mark that this sets in the directory stays until the server starts a new incarnation.
//
// The routers that read the VM list may see the server as leaving and then as live again,
// from a lagging replica of the list. A node that received only the later record would send
// the server work until the server is removed. Once the "live" record has lasted for
// unconfirmedLive, it is taken as correct: an engine may have been started again on that
// VM.
func showLeaving(r inventory.Record, now time.Time) bool {
	return r.Item.Leaving || r.MarkedLeaving() && now.UnixMilli()-r.LeavingAt < unconfirmedLive.Milliseconds()
}

func backendOf(i inventory.Item) fleet.Backend {
	return fleet.Backend{
		ID: i.ID, Addr: i.Addr, VM: i.VM, FailureDomain: i.FailureDomain, Kind: fleet.Kind(i.Role),
		Service: i.Service, ChecksFence: i.ChecksFence, Leaving: i.Leaving,
	}
}

// forget removes backend servers that are no longer listed from the failure detector.
// Otherwise the hundreds of servers replaced each day would accumulate in a
// long-running process.
func (v *vms) forget(backends []fleet.Backend) {
	now := make(map[string]bool, len(backends))
	for _, b := range backends {
		now[b.ID] = true
	}
	for id := range v.listed {
		if !now[id] {
			v.mon.Forget(id)
		}
	}
	v.listed = now
}

// sizes caches the sizes of model weights, which never change for a version.
type sizes struct {
	store *infra.WeightStore

	mu    sync.Mutex
	known map[string]int64
}

func newSizes(store *infra.WeightStore) *sizes {
	return &sizes{store: store, known: make(map[string]int64)}
}

// all returns the sizes known so far, keyed by ModelRef.String().
func (s *sizes) all() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.known))
	for k, v := range s.known {
		out[k] = v
	}
	return out
}

// fetch fetches the sizes that are not known yet from the weight store. A size that
// can't be fetched is left out; a plan then counts no bytes for it.
func (s *sizes) fetch(ctx context.Context, refs []fleet.ModelRef) {
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
