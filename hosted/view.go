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
	// rollouts take in the orders to move services to other versions.
	rollouts *rollouts
	// holds take in the requests that are held back; nil for none.
	holds *holds
	log   *event.Log

	began time.Time // of this node; see load

	mu       sync.Mutex
	replicas map[string]fleet.Backend // by id
	lives    lifetimes
	adopted  map[string]bool        // ids of those that the registry has not named yet; see adopt
	withheld map[string]bool        // names whose entries can't be used any more
	unnamed  map[string]infra.Value // entries, by name, of services that the configuration doesn't name
	at       map[string]string      // id of the youngest replica that has an address
	found    []fleet.Backend        // new since the last Settled
	changed  bool
}

// maxNamed is how many replicas that became known together get a line each. A
// router that starts reads thousands, whose lines would crowd out all others.
const maxNamed = 20

func newView(table *route.Current, dir *directory.Directory, mon *health.Monitor, p *peers, ro *rollouts, log *event.Log) *view {
	return &view{
		table: table, dir: dir, mon: mon, peers: p, rollouts: ro, log: log, began: time.Now(),
		replicas: map[string]fleet.Backend{},
		lives:    newLifetimes(),
		adopted:  map[string]bool{},
		withheld: map[string]bool{},
		unnamed:  map[string]infra.Value{},
		at:       map[string]string{},
	}
}

// Put implements mirror.Receiver.
func (v *view) Put(item infra.Value) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if platform.IsConfigKey(item.Key) {
		v.putConfig(item)
		return
	}
	if name, ok := platform.ReplicaID(item.Key); ok {
		v.putReplica(name, item)
		return
	}
	if v.rollouts.put(item) || v.holds.put(item) {
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
		v.putUnnamed()
	}
}

func (v *view) putReplica(name string, item infra.Value) {
	b, err := platform.DecodeReplica(name, item.Data)
	if err == nil {
		err = v.checkRewrite(b)
	}
	if err != nil {
		v.withhold(name, item, err)
		return
	}
	t := v.table.Get()
	if t == nil {
		v.unnamed[name] = item
		return
	}
	if !t.HasService(b.Service) {
		v.unnamed[name] = item
		v.withhold(name, item, errUnnamed)
		return
	}
	delete(v.unnamed, name)
	before, n := v.lives.follow(b.Incarnation)
	if n == outdated {
		v.log.Emit(event.ReplicaWordOutdated, "backend", b.ID, "known", before.ID(), "revision", item.ModRev)
		return
	}
	v.release(name)
	if n == reborn {
		v.endLife(before)
	}
	v.takeIn(b, item, n)
}

// takeIn holds a sound entry.
func (v *view) takeIn(b fleet.Backend, item infra.Value, n newness) {
	old, known := v.replicas[b.ID]
	b.Started = item.CreateRev
	switch {
	case known && !v.adopted[b.ID]:
		b.Started = old.Started
	case n == reborn:
		b.Started = item.ModRev
	}
	delete(v.adopted, b.ID)
	v.replicas[b.ID] = b
	v.mon.SetFailureDomain(b.ID, b.Service, b.FailureDomain)
	v.changed = true
	switch {
	case b.Leaving && !old.Leaving:
		v.leave(b.ID, "it announced it", item.ModRev)
	case !known:
		v.found = append(v.found, b)
		v.succeed(b, item.ModRev)
	}
}

var (
	errUnnamed = Error.New("its service is not in the configuration")
	errUnborn  = Error.New("it lacks the time of birth that it had")
)

// checkRewrite tells whether an entry can be the replica's own, by what it said before.
func (v *view) checkRewrite(b fleet.Backend) error {
	if known, ok := v.lives.of(b.Incarnation.Name); ok && known.StartedAt != 0 && b.Incarnation.StartedAt == 0 {
		return errUnborn
	}
	return nil
}

// withhold takes note of an entry that names no replica to use. If it replaces a
// replica's entry, that one gets no new work until its entry is sound again: what
// runs there goes on. Its address and its place stay its own. The directory is told by
// a level, which can be taken back; a mark of leaving can't.
func (v *view) withhold(name string, item infra.Value, err error) {
	v.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
	if _, known := v.lives.of(name); known && !v.withheld[name] {
		v.withheld[name] = true
		v.dir.SetIntent(v.withheld)
	}
}

// release ends withhold.
func (v *view) release(name string) {
	if v.withheld[name] {
		delete(v.withheld, name)
		v.dir.SetIntent(v.withheld)
	}
}

// putUnnamed looks again at entries whose services the configuration names now.
func (v *view) putUnnamed() {
	for name, item := range v.unnamed {
		v.putReplica(name, item)
	}
}

// endLife drops a lifetime that another one has followed: its runs are lost, and what
// was known of it says nothing of its successor.
func (v *view) endLife(life fleet.Incarnation) {
	v.mon.Restarted(life.ID())
	v.drop(life.ID(), "it has started again")
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

// Removed implements mirror.Receiver.
func (v *view) Removed(key string) {
	name, ok := platform.ReplicaID(key)
	if !ok {
		v.rollouts.gone(key)
		v.holds.gone(key)
		v.peers.gone(key)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.unnamed, name)
	v.release(name)
	if life, known := v.lives.of(name); known {
		v.drop(life.ID(), "its entry is gone")
		v.lives.forget(name)
	}
}

// drop takes a replica out.
func (v *view) drop(id, reason string) {
	v.leave(id, reason, 0)
	if b := v.replicas[id]; v.at[b.Addr] == id {
		delete(v.at, b.Addr)
	}
	delete(v.replicas, id)
	delete(v.adopted, id)
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

// BatchDone implements mirror.Receiver.
func (v *view) BatchDone() {
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
