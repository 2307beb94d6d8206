package hosted

import (
	"context"
	"strings"
	"sync"
	"time"

	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/listen"
	"wigeondale/peer"
	"wigeondale/platform"
	"wigeondale/quarantine"
	"wigeondale/settings"
)

// Keys of this program in the store.
const (
	nodePrefix = "wigeondale/nodes/"   // addresses of the peer listeners, by node
	peerKeyKey = "wigeondale/peer-key" // shared key of the links
)

const (
	peerKeyBytes = 32
	// heartbeat of a link. Several are missed before a node counts as gone.
	peerHeartbeat   = time.Second
	peerDialTimeout = 500 * time.Millisecond
	peerMaxBackoff  = 2 * time.Second
)

// Kinds of messages between routers.
const (
	floodCrash = "hosted.domain-crash"
	floodGone  = "hosted.replica-gone"
)

// peers joins this node with the others. It is idle until the store has given
// the key that all links prove.
type peers struct {
	set      *settings.Settings
	reg      *registration
	dir      *directory.Directory
	mon      *health.Monitor
	log      *event.Log
	news     *news
	adopter  *adopter          // set before run
	rollouts *rollouts         // set before run
	guard    *quarantine.Guard // set before run

	mu    sync.Mutex
	key   []byte
	addrs map[string]string // by node, from the store
	moved bool              // addrs has more than the mesh was told
	mesh  *peer.Mesh
	loads map[string]toldLoads // by router
	soon  chan struct{}        // neighbours are to be told at once
	full  func() bool          // this node is linked to all others; set before run
	found chan struct{}        // closed when the key is known
	read  chan struct{}        // closed when the store has been read once
	first sync.Once            // of those reads
	own   infra.Value          // this node's entry, as last seen
}

// crashMessage names a failure domain that a router takes to have crashed.
type crashMessage struct {
	Domain string `cbor:"1,keyasint"`
}

// goneMessage names a replica whose address another one has.
type goneMessage struct {
	Replica string `cbor:"1,keyasint"`
}

func newPeers(set *settings.Settings, store *platform.Store, dir *directory.Directory, mon *health.Monitor, n *news, log *event.Log) *peers {
	p := &peers{
		set: set, dir: dir, mon: mon, news: n, log: log,
		addrs: map[string]string{}, loads: map[string]toldLoads{}, soon: make(chan struct{}, 1), found: make(chan struct{}),
		full: func() bool { return false }, read: make(chan struct{}),
	}
	p.reg = &registration{set: set, store: store, log: log, read: p.read, known: p.known}
	mon.OnDomain = p.crashed
	dir.OnLeaving = p.leaving
	return p
}

// joined is the mesh, nil before it is up.
func (p *peers) joined() *peer.Mesh {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mesh
}

// leaving tells the others of a replica whose address turned out to be another's.
// The registry tells them too, but not while the store is away: then each router
// would find out by a request of its own, which counts as one more arrival.
func (p *peers) leaving(id, _ string, source directory.Source) {
	if source != directory.FromRefusal {
		return
	}
	if mesh := p.joined(); mesh != nil {
		// Not delivered means only that others find out for themselves.
		_ = mesh.Flood(floodGone, goneMessage{id})
	}
}

// crashed tells the others of a failure domain that this router, or one that told
// it, takes to have crashed. Each router passes it on once.
func (p *peers) crashed(domain string) {
	if mesh := p.joined(); mesh != nil {
		// Not delivered means only that others find out for themselves.
		_ = mesh.SendToLinked(floodCrash, crashMessage{domain})
	}
}

// tellAdopted names adopted replicas to all nodes.
func (p *peers) tellAdopted(m adoptedMessage) {
	if mesh := p.joined(); mesh != nil {
		// Told again while the store is away.
		_ = mesh.Flood(floodAdopted, m)
	}
}

// put takes in an item of this program.
func (p *peers) put(item infra.Value) {
	if item.Key == peerKeyKey {
		p.setKey(item.Data)
		return
	}
	id, ok := strings.CutPrefix(item.Key, nodePrefix)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs[id] = string(item.Data)
	p.moved = true
	if id == p.set.Node.ID {
		p.own = item
	}
}

