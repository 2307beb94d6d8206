package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/mirror"
	"wigeondale/peer"
)

const (
	// readersPerDomain is how many nodes of a failure domain read the store; the other nodes
	// get the contents of the store from their neighbours.
	readersPerDomain = 1
	// syncInterval is how often a node broadcasts how current its copy of the store is, if it is
	// linked to all other nodes. Each of them is one link away from a reader then.
	syncInterval = 400 * time.Millisecond
	// A node that is linked to some of the others broadcasts as soon as its copy has been
	// confirmed by an answer of the store that is confirmStep later than the one that it
	// broadcast last, and at the latest after maxSyncInterval. If it did so at fixed intervals,
	// the age of a copy would grow by an interval with each link on the way from a reader; the
	// farthest nodes of a large fleet would count as stale and read the store.
	confirmStep     = 500 * time.Millisecond
	maxSyncInterval = time.Second
	// minSyncGap is the least time between two broadcasts of such a node.
	minSyncGap = 80 * time.Millisecond
	// A node reads the store itself once its copy is older than staleAfter. staleAfter is
	// longer than the age that copies reach while a reader works, and shorter than the time
	// within which a configuration has to be in force.
	staleAfter = 1700 * time.Millisecond
	// bulkReaders is how many of the nodes that start again together read all replicas from
	// the store. The other nodes get them from their neighbours.
	bulkReaders = 8
	// largeFleet is the number of other nodes from which on the nodes that start together could
	// saturate the store's network link.
	largeFleet = 200
	// membersSettle is how long a node waits until it knows most of the registered nodes as
	// members, before it decides by the members that it knows whether it reads the store.
	membersSettle = 2 * time.Second
	// A node that needs all items takes them from a node of its own failure domain, or after
	// ownDomainWait and a random part of ownDomainSpread from any node.
	ownDomainWait   = 1500 * time.Millisecond
	ownDomainSpread = 2500 * time.Millisecond
	// pullTimeout bounds one query to a neighbour. The response, a page of the store, shares
	// the network link with the requests.
	pullTimeout = time.Second
)

const (
	msgSync   = "hosted.news"
	callDelta = "hosted.delta"
)

// syncMessage states how current a node's copy of the store is.
type syncMessage struct {
	Newest fleet.Revision `cbor:"1,keyasint"` // revision of the latest change
	AgeMS  int64          `cbor:"2,keyasint"` // time since the store last confirmed the copy, directly or through other nodes
	// Lacks reports that the copy lacks items that nodes keep since a change of the sample.
	Lacks bool `cbor:"3,keyasint,omitempty"`
}

// storeSync distributes the contents of the store, which only a few nodes read. At intervals,
// and at once when its copy changes, a node sends to its neighbours how current its copy is. A
// neighbour with an older copy requests the difference. The neighbour's copy has changed then,
// so the neighbour sends its own state in turn. In this way updates pass through any set of
// links.
//
// If all nodes read the store, the number of calls, which are priced and limited, would grow
// with the number of nodes. With few readers, a node could rely on a reader that no longer
// reaches the store and doesn't notice this, and revoked keys would go on working. Therefore
// each copy has an age; a node whose copy is stale reads the store itself, and so does a node
// that the other nodes can't reach.
type storeSync struct {
	id, domain string
	mirror     *mirror.Mirror // set before join
	log        *event.Log
	// startRank returns the rank of this node among the nodes that were registered when it
	// started, and false if this node was not registered.
	startRank func() (int, bool)
	// expectedLinks returns to how many other nodes this node could have links.
	expectedLinks func() int
	// afterTick is called by readers of the store at each tick.
	afterTick func(now time.Time)
	// otherDomains is when this node begins to take all items from nodes of other failure
	// domains as well.
	otherDomains time.Time

	mu       sync.Mutex
	mesh     *peer.Mesh
	joinedAt time.Time
	received map[string]receivedSync // latest message by neighbour
	lastSent time.Time               // time of this node's last message
	sentAsOf time.Time               // when the store confirmed the copy, as broadcast last
	changed  bool                    // the copy has changed since the last message
	pulling  bool
	// role is whether this node is a reader of its failure domain, or roleUnknown if the
	// membership has changed since that was decided. To decide it, all members are compared.
	role readerRole
}

type readerRole uint8

const (
	roleUnknown readerRole = iota
	roleReader
	roleOther
)

type receivedSync struct {
	receivedAt time.Time
	newest     fleet.Revision
	age        time.Duration
}

func newStoreSync(id, domain string, log *event.Log) *storeSync {
	return &storeSync{
		id: id, domain: domain, log: log, received: map[string]receivedSync{},
		startRank: func() (int, bool) { return unregistered, false }, afterTick: func(time.Time) {},
		expectedLinks: func() int { return 0 },
		otherDomains:  time.Now().Add(ownDomainWait + rand.N(ownDomainSpread)),
	}
}

