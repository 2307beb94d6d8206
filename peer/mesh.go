package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/singleflight"

	"wigeondale/event"
)

// Path is where the peer listener serves links.
const Path = "/peer/v1"

// Mesh is one node's part in the fleet. Its methods may be called from any
// goroutine. It is an http.Handler for the peer listener.
type Mesh struct {
	cfg    Config
	key    []byte
	log    *event.Log
	met    *meters
	client *http.Client

	shakes chan struct{} // bounds handshakes of strangers
	slots  chan struct{} // bounds calls served
	work   chan func()   // floods for handlers, in order
	news   chan struct{} // the membership changed
	kick   chan struct{} // asks for a tick now
	dialer singleflight.Group
	life   context.Context // of links and handlers; set by Run under mu

	mu       sync.Mutex
	running  bool
	tasks    sync.WaitGroup // goroutines begun by start
	table    *table
	self     Record
	demand   map[string]float64
	links    map[string]*link
	seen     *seenSet
	dirty    map[string]struct{} // ids whose records are to be pushed
	rewire   bool                // neighbours are to be chosen anew
	seeds    []string
	seedDue  time.Time
	dials    map[string]*dialState
	pauseEnd time.Time
	floods   map[string]floodHandler
	callees  map[string]callHandler
	onLink   []func(node string)
	onChange []func()
}

// New returns a mesh that is idle until Run. key is the shared key, at least 16
// bytes. log and set may be nil.
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
		cfg:     cfg,
		key:     key,
		log:     log,
		met:     newMeters(set),
		shakes:  make(chan struct{}, maxHandshakes),
		slots:   make(chan struct{}, cfg.MaxCallsServed),
		work:    make(chan func(), floodQueue),
		news:    make(chan struct{}, 1),
		kick:    make(chan struct{}, 1),
		table:   newTable(),
		self:    self,
		demand:  make(map[string]float64),
		links:   make(map[string]*link),
		seen:    newSeenSet(seenFloods),
		dirty:   make(map[string]struct{}),
		seeds:   cfg.Seeds,
		dials:   make(map[string]*dialState),
		floods:  make(map[string]floodHandler),
		callees: make(map[string]callHandler),
	}
	m.table.merge(time.Now(), self)
	m.met.set.GetOrCreateGauge("wigeon_peer_links", func() float64 { return float64(len(m.anyLinks(""))) })
	m.met.set.GetOrCreateGauge("wigeon_peer_members_alive", m.countAlive)
	m.client = &http.Client{Transport: &http.Transport{
		DialContext:       m.dialTCP,
		TLSClientConfig:   cfg.TLS,
		DisableKeepAlives: true,
	}}
	return m, nil
}

// Run keeps links and membership until ctx ends, tells the neighbours that the
// node leaves and returns when all its goroutines have ended. It runs once.
func (m *Mesh) Run(ctx context.Context) error {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m.mu.Lock()
	if m.life != nil {
		m.mu.Unlock()
		return Error.New("Run called twice")
	}
	m.life = life
	m.running = true
	m.pauseEnd = time.Now()
	m.rewire = true
	m.mu.Unlock()

	m.start(func() { m.handleFloods(life) })
	m.tickUntil(ctx)
	m.announceLeave()
	stop := time.AfterFunc(m.cfg.Heartbeat, cancel)
	defer stop.Stop()
	m.waitLinks()
	cancel()
	m.tasks.Wait()
	return nil
}

// start runs fn in a goroutine that Run waits for; false means that the mesh is
// not running and fn will not run.
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

func (m *Mesh) handleFloods(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-m.work:
			fn()
		case <-m.news:
			m.tellChange()
		}
	}
}

func (m *Mesh) tellChange() {
	m.mu.Lock()
	fns := m.onChange
	m.mu.Unlock()
	for _, fn := range fns {
		fn()
	}
}

// announceLeave tells the neighbours that the node goes, so that they need not
// wait for a timeout, and lets the queues drain.
func (m *Mesh) announceLeave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = false
	m.self.Version++
	last := m.self
	last.Status = Dead
	for _, l := range m.links {
		l.sendBody(typeRecords, recordBatch{Records: []Record{last}})
		l.finish()
	}
}

func (m *Mesh) waitLinks() {
	m.mu.Lock()
	links := maps.Clone(m.links)
	m.mu.Unlock()
	for _, l := range links {
		select {
		case <-l.done:
		case <-m.life.Done():
		}
	}
}

// SetDiscoveredSeeds replaces the addresses learnt from the VM list. The seeds of the
// configuration stay.
func (m *Mesh) SetDiscoveredSeeds(addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = append(append([]string(nil), m.cfg.Seeds...), addrs...)
}

// OnLink registers fn to be called, in a goroutine of its own, with the id of
// each node that a link comes up to. Register before Run.
func (m *Mesh) OnLink(fn func(node string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onLink = append(m.onLink, fn)
}

// OnChange registers fn to be called after changes of the membership, on the
// goroutine of the flood handlers; it must not block. Changes of one moment are joined. Register before Run.
func (m *Mesh) OnChange(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onChange = append(m.onChange, fn)
}

// RandomNeighbour returns a linked node, or false if there is none.
func (m *Mesh) RandomNeighbour() (string, bool) {
	links := m.anyLinks("")
	if len(links) == 0 {
		return "", false
	}
	return links[0].node, true
}

// anyLinks returns the links to nodes other than except, in random order.
func (m *Mesh) anyLinks(except string) []*link {
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

func (m *Mesh) wake() { signal(m.kick) }

// signal marks a channel of capacity one; marks that come together are joined.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
