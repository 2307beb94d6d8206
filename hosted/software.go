package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/backend"
	"wigeondale/binding"
	"wigeondale/clock"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/platform"
	"wigeondale/route"
)

// This file joins package binding, which knows at which software version streams began, with the
// list of replicas, the other nodes and the store.

const (
	msgBindings  = "hosted.bindings"
	callBinding  = "hosted.binding"
	softwareTick = 200 * time.Millisecond
	// takeUpMargin is the time after a stream's timeout within which its client may still take it
	// up. defaultLifetime applies to streams without a timeout.
	takeUpMargin    = 5 * time.Second
	defaultLifetime = 10 * time.Minute
	// recordTimeout bounds the sending of records to one node, and confirmTimeout a replica's answer to
	// the question when it started.
	recordTimeout  = time.Second
	confirmTimeout = 300 * time.Millisecond
	// unknownRetry is the time to come back for a client whose stream is not known: a record may
	// arrive, and routers that were cut off may be back.
	unknownRetry = 500 * time.Millisecond
	// versionGoneAfter is how long after the last listed replica of a version its streams are
	// given up. A replica that crashed is back sooner.
	versionGoneAfter = 4 * time.Second
)

// software knows at which software version streams began. It implements
// generation.StreamVersions.
type software struct {
	tracker  *binding.Tracker
	table    *route.Current
	dir      *directory.Directory
	peers    *peers
	rollouts *rollouts
	copyAge  func() time.Duration
	notes    *versionNotes
	store    versionStore
	records  *streamRecords
	// statements are what the store states of the versions of services.
	statements *statements
	reads      *sharedReads[binding.Statement]
	routes     *routesStatements
	// configs reads the version of the newest configuration. newest is the revision up to which this node has all changes, and
	// catchUp makes it read later ones soon.
	configs *sharedReads[int64]
	moves   *sharedReads[struct{}]
	newest  func() fleet.Revision
	catchUp func()
	log     *event.Log
	// reports queries a replica for its start time; set before the first request.
	reports generation.RunQuerier

	lists versionLists

	mu      sync.Mutex
	pending map[binding.Router][]binding.Record // records that wait until earlier ones were sent, by node
	sending map[binding.Router]bool

	began, found, sendFailed *metrics.Counter
}

func newSoftware(n *node, store versionStore) *software {
	s := &software{
		store: store,
		table: n.table, dir: n.dir, peers: n.peers, rollouts: n.rollouts, log: n.log,
		pending: map[binding.Router][]binding.Record{}, sending: map[binding.Router]bool{},
		began:      n.meter.NewCounter("wigeon_streams_bound_total"),
		found:      n.meter.NewCounter("wigeon_stream_versions_found_total"),
		sendFailed: n.meter.NewCounter("wigeon_stream_records_unsent_total"),
	}
	s.copyAge = func() time.Duration { return n.storeSync.age(time.Now()) }
	s.newest = func() fleet.Revision { return n.mirror.Newest() }
	s.catchUp = func() { n.mirror.CatchUp() }
	s.notes = &versionNotes{store: store, log: n.log, present: map[string]bool{}, due: map[string]*dueNote{}}
	s.tracker = binding.New(binding.Config{
		Lifetime:  s.lifetime,
		CopyAge:   s.copyAge,
		Routers:   s.routers,
		Connected: s.connected,
		Send:      s.send,
		Ask:       s.ask,
		Whole:     s.whole,
		Moved:     func() bool { return n.table.RecentMoves() > 0 },
		Unsure:    n.table.Unsure,
		Statement: func(ctx context.Context, service string) (binding.Statement, error) { return s.reads.get(ctx, service) },
		Lookup:    s.lookup,
		StoreEra:  func() int64 { return n.mirror.Newest().Era() },
		Log:       n.log,

		FirstStart: n.set.Hosted.FirstStart,
	})
	s.statements = &statements{store: store, tracker: s.tracker, log: n.log, stated: map[string]statedItem{}, due: map[string]*dueNote{}}
	s.routes = &routesStatements{store: store, table: n.table, log: n.log, era: func() int64 { return n.mirror.Newest().Era() }, learn: s.learnMoves, confirm: s.confirmMoves, follows: n.storeSync.readsStore}
	s.reads, s.configs, s.moves = newSharedReads(s.readStatement), newSharedReads(s.readConfigVersion), newSharedReads(s.routes.readMoves)
	s.records = &streamRecords{
		store: store, tracker: s.tracker, log: n.log, wake: make(chan struct{}, 1),
		lifetime: s.longestLifetime, nodes: n.peers.registeredNodes,
		written: n.meter.NewCounter("wigeon_stream_records_stored_total"),
		failed:  n.meter.NewCounter("wigeon_stream_record_writes_failed_total"),
	}
	s.records.setWrites(n.set.Hosted.StoreWrites())
	return s
}

// lifetime returns how long a stream of a service may last from its first chunk to its last.
func (s *software) lifetime(service string) time.Duration {
	t := s.table.Get()
	if t == nil {
		return defaultLifetime
	}
	if timeout := t.Streams()[service]; timeout > 0 {
		return timeout + takeUpMargin
	}
	return defaultLifetime
}

