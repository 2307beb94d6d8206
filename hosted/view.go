package hosted

import (
	"sync"
	"time"

	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/platform"
	"wigeondale/route"
)

// view turns the items of the store into the table in force and the directory
// of replicas. It implements mirror.Receiver.
type view struct {
	table *route.Current
	dir   *directory.Directory
	mon   *health.Monitor
	peers *peers
	log   *event.Log

	began time.Time // of this node; see load

	mu       sync.Mutex
	replicas map[string]fleet.Backend // by id
	adopted  map[string]bool          // ids of those that the registry has not named yet; see adopt
	at       map[string]string        // id of the youngest replica that has an address
	found    []fleet.Backend          // new since the last Settled
	changed  bool
}

// maxNamed is how many replicas that became known together get a line each. A
// router that starts reads thousands, whose lines would crowd out all others.
const maxNamed = 20

func newView(table *route.Current, dir *directory.Directory, mon *health.Monitor, p *peers, log *event.Log) *view {
	return &view{table: table, dir: dir, mon: mon, peers: p, log: log, replicas: map[string]fleet.Backend{}, adopted: map[string]bool{}, at: map[string]string{}, began: time.Now()}
}

// Put implements mirror.Receiver.
func (v *view) Put(item infra.Value) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if platform.IsConfig(item.Key) {
		v.putConfig(item)
		return
	}
	if id, ok := platform.ReplicaID(item.Key); ok {
		v.putReplica(id, item)
		return
	}
	v.peers.put(item)
}

func (v *view) putConfig(item infra.Value) {
	cfg, err := platform.DecodeConfig(item.Data)
	if err != nil {
		v.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return
	}
	if v.table.Install(route.NewTable(cfg)) {
		v.log.Emit(event.TableInForce, "version", cfg.Version, "revision", item.ModRev,
			"routes", len(cfg.Routes), "accounts", len(cfg.Accounts))
	}
}

func (v *view) putReplica(id string, item infra.Value) {
	b, err := platform.DecodeReplica(id, item.Data)
	if err != nil {
		v.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return
	}
	b.Started = item.CreateRev
	delete(v.adopted, id)
	old, known := v.replicas[id]
	v.replicas[id] = b
	v.mon.Place(id, b.Service, b.FailureDomain)
	v.changed = true
	switch {
	case b.Leaving && !old.Leaving:
		v.leave(id, "it announced it", item.ModRev)
	case !known:
		v.found = append(v.found, b)
		v.succeed(b, item.ModRev)
	}
}

// succeed marks a replica as gone whose address a younger one has taken.
func (v *view) succeed(b fleet.Backend, revision int64) {
	other, taken := v.replicas[v.at[b.Addr]]
	if taken && other.ID != b.ID && other.Addr == b.Addr {
		if other.Started > b.Started {
			v.leave(b.ID, "its address is another replica's", revision)
			return
		}
		v.leave(other.ID, "its address is another replica's", revision)
	}
	v.at[b.Addr] = b.ID
}

// Gone implements mirror.Receiver.
func (v *view) Gone(key string) {
	id, ok := platform.ReplicaID(key)
	if !ok {
		v.peers.gone(key)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drop(id, "its entry is gone")
}

// drop takes a replica out.
func (v *view) drop(id, reason string) {
	v.leave(id, reason, 0)
	if b := v.replicas[id]; v.at[b.Addr] == id {
		delete(v.at, b.Addr)
	}
	delete(v.replicas, id)
	v.mon.Forget(id)
	v.changed = true
}

// leave takes effect at once, not with the next Settled.
func (v *view) leave(id, reason string, revision int64) {
	if v.dir.Leaving(id) {
		if _, known := v.dir.Backend(id); known {
			return
		}
	}
	v.log.Emit(event.ReplicaLeaving, "backend", id, "reason", reason, "revision", revision)
	// The directory may not know it yet: then the next Settled tells it.
	if b, ok := v.replicas[id]; ok {
		b.Leaving = true
		v.replicas[id] = b
	}
	v.dir.MarkLeaving(id, "", directory.FromVMList)
}

// Settled implements mirror.Receiver.
func (v *view) Settled() {
	v.peers.settled()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle()
}

func (v *view) settle() {
	if !v.changed {
		return
	}
	v.changed = false
	v.tellFound()
	list := make([]fleet.Backend, 0, len(v.replicas))
	for _, b := range v.replicas {
		list = append(list, b)
	}
	v.dir.Update(list, time.Now())
}

// tellFound logs the replicas that became known.
func (v *view) tellFound() {
	if len(v.found) > maxNamed {
		v.log.Emit(event.ReplicasKnown, "replicas", len(v.found), "all", len(v.replicas))
		v.found = nil
	}
	for _, b := range v.found {
		v.log.Emit(event.ReplicaKnown, "backend", b.ID, "service", b.Service, "domain", b.FailureDomain, "addr", b.Addr)
	}
	v.found = v.found[:0]
}

// load takes in what a replica said of its load with an answer. Its time runs on
// from the start of this node: the clock of the day may be set.
func (v *view) load(id string, l platform.Load) {
	now := v.began.Add(time.Since(v.began))
	v.dir.Report(id, fleet.LoadReport{
		AsOfUnixMS: now.UnixMilli(),
		Running:    l.Running,
		Waiting:    l.Waiting,
	}, now)
}