// settled follows a series of put and gone.
func (p *peers) settled() {
	p.first.Do(func() { close(p.read) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moved {
		p.seed()
	}
}

func (p *peers) gone(key string) {
	if id, ok := strings.CutPrefix(key, nodePrefix); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.addrs, id)
		if id == p.set.Node.ID {
			p.own = infra.Value{}
		}
	}
}

// known tells whether the key of the links is known, and the lease of this node's entry if
// that names its address.
func (p *peers) known() (key bool, lease infra.LeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if string(p.own.Data) == p.set.Hosted.PeerAddress {
		lease = p.own.Lease
	}
	return p.key != nil, lease
}

func (p *peers) setKey(key []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key != nil || len(key) < peerKeyBytes {
		return
	}
	p.key = key
	p.guard.SetKey(key)
	close(p.found)
}

// seed tells the mesh where other nodes listen.
func (p *peers) seed() {
	if p.mesh == nil {
		return
	}
	p.moved = false
	var addrs []string
	for id, addr := range p.addrs {
		if id != p.set.Node.ID {
			addrs = append(addrs, addr)
		}
	}
	p.mesh.SetDiscoveredSeeds(addrs)
}

// nodes is the number of nodes that are registered, this one included.
func (p *peers) nodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.addrs), 1)
}

// living are the nodes that are taken to work, this one included.
func (p *peers) living() []string {
	mesh := p.joined()
	if mesh == nil {
		return nil
	}
	var out []string
	for _, m := range mesh.Members() {
		if m.Self || (m.Alive && !m.Suspect && !m.Leaving) {
			out = append(out, m.ID)
		}
	}
	return out
}

// run registers this node and keeps its links until ctx ends.
func (p *peers) run(ctx context.Context) error {
	go p.reg.run(ctx)
	select {
	case <-p.found:
	case <-ctx.Done():
		return nil
	}
	mesh, err := p.newMesh()
	if err != nil {
		return err
	}
	l, err := listen.New(listen.Config{Listener: settings.Listener{Address: p.set.Hosted.PeerAddress}}, mesh)
	if err != nil {
		return err
	}
	go func() {
		// It ends with the listener, at the end of this function.
		if err := l.Serve(); err != nil && ctx.Err() == nil {
			p.log.Emit(event.PeerListenerFailed, "err", err)
		}
	}()
	defer l.Close()
	p.full = mesh.IsFullMesh
	go p.tellAlways(ctx, func(m loadsMessage) {
		_ = mesh.SendToLinked(tellLoads, m) // one that is lost is repeated with all the others
	}, func(now time.Time) {
		p.news.tick(now)
		p.rollouts.tick(now)
	})
	return mesh.Run(ctx)
}

func (p *peers) newMesh() (*peer.Mesh, error) {
	mesh, err := peer.New(peer.Config{
		ID:            p.set.Node.ID,
		Addr:          p.set.Hosted.PeerAddress,
		FailureDomain: p.set.Node.FailureDomain,
		Heartbeat:     peerHeartbeat,
		DialTimeout:   peerDialTimeout,
		MaxBackoff:    peerMaxBackoff,
		Topology:      peer.Topology{FullMeshLimit: p.set.Peers.FullMeshLimit, SameDomainLinks: p.set.Peers.SameDomainLinks, OtherDomainLinks: p.set.Peers.OtherDomainLinks},
	}, p.key, p.log, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	peer.HandleFlood(mesh, tellLoads, p.takeLoads)
	peer.HandleFlood(mesh, floodCrash, func(_ string, m crashMessage) { p.mon.HandleDomainReport(m.Domain) })
	peer.HandleFlood(mesh, floodGone, func(_ string, m goneMessage) { p.dir.MarkLeaving(m.Replica, "", directory.FromPeerReport) })
	peer.HandleFlood(mesh, floodAdopted, func(_ string, m adoptedMessage) { p.adopter.hear(m) })
	peer.HandleFlood(mesh, floodRollout, p.rollouts.hear)
	peer.HandleFlood(mesh, quarantine.FloodUpdate, p.guard.HandleUpdate)
	p.news.join(mesh)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mesh = mesh
	p.seed()
	return mesh, nil
}

// state is what the dump shows of the other nodes.
func (p *peers) state() any {
	mesh := p.joined()
	if mesh == nil {
		return nil
	}
	return mesh.Dump()
}
