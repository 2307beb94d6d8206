package hosted

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"wigeondale/backpressure"
	"wigeondale/bounded"
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
	ownPrefix  = "wigeondale/"
	nodePrefix = "wigeondale/nodes/"   // prefix of the addresses of the peer listeners, by node
	peerKeyKey = "wigeondale/peer-key" // shared key with which all links authenticate
)

const (
	peerKeyBytes = 32
	// peerHeartbeat is the heartbeat interval of a link. A node is considered dead only after
	// several missed heartbeats.
	peerHeartbeat   = time.Second
	peerDialTimeout = 500 * time.Millisecond
	peerMaxBackoff  = 2 * time.Second
)

// Kinds of messages between routers.
const (
	floodCrash   = "hosted.domain-crash"
	floodAnswers = "hosted.domain-answers"
	floodRemoved = "hosted.replica-gone"
)

// unstored is the era of a key that the store doesn't have.
const unstored = -1

// peers connects this node with the other nodes. It has no links until the key with which all
// links authenticate has been read from the store.
type peers struct {
	listener  listen.Config // limits of the listener for other routers
	set       *settings.Settings
	reg       *registration
	dir       *directory.Directory
	mon       *health.Monitor
	log       *event.Log
	storeSync *storeSync
	adopter   *adopter              // set before run
	rollouts  *rollouts             // set before run
	guard     *quarantine.Guard     // set before run
	pressure  *backpressure.Tracker // set before run
	cutOff    *cutOff               // set before run
	software  *software             // set before run
	loans     *loans                // set before run; nil if no retry budget is lent
	order     *waitOrder            // set before run
	answers   *bounded.Pool         // memory of answers; set before run
	// handleStream runs a request that another router passes on; set before run.
	handleStream func(context.Context, *peer.Stream)

	mu           sync.Mutex
	key          []byte
	addrs        map[string]string // by node, from the store
	addrsChanged bool              // addrs has changes that were not passed to the mesh
	mesh         *peer.Mesh
	received     map[string]peerLoads // latest loads received, by router
	soon         chan struct{}        // signals that changed loads are to be broadcast at once
	fullyLinked  func() bool          // reports whether this node is linked to all other nodes; set before run
	keyKnown     chan struct{}        // closed when the key is known
	storeRead    chan struct{}        // closed when the store has been read once
	era          func() int64         // era of this node's copy of the store; set before run
	firstRead    sync.Once            // guards the closing of storeRead
	keyEra       int64                // era of the store in which it has the key
	localEntry   infra.Value          // this node's entry in the store, as last read
	listedAt     time.Time            // when this node first saw its own entry in the store
	rankAtStart  int                  // see startRank; unregistered if this node had no entry
}

// crashMessage names a failure domain that a router considers crashed, or that answers again.
type crashMessage struct {
	Domain string `cbor:"1,keyasint"`
}

// removedMessage names a replica that takes no more requests: its answers say that it is leaving,
// or another replica has taken its address.
type removedMessage struct {
	Replica string `cbor:"1,keyasint"`
}

func newPeers(set *settings.Settings, store *platform.Store, dir *directory.Directory, mon *health.Monitor, n *storeSync, log *event.Log) *peers {
	p := &peers{
		set: set, dir: dir, mon: mon, storeSync: n, log: log,
		addrs: map[string]string{}, received: map[string]peerLoads{}, soon: make(chan struct{}, 1), keyKnown: make(chan struct{}),
		era: func() int64 { return 0 }, rankAtStart: unregistered, fullyLinked: func() bool { return false }, storeRead: make(chan struct{}),
	}
	p.reg = &registration{set: set, store: store, log: log, storeRead: p.storeRead, state: p.registrationState, returned: make(chan struct{}, 1)}
	mon.OnDomain, mon.OnDomainAnswers = p.broadcastCrash, p.broadcastAnswers
	dir.OnLeaving = p.broadcastRemoved
	return p
}

// currentMesh returns the mesh, or nil while the mesh is not up yet.
func (p *peers) currentMesh() *peer.Mesh {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mesh
}

// broadcastRemoved broadcasts that a replica takes no more requests, if this node found that out
// from an answer. The registry distributes it too, but not while the store is unavailable: then
// each router would find out only by sending a request to this address, and each such request
// counts as one more arrival of the request at a replica.
func (p *peers) broadcastRemoved(id, _ string, source directory.Source) {
	if source != directory.FromRefusal && source != directory.FromAnswer {
		return
	}
	if mesh := p.currentMesh(); mesh != nil {
		// If the message is not delivered, the other routers find out on their own.
		_ = mesh.Flood(floodRemoved, removedMessage{id})
	}
}

