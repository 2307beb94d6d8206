package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/event"
	"wigeondale/mirror"
	"wigeondale/peer"
	"wigeondale/routing"
)

const (
	// readersPerDomain is how many nodes of a failure domain read the store; the
	// others are told by their neighbours.
	readersPerDomain = 1
	// newsEvery is how often a node says how new its knowledge is.
	newsEvery = 400 * time.Millisecond
	// staleAfter is the age of its knowledge from which a node reads the store
	// itself: more than what it is told by a reader that works, and less than the
	// time in which a configuration is to be in force.
	staleAfter = 1700 * time.Millisecond
	// pullTimeout bounds one question to a neighbour. A page shares its line with
	// the requests.
	pullTimeout = time.Second
)

const (
	tellNews  = "hosted.news"
	callDelta = "hosted.delta"
)

// newsMessage says how new a node's knowledge of the store is.
type newsMessage struct {
	Newest int64 `cbor:"1,keyasint"` // revision of the newest change
	AgeMS  int64 `cbor:"2,keyasint"` // since the store last confirmed it, directly or through others
}

// news spreads what few nodes read from the store. A node says how new its
// knowledge is, at once when that changes; whoever knows less asks it for the
// difference and says so in turn, so news pass through any set of links.
//
// What goes wrong with a store that all nodes read: its calls are priced and
// limited, and grow with the nodes. With few readers, a node could rely on one
// that is cut off from the store without noticing: keys that were taken away go on
// working. So knowledge carries its age, and a node whose knowledge is stale reads
// by itself, as does one that the others can't reach.
type news struct {
	id, domain string
	mirror     *mirror.Mirror // set before join
	log        *event.Log

	mu      sync.Mutex
	mesh    *peer.Mesh
	told    map[string]toldNews // by neighbour
	last    time.Time           // of this node's own word
	pulling bool
}

type toldNews struct {
	at     time.Time
	newest int64
	age    time.Duration
}

func newNews(id, domain string, log *event.Log) *news {
	return &news{id: id, domain: domain, log: log, told: map[string]toldNews{}}
}

func (n *news) join(mesh *peer.Mesh) {
	peer.HandleFlood(mesh, tellNews, n.hear)
	peer.HandleCall(mesh, callDelta, func(_ context.Context, _ string, q mirror.DeltaRequest) (mirror.Delta, error) {
		return n.mirror.Delta(q), nil
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mesh = mesh
}

// reads tells whether this node reads the store itself.
func (n *news) reads() bool {
	now := time.Now()
	return n.age(now) > staleAfter || n.reader()
}

// reader tells whether this node is among those of its domain that read.
func (n *news) reader() bool {
	n.mu.Lock()
	mesh := n.mesh
	n.mu.Unlock()
	if mesh == nil {
		return true
	}
	key := xxhash.Sum64String(n.domain)
	own := routing.Rendezvous(key, n.id)
	ahead := 0
	for _, m := range mesh.Members() {
		if !m.Self && m.Alive && !m.Suspect && !m.Leaving && m.FailureDomain == n.domain && routing.Rendezvous(key, m.ID) > own {
			ahead++
		}
	}
	return ahead < readersPerDomain
}

// age is how long ago the store confirmed what this node knows, to it or to one
// whose word reached it.
func (n *news) age(now time.Time) time.Duration {
	age := n.mirror.Age(now)
	newest := n.mirror.Newest()
	n.mu.Lock()
	defer n.mu.Unlock()
	for from, t := range n.told {
		since := now.Sub(t.at)
		if since > staleAfter {
			delete(n.told, from)
			continue
		}
		// Who knows less than this node can't confirm what it knows.
		if t.newest >= newest {
			age = min(age, t.age+since)
		}
	}
	return age
}

// tick says how new this node's knowledge is, if it is time to.
func (n *news) tick(now time.Time) {
	n.mu.Lock()
	due := now.Sub(n.last) >= newsEvery
	n.mu.Unlock()
	if due {
		n.say()
	}
}

// say tells the neighbours how new this node's knowledge is.
func (n *news) say() {
	now := time.Now()
	m := newsMessage{Newest: n.mirror.Newest(), AgeMS: n.age(now).Milliseconds()}
	n.mu.Lock()
	mesh := n.mesh
	n.last = now
	n.mu.Unlock()
	if mesh != nil {
		// Said again soon; a neighbour that misses it reads the store itself.
		_ = mesh.SendToLinked(tellNews, m)
	}
}

// hear takes in a neighbour's word, and asks it for what it knows more.
func (n *news) hear(from string, m newsMessage) {
	behind := m.Newest > n.mirror.Newest()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told[from] = toldNews{at: time.Now(), newest: m.Newest, age: time.Duration(m.AgeMS) * time.Millisecond}
	if !behind || n.pulling {
		return
	}
	n.pulling = true
	mesh := n.mesh
	go n.pull(mesh, from)
}

// pull takes in what a neighbour knows more.
func (n *news) pull(mesh *peer.Mesh, from string) {
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

// state is what the dump shows of the node's knowledge of the store.
func (n *news) state() any {
	now := time.Now()
	return struct {
		Newest int64
		AgeMS  int64
		Reads  bool
	}{n.mirror.Newest(), n.age(now).Milliseconds(), n.reads()}
}
