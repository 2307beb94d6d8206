package hosted

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/backend"
	"wigeondale/chart"
	"wigeondale/clock"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/platform"
	"wigeondale/quarantine"
	"wigeondale/rollout"
	"wigeondale/settings"
)

const (
	// rolloutPrefix of the keys under which the records of roll-outs lie, by service.
	rolloutPrefix = "wigeondale/rollouts/"
	// rolloutTick is how often roll-outs are looked at.
	rolloutTick = 100 * time.Millisecond
	// rolloutFresh is the age of a node's knowledge of the store up to which it goes on
	// with a trial.
	rolloutFresh = 3 * time.Second
	// takeOverAfter is how long a change may be due before the next node in the order of
	// ranks writes it, and takeOverRanks how many nodes take part.
	takeOverAfter = 600 * time.Millisecond
	takeOverRanks = 12
	// rolloutWrite bounds one write, rolloutRetry is the pause after one that failed.
	rolloutWrite = time.Second
	rolloutRetry = 400 * time.Millisecond
	// rolloutHeard is how long after its write a node waits to hear of it from the store.
	rolloutHeard = 1500 * time.Millisecond
	floodRollout = "hosted.rollout"
)

// rolloutWriter writes a roll-out's record and tells the operator.
type rolloutWriter interface {
	WriteRollout(ctx context.Context, service, key string, rec rollout.Record, revision int64) (bool, error)
}

// rollouts are the roll-outs of all services at this node.
//
// Each node follows the record of a service in the store, counts what its own attempts
// saw, and tells the others. The node that a rendezvous hash puts first writes what is due;
// when it does not, the next one does. Two that write at once are told apart by the store.
type rollouts struct {
	writer rolloutWriter
	dir    *directory.Directory
	mon    *health.Monitor
	log    *event.Log
	chart  *chart.Chart
	limits rollout.Limits
	life   uint64
	runs   *runBook
	looker quarantine.Prober

	// Set before use.
	routers func() int
	age     func(time.Time) time.Duration // of what is known of the store
	rank    func(service string) int      // of this node among those that may write
	flood   func(rollout.Report)

	mu        sync.RWMutex
	byService map[string]*serviceRollout
	ticked    time.Duration

	judged *metrics.Counter
	moved  *metrics.Counter
}

func newRollouts(h *settings.Hosted, w rolloutWriter, dir *directory.Directory, mon *health.Monitor, log *event.Log, set *metrics.Set) (*rollouts, error) {
	c, err := rollout.LoadChart()
	if err != nil {
		return nil, err
	}
	return &rollouts{
		writer: w, dir: dir, mon: mon, log: log, chart: c,
		limits:    rollout.Limits{Share: h.RolloutShare, Burst: h.RolloutBurst},
		life:      rand.Uint64(),
		runs:      newRunBook(),
		looker:    backend.Prober{},
		routers:   func() int { return 1 },
		age:       func(time.Time) time.Duration { return 0 },
		rank:      func(string) int { return 0 },
		flood:     func(rollout.Report) {},
		byService: map[string]*serviceRollout{},
		judged:    set.NewCounter("wigeon_rollout_answers_total"),
		moved:     set.NewCounter("wigeon_rollout_runs_moved_total"),
	}, nil
}

// of returns the roll-out of a service, nil if there never was one.
func (s *rollouts) of(service string) *serviceRollout {
	if s == nil {
		return nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

func (s *rollouts) all() []*serviceRollout {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.byService))
}

// forService returns the roll-out of a service, a new one if there was none.
func (s *rollouts) forService(service string) *serviceRollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.byService[service]
	if one == nil {
		one = &serviceRollout{service: service, Rollout: rollout.New(rollout.Config{
			Limits: s.limits, Chart: s.chart, Routers: s.routers, Random: rand.Float64, Incarnation: s.life,
		})}
		s.byService[service] = one
	}
	return one
}

// put takes in an item of the store; it returns false for one that is not about roll-outs.
func (s *rollouts) put(item infra.Value) bool {
	if s == nil {
		return false
	}
	if service, ok := platform.RolloutService(item.Key); ok {
		s.putOrder(service, item)
		return true
	}
	service, ok := strings.CutPrefix(item.Key, rolloutPrefix)
	if !ok {
		return false
	}
	var rec rollout.Record
	if err := json.Unmarshal(item.Data, &rec); err != nil {
		s.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return true
	}
	s.forService(service).SetRecord(rec, item.ModRev, clock.SinceBoot())
	return true
}

func (s *rollouts) putOrder(service string, item infra.Value) {
	order, err := platform.DecodeRollout(service, item.Data, item.ModRev)
	if err != nil {
		s.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return
	}
	s.log.Emit(event.RolloutOrdered, "service", service, "target", order.Target,
		"within_ms", order.Duration.Milliseconds(), "revision", order.Revision)
	s.forService(service).SetOrder(order, clock.SinceBoot())
}

// gone takes note of an item that was removed.
func (s *rollouts) gone(key string) {
	if s == nil {
		return
	}
	service, ok := platform.RolloutService(key)
	if !ok {
		return
	}
	if one := s.of(service); one != nil {
		s.log.Emit(event.RolloutOrdered, "service", service, "target", "")
		one.WithdrawOrder()
	}
}

// hear takes in what another node tells.
func (s *rollouts) hear(from string, rep rollout.Report) {
	if one := s.of(rep.Service); one != nil {
		one.HandleReport(from, rep, clock.SinceBoot())
	}
}

// join has a node take part with the others.
func (s *rollouts) join(p *peers, n *news) {
	s.routers, s.age = p.nodes, n.age
	s.rank = func(service string) int { return rankIn(p.living(), p.set.Node.ID, service) }
	s.flood = func(rep rollout.Report) {
		if mesh := p.joined(); mesh != nil {
			// A report that is lost is followed by one that holds the same and more.
			_ = mesh.Flood(floodRollout, rep)
		}
	}
}

// state is what the dump shows.
func (s *rollouts) state() any {
	type shown struct {
		Order   rollout.Order
		Record  rollout.Record
		Stage   rollout.Stage
		Verdict rollout.Verdict
		Ready   rollout.ReplicaCounts
	}
	out := map[string]shown{}
	for _, one := range s.all() {
		order, _ := one.Order()
		verdict, _ := one.Verdict()
		out[one.service] = shown{order, one.Record(), one.Stage(), verdict, s.ready(one)}
	}
	return out
}
