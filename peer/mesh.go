package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/singleflight"

	"wigeondale/bounded"
	"wigeondale/event"
)

// Path is the URL path at which the peer listener accepts links.
const Path = "/peer/v1"

// Mesh maintains the links of one node and the node's view of the membership. The methods
// of a Mesh may be called from any goroutine. A Mesh is the http.Handler of the peer
// listener.
type Mesh struct {
	cfg     Config
	key     []byte
	log     *event.Log
	metrics *meshMetrics
	client  *http.Client // of links

	streamClient *http.Client

	handshakes        handshakes    // of accepted connections
	callSlots         chan struct{} // bounds the calls that this node runs at once
	streamSlots       chan struct{} // bounds the streams that other nodes have open
	floodQueue        chan func()   // received floods for the handlers, in order
	membershipChanged chan struct{} // signals a change of the membership
	tickRequested     chan struct{} // requests a tick now
	dialer            singleflight.Group
	runCtx            context.Context // context of links and handlers; set by Run under mu

	mu                 sync.Mutex
	running            bool
	tasks              sync.WaitGroup // goroutines started by start
	table              *table
	self               Record
	demand             map[string]float64
	links              map[string]*link
	seen               *seenSet
	dirty              map[string]struct{} // ids whose records must be sent to the linked nodes
	neighboursOutdated bool                // the neighbours must be chosen again
	seeds              []string
	nextSeedDial       time.Time
	dials              map[string]*dialState
	pauseEnd           time.Time
	floodHandlers      map[string]floodHandler
	callHandlers       map[string]callHandler
	streamHandler      func(context.Context, *Stream)
	onLink             []func(node string)
	onChange           []func()
}

// New returns a mesh that does nothing until Run is called. key is the shared key of
// the fleet and must have at least 16 bytes. log and set may be nil.
func New(cfg Config, key []byte, log *event.Log, set *metrics.Set) (*Mesh, error) {
	cfg = cfg.withDefaults()
	if len(key) < minKeyBytes {
		return nil, Error.New("shared key of %d bytes, want at least %d", len(key), minKeyBytes)
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	self := Record{
		ID:            cfg.ID,
		Addr:          cfg.Addr,
		FailureDomain: cfg.FailureDomain,
		Incarnation:   cfg.Incarnation,
		Version:       1,
	}
	if err := self.check(); err != nil {
		return nil, Error.Wrap(err)
	}
	m := &Mesh{
		cfg:               cfg,
		key:               key,
		log:               log,
		metrics:           newMeshMetrics(set),
		handshakes:        handshakes{most: cfg.MaxHandshakes},
		callSlots:         make(chan struct{}, cfg.MaxCallsServed),
		streamSlots:       make(chan struct{}, cfg.MaxStreams),
		floodQueue:        make(chan func(), floodQueueLength),
		membershipChanged: make(chan struct{}, 1),
		tickRequested:     make(chan struct{}, 1),
		table:             newTable(),
		self:              self,
		demand:            make(map[string]float64),
		links:             make(map[string]*link),
		seen:              newSeenSet(maxSeenFloods),
		dirty:             make(map[string]struct{}),
		seeds:             cfg.Seeds,
		dials:             make(map[string]*dialState),
		floodHandlers:     make(map[string]floodHandler),
		callHandlers:      make(map[string]callHandler),
	}
	m.table.merge(time.Now(), self)
	m.metrics.set.GetOrCreateGauge("wigeon_peer_links", func() float64 { return float64(len(m.shuffledLinks(""))) })
	m.metrics.set.GetOrCreateGauge("wigeon_peer_members_alive", m.countAlive)
	m.client = m.newClient(m.dialTCP)
	m.streamClient = m.newClient(m.dialStream)
	return m, nil
}

func (m *Mesh) newClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	t := &http.Transport{
		DialContext:            dial,
		TLSClientConfig:        m.cfg.TLS,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
	bounded.CheckAnswers(t)
	return &http.Client{Transport: t}
}

// Run maintains the links and the membership until ctx ends. Then it announces
// the node's shutdown to the linked nodes and returns when all its goroutines
// have ended. It may be called only once.
func (m *Mesh) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m.mu.Lock()
	if m.runCtx != nil {
		m.mu.Unlock()
		return Error.New("Run called twice")
	}
	m.runCtx = runCtx
	m.running = true
	m.pauseEnd = time.Now()
	m.neighboursOutdated = true
	m.mu.Unlock()

	m.start(func() { m.runHandlers(runCtx) })
	m.tickUntil(ctx)
	m.announceLeave()
	stop := time.AfterFunc(m.cfg.Heartbeat, cancel)
	defer stop.Stop()
	m.waitLinks()
	cancel()
	m.tasks.Wait()
	return nil
}