// longestLifetime returns the longest lifetime of the streams of any service.
func (s *software) longestLifetime() time.Duration {
	longest := time.Duration(0)
	if t := s.table.Get(); t != nil {
		for service := range t.Streams() {
			longest = max(longest, s.lifetime(service))
		}
	}
	return longest
}

// whole reports whether this node is connected with each node that is registered, and with each that it knew and that did
// not leave by itself.
func (s *software) whole() bool {
	mesh := s.peers.currentMesh()
	if mesh == nil {
		return s.peers.registeredNodes() <= 1
	}
	alive := 0
	for _, m := range mesh.Members() {
		switch {
		case m.Alive && !m.Suspect:
			alive++
		case !m.Leaving:
			return false
		}
	}
	return alive >= s.peers.registeredNodes()
}

// routers returns the other nodes that are considered working.
func (s *software) routers() []binding.Router {
	mesh := s.peers.currentMesh()
	if mesh == nil {
		return nil
	}
	var out []binding.Router
	for _, m := range mesh.Members() {
		if !m.Self && m.Alive && !m.Suspect && !m.Leaving {
			out = append(out, binding.Router{ID: m.ID, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation})
		}
	}
	return out
}

// connected reports whether this node is connected with most of the registered nodes.
func (s *software) connected() bool {
	registered := s.peers.registeredNodes()
	alive := 1
	if mesh := s.peers.currentMesh(); mesh != nil {
		alive = mesh.AliveMembers()
	}
	return 2*alive > registered
}

// run takes in the versions of the listed replicas until ctx ends.
func (s *software) run(ctx context.Context) error {
	tick := time.NewTicker(softwareTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.tick(clock.SinceBoot())
		}
	}
}

func (s *software) tick(now time.Duration) {
	newest := s.newest() // before the table, which may be later
	t := s.table.Get()
	if t == nil {
		return
	}
	s.table.SeenUpTo(t.Version, newest, time.Now().Add(-s.copyAge()))
	asOf := now - s.copyAge()
	listed := map[string][]string{}
	for service := range t.Streams() {
		if names := s.lists.of(s.dir.Service(service)).names; len(names) > 0 {
			listed[service] = names
		}
	}
	s.tracker.Tick(now, asOf, listed)
	for service := range listed {
		var k knownVersions
		k.listed, k.all = s.tracker.Listed(service, now)
		rank := func() int { return s.noteRank(service) }
		s.notes.update(service, k, rank, now)
		s.statements.update(service, rank, now)
	}
	s.routes.update(func() int { return s.noteRank(routesKey) }, s.tracker.ReachedAll(s.longestLifetime(), now), now)
}

// noteRank returns the rank of this node among the nodes that may note the versions of a service in
// the store. A node that has no links yet does not know its rank.
func (s *software) noteRank(service string) int {
	if s.peers.currentMesh() == nil && s.peers.expectedLinks() > 0 {
		return noteRanks
	}
	return rankIn(s.peers.liveNodes(), s.peers.set.Node.ID, service)
}

// state returns the part of the state dump about the software versions of the services.
func (s *software) state() []binding.Report {
	out := s.tracker.Reports(clock.SinceBoot())
	t, now := s.table.Get(), time.Now()
	for i := range out {
		r := &out[i]
		capacity := 0
		if t != nil {
			capacity = t.Service(r.Service).Memory
		}
		for _, c := range s.dir.Service(r.Service) {
			if c.Backend.Version != r.Version {
				continue
			}
			r.Listed++
			if s.dir.Leaving(c.Backend.ID) {
				r.Leaving++
				continue
			}
			load, _, _ := s.dir.Estimate(c.Backend.ID, now)
			r.FreeTokens += max(capacity-int(load.Memory), 0)
		}
	}
	return out
}

var errRestarted = errors.New("the replica has started again since it was listed")

// Confirm implements generation.StreamVersions. A replica without a start time in its entry has a
// new name after each start, and refuses requests for the earlier name.
func (s *software) Confirm(ctx context.Context, b fleet.Backend) (generation.Binding, error) {
	if listed, ok := s.dir.Backend(b.ID); ok && b.VersionAssumed {
		b = listed // the entry may have arrived since
	}
	if b.VersionAssumed || b.Version == "" {
		return generation.Binding{Unknown: true}, nil
	}
	known := generation.Binding{Version: b.Version}
	if b.Incarnation.StartedAt == 0 {
		return known, nil
	}
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	report, err := s.reports.Runs(ctx, b)
	switch {
	case err != nil:
		withheld := errors.Is(err, backend.ErrWithheld)                      // a further query would be withheld too
		return generation.Binding{Unknown: true, Unanswered: !withheld}, nil // the stream goes on as long as its attempt does
	case report.Restarted:
		return generation.Binding{}, Error.Wrap(errRestarted)
	case report.StartUnstated:
		return generation.Binding{Unknown: true}, nil
	}
	return known, nil
}

// several reports whether a service has, or recently had, several versions.
func (s *software) several(service string) bool {
	return len(s.lists.of(s.dir.Service(service)).names) > 1 || s.tracker.Several(service, clock.SinceBoot())
}

var _ versionStore = (*platform.Store)(nil)
