package directory

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/fleet"
)

// VMLister reads the VM list: the addresses of engines and other backend servers.
type VMLister interface {
	Backends(ctx context.Context) ([]fleet.Backend, error)
}

// EngineProbe queries one engine for its state.
type EngineProbe interface {
	Load(ctx context.Context, b fleet.Backend) (fleet.LoadReport, error)
	CacheEvents(ctx context.Context, b fleet.Backend, after uint64) (CacheBatch, error)
}

// PollConfig sizes a Poller. Zero values mean the defaults.
type PollConfig struct {
	Router      string        // id of this node, determines its subset
	SubsetSize  int           // engines per model (default 32)
	Explore     int           // engines outside the subset polled per round (default 8)
	Concurrency int           // polls in progress at once (default 16)
	Interval    time.Duration // mean time between polls of an engine (default PollInterval)
	// ListInterval is the interval between reads of the VM list (default Interval).
	ListInterval time.Duration
	// A value from ListChanged triggers a read of the list without waiting for
	// ListInterval; nil means that nothing triggers such reads. A lister that is
	// notified of changes and sends them here needs no short ListInterval.
	ListChanged <-chan struct{}
	Timeout     time.Duration // timeout of one poll (default half of Interval)
	// CacheEvents enables polling engines for their cache events. They should be
	// enabled only if a scorer uses the cache maps, since each poll then makes a second
	// call and the maps take memory.
	CacheEvents bool
}

func (c PollConfig) withDefaults() PollConfig {
	c.SubsetSize = cmp.Or(c.SubsetSize, 32)
	c.Explore = cmp.Or(c.Explore, 8)
	c.Concurrency = cmp.Or(c.Concurrency, 16)
	c.Interval = cmp.Or(c.Interval, PollInterval)
	c.ListInterval = cmp.Or(c.ListInterval, c.Interval)
	c.Timeout = cmp.Or(c.Timeout, c.Interval/2)
	return c
}

// Poller keeps a Directory up to date. Each router polls a subset of the engines: if
// hundreds of routers each polled thousands of engines, there would be millions of
// polls a second.
type Poller struct {
	cfg   PollConfig
	dir   *Directory
	vms   VMLister
	probe EngineProbe
}

// NewPoller returns a Poller; Run starts polling.
func NewPoller(cfg PollConfig, dir *Directory, vms VMLister, probe EngineProbe) *Poller {
	return &Poller{cfg: cfg.withDefaults(), dir: dir, vms: vms, probe: probe}
}

// Run polls until ctx ends. A failed poll leaves the recorded state as it was. The VM
// list is read in a loop of its own, so that engines that time out don't delay the
// information that other engines are leaving.
func (p *Poller) Run(ctx context.Context) error {
	p.ReadList(ctx)
	var group errgroup.Group
	group.Go(func() error { loop(ctx, p.cfg.ListInterval, p.cfg.ListChanged, p.ReadList); return nil })
	group.Go(func() error { loop(ctx, p.cfg.Interval, nil, p.PollEngines); return nil })
	return group.Wait()
}

// minListGap is the minimum time between two reads of the VM list.
const minListGap = 100 * time.Millisecond

// loop runs f until ctx ends: at jittered intervals, counted from the start of one run to
// the start of the next, and whenever it receives a value from wake.
func loop(ctx context.Context, every time.Duration, wake <-chan struct{}, f func(context.Context)) {
	for ctx.Err() == nil {
		started := time.Now()
		next := started.Add(jitter(every, rand.Float64()))
		f(ctx)
		select {
		case <-ctx.Done():
		case <-wake:
			// Wait for minListGap first, so that many changes in quick succession don't
			// cause continuous reads of the list.
			time.Sleep(time.Until(started.Add(minListGap)))
		case <-time.After(time.Until(next)):
		}
	}
}

// jitter moves an interval by up to PollJitter either way, so that routers started
// together do not poll in step. u is uniform in [0,1).
func jitter(d time.Duration, u float64) time.Duration {
	return time.Duration(float64(d) * (1 + PollJitter*(2*u-1)))
}

// PollEngines polls once the engines of this router's subset and a few engines outside the
// subset, and then restricts snapshots to the subset that follows from their reports.
func (p *Poller) PollEngines(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(p.cfg.Concurrency)
	members := p.dir.Members(p.cfg.Router, p.cfg.SubsetSize)
	p.dir.Select(members)
	explore := p.cfg.Explore
	if len(members) == 0 {
		// This router knows no engine's models yet, so it polls more engines to find them.
		explore = 2 * p.cfg.SubsetSize
	}
	ids := slices.Collect(maps.Keys(members))
	ids = append(ids, p.dir.LeastRecentlyReported(p.cfg.Router, members, explore)...)
	for _, id := range ids {
		group.Go(func() error { p.pollEngine(ctx, id, members[id]); return nil })
	}
	_ = group.Wait() // no poll returns an error
	p.dir.Select(p.dir.Members(p.cfg.Router, p.cfg.SubsetSize))
}

// ReadList reads the VM list once and applies it to the Directory. A failed read and an
// empty list change nothing.
func (p *Poller) ReadList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	list, err := p.vms.Backends(ctx)
	if err != nil || len(list) == 0 {
		return // an empty list is assumed to be a fault of the platform
	}
	p.dir.Update(list, time.Now())
}

func (p *Poller) pollEngine(ctx context.Context, id string, member bool) {
	b, ok := p.dir.Backend(id)
	if !ok || b.Kind != fleet.Engine {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	rep, err := p.probe.Load(ctx, b)
	if err != nil {
		return
	}
	p.dir.Report(id, rep, time.Now())
	if !member || !p.cfg.CacheEvents {
		return
	}
	batch, err := p.probe.CacheEvents(ctx, b, p.dir.CacheAfter(id))
	if err != nil {
		return
	}
	p.dir.CacheEvents(id, batch, time.Now())
}
