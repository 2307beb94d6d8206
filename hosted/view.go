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

// view maintains the table in force and the directory of replicas, which it builds from the
// items of the store. It implements mirror.Receiver.
type view struct {
	table *route.Current
	dir   *directory.Directory
	mon   *health.Monitor
	peers *peers
	// rollouts receives the items of the store about roll-outs: the operators' orders and the
	// records.
	rollouts *rollouts
	// holds receives the stored records of quarantined requests, and quarantines or lifts
	// accordingly. If it is nil, these records are ignored.
	holds *holds
	cases *cases
	// software receives the stored notes about versions. If it is nil, these are ignored.
	software *software
	// planner receives the sample plan. If it is nil, the plan is ignored.
	planner *planner
	log     *event.Log

	startedAt time.Time // start time of this node; see recordLoad

	mu              sync.Mutex
	replicas        map[string]fleet.Backend // by id
	incarnations    incarnations
	adopted         map[string]bool        // ids of adopted replicas that the registry has not listed yet; see adopt
	withheld        map[string]bool        // names of known replicas whose entries are unusable at present
	unknownServices map[string]infra.Value // entries, by name, whose service is not in the configuration
	inOrder         bool                   // no change of the configuration was left out since the latest one
	byAddr          map[string]string      // id of the replica started last, by address
	added           []fleet.Backend        // replicas added since the last BatchDone
	changed         map[string]struct{}    // ids of the replicas added, changed or dropped since the last settle
	withdrawn       []string               // ids of the replicas that left the sample since the last settle
	counts          map[string]int         // number of known replicas, by service
}

func newView(table *route.Current, dir *directory.Directory, mon *health.Monitor, p *peers, ro *rollouts, log *event.Log) *view {
	return &view{
		table: table, dir: dir, mon: mon, peers: p, rollouts: ro, log: log, startedAt: time.Now(),
		replicas:        map[string]fleet.Backend{},
		incarnations:    newIncarnations(),
		adopted:         map[string]bool{},
		withheld:        map[string]bool{},
		unknownServices: map[string]infra.Value{},
		byAddr:          map[string]string{},
		changed:         map[string]struct{}{},
		counts:          map[string]int{},
	}
}

// setInOrder is called before and after changes that come as the store's watch returned them.
func (v *view) setInOrder(inOrder bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inOrder = inOrder
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
	if v.rollouts.put(item) || v.holds.put(item) || v.cases.put(item) || v.software.put(item) || v.planner.put(item) {
		return
	}
	v.peers.put(item)
}

func (v *view) putConfig(item infra.Value) {
	cfg, err := platform.DecodeConfig(item.Data)
	if err != nil {
		v.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		v.table.Missed()
		return
	}
	cfg.Revision = item.ModRev
	install := v.table.Install
	if v.inOrder {
		install = v.table.InstallNext
	}
	if install(route.NewTable(cfg)) {
		v.log.Emit(event.TableInForce, "version", cfg.Version, "revision", item.ModRev,
			"routes", len(cfg.Routes), "accounts", len(cfg.Accounts))
		v.retryUnknownServices()
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
		v.unknownServices[name] = item
		return
	}
	if !t.HasService(b.Service) {
		v.unknownServices[name] = item
		v.withhold(name, item, errUnknownService)
		return
	}
	delete(v.unknownServices, name)
	previous, rel := v.incarnations.update(b.Incarnation)
	if rel == outdated {
		v.log.Emit(event.ReplicaWordOutdated, "backend", b.ID, "known", previous.ID(), "revision", item.ModRev)
		return
	}
	v.release(name)
	if rel == restarted {
		v.endIncarnation(previous)
	}
	v.addReplica(b, item, rel)
}