// broadcastCrash broadcasts a failure domain that this router, or a router that reported the
// domain, considers crashed. Each router forwards the report of a crash once.
//
// If this router is cut off from the service, it reports nothing: the fault is in its own links.
func (p *peers) broadcastCrash(domain string) {
	p.cutOff.reach.AfterCheck(health.ServiceOfDomain(domain), func(cutOff bool) {
		if mesh := p.currentMesh(); mesh != nil && !cutOff {
			// If the message is not delivered, the other routers find out on their own.
			_ = mesh.SendToLinked(floodCrash, crashMessage{domain})
		}
	})
}

// handleCrash handles another router's report that a failure domain crashed.
func (p *peers) handleCrash(from string, m crashMessage) {
	if !p.cutOff.CutOff(from, health.ServiceOfDomain(m.Domain)) {
		p.mon.HandleDomainReport(from, m.Domain)
	}
}

// broadcastAnswers broadcasts that a failure domain that was considered crashed answers again. Each
// router forwards the report once for each crash.
func (p *peers) broadcastAnswers(domain string) {
	if mesh := p.currentMesh(); mesh != nil {
		// A router that misses the message uses the domain after the backoff.
		_ = mesh.SendToLinked(floodAnswers, crashMessage{domain})
	}
}

func (p *peers) handleAnswers(from string, m crashMessage) {
	p.mon.HandleDomainAnswers(from, m.Domain)
}

// broadcastAdopted broadcasts adopted replicas to all nodes.
func (p *peers) broadcastAdopted(m adoptedMessage) {
	if mesh := p.currentMesh(); mesh != nil {
		// A lost message does no harm: the adopted replicas are broadcast again while the
		// store is unavailable.
		_ = mesh.Flood(floodAdopted, m)
	}
}

// put applies an item of the store if it is the key of the links or the address of a node; it
// ignores all other items.
func (p *peers) put(item infra.Value) {
	if item.Key == peerKeyKey {
		p.setKey(item.Data, item.ModRev.Era())
		return
	}
	id, ok := strings.CutPrefix(item.Key, nodePrefix)
	if !ok {
		return
	}
	if err := checkNodeAddress(string(item.Data)); err != nil {
		p.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		p.removed(item.Key)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs[id] = string(item.Data)
	p.addrsChanged = true
	if id == p.set.Node.ID {
		p.localEntry = item
		if p.listedAt.IsZero() {
			p.listedAt = time.Now()
		}
	}
}

// checkNodeAddress returns an error if text is not the address of a node's peer listener.
func checkNodeAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return Error.Wrap(err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return Error.New("unusable address %.40q of a node", text)
	}
	return nil
}

// settled applies the items of a complete series of calls of put and removed: it passes
// changed addresses of nodes to the mesh. Its first call reports to the registration of this
// node that the store has been read.
func (p *peers) settled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstRead.Do(func() {
		p.rankAtStart = p.rankAmongRegistered()
		close(p.storeRead)
	})
	if p.addrsChanged {
		p.updateSeeds()
	}
}

func (p *peers) removed(key string) {
	if key == peerKeyKey {
		p.mu.Lock()
		p.keyEra = unstored
		p.mu.Unlock()
		p.reg.storeReturned()
		return
	}
	if id, ok := strings.CutPrefix(key, nodePrefix); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.addrs, id)
		if id == p.set.Node.ID {
			p.localEntry = infra.Value{}
			p.reg.storeReturned()
		}
	}
}

// registrationState returns what the registration of this node has to know of the store. What this
// node knows of an earlier era is not in the store.
func (p *peers) registrationState() registrationState {
	era := p.era()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := registrationState{key: p.key, keyStored: p.key != nil && p.keyEra == era, nodes: len(p.addrs)}
	if string(p.localEntry.Data) == p.set.Hosted.PeerAddress && p.localEntry.ModRev.Era() == era {
		s.lease = p.localEntry.Leased()
	}
	return s
}

func (p *peers) setKey(key []byte, era int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keyEra = max(p.keyEra, era)
	if p.key != nil || len(key) < peerKeyBytes {
		return
	}
	p.key = key
	p.guard.SetKey(key)
	close(p.keyKnown)
}

// hasKey reports whether the key of the links and digests is known.
func (p *peers) hasKey() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.key != nil
}

// updateSeeds passes the addresses of the other nodes to the mesh.
func (p *peers) updateSeeds() {
	if p.mesh == nil {
		return
	}
	p.addrsChanged = false
	var addrs []string
	for id, addr := range p.addrs {
		if id != p.set.Node.ID {
			addrs = append(addrs, addr)
		}
	}
	p.mesh.SetDiscoveredSeeds(addrs)
}

// liveNodes returns the ids of the nodes that are considered working, including this node; it
// returns nil while there is no mesh.
func (p *peers) liveNodes() []string {
	mesh := p.currentMesh()
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