// start runs fn in a goroutine that Run waits for. It returns false, without
// running fn, if the mesh is not running.
func (m *Mesh) start(fn func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startLocked(fn)
}

func (m *Mesh) startLocked(fn func()) bool {
	if !m.running {
		return false
	}
	m.tasks.Go(fn)
	return true
}

func (m *Mesh) runHandlers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-m.floodQueue:
			fn()
		case <-m.membershipChanged:
			m.notifyChange()
		}
	}
}

func (m *Mesh) notifyChange() {
	m.mu.Lock()
	fns := m.onChange
	m.mu.Unlock()
	for _, fn := range fns {
		fn()
	}
}

// announceLeave sends a dead record of this node to the linked nodes, so that the
// linked nodes detect the shutdown without waiting for a timeout, and closes the links
// after their queues have been written.
func (m *Mesh) announceLeave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = false
	m.self.Version++
	last := m.self
	last.Status = Dead
	for _, l := range m.links {
		l.sendBody(typeRecords, recordBatch{Records: []Record{last}})
		l.closeAfterWrite()
	}
}

func (m *Mesh) waitLinks() {
	m.mu.Lock()
	links := maps.Clone(m.links)
	m.mu.Unlock()
	for _, l := range links {
		select {
		case <-l.done:
		case <-m.runCtx.Done():
		}
	}
}

// SetDiscoveredSeeds replaces the seeds that were found in the VM list by addrs. The
// seeds of the configuration are kept.
func (m *Mesh) SetDiscoveredSeeds(addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = append(append([]string(nil), m.cfg.Seeds...), addrs...)
}

// OnLink registers fn to be called with the id of the remote node whenever a link comes
// up. Callers use it to get from the remote node what was lost while there was no link.
// Each call of fn runs in its own goroutine. OnLink must be called before Run.
func (m *Mesh) OnLink(fn func(node string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onLink = append(m.onLink, fn)
}

// OnChange registers fn to be called after changes of the membership. Callers use it to
// discard what they have derived from the earlier membership. fn is called on the goroutine
// of the flood handlers and must not block, because no flood is handled until fn returns.
// Several changes in quick succession may result in one call of fn. OnChange must be
// called before Run.
func (m *Mesh) OnChange(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onChange = append(m.onChange, fn)
}

// RandomNeighbour returns the id of a random linked node, or false if there is
// none.
func (m *Mesh) RandomNeighbour() (string, bool) {
	links := m.shuffledLinks("")
	if len(links) == 0 {
		return "", false
	}
	return links[0].node, true
}

// shuffledLinks returns the links to all linked nodes other than the node with the id
// except, in random order.
func (m *Mesh) shuffledLinks(except string) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*link, 0, len(m.links))
	for id, l := range m.links {
		if id != except {
			out = append(out, l)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (m *Mesh) requestTick() { signal(m.tickRequested) }

// signal sends on a channel of capacity one without blocking. If a signal has not been
// received yet, another one is dropped, so that the receiver handles both at once.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