// addReplica records in the view the replica that a valid entry of the store describes. If the
// replica was adopted, it counts as listed by the store from now on.
func (v *view) addReplica(b fleet.Backend, item infra.Value, rel relation) {
	old, known := v.replicas[b.ID]
	b.Started = item.CreateRev
	switch {
	case known && !v.adopted[b.ID]:
		b.Started = old.Started
	case rel == restarted:
		b.Started = item.ModRev
	}
	delete(v.adopted, b.ID)
	v.store(b)
	v.mon.SetFailureDomain(b.ID, b.Service, b.FailureDomain)
	v.changed[b.ID] = struct{}{}
	if b.Leaving && !old.Leaving {
		v.markLeaving(b.ID, "announced by the replica", item.ModRev)
	}
	if !known {
		v.added = append(v.added, b)
		v.replaceAtAddress(b, item.ModRev)
	}
}

var (
	errUnknownService = Error.New("its service is not in the configuration")
	errNoStartTime    = Error.New("the entry lacks the start time that it had before")
)

// checkRewrite returns an error if the replica itself can't have written an entry, given what
// its earlier entries stated.
func (v *view) checkRewrite(b fleet.Backend) error {
	if known, ok := v.incarnations.get(b.Incarnation.Name); ok && known.StartedAt != 0 && b.Incarnation.StartedAt == 0 {
		return errNoStartTime
	}
	return nil
}

// withhold handles an entry that describes no usable replica. If the entry replaces the entry
// of a known replica, that replica gets no new work until its entry is valid again; the
// replica's runs go on, and the replica keeps its address and its place in the directory. The
// directory is updated by SetIntent, which can be undone; a mark that a replica is leaving
// can't be undone.
func (v *view) withhold(name string, item infra.Value, err error) {
	v.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
	if _, known := v.incarnations.get(name); known && !v.withheld[name] {
		v.withheld[name] = true
		v.dir.SetIntent(v.withheld)
	}
}

// release undoes withhold for the replica with the given name.
func (v *view) release(name string) {
	if v.withheld[name] {
		delete(v.withheld, name)
		v.dir.SetIntent(v.withheld)
	}
}

// retryUnknownServices applies again the entries of replicas whose services were not in the
// previous configuration, or that were read before the first configuration.
func (v *view) retryUnknownServices() {
	for name, item := range v.unknownServices {
		v.putReplica(name, item)
	}
}

// endIncarnation removes an incarnation of a replica that a later incarnation has replaced:
// the runs of the earlier incarnation are lost, and what is known about it does not apply to
// its successor.
func (v *view) endIncarnation(inc fleet.Incarnation) {
	id := inc.ID()
	v.mon.Restarted(id)
	v.markLeaving(id, "restarted", 0)
	v.forget(id)
	v.changed[id] = struct{}{}
}

// replaceAtAddress records that a replica has its address. If another replica has the same
// address, the one with the earlier start (by store revision) is marked as leaving.
func (v *view) replaceAtAddress(b fleet.Backend, revision fleet.Revision) {
	other, taken := v.replicas[v.byAddr[b.Addr]]
	if taken && other.ID != b.ID && other.Addr == b.Addr {
		if other.Started > b.Started {
			v.markLeaving(b.ID, "another replica has its address", revision)
			return
		}
		v.markLeaving(other.ID, "another replica has its address", revision)
	}
	v.byAddr[b.Addr] = b.ID
}

// markLeaving marks a replica as leaving for good. The mark takes effect at once, and not with the next
// BatchDone.
func (v *view) markLeaving(id, reason string, revision fleet.Revision) {
	if v.dir.Marked(id) {
		return
	}
	v.log.Emit(event.ReplicaLeaving, "backend", id, "reason", reason, "revision", revision)
	// The directory may not know the replica yet; then the next BatchDone passes the mark to
	// the directory.
	if b, ok := v.replicas[id]; ok {
		b.Leaving = true
		v.replicas[id] = b
		v.changed[id] = struct{}{}
	}
	v.dir.MarkLeaving(id, "", directory.FromVMList)
}

// recordLoad records the load that a replica stated in a response. The time of the record is
// measured from the start of this node, since the system clock may be set.
func (v *view) recordLoad(id string, l platform.Load) {
	now := v.startedAt.Add(time.Since(v.startedAt))
	v.dir.Report(id, fleet.LoadReport{
		AsOfUnixMS: now.UnixMilli(),
		Running:    l.Running,
		Waiting:    l.Waiting,
	}, now)
}