func (n *storeSync) join(mesh *peer.Mesh) {
	peer.HandleFlood(mesh, msgSync, n.handleSync)
	peer.HandleCall(mesh, callDelta, func(_ context.Context, _ string, q mirror.DeltaRequest) (mirror.Delta, error) {
		return n.mirror.Delta(q), nil
	})
	mesh.OnChange(n.membershipChanged)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mesh, n.joinedAt = mesh, time.Now()
	n.role = roleUnknown
}

func (n *storeSync) membershipChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.role = roleUnknown
}

// age returns the time since the store confirmed the contents of this node's copy, either to
// this node or to a node whose message reached this node.
func (n *storeSync) age(now time.Time) time.Duration {
	age := n.mirror.Age(now)
	localNewest := n.mirror.Newest()
	n.mu.Lock()
	defer n.mu.Unlock()
	for from, t := range n.received {
		since := now.Sub(t.receivedAt)
		if since > staleAfter {
			delete(n.received, from)
			continue
		}
		// A neighbour with an older copy can't confirm this node's copy.
		if t.newest >= localNewest {
			age = min(age, t.age+since)
		}
	}
	return age
}

// tick broadcasts how current this node's copy of the store is, if that is due.
func (n *storeSync) tick(now time.Time) {
	if n.broadcastDue(now) {
		n.broadcast()
	}
	if n.isReader() {
		n.afterTick(now)
	}
}

func (n *storeSync) broadcastDue(now time.Time) bool {
	asOf := now.Add(-n.age(now))
	n.mu.Lock()
	defer n.mu.Unlock()
	since := now.Sub(n.lastSent)
	if n.mesh != nil && n.mesh.IsFullMesh() {
		return since >= syncInterval
	}
	confirmed := asOf.Sub(n.sentAsOf) >= confirmStep
	return since >= minSyncGap && (n.changed || confirmed) || since >= maxSyncInterval
}

// copyChanged broadcasts a change of this node's copy of the store: at once if the node is
// linked to all other nodes, and else at the next tick for which a broadcast is due. In a large
// fleet changes arrive over several links in quick succession.
func (n *storeSync) copyChanged() {
	n.mu.Lock()
	mesh := n.mesh
	n.changed = true
	n.mu.Unlock()
	if mesh != nil && mesh.IsFullMesh() {
		n.broadcast()
	}
}

// broadcast sends to the neighbours how current this node's copy is.
func (n *storeSync) broadcast() {
	now := time.Now()
	age := n.age(now)
	m := syncMessage{Newest: n.mirror.Newest(), AgeMS: age.Milliseconds(), Lacks: n.mirror.Lacks()}
	n.mu.Lock()
	mesh := n.mesh
	n.lastSent, n.sentAsOf, n.changed = now, now.Add(-age), false
	n.mu.Unlock()
	if mesh != nil {
		// The message is sent again after an interval. A neighbour that misses several messages
		// reads the store itself.
		_ = mesh.SendToLinked(msgSync, m)
	}
}

// handleSync applies a neighbour's message, and requests the difference if the neighbour's copy is
// newer.
func (n *storeSync) handleSync(from string, m syncMessage) {
	newest := n.mirror.Newest()
	behind := m.Newest > newest || m.Newest == newest && !m.Lacks && n.mirror.Lacks()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received[from] = receivedSync{receivedAt: time.Now(), newest: m.Newest, age: time.Duration(m.AgeMS) * time.Millisecond}
	if !behind || n.pulling || !n.takesFrom(from) {
		return
	}
	n.pulling = true
	mesh := n.mesh
	go n.pull(mesh, from)
}

// pull requests the difference to a neighbour's newer copy and applies the difference.
func (n *storeSync) pull(mesh *peer.Mesh, from string) {
	err := n.mirror.Pull(from, func(q mirror.DeltaRequest) (mirror.Delta, error) {
		ctx, stop := context.WithTimeout(context.Background(), pullTimeout)
		defer stop()
		return peer.Call[mirror.DeltaRequest, mirror.Delta](ctx, mesh, from, callDelta, q)
	})
	if err != nil {
		n.log.Emit(event.PeerAskFailed, "peer", from, "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pulling = false
}

// state returns the part of the state dump about this node's copy of the store.
func (n *storeSync) state() any {
	now := time.Now()
	return struct {
		Newest string
		AgeMS  int64
		Reads  bool
	}{n.mirror.Newest().String(), n.age(now).Milliseconds(), n.readsStore()}
}
